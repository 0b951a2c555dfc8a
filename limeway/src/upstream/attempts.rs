//! Attempts at servers, and the outcome of each.

use crate::clock::Clock;
use crate::log_limiter::LogLimiter;
use crate::network::connection::{ExchangeError, OutboundConnection, Response};
use crate::network::http;
use crate::network::network_event::{AttemptResult, EventSink, NetworkEvent, ServedResponse};
use crate::upstream::servers::{Pools, Taken};
use pondgw::{LoadReport, Micros, RequestId, ServerId, Status};
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::oneshot;
use tokio::task::yield_now;
use tokio::time::timeout;

/// A client's request as it goes on to servers.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// Request line and headers, without the last empty line and what depends on the attempt.
    pub head: Vec<u8>,
    /// The body.
    pub body: Vec<u8>,
}

/// An attempt to be made.
pub struct NewAttempt {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt.
    pub number: u32,
    /// Where it goes.
    pub server: ServerId,
    /// What is sent.
    pub request: Rc<ForwardedRequest>,
    /// Until when an answer is waited for, by the module's clock.
    pub deadline: Micros,
    /// Cleared once its request is over or it has been told to end: nothing is written from then on.
    pub may_send: Rc<Cell<bool>>,
}

/// Makes attempts over the pools' connections.
pub struct AttemptRunner {
    pools: Rc<Pools>,
    clock: Rc<Clock>,
    log_limiter: Rc<LogLimiter>,
    sink: EventSink,
}

impl AttemptRunner {
    /// Attempts over these pools, whose ends go to the sink.
    pub fn new(pools: Rc<Pools>, clock: Rc<Clock>, log_limiter: Rc<LogLimiter>, sink: EventSink) -> Rc<Self> {
        Rc::new(AttemptRunner { pools, clock, log_limiter, sink })
    }

    /// Makes an attempt and reports how it ended. `stopped` ends it before its time: its connection is closed by the
    /// time of the report, so that no further attempt can overlap with it.
    pub fn start(self: &Rc<Self>, start: NewAttempt, stopped: oneshot::Receiver<Status>) {
        self.pools.count_out(start.server, true);
        let this = self.clone();
        tokio::task::spawn_local(async move {
            let written = Cell::new(false);
            let result = tokio::select! {
                biased;
                result = this.attempt(&start, &written) => result,
                // Stopped before its last byte was handed over, it cannot have run.
                status = stopped => {
                    if written.get() { status.unwrap_or(Status::Cancelled) } else { Status::NotSent }.into()
                }
            };
            (this.sink)(NetworkEvent::AttemptEnded { id: start.id, number: start.number, result });
            this.pools.count_out(start.server, false);
        });
    }

    /// Whether a body that ended with its connection is the whole answer to its request, as far as that can be told:
    /// it is if the server lives on, and if no second answer is hidden in it.
    fn is_whole(&self, server: ServerId, began: Instant, body: &[u8]) -> bool {
        !body.is_empty() && !http::contains_status_line(body) && self.pools.is_alive(server, began)
    }

