//! What the parts that talk to the network report: commands go down to them as calls, events come up through a sink.

use pondgw::{Load, Micros, RequestId, Status};
use std::rc::Rc;

/// Something that has happened on the network.
pub enum NetworkEvent {
    /// An attempt has ended; its connection is closed or back in its pool.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        number: u32,
        /// How it ended.
        result: AttemptResult,
    },
    /// A call to the counter has ended.
    Counted {
        /// The number that was counted on.
        name: u64,
        /// How it ended.
        status: Status,
        /// The total, where it ended well.
        total: f64,
        /// Time from its start, in microseconds.
        latency: Micros,
    },
    /// Another limiter has sent a message.
    PeerMessage {
        /// Its number.
        from: u32,
        /// The message.
        data: Vec<u8>,
    },
}

/// Where events go; each is taken in before the call returns.
pub type EventSink = Rc<dyn Fn(NetworkEvent)>;

/// A server's 200: headers worth passing on, and the body.
#[derive(Debug)]
pub struct ServedResponse {
    /// Whole header lines.
    pub headers: Vec<u8>,
    /// The body.
    pub body: Vec<u8>,
}

/// How an attempt ended.
pub struct AttemptResult {
    /// Its outcome.
    pub status: Status,
    /// The answer that goes to the client.
    pub response: Option<ServedResponse>,
    /// What the server said of its load.
    pub load: Load,
}

impl From<Status> for AttemptResult {
    fn from(status: Status) -> Self {
        AttemptResult { status, response: None, load: Load::default() }
    }
}
