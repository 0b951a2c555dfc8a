//! Servers of the soak test, which misbehave at random.

use super::draw_by_share;
use super::request_log::{Arrival, RequestLog};
use crate::http::{header, ok_response, read_body, read_head};
use crate::standins::{accept_connections, listen, Traffic};
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

/// Service time of a request, in milliseconds.
const SERVICE_TIME_MS: std::ops::Range<u64> = 2..30;
/// Pause before the second part of an answer in two parts, before a second answer, and before a reset.
const PART_PAUSE: Duration = Duration::from_millis(5);
/// Length of the pieces of an answer that never ends, in bytes.
const ENDLESS_PIECE: usize = 4 * 1024;
/// Time left that is recorded for an attempt without a deadline header: long enough to be a violation.
const TIME_LEFT_WITHOUT_DEADLINE: Duration = Duration::from_secs(3_600);

/// What a server does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Behaviour {
    /// Answers with status 200 and the request's id as the body.
    Serves,
    /// Answers in two parts.
    ServesInPieces,
    /// Sends the same answer twice.
    ServesTwice,
    /// Sends an answer that ends with its connection.
    ServesWithoutLength,
    /// Resets the connection before the last byte of an answer that ends with its connection.
    TruncatesWithoutLength,
    /// Sends an answer with a length that is one byte too short.
    GivesTooShortLength,
    /// Sends an answer that goes on until its connection ends.
    NeverEnds,
    /// Never answers.
    Hangs,
    /// Declines the request with status 503 and a header that says that it was not executed.
    Declines,
    /// Answers with status 500.
    Fails,
    /// Resets the connection without an answer.
    Resets,
}

/// Shares of requests that are not served normally, in percent.
const FAULTS: [(Behaviour, u32); 10] = [
    (Behaviour::Hangs, 6),
    (Behaviour::ServesInPieces, 4),
    (Behaviour::ServesTwice, 2),
    (Behaviour::ServesWithoutLength, 4),
    (Behaviour::TruncatesWithoutLength, 2),
    (Behaviour::GivesTooShortLength, 2),
    (Behaviour::NeverEnds, 1),
    (Behaviour::Declines, 3),
    (Behaviour::Fails, 2),
    (Behaviour::Resets, 3),
];

/// A running server.
pub struct Server {
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Since when discovery lists it as draining.
    pub draining_since: Rc<Cell<Option<Instant>>>,
}

impl Server {
    /// Starts a server that records every request it receives in the log.
    ///
    /// # Errors
    /// If no port is free.
    pub async fn start(log: Rc<RequestLog>, seed: u64) -> io::Result<Self> {
        let (listener, address) = listen().await?;
        let draining_since = Rc::<Cell<Option<Instant>>>::default();
        let shared = draining_since.clone();
        let random = Rc::new(RefCell::new(SmallRng::seed_from_u64(seed)));
        accept_connections(listener, Rc::<Traffic>::default(), move |stream| {
            serve_connection(stream, log.clone(), shared.clone(), random.clone())
        });
        Ok(Server { address, draining_since })
    }
}

async fn serve_connection(
    mut stream: TcpStream,
    log: Rc<RequestLog>,
    draining_since: Rc<Cell<Option<Instant>>>,
    random: Rc<RefCell<SmallRng>>,
) -> io::Result<()> {
    let mut buffer = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buffer).await? {
        read_body(&mut stream, &mut buffer, &head).await?;
        let id = header(&head, "req-id").unwrap_or_default();
        let time_left_ms = header(&head, "req-deadline-ms").and_then(|ms| ms.parse().ok());
        let (behaviour, service_time) = {
            let mut random = random.borrow_mut();
            (
                draw_by_share(&mut random, &FAULTS, Behaviour::Serves),
                Duration::from_millis(random.random_range(SERVICE_TIME_MS)),
            )
        };
        let arrival = Arrival {
            at: Instant::now(),
            time_left: time_left_ms.map_or(TIME_LEFT_WITHOUT_DEADLINE, Duration::from_millis),
            declined: behaviour == Behaviour::Declines,
        };
        log.record_arrival(
            usize::from_str_radix(&id, 16).unwrap_or(usize::MAX),
            arrival,
            draining_since.get(),
        );
        if behaviour == Behaviour::Hangs {
            // Reads until the limiter closes the connection.
            while stream.read_buf(&mut buffer).await? > 0 {}
            return Ok(());
        }
        sleep(service_time).await;
        if !answer(&mut stream, behaviour, &id).await? {
            return Ok(());
        }
    }
    Ok(())
}

/// Answers a request in the way that was drawn; true if the connection stays open.
async fn answer(stream: &mut TcpStream, behaviour: Behaviour, id: &str) -> io::Result<bool> {
    let response = ok_response("", id);
    let without_length = format!("HTTP/1.1 200 OK\r\n\r\n{id}");
    match behaviour {
        Behaviour::Serves | Behaviour::Hangs => stream.write_all(response.as_bytes()).await?,
        Behaviour::ServesInPieces => {
            let (first_half, second_half) = response.split_at(response.len() / 2);
            stream.write_all(first_half.as_bytes()).await?;
            sleep(PART_PAUSE).await;
            stream.write_all(second_half.as_bytes()).await?;
        }
        Behaviour::ServesTwice => {
            stream.write_all(response.as_bytes()).await?;
            sleep(PART_PAUSE).await;
            stream.write_all(response.as_bytes()).await?;
        }
        Behaviour::ServesWithoutLength => {
            stream.write_all(without_length.as_bytes()).await?;
            stream.shutdown().await?;
            return Ok(false);
        }
        Behaviour::TruncatesWithoutLength => {
            stream.write_all(&without_length.as_bytes()[..without_length.len() - 1]).await?;
            sleep(PART_PAUSE).await;
            stream.set_zero_linger()?;
            return Ok(false);
        }
        Behaviour::GivesTooShortLength => {
            let length = id.len().saturating_sub(1);
            let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{id}");
            stream.write_all(response.as_bytes()).await?;
        }
        Behaviour::NeverEnds => {
            stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await?;
            loop {
                stream.write_all(&[b'x'; ENDLESS_PIECE]).await?;
                sleep(PART_PAUSE).await;
            }
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