    async fn attempt(&self, start: &NewAttempt, written: &Cell<bool>) -> AttemptResult {
        let (pools, began) = (&self.pools, Instant::now());
        let mut conn = match pools.take(start.server) {
            Some(Taken::Kept(conn)) => conn,
            Some(Taken::ToOpen(address, held)) => {
                match timeout(pools.dial_timeout, OutboundConnection::connect(address, held)).await {
                    Ok(Ok(conn)) => {
                        // What came with the connection may speak against this attempt: a process that was held up
                        // finds both at once. So the others that the same look at the network woke run first.
                        yield_now().await;
                        conn
                    }
                    Ok(Err(e)) if is_own_limit(&e) => {
                        self.log_limiter.warn(format_args!("no connection to server {}: {e}", start.server));
                        return Status::NotSent.into();
                    }
                    Ok(Err(e)) => {
                        log::debug!("server {} at {address} takes no connection: {e}", start.server);
                        return Status::ConnectFailed.into();
                    }
                    Err(_) => {
                        log::debug!("server {} at {address} takes no connection in time", start.server);
                        return Status::ConnectFailed.into();
                    }
                }
            }
            // No address, or all connections that this process may hold are busy.
            None => return Status::NotSent.into(),
        };
        // While the connection came up the client may have left, the attempt may have been told to end, and the
        // server may have been drained or replaced: nothing is sent on then, and what is sound is kept for others.
        if !start.may_send.get() {
            pools.give_back(start.server, conn);
            return Status::NotSent.into();
        }
        if !pools.serves(start.server, conn.address) {
            return Status::NotSent.into();
        }
        // What is left now: the connection may have taken long to come up.
        let message = message(&start.request, start.deadline.saturating_sub(self.clock.now()));
        if let Err(e) = conn.write(&message, written).await {
            log::debug!("server {} broke off before the request was written: {e}", start.server);
            // Broke before the last byte was handed over: it cannot have run.
            return Status::ConnectFailed.into();
        }
        let Response { head, bytes, body, reusable, close_delimited } = match conn.read_response().await {
            Ok(reply) => reply,
            Err(ExchangeError::Connection(e)) => {
                log::debug!("server {} broke off: {e}", start.server);
                pools.note_reset(start.server);
                return Status::Reset.into();
            }
            // The server is well and has run the request: this connection goes, the others stay.
            Err(e) => {
                log::debug!("server {}: {e}", start.server);
                return Status::Error.into();
            }
        };
        if close_delimited && head.status == 200 && !self.is_whole(start.server, began, &body) {
            log::debug!("server {}: an answer without a length may have been cut", start.server);
            return Status::Error.into();
        }
        let declined = head.header(&bytes, "srv-declined") == Some(b"1");
        let status = match head.status {
            200 => Status::Ok,
            503 | 504 if declined => Status::Declined,
            _ => Status::Error,
        };
        if reusable {
            pools.give_back(start.server, conn);
        }
        let response = (status == Status::Ok).then(|| {
            let mut headers = Vec::new();
            head.copy_headers(&bytes, &PASSED_BACK, &mut headers);
            ServedResponse { headers, body }
        });
        let load = head.header(&bytes, "srv-load").map(load).unwrap_or_default();
        AttemptResult { status, response, load }
    }
}

/// Reads a load report. Pairs that cannot be read are passed over: the answer itself is good.
fn load(text: &[u8]) -> LoadReport {
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

/// Headers of an answer that go to the client: they tell how to read the body, or concern caches.
const PASSED_BACK: [&str; 7] = [
    "content-type",
    "content-encoding",
    "content-language",
    "cache-control",
    "etag",
    "last-modified",
    "vary",
];

/// System errors that speak of what this process or machine has run out of, not of the server.
const OWN_LIMITS: [i32; 6] =
    [libc::EMFILE, libc::ENFILE, libc::EADDRNOTAVAIL, libc::ENOBUFS, libc::ENOMEM, libc::EAGAIN];

/// Whether a connection failed for want of something on this machine.
fn is_own_limit(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|code| OWN_LIMITS.contains(&code))
}

/// The bytes of an attempt: the client's request, with the time that is left.
fn message(forward: &ForwardedRequest, left: Micros) -> Vec<u8> {
    let mut digits = itoa::Buffer::new();
    let mut message = Vec::with_capacity(forward.head.len() + forward.body.len() + 64);
    message.extend_from_slice(&forward.head);
    message.extend_from_slice(b"Req-Deadline-Ms: ");
    message.extend_from_slice(digits.format((left / 1_000).max(1)).as_bytes());
    if !forward.body.is_empty() || forward.head.starts_with(b"POST") {
        message.extend_from_slice(b"\r\nContent-Length: ");
        message.extend_from_slice(digits.format(forward.body.len()).as_bytes());
    }
    message.extend_from_slice(b"\r\n\r\n");
    message.extend_from_slice(&forward.body);
    message
}

#[cfg(test)]
#[path = "../../tests/unit/attempts.rs"]
mod tests;
