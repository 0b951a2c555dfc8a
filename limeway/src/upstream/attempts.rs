//! Sends attempts to servers and reports the outcome of each.

use crate::clients::presence::ClientPresence;
use crate::clock::Clock;
use crate::log_limiter::LogLimiter;
use crate::network::connection::{ExchangeError, OutboundConnection, Response, ResponseLimits, Surplus};
use crate::network::http;
use crate::network::memory_pool::MemoryReservation;
use crate::network::network_event::{AttemptResult, EventSink, NetworkEvent, ServedResponse};
use crate::network::response_memory::ResponseMemory;
use crate::upstream::servers::{Checkout, ServerPools};
use pondgw::{LoadReport, Micros, RequestId, ServerId, Status};
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::oneshot;
use tokio::task::yield_now;
use tokio::time::timeout;

/// A client's request in the form in which it is sent to servers.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// Request line and headers, without the empty line at the end and the headers that depend on the attempt.
    pub head: Vec<u8>,
    /// Body.
    pub body: Vec<u8>,
    /// Memory reserved for the request.
    pub _memory: Option<MemoryReservation>,
}

/// An attempt to be made.
pub struct AttemptSpec {
    /// Id of the request.
    pub id: RequestId,
    /// Number of the attempt within its request.
    pub number: u32,
    /// The server to send it to.
    pub server: ServerId,
    /// The request to send.
    pub request: Rc<ForwardedRequest>,
    /// Whether the client is known to be connected: if not, the request is not written.
    pub presence: Rc<ClientPresence>,
    /// Time by which the server has to answer, on the gateway's clock.
    pub deadline: Micros,
    /// Cleared when the request has ended or the attempt has been stopped: the request is not written after that.
    pub may_write: Rc<Cell<bool>>,
}

/// Makes attempts over connections of the pools.
pub struct AttemptRunner {
    pools: Rc<ServerPools>,
    clock: Rc<Clock>,
    log_limiter: Rc<LogLimiter>,
    response_limits: ResponseLimits,
    sink: EventSink,
}

impl AttemptRunner {
    /// A runner that reports the outcomes of attempts to the sink.
    pub fn new(
        pools: Rc<ServerPools>,
        clock: Rc<Clock>,
        log_limiter: Rc<LogLimiter>,
        memory: Rc<ResponseMemory>,
        sink: EventSink,
    ) -> Rc<Self> {
        let response_limits = ResponseLimits { max_body: http::MAX_RESPONSE_BODY, memory };
        Rc::new(AttemptRunner { pools, clock, log_limiter, response_limits, sink })
    }

    /// Makes an attempt and reports its outcome. A status received on `stopped` ends the attempt early. Its connection
    /// is closed before the outcome is reported, so that it cannot overlap with a further attempt.
    pub fn start(self: &Rc<Self>, spec: AttemptSpec, stopped: oneshot::Receiver<Status>) {
        self.pools.attempt_started(spec.server);
        let this = self.clone();
        tokio::task::spawn_local(async move {
            let written = Cell::new(false);
            let result = tokio::select! {
                biased;
                result = this.attempt(&spec, &written) => result,
                // If the request was not written completely, the server cannot have run it.
                status = stopped => {
                    if written.get() { status.unwrap_or(Status::Cancelled) } else { Status::NotSent }.into()
                }
            };
            (this.sink)(NetworkEvent::AttemptEnded { id: spec.id, number: spec.number, result });
            this.pools.attempt_ended(spec.server);
        });
    }

    /// Whether a body that is delimited by the end of its connection is complete, as far as that can be known: it must
    /// not be empty or contain a second response, and the server must still be up.
    fn is_complete(&self, server: ServerId, started: Instant, body: &[u8]) -> bool {
        !body.is_empty() && !http::contains_status_line(body) && self.pools.seems_up_since(server, started)
    }

