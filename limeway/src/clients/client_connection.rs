//! One client's connection: requests are read in turn, and each gets exactly one answer.

use crate::clients::client_table::{ClientTable, Closing, Phase, Place};
use crate::clients::request::{self, ClientMessage, Reject};
use crate::core::{ClientResponse, Core};
use crate::network::connection;
use crate::network::http::{self, Body, Head};
use crate::network::stream_io::{read_some, uninterrupted, write_whole};
use crate::upstream::attempts::ForwardedRequest;
use bytes::BytesMut;
use pondgw::{Demand, Micros};
use std::io::{self, ErrorKind, Read};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Time for which a connection may stand idle.
const IDLE_MOST: Duration = Duration::from_secs(15);
/// Time from the start of a connection for its first request to come whole, and from its first byte on for each
/// later one: who says nothing, or never comes to an end, is told so or closed within 3 s.
const MESSAGE_MOST: Duration = Duration::from_millis(2_200);
/// The same once no new connection is accepted, as the process is about to end.
const MESSAGE_MOST_AT_END: Duration = Duration::from_millis(300);
/// Time for an answer to be taken.
const ANSWER_MOST: Duration = Duration::from_secs(10);
/// Time for which what is still on its way is read after the last answer, lest that be lost to a reset.
const LINGER: Duration = Duration::from_millis(500);
/// The same where nothing was asked and so no answer is on its way: many round trips within a site, and little
/// enough for a descriptor that another client waits for.
const LINGER_IDLE: Duration = Duration::from_millis(20);
/// Pause after each request in a row on one connection that is not valid, and at most: who repeats itself at full
/// speed must not take the thread from others.
const PAUSE: (Duration, Duration) = (Duration::from_millis(5), Duration::from_millis(200));
/// Bytes beyond its buffer that a client may send ahead of an answer before it is given up: one that asks in turn
/// sends none, and reading on without end would take the thread from others.
const CUT_MOST: usize = 1024 * 1024;
/// Largest buffer that an idle connection keeps, in bytes.
const BUFFER_KEPT: usize = 4 * 1024;
/// Longest request that is kept while another is open, in bytes.
const REQUEST_MOST: usize = http::MAX_HEAD + http::MAX_REQUEST_BODY;
/// When who is turned away for want of room may come again, in microseconds: by then connections have ended.
const TRY_AGAIN: Micros = 1_000_000;

/// A client's connection.
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    out: Vec<u8>,
    since: Instant,
    /// No request has come whole yet.
    fresh: bool,
    /// Its client has come back to it after an answer.
    reused: bool,
    /// Beyond what may be held: it is told so.
    turned_away: bool,
    /// It has been told to go for others, and stands so among them to its end.
    evicted: Option<Place>,
    /// When bytes were last read.
    read_at: Instant,
    /// Bound on the time that those had waited to be read.
    waited: Duration,
    /// Requests in a row that were not valid.
    strikes: u32,
    /// Bytes behind the buffer that were thrown away: once it is used up, nothing more can be read.
    cut: usize,
}

/// A request as it was read: its head, the bytes of that, and its body.
type ReceivedRequest = (Head, BytesMut, Vec<u8>);

impl Connection {
    /// A connection that has just been accepted, after a wait of at most `waited`.
    pub fn new(stream: TcpStream, waited: Duration, turned_away: bool) -> Self {
        let now = Instant::now();
        Connection {
            stream,
            buffer: BytesMut::new(),
            out: Vec::new(),
            since: now,
            fresh: true,
            reused: false,
            turned_away,
            evicted: None,
            read_at: now,
            waited,
            strikes: 0,
            cut: 0,
        }
    }

