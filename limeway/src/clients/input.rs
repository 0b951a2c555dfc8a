//! Input of a client's connection: the bytes that have been received and not consumed yet, and when they arrived.
//!
//! No byte is dropped before the connection is closed, so what is consumed is what the client sent, without a gap. The
//! bytes held are bounded, for a connection and by the memory pool for all together: beyond that, input stays in the
//! kernel until requests have been consumed, and flow control makes the client wait.

use crate::clients::arrivals::Arrivals;
use crate::clients::client_table::UNRESERVED_BYTES;
use crate::clients::presence::ClientPresence;
use crate::network::connection::{self, SocketState};
use crate::network::http;
use crate::network::memory_pool::{MemoryPool, MemoryReservation};
use crate::network::stream_io::retry_interrupted;
use std::io::{self, ErrorKind, Read};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

/// Largest request, in bytes.
const MAX_REQUEST: usize = http::MAX_HEAD + http::MAX_REQUEST_BODY;
/// Most bytes that are held for a connection. That a client has left shows only behind all that it has sent, so more
/// is read than one request needs.
const MAX_READ_AHEAD: usize = MAX_REQUEST + 4 * 1024 * 1024;
/// Least capacity of a buffer that is not empty, in bytes: enough for most requests.
const MIN_CAPACITY: usize = 512;
/// A buffer is replaced by a smaller one once it is this many times as large as its content.
const SHRINK_FACTOR: usize = 4;
/// Up to this length, the bytes are moved to the front of the buffer whenever that makes room.
const MAX_MOVED: usize = 16 * 1024;
/// Largest number of bytes taken from the kernel by one call.
const READ_SIZE: usize = 4 * 1024;
/// Interval between checks for the client's departure while input stays in the kernel.
const DEPARTURE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// After a shorter pause between two reads, whether input was there already is not asked for.
const NEGLIGIBLE_PAUSE: Duration = Duration::from_millis(1);

/// News of a client whose request is open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientNews {
    /// It has left.
    Left,
    /// Whether it has left cannot be told at present.
    Unknown,
}

/// Received bytes that have not been consumed.
pub struct ClientInput {
    bytes: Vec<u8>,
    /// Number of bytes at the front of `bytes` that are consumed.
    consumed: usize,
    memory: Rc<MemoryPool>,
    /// Memory for a buffer of more than [`UNRESERVED_BYTES`].
    reserved: Option<MemoryReservation>,
    arrivals: Arrivals,
    /// Since when input may have been in the kernel: set while no more may be held or none is read.
    unread_since: Option<Instant>,
    presence: Rc<ClientPresence>,
}

impl ClientInput {
    /// Starts without any bytes; what arrived first, or the connection itself, has waited for at most `waited`.
    pub fn new(waited: Duration, memory: Rc<MemoryPool>) -> Self {
        let connected_at = before(Instant::now(), waited);
        ClientInput {
            bytes: Vec::new(),
            consumed: 0,
            memory,
            reserved: None,
            arrivals: Arrivals::default(),
            unread_since: Some(connected_at),
            presence: ClientPresence::seen_at(connected_at),
        }
    }

    /// Whether the client is known to be connected.
    pub fn presence(&self) -> &Rc<ClientPresence> {
        &self.presence
    }

    /// The bytes.
    pub fn unconsumed(&self) -> &[u8] {
        &self.bytes[self.consumed..]
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.unconsumed().is_empty()
    }

    /// Removes bytes from the front.
    pub fn consume(&mut self, length: usize) {
        self.consumed += length;
        if self.is_empty() {
            self.bytes.clear();
            self.consumed = 0;
        }
    }

    /// Removes bytes from the front and returns them.
    pub fn take(&mut self, length: usize) -> Vec<u8> {
        let taken = self.unconsumed()[..length].to_vec();
        self.consume(length);
        taken
    }

    /// Drops all bytes, when nothing more is served on the connection.
    pub fn clear(&mut self) {
        self.consume(self.unconsumed().len());
        self.shrink();
    }

    /// Time since the last byte consumed arrived, at most.
    pub fn time_since_arrival(&self) -> Duration {
        let at = self.arrivals.of_last_consumed(self.unconsumed().len());
        at.map_or(Duration::ZERO, |at| at.elapsed())
    }

    /// Records that nothing is read for a while; what is there already has waited for at most `max_wait`.
    pub fn pause(&mut self, max_wait: Duration) {
        let since = before(Instant::now(), max_wait);
        self.unread_since.get_or_insert(since);
        self.presence.set_unwatched(since);
    }

    /// Memory to be added before a further byte can be held; `None` if there is room.
    pub fn missing_memory(&mut self) -> Option<usize> {
        (!self.has_room()).then(|| self.growth())
    }

    /// Adds memory for further bytes.
    pub fn add_memory(&mut self, memory: MemoryReservation) {
        match &mut self.reserved {
            Some(reserved) => reserved.merge(memory),
            None => self.reserved = Some(memory),
        }
    }

    /// Reads what arrived with the connection itself. An end of the input is left for a later read to report.
    pub fn read_first(&mut self, stream: &TcpStream) {
        self.read_available(stream, Duration::ZERO);
    }

