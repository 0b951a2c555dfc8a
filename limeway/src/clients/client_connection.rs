//! A client's connection: requests are read one after the other, and each gets exactly one response.

use crate::clients::client_table::{ClientTable, CloseIdle, EvictionSlot, Phase, UNRESERVED_BYTES};
use crate::clients::input::{ClientInput, ClientNews};
use crate::clients::request::{self, ClientMessage, Rejection};
use crate::core::{ClientResponse, Core};
use crate::network::connection;
use crate::network::http::{self, BodyReader, Framing, Head};
use crate::network::memory_pool::{MemoryPool, MemoryReservation};
use crate::network::stream_io::{read_some, write_message};
use crate::upstream::attempts::ForwardedRequest;

use pondgw::{ClientRequest, Micros};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// An idle connection is closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time for a request to arrive completely: the first from the opening of the connection, each later one from its first
/// byte. So a connection without a request is closed, and one with an incomplete request answered 408, within 3 s.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_200);
/// The same once the listener is closed, as the process is about to exit.
const REQUEST_TIMEOUT_AT_SHUTDOWN: Duration = Duration::from_millis(300);
/// Time for the client to take a response.
const RESPONSE_WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// After the last response, input is read for at most this time before the close: closing with unread input would
/// reset the connection, and the response could be lost.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// The same if there was no request and so no response to lose: many round trips within a site, but short, as another
/// client may be waiting for the descriptor.
const SHORT_LINGER_TIMEOUT: Duration = Duration::from_millis(20);
/// Pause after an invalid request, multiplied by the number of invalid requests in a row on the connection: a client
/// that repeats them at full speed must not keep the thread from others.
const INVALID_REQUEST_PAUSE: Duration = Duration::from_millis(5);
/// Upper bound on that pause.
const MAX_INVALID_REQUEST_PAUSE: Duration = Duration::from_millis(200);
/// Retry-After of a 503, in microseconds: by then, connections have closed.
const RETRY_AFTER_OVERLOAD: Micros = 1_000_000;

/// A client's connection.
pub struct ClientConnection {
    stream: TcpStream,
    input: ClientInput,
    out: Vec<u8>,
    opened_at: Instant,
    /// No request has been received completely yet.
    awaits_first_request: bool,
    /// The client has sent more after a response.
    reused: bool,
    /// Accepted above the limit on connections: its request is answered 503.
    over_limit: bool,
    /// If evicted: the slot by which it was evicted, kept so that the connection counts as evicted until it is closed.
    evicted: Option<EvictionSlot>,
    /// Invalid requests in a row.
    invalid_requests: u32,
}

/// A request as received.
struct ReceivedRequest {
    /// Its parsed head, as ranges of `bytes`.
    head: Head,
    /// The bytes of the head.
    bytes: Vec<u8>,
    body: Vec<u8>,
    /// Memory for a request of more than [`UNRESERVED_BYTES`].
    memory: Option<MemoryReservation>,
}

impl ClientConnection {
    /// Takes over a connection that has just been accepted, after it had waited for at most `waited`.
    pub fn new(stream: TcpStream, waited: Duration, over_limit: bool, memory: Rc<MemoryPool>) -> Self {
        ClientConnection {
            stream,
            input: ClientInput::new(waited, memory),
            out: Vec::new(),
            opened_at: Instant::now(),
            awaits_first_request: true,
            reused: false,
            over_limit,
            evicted: None,
            invalid_requests: 0,
        }
    }