    /// Serves the connection to its end.
    pub async fn serve(mut self, core: &Rc<Core>, table: &Rc<ClientTable>) {
        let _ = self.stream.set_nodelay(true);
        self.read_waiting();
        loop {
            let (head, bytes, body) = match self.read(core, table).await {
                Ok(Some(message)) => message,
                Ok(None) => return self.finish(table, LINGER_IDLE).await,
                Err(reject) => {
                    self.reject(core, &reject, true).await;
                    return self.finish(table, LINGER).await;
                }
            };
            self.fresh = false;
            let last = !head.keep_alive || self.turned_away;
            let asked = request::read(&core.config.setup, &head, &bytes, body);
            self.strikes = if asked.is_err() { self.strikes + 1 } else { 0 };
            let open = match asked {
                Err(reject) => {
                    let close = self.ends(core, table, last);
                    self.reject(core, &reject, close).await
                }
                Ok(ClientMessage::Health) => self.answer_health(core, table, last).await,
                // Too many connections: turned away before the module has heard of it.
                Ok(ClientMessage::Demand(..)) if self.turned_away => {
                    self.reject(core, &Reject::TOO_MANY, true).await
                }
                Ok(ClientMessage::Demand(id, demand, forward)) => {
                    self.request(core, table, id, (demand, forward), last).await
                }
            };
            if !open {
                return self.finish(table, if self.turned_away { LINGER_IDLE } else { LINGER }).await;
            }
            if self.strikes > 0 {
                sleep((PAUSE.0 * self.strikes).min(PAUSE.1)).await;
            }
        }
    }

    async fn answer_health(&mut self, core: &Core, table: &ClientTable, last: bool) -> bool {
        let close = self.ends(core, table, last);
        if core.ready.get() && !core.draining.get() {
            self.answer(200, b"", close, b"ready\n").await
        } else {
            self.answer(503, b"", close, b"not ready\n").await
        }
    }

    /// Answers that a request gets no further, and when it may come again where that would help.
    async fn reject(&mut self, core: &Core, reject: &Reject, close: bool) -> bool {
        let header = if reject.status == 503 { retry_after(core, TRY_AGAIN) } else { Vec::new() };
        self.answer(reject.status, &header, close, reject.reason.as_bytes()).await
    }

    /// Reads a whole request; nothing where the client leaves, or the connection stands idle and must go.
    async fn read(
        &mut self,
        core: &Core,
        table: &Rc<ClientTable>,
    ) -> Result<Option<ReceivedRequest>, Reject> {
        if self.buffer.is_empty() && (self.cut > 0 || !self.first_bytes(core, table).await) {
            return Ok(None);
        }
        let most = if table.closing() == Closing::All { MESSAGE_MOST_AT_END } else { MESSAGE_MOST };
        let left = if self.fresh { most.saturating_sub(self.since.elapsed()) } else { most };
        let place = Place::take(table, Phase::Partial);
        let received = tokio::select! {
            biased;
            received = timeout(left, self.read_message(core)) => received,
            () = place.evicted() => {
                Ok(Err(if core.draining.get() { Reject::ENDING } else { Reject::TOO_MANY }))
            }
        };
        if place.is_evicted() && !matches!(received, Ok(Ok(Some(_)))) {
            self.evicted = Some(place);
        }
        received.unwrap_or(Err(Reject { status: 408, reason: "the request did not come whole in time\n" }))
    }

    /// Waits for the first bytes of a request; false where none will be read any more.
    async fn first_bytes(&mut self, core: &Core, table: &Rc<ClientTable>) -> bool {
        self.release_buffers();
        let phase = match (self.fresh, self.reused) {
            (true, _) => Phase::Silent,
            (false, false) => Phase::AskedOnce,
            (false, true) => Phase::Reused,
        };
        let place = Place::take(table, phase);
        let idle = if self.fresh { MESSAGE_MOST.saturating_sub(self.since.elapsed()) } else { IDLE_MOST };
        let idle = sleep(idle);
        tokio::pin!(idle);
        let go = if self.fresh { Closing::All } else { Closing::Used };
        loop {
            let closing = table.closing() >= go;
            tokio::select! {
                biased;
                read = read_some(&mut self.stream, &mut self.buffer) => return self.note_first(core, read),
                () = table.close.notified(), if !closing => continue,
                () = place.evicted() => {}
                () = &mut idle => {}
                () = std::future::ready(()), if closing => {}
            }
            // To be closed, unless a request is on its way: that one would be lost.
            if connection::nothing_pending(&self.stream) {
                self.evicted = place.is_evicted().then_some(place);
                return false;
            }
            let read = read_some(&mut self.stream, &mut self.buffer).await;
            return self.note_first(core, read);
        }
    }

