//! Whether a client is known to be connected.
//!
//! The end of a client's input shows only behind all that the client has sent. As long as all of that is read, the end
//! is reported when it comes. While input stays in the kernel, for want of memory or because none is read, a client that
//! has gone looks like one that waits. Then the client is known only to have been there when all input had last been
//! read, or when it was last sent a response: the system of a client that has gone answers that with a reset.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// An attempt may begin this long after its client was last known to be connected: half of the time after a client's
/// disconnect within which one may begin, as it takes some time to reach its server.
const MAX_UNSEEN_TIME: Duration = Duration::from_millis(50);

/// What is known of a client's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// All input has been read, so the end of the input is reported when it comes.
    Watched,
    /// There may be unread input. The client was connected at this time.
    LastSeen(Instant),
}

/// What is known of a client's connection, shared by those who read from it and those who act for the client.
#[derive(Debug)]
pub struct ClientPresence(Cell<State>);

impl ClientPresence {
    /// A client that was connected at this time.
    pub fn seen_at(at: Instant) -> Rc<Self> {
        Rc::new(ClientPresence(Cell::new(State::LastSeen(at))))
    }

    /// Records that all input has been read, and no end.
    pub fn set_watched(&self) {
        self.0.set(State::Watched);
    }

    /// Records that there may be unread input since this time.
    pub fn set_unwatched(&self, since: Instant) {
        if self.0.get() == State::Watched {
            self.0.set(State::LastSeen(since));
        }
    }

    /// Records that the client is connected now.
    pub fn set_seen(&self) {
        self.0.set(State::LastSeen(Instant::now()));
    }

    /// Whether an attempt may begin for the client.
    pub fn is_known(&self) -> bool {
        match self.0.get() {
            State::Watched => true,
            State::LastSeen(at) => at.elapsed() <= MAX_UNSEEN_TIME,
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/presence.rs"]
mod tests;