    async fn attempt(&self, spec: &AttemptSpec, written: &Cell<bool>) -> AttemptResult {
        let (pools, started) = (&self.pools, Instant::now());
        let mut conn = match pools.take(spec.server) {
            Some(Checkout::Idle(conn)) => conn,
            Some(Checkout::Connect(address, held)) => {
                let conn = OutboundConnection::connect(address, held, self.response_limits.clone());
                match timeout(pools.connect_timeout, conn).await {
                    Ok(Ok(conn)) => {
                        // After a pause of this process, the runtime may find the connection established and at the
                        // same time an event that forbids this attempt. Tasks woken by such events run first.
                        yield_now().await;
                        conn
                    }
                    Ok(Err(e)) if is_local_error(&e) => {
                        self.log_limiter.warn(format_args!(
                            "server {}: cannot open a connection to {address}: {e}",
                            spec.server
                        ));
                        return Status::NotSent.into();
                    }
                    Ok(Err(e)) => {
                        log::debug!("server {}: connection to {address} failed: {e}", spec.server);
                        return Status::ConnectFailed.into();
                    }
                    Err(_) => {
                        log::debug!("server {}: connection to {address} timed out", spec.server);
                        return Status::ConnectFailed.into();
                    }
                }
            }
            // The server has no address, or this process has no connection left.
            None => return Status::NotSent.into(),
        };
        // While the connection was established, the client may have left, the attempt may have been stopped, or the
        // server may have been drained or replaced. Nothing is sent then; a connection that is still valid is kept.
        if !spec.may_write.get() || !spec.presence.is_known() {
            pools.give_back(spec.server, conn);
            return Status::NotSent.into();
        }
        if !pools.is_in_service_at(spec.server, conn.address) {
            return Status::NotSent.into();
        }
        // The time left is computed only now, as establishing the connection may have taken long.
        let time_left = spec.deadline.saturating_sub(self.clock.now());
        if let Err(e) = write_request(&mut conn, &spec.request, time_left, written).await {
            log::debug!("server {}: connection broke before the request was written: {e}", spec.server);
            // The request was not written completely, so the server cannot have run it.
            return Status::ConnectFailed.into();
        }
        let Response { head, bytes, body, memory, surplus, reusable, close_delimited } =
            match conn.read_response().await {
                Ok(response) => response,
                Err(ExchangeError::Connection(e)) => {
                    log::debug!("server {}: connection broke: {e}", spec.server);
                    pools.record_reset(spec.server);
                    return Status::Reset.into();
                }
                // The server is up and has run the request: only this connection is closed.
                Err(e) => {
                    log::debug!("server {}: {e}", spec.server);
                    return Status::Error.into();
                }
            };
        if close_delimited && head.status == 200 && !self.is_complete(spec.server, started, &body) {
            log::debug!("server {}: response without a length may be truncated", spec.server);
            return Status::Error.into();
        }
        // The bytes behind the body may be the rest of it, and a client could not tell that it is cut short.
        if surplus == Surplus::Other && head.status == 200 {
            log::debug!("server {}: surplus bytes behind the response, which may be truncated", spec.server);
            return Status::Error.into();
        }
        let declined = head.header(&bytes, "srv-declined") == Some(b"1");
        let status = match head.status {
            200 => Status::Ok,
            503 | 504 if declined => Status::Declined,
            _ => Status::Error,
        };
        if reusable {
            pools.give_back(spec.server, conn);
        }
        let response = (status == Status::Ok).then(|| {
            let mut headers = Vec::new();
            head.copy_headers(&bytes, &FORWARDED_HEADERS, &mut headers);
            ServedResponse { headers, body, _memory: memory }
        });
        let load = head.header(&bytes, "srv-load").map(parse_load_report).unwrap_or_default();
        AttemptResult { status, response, load }
    }
}

/// Parses a load report. Invalid pairs are ignored, as the response itself is valid.
fn parse_load_report(text: &[u8]) -> LoadReport {
    let mut load = LoadReport::default();
    for pair in std::str::from_utf8(text).unwrap_or_default().split(',') {
        if let Some((name, value)) = pair.split_once('=') {
            if let Ok(value) = value.trim().parse() {
                load.set_metric(name.trim(), value);
            }
        }
    }
    load
}

/// Headers of a server's response that are forwarded to the client: those that describe the body or control caches.
const FORWARDED_HEADERS: [&str; 7] = [
    "content-type",
    "content-encoding",
    "content-language",
    "cache-control",
    "etag",
    "last-modified",
    "vary",
];

/// System errors caused by a lack of resources in this process or on this machine, and not by the server.
const LOCAL_ERRORS: [i32; 6] =
    [libc::EMFILE, libc::ENFILE, libc::EADDRNOTAVAIL, libc::ENOBUFS, libc::ENOMEM, libc::EAGAIN];

/// Whether a connection failed because this process or machine lacks resources.
fn is_local_error(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|code| LOCAL_ERRORS.contains(&code))
}

/// Writes a request to a server, with the headers that depend on the attempt; sets `written` once its last byte is
/// handed to the system.
async fn write_request(
    conn: &mut OutboundConnection,
    request: &ForwardedRequest,
    time_left: Micros,
    written: &Cell<bool>,
) -> io::Result<()> {
    let mut digits = itoa::Buffer::new();
    let mut message = Vec::with_capacity(request.head.len() + 64);
    message.extend_from_slice(&request.head);
    message.extend_from_slice(b"Req-Deadline-Ms: ");
    message.extend_from_slice(digits.format((time_left / 1_000).max(1)).as_bytes());
    if !request.body.is_empty() || request.head.starts_with(b"POST") {
        message.extend_from_slice(b"\r\nContent-Length: ");
        message.extend_from_slice(digits.format(request.body.len()).as_bytes());
    }
    message.extend_from_slice(b"\r\n\r\n");
    conn.write(message, &request.body, written).await
}

#[cfg(test)]
#[path = "../../tests/unit/attempts.rs"]
mod tests;