    /// Waits for more input, which has waited for at most the time that `max_wait` gives once it is read; false at the
    /// end of the input, after an error or without room. Dropping the future loses no input.
    pub async fn read(&mut self, stream: &TcpStream, max_wait: impl Fn() -> Duration) -> bool {
        if self.unread_since.is_some_and(|since| since.elapsed() > NEGLIGIBLE_PAUSE) {
            match self.read_from_kernel(stream, max_wait()) {
                Ok(length) => return length > 0,
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return false,
            }
        }
        self.unread_since = None;
        loop {
            if stream.readable().await.is_err() {
                return false;
            }
            match self.append(max_wait(), |part| stream.try_read(part)) {
                Ok(length) => return length > 0,
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return false,
            }
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
        self.has_left_behind_unread_input(stream).await
    }

    /// Reads ahead while a request is open; returns once the client has left, or now and then while that cannot be told.
    pub async fn watch_client(&mut self, stream: &TcpStream, max_wait: impl Fn() -> Duration) -> ClientNews {
        loop {
            if self.has_room() {
                if !self.read(stream, &max_wait).await {
                    return ClientNews::Left;
                }
                continue;
            }
            sleep(DEPARTURE_CHECK_INTERVAL).await;
            if self.has_left_behind_unread_input(stream).await {
                return ClientNews::Left;
            }
            if !self.presence.is_known() {
                return ClientNews::Unknown;
            }
        }
    }

    /// Whether the client has left, as far as that shows without reading.
    async fn has_left_behind_unread_input(&self, stream: &TcpStream) -> bool {
        match connection::socket_state(stream) {
            SocketState::NothingPending => {
                self.presence.set_seen();
                false
            }
            SocketState::DataPending => timeout(Duration::ZERO, has_ended(stream)).await.unwrap_or(false),
            SocketState::EndOfInput | SocketState::Failed => true,
        }
    }

    /// Frees memory that the bytes do not need.
    pub fn shrink(&mut self) {
        let length = self.unconsumed().len();
        if self.max_capacity() <= UNRESERVED_BYTES || self.max_capacity() / SHRINK_FACTOR < length {
            return;
        }
        self.bytes = self.unconsumed().to_vec();
        self.consumed = 0;
        match length.checked_sub(UNRESERVED_BYTES) {
            Some(needed @ 1..) => self.reserved.iter_mut().for_each(|reserved| reserved.shrink_to(needed)),
            _ => self.reserved = None,
        }
    }

    /// Largest capacity for which memory is reserved.
    fn max_capacity(&self) -> usize {
        UNRESERVED_BYTES + self.reserved.as_ref().map_or(0, MemoryReservation::bytes)
    }

    /// Number of bytes for which there is room.
    fn room(&self) -> usize {
        // Moving the bytes to the front must not cost more than reading them.
        let reclaimed = if self.bytes.len() <= MAX_MOVED || self.consumed >= self.bytes.len() / 2 {
            self.consumed
        } else {
            0
        };
        self.max_capacity().saturating_sub(self.bytes.len() - reclaimed)
    }

    /// Number of bytes to be reserved next: as many again, up to the bound for a connection.
    fn growth(&self) -> usize {
        let capacity = self.max_capacity();
        capacity.min(MAX_READ_AHEAD.saturating_sub(capacity))
    }

    /// Whether more bytes may be held. Without room, reserves memory if there is enough of it.
    fn has_room(&mut self) -> bool {
        if self.room() > 0 {
            return true;
        }
        let growth = self.growth();
        if growth == 0 {
            return false;
        }
        let spare = self.memory.try_reserve_spare(growth);
        let granted = spare.is_some();
        spare.into_iter().for_each(|memory| self.add_memory(memory));
        granted
    }

    /// Reads all input that has arrived, as far as it may be held; it has waited for at most `max_wait`. False at the
    /// end of the input, which shows only behind all that the client wrote, or after an error.
    fn read_available(&mut self, stream: &TcpStream, max_wait: Duration) -> bool {
        while self.has_room() {
            match self.read_from_kernel(stream, max_wait) {
                Ok(0) => return false,
                Ok(_) => {}
                Err(e) => return e.kind() == ErrorKind::WouldBlock,
            }
        }
        true
    }

    /// Reads some input without waiting and without the runtime.
    fn read_from_kernel(&mut self, stream: &TcpStream, max_wait: Duration) -> io::Result<usize> {
        let read = self.append(max_wait, |part| (&*socket2::SockRef::from(stream)).read(part));
        read.inspect_err(|_| self.unread_since = None)
    }

    /// Appends what `read` yields, which has waited for at most `max_wait`, or since the kernel was last empty.
    fn append(
        &mut self,
        max_wait: Duration,
        mut read: impl FnMut(&mut [u8]) -> io::Result<usize>,
    ) -> io::Result<usize> {
        let mut part = [0; READ_SIZE];
        let room = self.room().min(READ_SIZE);
        let read = retry_interrupted(|| read(&mut part[..room]));
        if read.as_ref().is_err_and(|e| e.kind() == ErrorKind::WouldBlock) {
            self.presence.set_watched();
        }
        let length = read?;
        if length == 0 {
            return Ok(0);
        }
        let now = Instant::now();
        let latest = before(now, max_wait);
        self.presence.set_unwatched(latest);
        let at = self.unread_since.map_or(latest, |since| since.min(latest));
        self.arrivals.record(length, at, self.unconsumed().len());
        self.prepare_capacity(length);
        self.bytes.extend_from_slice(&part[..length]);
        if self.room() == 0 {
            self.unread_since.get_or_insert(now);
        }
        Ok(length)
    }

    /// Prepares for appending `length` bytes, within the reserved memory.
    fn prepare_capacity(&mut self, length: usize) {
        if self.bytes.len() + length <= self.bytes.capacity() {
            return;
        }
        self.bytes.drain(..self.consumed);
        self.consumed = 0;
        let needed = self.bytes.len() + length;
        if needed > self.bytes.capacity() {
            let capacity = needed.max(2 * self.bytes.capacity()).max(MIN_CAPACITY).min(self.max_capacity());
            self.bytes.reserve_exact(capacity.max(needed) - self.bytes.len());
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
