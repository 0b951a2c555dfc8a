//! Input of a client's connection: the bytes that have been received and not consumed yet, and when they arrived.
//!
//! No byte is dropped before the connection is closed, so what is consumed is what the client sent, without a gap. The
//! bytes held are bounded: beyond that, input stays in the kernel until requests have been consumed, and flow control
//! makes the client wait.

use crate::clients::arrivals::Arrivals;
use crate::network::http;
use crate::network::stream_io::{read_some, retry_interrupted};
use bytes::{BufMut, BytesMut};
use std::io::{self, ErrorKind, Read};
use std::time::{Duration, Instant};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

/// Largest request, in bytes.
const MAX_REQUEST: usize = http::MAX_HEAD + http::MAX_REQUEST_BODY;
/// Most bytes that are held for a connection. That a client has left shows only behind all that it has sent, so more
/// is read than one request needs.
pub const MAX_READ_AHEAD: usize = MAX_REQUEST + 1024 * 1024;
/// Largest buffer that an idle connection keeps, in bytes.
pub const MAX_IDLE_BUFFER: usize = 4 * 1024;
/// A buffer is replaced by a smaller one once it is this many times as large as its content.
const SHRINK_FACTOR: usize = 4;
/// Interval between checks for the client's departure while input stays in the kernel.
const DEPARTURE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// After a shorter pause between two reads, whether input was there already is not asked for.
const NEGLIGIBLE_PAUSE: Duration = Duration::from_millis(1);

/// Received bytes that have not been consumed.
pub struct ClientInput {
    /// The bytes; consumed from the front.
    pub buffer: BytesMut,
    arrivals: Arrivals,
    /// Since when input may have been in the kernel: set while no more may be held or none is read.
    unread_since: Option<Instant>,
}

impl ClientInput {
    /// Starts without any bytes; what arrived first has waited for at most `waited`.
    pub fn new(waited: Duration) -> Self {
        let unread_since = Some(before(Instant::now(), waited));
        ClientInput { buffer: BytesMut::new(), arrivals: Arrivals::default(), unread_since }
    }

    /// Time since the last byte consumed arrived, at most.
    pub fn time_since_arrival(&self) -> Duration {
        let at = self.arrivals.of_last_consumed(self.buffer.len());
        at.map_or(Duration::ZERO, |at| at.elapsed())
    }

    /// Records that nothing is read for a while; what is there already has waited for at most `max_wait`.
    pub fn pause(&mut self, max_wait: Duration) {
        self.unread_since.get_or_insert_with(|| before(Instant::now(), max_wait));
    }

    /// Reads what arrived with the connection itself. An end of the input is left for a later read to report.
    pub fn read_first(&mut self, stream: &TcpStream) {
        self.read_available(stream, Duration::ZERO);
    }

    /// Waits for more input, which has waited for at most the time that `max_wait` gives once it is read; false at the
    /// end of the input or after an error. Dropping the future loses no input.
    pub async fn read(&mut self, stream: &mut TcpStream, max_wait: impl Fn() -> Duration) -> bool {
        if self.unread_since.is_some_and(|since| since.elapsed() > NEGLIGIBLE_PAUSE) {
            match self.read_nonblocking(stream, max_wait()) {
                Ok(length) => return length > 0,
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return false,
            }
        }
        self.unread_since = None;
        let room = MAX_READ_AHEAD.saturating_sub(self.buffer.len());
        match read_some(stream, &mut (&mut self.buffer).limit(room)).await {
            Ok(length @ 1..) => {
                self.on_read(length, max_wait());
                true
            }
            _ => false,
        }
    }

    /// Reads all input that has arrived, as far as it may be held. True if the client has left, by the kernel's view:
    /// that of the runtime may be one turn of its event loop behind.
    pub async fn client_has_left(&mut self, stream: &TcpStream, max_wait: Duration) -> bool {
        if !self.read_available(stream, max_wait) {
            return true;
        }
        if self.has_room() {
            return false;
        }
        // The runtime polls the sockets before this task runs on.
        yield_now().await;
        let closed = timeout(Duration::ZERO, has_ended(stream)).await;
        closed.unwrap_or(false)
    }

    /// Reads ahead while a request is open; returns once the client has left.
    pub async fn read_until_client_leaves(
        &mut self,
        stream: &mut TcpStream,
        max_wait: impl Fn() -> Duration,
    ) {
        loop {
            if self.has_room() {
                if !self.read(stream, &max_wait).await {
                    return;
                }
            } else {
                sleep(DEPARTURE_CHECK_INTERVAL).await;
                if has_ended(stream).await {
                    return;
                }
            }
        }
    }

    /// Frees memory that the content does not need.
    pub fn shrink(&mut self) {
        let capacity = self.buffer.capacity();
        if capacity > MAX_IDLE_BUFFER && capacity / SHRINK_FACTOR >= self.buffer.len() {
            self.buffer = BytesMut::from(&self.buffer[..]);
        }
    }

    /// Whether more bytes may be held.
    fn has_room(&self) -> bool {
        self.buffer.len() < MAX_READ_AHEAD
    }

    /// Reads all input that has arrived, as far as it may be held; it has waited for at most `max_wait`. False at the
    /// end of the input, which shows only behind all that the client wrote, or after an error.
    fn read_available(&mut self, stream: &TcpStream, max_wait: Duration) -> bool {
        while self.has_room() {
            match self.read_nonblocking(stream, max_wait) {
                Ok(0) => return false,
                Ok(_) => {}
                Err(e) => return e.kind() == ErrorKind::WouldBlock,
            }
        }
        true
    }

    /// Reads some input without waiting and without the runtime.
    fn read_nonblocking(&mut self, stream: &TcpStream, max_wait: Duration) -> io::Result<usize> {
        let mut part = [0; MAX_IDLE_BUFFER];
        let room = part.len().min(MAX_READ_AHEAD - self.buffer.len());
        let read = retry_interrupted(|| (&*socket2::SockRef::from(stream)).read(&mut part[..room]));
        let length = read.inspect_err(|_| self.unread_since = None)?;
        if length > 0 {
            self.buffer.extend_from_slice(&part[..length]);
            self.on_read(length, max_wait);
        }
        Ok(length)
    }

    /// Records that bytes were appended, which had waited for at most `max_wait`, or since the kernel was last empty.
    fn on_read(&mut self, length: usize, max_wait: Duration) {
        let now = Instant::now();
        let latest = before(now, max_wait);
        let at = self.unread_since.map_or(latest, |since| since.min(latest));
        self.arrivals.record(length, at, self.buffer.len() - length);
        if !self.has_room() {
            self.unread_since.get_or_insert(now);
        }
    }
}

/// The time that lies `span` before another; that time itself if the clock does not reach back so far.
fn before(time: Instant, span: Duration) -> Instant {
    time.checked_sub(span).unwrap_or(time)
}

/// Whether the client has ended its sending or the connection has failed, also behind input that has not been read.
/// Waits for news if there is no unread input.
async fn has_ended(stream: &TcpStream) -> bool {
    stream.ready(Interest::READABLE).await.is_ok_and(|ready| ready.is_read_closed())
}

#[cfg(test)]
#[path = "../../tests/unit/input.rs"]
mod tests;