    /// Lets buffers go that have grown, while nothing needs them.
    fn release_buffers(&mut self) {
        if self.buffer.capacity() > BUFFER_KEPT {
            self.buffer = BytesMut::new();
        }
        if self.out.capacity() > BUFFER_KEPT {
            self.out = Vec::new();
        }
    }

    /// Notes the first bytes of a request; false at the end of the connection.
    fn note_first(&mut self, core: &Core, read: io::Result<usize>) -> bool {
        self.reused = !self.fresh;
        self.note_read(core, read)
    }

    /// Notes when bytes were read; false at the end of the connection.
    fn note_read(&mut self, core: &Core, read: io::Result<usize>) -> bool {
        let came = matches!(read, Ok(1..));
        if came {
            (self.read_at, self.waited) = (Instant::now(), core.lag.bound());
        }
        came
    }

    async fn read_message(&mut self, core: &Core) -> Result<Option<ReceivedRequest>, Reject> {
        let head = loop {
            match http::request(&self.buffer)? {
                Some(head) => break head,
                None if !self.more(core).await => return Ok(None),
                None => {}
            }
        };
        let bytes = self.buffer.split_to(head.len);
        let mut body = Body::new(head.framing, http::MAX_REQUEST_BODY);
        while !body.take(&mut self.buffer)? {
            if !self.more(core).await {
                return Ok(None);
            }
        }
        Ok(Some((head, bytes, body.bytes)))
    }

    /// Whether the connection ends with its answer, as this is its last one, the limiter is ending or there are too
    /// many; for the latter two not where more has come: a request behind this one is taken already.
    fn ends(&self, core: &Core, table: &ClientTable, last: bool) -> bool {
        let due = core.draining.get() || (table.crowded() && !self.reused);
        last || due && self.buffer.is_empty() && connection::nothing_pending(&self.stream)
    }

    async fn more(&mut self, core: &Core) -> bool {
        if self.cut > 0 {
            return false;
        }
        let read = read_some(&mut self.stream, &mut self.buffer).await;
        self.note_read(core, read)
    }

    /// Reads what is there already, up to the length of a request: it has waited with the connection. Its end is seen
    /// when it is read on.
    fn read_waiting(&mut self) {
        while self.buffer.len() < REQUEST_MOST && matches!(self.read_ready(self.waited), Ok(1..)) {}
    }

    /// Takes in what has come on the connection, after a wait of at most `waited`. Asks the system itself: what the
    /// runtime knows of the socket may be a turn old, and a client that wrote and left shows its end only behind what
    /// it wrote. False where it has left, or sends so far ahead that it is given up.
    fn take_in(&mut self, waited: Duration) -> bool {
        loop {
            match self.read_ready(waited) {
                Ok(0) => return false,
                Ok(_) if !self.cut_ahead() => return false,
                Ok(_) => {}
                Err(e) => return e.kind() == ErrorKind::WouldBlock,
            }
        }
    }

    /// Reads a part of what is there, by the system itself.
    fn read_ready(&mut self, waited: Duration) -> io::Result<usize> {
        let mut part = [0; BUFFER_KEPT];
        let read = uninterrupted(|| (&*socket2::SockRef::from(&self.stream)).read(&mut part))?;
        if read > 0 {
            (self.read_at, self.waited) = (Instant::now(), waited);
            self.buffer.extend_from_slice(&part[..read]);
        }
        Ok(read)
    }

    /// Keeps what one request can take of what a client sends ahead, and counts the rest. False where that is too
    /// much.
    fn cut_ahead(&mut self) -> bool {
        self.cut += self.buffer.len().saturating_sub(REQUEST_MOST);
        self.buffer.truncate(REQUEST_MOST);
        self.cut <= CUT_MOST
    }