    /// Serves the connection until it is closed.
    pub async fn serve(mut self, core: &Rc<Core>, table: &Rc<ClientTable>) {
        let _ = self.stream.set_nodelay(true);
        self.input.read_first(&self.stream);
        loop {
            let ReceivedRequest { head, bytes, body, memory } = match self.read_request(core, table).await {
                Ok(Some(received)) => received,
                Ok(None) => return self.close(table, SHORT_LINGER_TIMEOUT).await,
                Err(rejection) => {
                    self.write_rejection(core, &rejection, true).await;
                    return self.close(table, LINGER_TIMEOUT).await;
                }
            };
            self.awaits_first_request = false;
            let last = !head.keep_alive || self.over_limit;
            let parsed = request::parse(&core.config.host_settings, &head, &bytes, body, memory);
            drop((head, bytes));
            self.invalid_requests = if parsed.is_err() { self.invalid_requests + 1 } else { 0 };
            let open = match parsed {
                Err(rejection) => {
                    let close = self.closes_after_response(core, table, last);
                    self.write_rejection(core, &rejection, close).await
                }
                Ok(ClientMessage::Health) => self.write_health_response(core, table, last).await,
                // Too many connections: rejected without the gateway.
                Ok(ClientMessage::Request(..)) if self.over_limit => {
                    self.write_rejection(core, &Rejection::TOO_MANY_CONNECTIONS, true).await
                }
                Ok(ClientMessage::Request(client_id, request, forwarded)) => {
                    self.handle_request(core, table, client_id, (request, forwarded), last).await
                }
            };
            if !open {
                let linger = if self.over_limit { SHORT_LINGER_TIMEOUT } else { LINGER_TIMEOUT };
                return self.close(table, linger).await;
            }
            if self.invalid_requests > 0 {
                let pause = INVALID_REQUEST_PAUSE * self.invalid_requests;
                sleep(pause.min(MAX_INVALID_REQUEST_PAUSE)).await;
            }
        }
    }

    async fn write_health_response(&mut self, core: &Core, table: &ClientTable, last: bool) -> bool {
        let close = self.closes_after_response(core, table, last);
        if core.ready.get() && !core.draining.get() {
            self.write_response(core, 200, b"", close, b"ready\n").await
        } else {
            self.write_response(core, 503, b"", close, b"not ready\n").await
        }
    }

    /// Answers a request that does not reach the gateway, with Retry-After if a retry may succeed. True if the
    /// connection stays open.
    async fn write_rejection(&mut self, core: &Core, rejection: &Rejection, close: bool) -> bool {
        let header =
            if rejection.status == 503 { retry_after_header(core, RETRY_AFTER_OVERLOAD) } else { Vec::new() };
        self.write_response(core, rejection.status, &header, close, rejection.body.as_bytes()).await
    }

    /// Reads a complete request; `None` if the client has left, or the connection is idle and has to close.
    async fn read_request(
        &mut self,
        core: &Core,
        table: &Rc<ClientTable>,
    ) -> Result<Option<ReceivedRequest>, Rejection> {
        if self.input.is_empty() && !self.wait_for_request(core, table).await {
            return Ok(None);
        }
        let limit = if table.idle_to_close() == CloseIdle::All {
            REQUEST_TIMEOUT_AT_SHUTDOWN
        } else {
            REQUEST_TIMEOUT
        };
        let left =
            if self.awaits_first_request { limit.saturating_sub(self.opened_at.elapsed()) } else { limit };
        let slot = EvictionSlot::register(table, Phase::PartialRequest);
        let received = tokio::select! {
            biased;
            received = timeout(left, self.read_message(core, table, &slot)) => received,
            () = slot.evicted() => {
                let shutdown = core.draining.get();
                Ok(Err(if shutdown { Rejection::SHUTTING_DOWN } else { Rejection::TOO_MANY_CONNECTIONS }))
            }
        };
        if slot.is_evicted() && !matches!(received, Ok(Ok(Some(_)))) {
            self.evicted = Some(slot);
        }
        received.unwrap_or(Err(Rejection::REQUEST_TIMEOUT))
    }

    /// Waits for the first bytes of a request; false if the connection has to close without one.
    async fn wait_for_request(&mut self, core: &Core, table: &Rc<ClientTable>) -> bool {
        self.release_buffers();
        let phase = match (self.awaits_first_request, self.reused) {
            (true, _) => Phase::New,
            (false, false) => Phase::AnsweredOnce,
            (false, true) => Phase::Reused,
        };
        let slot = EvictionSlot::register(table, phase);
        let idle_timeout = if self.awaits_first_request {
            REQUEST_TIMEOUT.saturating_sub(self.opened_at.elapsed())
        } else {
            IDLE_TIMEOUT
        };
        let idle_timeout = sleep(idle_timeout);
        tokio::pin!(idle_timeout);
        let closed_from = if self.awaits_first_request { CloseIdle::All } else { CloseIdle::Used };
        loop {
            let closing = table.idle_to_close() >= closed_from;
            tokio::select! {
                biased;
                received = self.input.read(&self.stream, || core.lag.max_wait()) => {
                    return self.on_first_read(received);
                }
                () = table.idle_to_close_changed.notified(), if !closing => continue,
                () = slot.evicted() => {}
                () = &mut idle_timeout => {}
                () = std::future::ready(()), if closing => {}
            }
            // The connection is to be closed, unless a request has just arrived: closing would lose it.
            if connection::nothing_pending(&self.stream) {
                self.evicted = slot.is_evicted().then_some(slot);
                return false;
            }
            let received = self.input.read(&self.stream, || core.lag.max_wait()).await;
            return self.on_first_read(received);
        }
    }

