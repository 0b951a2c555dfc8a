//! Clients that keep their connections in use, and misbehave by chance.

use super::ledger::{Class, End, ANSWER_SLACK};
use super::{draw, World};
use crate::limiter::{header, read_body};
use crate::standins::read_head;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Pause between two requests, in milliseconds.
const THINK_MS: std::ops::Range<u64> = 0..30;
/// Pause in the middle of a request that comes in pieces, in milliseconds.
const PIECE_MS: std::ops::Range<u64> = 1..80;
/// Time after which a client leaves, in milliseconds.
const LEAVE_MS: std::ops::Range<u64> = 0..60;
/// Wait where no limiter takes connections.
const NONE_OPEN: Duration = Duration::from_millis(10);
/// Time within which a bad client is owed an error or a close (page of the days), and what the measuring may add.
const BAD_CLIENT: Duration = Duration::from_millis(3_000 + 200);
/// Customers among which requests are dealt.
const CUSTOMERS: u64 = 200;

/// What a client does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Behaviour {
    Asks,
    AsksInPieces,
    Leaves,
    EndsItsSending,
    StopsInTheMiddle,
}

/// Shares of what is no usual request, in percent.
const FAULTS: [(Behaviour, u32); 4] = [
    (Behaviour::AsksInPieces, 5),
    (Behaviour::Leaves, 3),
    (Behaviour::EndsItsSending, 2),
    (Behaviour::StopsInTheMiddle, 1),
];

/// Asks over one connection after the other until the run is over.
pub async fn run(world: Rc<World>, seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    while !world.over.get() {
        let open: Vec<_> = world.open_limiters();
        if open.is_empty() {
            sleep(NONE_OPEN).await;
            continue;
        }
        let address = open[random.random_range(0..open.len())];
        let Ok(Ok(stream)) = timeout(Duration::from_secs(1), TcpStream::connect(address)).await else {
            sleep(NONE_OPEN).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let mut connection = Connection { world: &world, stream, buffer: Vec::new(), first: true };
        while !world.over.get() && connection.ask(&mut random).await {
            sleep(Duration::from_millis(random.random_range(THINK_MS))).await;
        }
    }
}

/// A client's connection.
struct Connection<'a> {
    world: &'a World,
    stream: TcpStream,
    buffer: Vec<u8>,
    first: bool,
}

impl Connection<'_> {
    /// Makes one request; true where the connection goes on.
    async fn ask(&mut self, random: &mut SmallRng) -> bool {
        let class = [Class::Look, Class::Book, Class::Once][random.random_range(0..3)];
        let behaviour = draw(random, &FAULTS, Behaviour::Asks);
        let (ledger, deadline) = (&self.world.ledger, self.world.deadline);
        let first = std::mem::replace(&mut self.first, false);
        let text = request_text(class, random.random_range(0..CUSTOMERS), deadline);
        if behaviour == Behaviour::StopsInTheMiddle {
            self.stop_in_the_middle(&text).await;
            return false;
        }
        let number = ledger.open(class, deadline, first);
        let text = text.replace("REQUEST-ID", &format!("{number:x}"));
        let pause = (behaviour == Behaviour::AsksInPieces)
            .then(|| Duration::from_millis(random.random_range(PIECE_MS)));
        if self.write(text.as_bytes(), pause).await.is_err() {
            ledger.note(number, |request| request.end = Some(End::Unwritten));
            return false;
        }
        ledger.note(number, |request| request.sent = Some(Instant::now()));
        if matches!(behaviour, Behaviour::Leaves | Behaviour::EndsItsSending) {
            sleep(Duration::from_millis(random.random_range(LEAVE_MS))).await;
            ledger.note(number, |request| request.left = Some(Instant::now()));
            let _ = self.stream.shutdown().await;
        }
        if behaviour == Behaviour::Leaves {
            return false;
        }
        let answered = timeout(deadline + ANSWER_SLACK, self.answer(number)).await;
        let (end, goes_on) = match answered {
            Ok(Ok(answered)) => answered,
            Ok(Err(_)) => (End::Closed, false),
            Err(_) => (End::Silent, false),
        };
        ledger.note(number, |request| request.end = Some(end));
        goes_on && behaviour != Behaviour::EndsItsSending
    }

    async fn write(&mut self, text: &[u8], pause: Option<Duration>) -> io::Result<()> {
        let Some(pause) = pause else { return self.stream.write_all(text).await };
        let (one, two) = text.split_at(text.len() / 2);
        self.stream.write_all(one).await?;
        sleep(pause).await;
        self.stream.write_all(two).await
    }

    /// Reads an answer; whether its connection goes on.
    async fn answer(&mut self, number: usize) -> io::Result<(End, bool)> {
        let head = read_head(&mut self.stream, &mut self.buffer).await?;
        let head = head.ok_or(io::ErrorKind::UnexpectedEof)?;
        let body = read_body(&mut self.stream, &mut self.buffer, &head).await?;
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        let closes = header(&head, "connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
        Ok((End::Answered(status, body == format!("{number:x}")), !closes))
    }

    /// Writes half a request and stays.
    async fn stop_in_the_middle(&mut self, text: &str) {
        if self.write(&text.as_bytes()[..text.len() / 2], None).await.is_err() {
            return;
        }
        if timeout(BAD_CLIENT, self.stream.read_buf(&mut self.buffer)).await.is_err() {
            self.world.ledger.seen.borrow_mut().stuck += 1;
        }
    }
}

fn request_text(class: Class, customer: u64, deadline: Duration) -> String {
    let (method, name, more, body) = match class {
        Class::Look => ("GET", "look", "", ""),
        Class::Book => ("POST", "book", "Idempotency-Key: REQUEST-ID\r\nContent-Length: 5\r\n", "hello"),
        Class::Once => ("POST", "once", "Content-Length: 5\r\n", "hello"),
    };
    format!(
        "{method} /{name}/{customer:016x} HTTP/1.1\r\nHost: x\r\nReq-Id: REQUEST-ID\r\nReq-Kind: {name}\r\nPlan: plan\r\n\
         Req-Deadline-Ms: {}\r\nQuota-Info: units=1,spread=1,first=0\r\n{more}\r\n{body}",
        deadline.as_millis()
    )
}

/// Opens connections on which nothing is asked, or half a request, and keeps so many open until the run is over.
pub async fn crowd(world: Rc<World>, limiter: usize, connections: usize) {
    let mut open: Vec<TcpStream> = Vec::new();
    while !world.over.get() {
        open.retain(|stream| stream.try_read(&mut [0; 64]).is_err());
        if world.is_open(limiter) && open.len() < connections {
            if let Ok(Ok(stream)) =
                timeout(Duration::from_secs(1), TcpStream::connect(world.address(limiter))).await
            {
                if open.len() % 2 == 0 {
                    let _ = stream.try_write(b"GET /look/0000000000000000 HTTP/1.1\r\nHost: x");
                }
                open.push(stream);
            }
        } else {
            sleep(NONE_OPEN).await;
        }
    }
}