    /// Takes a request to the module and its answer to the client. True if the connection stays open.
    async fn request(
        &mut self,
        core: &Rc<Core>,
        table: &ClientTable,
        name: Vec<u8>,
        (mut demand, forward): (Demand, ForwardedRequest),
        last: bool,
    ) -> bool {
        // The client counts its time from when it sent the request.
        let waited = (self.read_at.elapsed() + self.waited).as_micros() as Micros;
        // One that waited to be accepted, or behind others on its connection, may have lost its client meanwhile.
        if !self.take_in(core.lag.bound()) {
            return self.reject(core, &Reject::CLIENT_LEFT, true).await;
        }
        demand.left = demand.left.saturating_sub(waited);
        if demand.left == 0 {
            let close = self.ends(core, table, last);
            return self.reject(core, &Reject::TOO_LATE, close).await;
        }
        let Some((id, mut answer)) = core.submit(&name, demand, forward) else {
            self.strikes += 1;
            let close = self.ends(core, table, last);
            return self.reject(core, &Reject::ID_IN_USE, close).await;
        };
        let answer = loop {
            tokio::select! {
                biased;
                answer = &mut answer => break answer.unwrap_or(ClientResponse::Failed),
                // The client's next request may come early; the end of its sending means that it has left. What
                // is behind a full buffer is read all the same, or its leaving would stay unseen.
                more = read_some(&mut self.stream, &mut self.buffer) => {
                    let left = !self.note_read(core, more);
                    if left || !self.cut_ahead() {
                        let answer = core.client_left(id);
                        return self.final_answer(core, answer, true).await;
                    }
                },
            }
        };
        let close = self.ends(core, table, last);
        self.final_answer(core, answer, close).await
    }

    async fn final_answer(&mut self, core: &Core, answer: ClientResponse, close: bool) -> bool {
        match answer {
            ClientResponse::Served(served) => self.answer(200, &served.headers, close, &served.body).await,
            ClientResponse::Refused(wait) => self.answer(429, &retry_after(core, wait), close, b"").await,
            ClientResponse::Failed => self.answer(502, b"", close, b"").await,
            ClientResponse::DeadlineExceeded => self.answer(504, b"", close, b"").await,
        }
    }

    /// Writes an answer in one piece. True if the connection stays open.
    async fn answer(&mut self, status: u16, headers: &[u8], close: bool, body: &[u8]) -> bool {
        self.out.clear();
        http::write_answer(&mut self.out, status, headers, close, body);
        let written = timeout(ANSWER_MOST, write_whole(&mut self.stream, &self.out)).await;
        matches!(written, Ok(Ok(()))) && !close
    }

    /// Ends the connection: sending first, then reading for a bounded time, as a close over bytes that are unread
    /// resets it. What is read now is thrown away: the end of sending has told the client that nothing was taken.
    async fn finish(&mut self, table: &Rc<ClientTable>, most: Duration) {
        let _ = self.stream.shutdown().await;
        let (place, most) = match self.evicted.take() {
            Some(evicted) => (evicted, LINGER_IDLE),
            None => (Place::take(table, Phase::Ending), most),
        };
        let rest = async {
            let mut read = 0;
            while read < 4 * http::MAX_REQUEST_BODY {
                self.buffer.clear();
                match read_some(&mut self.stream, &mut self.buffer).await {
                    Ok(n @ 1..) => read += n,
                    _ => return,
                }
            }
        };
        tokio::select! {
            _ = timeout(most, rest) => {}
            () = place.evicted(), if !place.is_evicted() => {}
        }
    }
}

/// The header that tells a client when to come again, where the site lets it be told; nothing for no advice.
fn retry_after(core: &Core, wait: Micros) -> Vec<u8> {
    let allow = &core.config.setup.settings.permissions;
    let wait = wait.min(allow.max_retry_after);
    let mut header = Vec::new();
    if wait > 0 && allow.retry_after {
        header.extend_from_slice(format!("Retry-After: {:.3}\r\n", wait as f64 / 1e6).as_bytes());
    }
    header
}

#[cfg(test)]
#[path = "../../tests/unit/client_connection.rs"]
mod tests;
