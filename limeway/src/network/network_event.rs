//! Events that attempts, counter calls and the socket for other limiters' datagrams report. These
//! parts are started by function calls; their events come back through a sink.

use crate::network::memory_pool::MemoryReservation;
use pondgw::{LoadReport, Micros, RequestId, Status};
use std::rc::Rc;

/// An event on the network.
pub enum NetworkEvent {
    /// An attempt has ended; its connection is closed or back in its pool.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        number: u32,
        /// Its result.
        result: AttemptResult,
    },
    /// A call to the counter has ended.
    Counted {
        /// Name of the count.
        name: u64,
        /// How it ended.
        status: Status,
        /// The total after the call; only with `Status::Ok`.
        total: f64,
        /// Time since the start of the call.
        latency: Micros,
    },
    /// A message from another limiter has arrived.
    PeerMessage {
        /// Number of that limiter.
        from: u32,
        /// The message.
        data: Vec<u8>,
    },
}

/// Receives events; each is handled before the call returns.
pub type EventSink = Rc<dyn Fn(NetworkEvent)>;

/// A server's 200 response: the headers that are passed on, and the body.
#[derive(Debug)]
pub struct ServedResponse {
    /// Complete header lines.
    pub headers: Vec<u8>,
    /// The body.
    pub body: Vec<u8>,
    /// Memory reserved for the body.
    pub _memory: Option<MemoryReservation>,
}

/// Result of an attempt.
pub struct AttemptResult {
    /// How it ended.
    pub status: Status,
    /// The response for the client, if the attempt succeeded.
    pub response: Option<ServedResponse>,
    /// The server's load report.
    pub load: LoadReport,
}

impl From<Status> for AttemptResult {
    fn from(status: Status) -> Self {
        AttemptResult { status, response: None, load: LoadReport::default() }
    }
}
