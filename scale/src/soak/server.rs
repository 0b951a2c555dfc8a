//! Servers that misbehave by chance.

use super::draw;
use super::ledger::{Arrival, Ledger};
use crate::limiter::{header, read_body};
use crate::standins::{accept, answer, listen, read_head, Seen};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// How long good work takes, in milliseconds.
const WORK_MS: std::ops::Range<u64> = 2..30;
/// How much later than the first a second answer comes.
const SECOND_AFTER: Duration = Duration::from_millis(5);
/// Time that a server is taken to have been told where the request says nothing.
const UNTOLD: Duration = Duration::from_secs(3_600);

/// What a server does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Behaviour {
    Serves,
    ServesInPieces,
    ServesTwice,
    ServesWithoutLength,
    CutsWithoutLength,
    Hangs,
    Declines,
    Fails,
    Resets,
}

/// Shares of what is no good service, in percent.
const FAULTS: [(Behaviour, u32); 8] = [
    (Behaviour::Hangs, 6),
    (Behaviour::ServesInPieces, 4),
    (Behaviour::ServesTwice, 2),
    (Behaviour::ServesWithoutLength, 4),
    (Behaviour::CutsWithoutLength, 2),
    (Behaviour::Declines, 3),
    (Behaviour::Fails, 2),
    (Behaviour::Resets, 3),
];

/// A server.
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    /// Since when discovery has told that it drains.
    pub draining: Rc<Cell<Option<Instant>>>,
}

impl Server {
    /// Starts a server that notes what comes to it.
    ///
    /// # Errors
    /// Where no port can be had.
    pub async fn start(ledger: Rc<Ledger>, seed: u64) -> io::Result<Self> {
        let (listener, address) = listen().await?;
        let draining = Rc::<Cell<Option<Instant>>>::default();
        let since = draining.clone();
        let random = Rc::new(RefCell::new(SmallRng::seed_from_u64(seed)));
        accept(listener, Rc::<Seen>::default(), move |stream| {
            connection(stream, ledger.clone(), since.clone(), random.clone())
        });
        Ok(Server { address, draining })
    }
}

async fn connection(
    mut stream: TcpStream,
    ledger: Rc<Ledger>,
    draining: Rc<Cell<Option<Instant>>>,
    random: Rc<RefCell<SmallRng>>,
) -> io::Result<()> {
    let mut buffer = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buffer).await? {
        read_body(&mut stream, &mut buffer, &head).await?;
        let id = header(&head, "req-id").unwrap_or_default();
        let told = header(&head, "req-deadline-ms").and_then(|ms| ms.parse().ok());
        let (behaviour, work) = {
            let mut random = random.borrow_mut();
            (
                draw(&mut random, &FAULTS, Behaviour::Serves),
                Duration::from_millis(random.random_range(WORK_MS)),
            )
        };
        let arrival = Arrival {
            at: Instant::now(),
            told: told.map_or(UNTOLD, Duration::from_millis),
            declined: behaviour == Behaviour::Declines,
        };
        ledger.arrived(usize::from_str_radix(&id, 16).unwrap_or(usize::MAX), arrival, draining.get());
        if behaviour == Behaviour::Hangs {
            // Until the other side gives up.
            while stream.read_buf(&mut buffer).await? > 0 {}
            return Ok(());
        }
        sleep(work).await;
        if !serve(&mut stream, behaviour, &id).await? {
            return Ok(());
        }
    }
    Ok(())
}

/// Does what was drawn; true where the connection goes on.
async fn serve(stream: &mut TcpStream, behaviour: Behaviour, id: &str) -> io::Result<bool> {
    let whole = answer("", id);
    let without_length = format!("HTTP/1.1 200 OK\r\n\r\n{id}");
    match behaviour {
        Behaviour::Serves | Behaviour::Hangs => stream.write_all(whole.as_bytes()).await?,
        Behaviour::ServesInPieces => {
            let (first, rest) = whole.split_at(whole.len() / 2);
            stream.write_all(first.as_bytes()).await?;
            sleep(SECOND_AFTER).await;
            stream.write_all(rest.as_bytes()).await?;
        }
        Behaviour::ServesTwice => {
            stream.write_all(whole.as_bytes()).await?;
            sleep(SECOND_AFTER).await;
            stream.write_all(whole.as_bytes()).await?;
        }
        Behaviour::ServesWithoutLength => {
            stream.write_all(without_length.as_bytes()).await?;
            stream.shutdown().await?;
            return Ok(false);
        }
        Behaviour::CutsWithoutLength => {
            stream.write_all(&without_length.as_bytes()[..without_length.len() - 1]).await?;
            sleep(SECOND_AFTER).await;
            stream.set_zero_linger()?;
            return Ok(false);
        }
        Behaviour::Declines => {
            stream.write_all(b"HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n").await?;
        }
        Behaviour::Fails => {
            stream.write_all(b"HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n").await?;
        }
        Behaviour::Resets => {
            stream.set_zero_linger()?;
            return Ok(false);
        }
    }
    Ok(true)
}
