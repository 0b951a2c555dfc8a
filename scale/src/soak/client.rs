//! Clients of the soak test, which keep their connections in use and misbehave at random.

use super::request_log::{Class, End, ANSWER_GRACE};
use super::{draw_by_share, SharedState};
use crate::http::{header, read_response, status};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Pause between two requests on a connection, in milliseconds.
const THINK_TIME_MS: std::ops::Range<u64> = 0..30;
/// Pause in the middle of a request that is sent in pieces, in milliseconds.
const PIECE_PAUSE_MS: std::ops::Range<u64> = 1..80;
/// Time after its request at which a client disconnects or closes its sending side, in milliseconds.
const LEAVE_AFTER_MS: std::ops::Range<u64> = 0..60;
/// Wait before trying again when no limiter accepts connections.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Time-out for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time within which a limiter has to answer or close a connection on which a request has stalled: 3 s (from the
/// specification) and 200 ms for inaccuracies of the measurement.
const STALL_TIMEOUT: Duration = Duration::from_millis(3_000 + 200);
/// Number of customers that the requests belong to.
const CUSTOMERS: u64 = 200;

/// What a client does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Behaviour {
    /// Sends it and waits for the answer.
    Normal,
    /// Sends it in two pieces and waits for the answer.
    SendsInPieces,
    /// Sends it and disconnects without waiting for the answer.
    Disconnects,
    /// Sends it, closes its sending side, and waits for the answer.
    HalfCloses,
    /// Sends half of it, and waits for the limiter to answer or close the connection.
    Stalls,
}

/// Shares of requests for which a client does not behave normally, in percent.
const FAULTS: [(Behaviour, u32); 4] = [
    (Behaviour::SendsInPieces, 5),
    (Behaviour::Disconnects, 3),
    (Behaviour::HalfCloses, 2),
    (Behaviour::Stalls, 1),
];

/// Sends requests over one connection after the other until the run is finished.
pub async fn run(state: Rc<SharedState>, seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    while !state.finished.get() {
        let addresses = state.accepting_limiters();
        if addresses.is_empty() {
            sleep(RETRY_INTERVAL).await;
            continue;
        }
        let address = addresses[random.random_range(0..addresses.len())];
        let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await else {
            sleep(RETRY_INTERVAL).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let mut connection = Connection { state: &state, stream, buffer: Vec::new(), unused: true };
        while !state.finished.get() && connection.send_request(&mut random).await {
            sleep(Duration::from_millis(random.random_range(THINK_TIME_MS))).await;
        }
    }
}

/// A client's connection to a limiter.
struct Connection<'a> {
    state: &'a SharedState,
    stream: TcpStream,
    buffer: Vec<u8>,
    /// No request was sent on it yet.
    unused: bool,
}

impl Connection<'_> {
    /// Makes one request; true if the connection can be used for another one.
    async fn send_request(&mut self, random: &mut SmallRng) -> bool {
        let class = [Class::Idempotent, Class::Keyed, Class::NonIdempotent][random.random_range(0..3)];
        let behaviour = draw_by_share(random, &FAULTS, Behaviour::Normal);
        let (log, deadline) = (&self.state.log, self.state.deadline);
        let first_on_connection = std::mem::replace(&mut self.unused, false);
        let text = request_text(class, random.random_range(0..CUSTOMERS), deadline);
        if behaviour == Behaviour::Stalls {
            self.stall(&text).await;
            return false;
        }
        let id = log.add(class, deadline, first_on_connection);
        let text = text.replace("REQUEST-ID", &format!("{id:x}"));
        let pause = (behaviour == Behaviour::SendsInPieces)
            .then(|| Duration::from_millis(random.random_range(PIECE_PAUSE_MS)));
        if self.write(text.as_bytes(), pause).await.is_err() {
            log.update(id, |request| request.end = Some(End::WriteFailed));
            return false;
        }
        log.update(id, |request| request.sent_at = Some(Instant::now()));
        if matches!(behaviour, Behaviour::Disconnects | Behaviour::HalfCloses) {
            sleep(Duration::from_millis(random.random_range(LEAVE_AFTER_MS))).await;
            log.update(id, |request| request.left_at = Some(Instant::now()));
            let _ = self.stream.shutdown().await;
        }
        if behaviour == Behaviour::Disconnects {
            return false;
        }
        let response = timeout(deadline + ANSWER_GRACE, self.read_answer(id)).await;
        let (end, reusable) = match response {
            Ok(Ok(answered)) => answered,
            Ok(Err(_)) => (End::Closed, false),
            Err(_) => (End::TimedOut, false),
        };
        log.update(id, |request| request.end = Some(end));
        reusable && behaviour != Behaviour::HalfCloses
    }

    /// Writes bytes, with a pause in the middle if one is given.
    async fn write(&mut self, bytes: &[u8], pause: Option<Duration>) -> io::Result<()> {
        let Some(pause) = pause else { return self.stream.write_all(bytes).await };
        let (first_half, second_half) = bytes.split_at(bytes.len() / 2);
        self.stream.write_all(first_half).await?;
        sleep(pause).await;
        self.stream.write_all(second_half).await
    }

    /// Reads the answer to a request; also gives whether the limiter keeps the connection open.
    async fn read_answer(&mut self, id: usize) -> io::Result<(End, bool)> {
        let (head, body) = read_response(&mut self.stream, &mut self.buffer).await?;
        let closes = header(&head, "connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
        let end = End::Answered { status: status(&head), own_body: body == format!("{id:x}") };
        Ok((end, !closes))
    }

    /// Writes half a request, and waits for the limiter to answer or close the connection.
    async fn stall(&mut self, text: &str) {
        if self.write(&text.as_bytes()[..text.len() / 2], None).await.is_err() {
            return;
        }
        if timeout(STALL_TIMEOUT, self.stream.read_buf(&mut self.buffer)).await.is_err() {
            self.state.log.other_violations.borrow_mut().stalls_kept_open += 1;
        }
    }
}

/// The text of a request, with `REQUEST-ID` in place of its id.
fn request_text(class: Class, customer: u64, deadline: Duration) -> String {
    let (method, name, headers, body) = match class {
        Class::Idempotent => ("GET", "look", "", ""),
        Class::Keyed => ("POST", "book", "Idempotency-Key: REQUEST-ID\r\nContent-Length: 5\r\n", "hello"),
        Class::NonIdempotent => ("POST", "once", "Content-Length: 5\r\n", "hello"),
    };
    format!(
        "{method} /{name}/{customer:016x} HTTP/1.1\r\nHost: x\r\nReq-Id: REQUEST-ID\r\nReq-Kind: {name}\r\n\
         Plan: plan\r\nReq-Deadline-Ms: {}\r\nQuota-Info: units=1,spread=1,first=0\r\n{headers}\r\n{body}",
        deadline.as_millis()
    )
}

/// Keeps a number of connections to a limiter open, with no request or half of one, until the run is finished.
pub async fn hold_idle_connections(state: Rc<SharedState>, limiter: usize, connections: usize) {
    let limiter = &state.limiters[limiter];
    let mut open: Vec<TcpStream> = Vec::new();
    while !state.finished.get() {
        open.retain(|stream| stream.try_read(&mut [0; 64]).is_err());
        if limiter.accepting.get() && open.len() < connections {
            if let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(limiter.address)).await {
                if open.len() % 2 == 0 {
                    let _ = stream.try_write(b"GET /look/0000000000000000 HTTP/1.1\r\nHost: x");
                }
                open.push(stream);
            }
        } else {
            sleep(RETRY_INTERVAL).await;
        }
    }
}