    /// Frees buffers that have grown; for an idle connection.
    fn release_buffers(&mut self) {
        self.input.shrink();
        if self.out.capacity() > UNRESERVED_BYTES {
            self.out = Vec::new();
        }
    }

    /// Records the first read of a request; `received` is false at the end of the input.
    fn on_first_read(&mut self, received: bool) -> bool {
        self.reused = !self.awaits_first_request;
        received
    }

    async fn read_message(
        &mut self,
        core: &Core,
        table: &ClientTable,
        slot: &EvictionSlot,
    ) -> Result<Option<ReceivedRequest>, Rejection> {
        let head = loop {
            match http::parse_request_head(self.input.unconsumed())? {
                Some(head) => break head,
                None if !self.read_more(core, table, slot).await? => return Ok(None),
                None => {}
            }
        };
        let bytes = self.input.take(head.len);
        let max_body = match head.framing {
            Framing::Length(length) => length,
            Framing::Chunked | Framing::UntilClose => http::MAX_REQUEST_BODY,
        };
        let memory = reserve_request(table, slot, bytes.len() + max_body).await?;
        let mut body = BodyReader::new(head.framing, http::MAX_REQUEST_BODY);
        body.bytes.reserve_exact(max_body);
        loop {
            let progress = body.read(self.input.unconsumed())?;
            self.input.consume(progress.consumed);
            self.input.shrink();
            if progress.complete {
                break;
            }
            if !self.read_more(core, table, slot).await? {
                return Ok(None);
            }
        }
        let mut received = ReceivedRequest { head, bytes, body: body.bytes, memory };
        received.shrink();
        Ok(Some(received))
    }

    /// Reads more of a request; false at the end of the input.
    async fn read_more(
        &mut self,
        core: &Core,
        table: &ClientTable,
        slot: &EvictionSlot,
    ) -> Result<bool, Rejection> {
        if let Some(missing) = self.input.missing_memory() {
            let memory = table.reserve_memory(missing, slot).await;
            self.input.add_memory(memory.ok_or(Rejection::OUT_OF_MEMORY)?);
        }
        Ok(self.input.read(&self.stream, || core.lag.max_wait()).await)
    }

    /// Whether the connection closes after the response: because this was its last request, the process is shutting
    /// down or there are too many connections. In the latter two cases it stays open if more input has arrived, as
    /// another request behind this one counts as accepted.
    fn closes_after_response(&self, core: &Core, table: &ClientTable, last: bool) -> bool {
        let unwanted = core.draining.get() || (table.is_above_keep_alive() && !self.reused);
        last || unwanted && self.input.is_empty() && connection::nothing_pending(&self.stream)
    }

    /// Submits a request to the gateway and writes the response. True if the connection stays open.
    async fn handle_request(
        &mut self,
        core: &Rc<Core>,
        table: &ClientTable,
        client_id: Vec<u8>,
        (mut request, forwarded): (ClientRequest, ForwardedRequest),
        last: bool,
    ) -> bool {
        // The client's deadline counts from when it sent the request.
        let waited = self.input.time_since_arrival().as_micros() as Micros;
        // While the request waited to be accepted, or behind others on its connection, the client may have left.
        if self.input.client_has_left(&self.stream, core.lag.max_wait()).await {
            return self.write_rejection(core, &Rejection::CLIENT_LEFT, true).await;
        }
        request.time_left = request.time_left.saturating_sub(waited);
        if request.time_left == 0 {
            let close = self.closes_after_response(core, table, last);
            return self.write_rejection(core, &Rejection::DEADLINE_PASSED, close).await;
        }
        if !self.input.presence().is_known() {
            let close = self.closes_after_response(core, table, last);
            return self.write_rejection(core, &Rejection::TOO_MUCH_AHEAD, close).await;
        }
        let presence = self.input.presence().clone();
        let Some((id, mut response)) = core.submit(&client_id, request, forwarded, presence) else {
            self.invalid_requests += 1;
            let close = self.closes_after_response(core, table, last);
            return self.write_rejection(core, &Rejection::ID_IN_USE, close).await;
        };
        let response = loop {
            let news = tokio::select! {
                biased;
                response = &mut response => break response.unwrap_or(ClientResponse::Failed),
                // The client may send its next request early; the end of its input means that it has left.
                news = self.input.watch_client(&self.stream, || core.lag.max_wait()) => news,
            };
            match news {
                ClientNews::Left => {
                    let response = core.client_left(id);
                    return self.write_client_response(core, response, true).await;
                }
                // An attempt that has begun may still be answered; no other begins.
                ClientNews::Unknown => {
                    if let Some(refusal) = core.refuse_unsent(id) {
                        break refusal;
                    }
                }
            }
        };
        let close = self.closes_after_response(core, table, last);
        self.write_client_response(core, response, close).await
    }

    async fn write_client_response(&mut self, core: &Core, response: ClientResponse, close: bool) -> bool {
        match response {
            ClientResponse::Served(response) => {
                self.write_response(core, 200, &response.headers, close, &response.body).await
            }
            ClientResponse::Refused(wait) => {
                self.write_response(core, 429, &retry_after_header(core, wait), close, b"").await
            }
            ClientResponse::Failed => self.write_response(core, 502, b"", close, b"").await,
            ClientResponse::DeadlineExceeded => self.write_response(core, 504, b"", close, b"").await,
        }
    }

    /// Writes a response. True if the connection stays open.
    async fn write_response(
        &mut self,
        core: &Core,
        status: u16,
        headers: &[u8],
        close: bool,
        body: &[u8],
    ) -> bool {
        // The client may be slow to take the response, and may send further requests meanwhile.
        self.input.pause(core.lag.max_wait());
        self.out.clear();
        http::write_response_head(&mut self.out, status, headers, close, body.len());
        let write = write_message(&mut self.stream, &mut self.out, body);
        let written = matches!(timeout(RESPONSE_WRITE_TIMEOUT, write).await, Ok(Ok(())));
        if written {
            self.input.presence().set_seen();
        }
        written && !close
    }

    /// Closes the connection: first the sending side, then, after input was read for a bounded time, the rest, as a
    /// close with unread input resets the connection. That input is discarded: the end of the sending side has shown
    /// the client that no more requests are accepted.
    async fn close(&mut self, table: &Rc<ClientTable>, linger: Duration) {
        let _ = self.stream.shutdown().await;
        self.input.clear();
        let (slot, linger) = match self.evicted.take() {
            Some(evicted) => (evicted, SHORT_LINGER_TIMEOUT),
            None => (EvictionSlot::register(table, Phase::Closing), linger),
        };
        let mut buffer = Vec::with_capacity(UNRESERVED_BYTES);
        let discard = async {
            let mut total = 0;
            while total < 4 * http::MAX_REQUEST_BODY {
                buffer.clear();
                match read_some(&mut self.stream, &mut buffer).await {
                    Ok(n @ 1..) => total += n,
                    _ => return,
                }
            }
        };
        tokio::select! {
            _ = timeout(linger, discard) => {}
            () = slot.evicted(), if !slot.is_evicted() => {}
        }
    }
}

impl ReceivedRequest {
    /// Returns memory that the body might have needed.
    fn shrink(&mut self) {
        self.body.shrink_to_fit();
        let needed = self.bytes.len() + self.body.len();
        if needed <= UNRESERVED_BYTES {
            self.memory = None;
        }
        self.memory.iter_mut().for_each(|memory| memory.shrink_to(needed));
    }
}

/// Reserves memory for a request of up to this many bytes, if it may not do without.
async fn reserve_request(
    table: &ClientTable,
    slot: &EvictionSlot,
    bytes: usize,
) -> Result<Option<MemoryReservation>, Rejection> {
    if bytes <= UNRESERVED_BYTES {
        return Ok(None);
    }
    let memory = table.reserve_memory(bytes, slot).await;
    Ok(Some(memory.ok_or(Rejection::OUT_OF_MEMORY)?))
}

/// The Retry-After header, if the permissions allow it; empty if there is no wait to state.
fn retry_after_header(core: &Core, wait: Micros) -> Vec<u8> {
    let allow = &core.config.host_settings.settings.permissions;
    let wait = wait.min(allow.max_retry_after);
    let mut header = Vec::new();
    if wait > 0 && allow.send_retry_after {
        header.extend_from_slice(format!("Retry-After: {:.3}\r\n", wait as f64 / 1e6).as_bytes());
    }
    header
}
