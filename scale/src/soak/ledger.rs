//! What was asked, where it went and how it ended, and what that breaks.

use std::cell::RefCell;
use std::fmt;
use std::time::{Duration, Instant};

/// Time after its deadline within which an answer counts (fleet page), and what the measuring itself may add.
pub const ANSWER_SLACK: Duration = Duration::from_millis(500 + 250);
/// Time after a drain was told until which requests may go there (protocol page), and what the measuring may add.
const DRAIN_GRACE: Duration = Duration::from_millis(1_000 + 50 + 100);
/// Time after its client has left until which an attempt may begin, and what the measuring may add.
const LEAVE_GRACE: Duration = Duration::from_millis(100 + 50);
/// How much more than what is left may be told to a server, and what the measuring may add.
const TOLD_SLACK: Duration = Duration::from_millis(150 + 50);
/// Time for which servers drop the repeats of a keyed request.
pub const KEY_WINDOW: Duration = Duration::from_millis(1_000);
/// How much later than that a repeat may come (protocol page), and what the measuring may add.
const KEY_SLACK: Duration = Duration::from_millis(50 + 50);

/// What a request does when it is repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// Nothing.
    Look,
    /// Servers drop the repeat for a time.
    Book,
    /// It must not be repeated.
    Once,
}

/// A request as it came to a server.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// When its last byte had come.
    pub at: Instant,
    /// The time that the server was told.
    pub told: Duration,
    /// The server has turned it away, and said so.
    pub declined: bool,
}

/// How a request ended for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// With an answer of this status; whether its body was the one made for it.
    Answered(u16, bool),
    /// Its connection ended without an answer.
    Closed,
    /// Nothing came in time.
    Silent,
    /// It was not written whole.
    Unwritten,
}

/// One request.
#[derive(Debug, Clone)]
pub struct Request {
    /// What a repeat does.
    pub class: Class,
    /// Time that it has.
    pub deadline: Duration,
    /// When it was written.
    pub sent: Option<Instant>,
    /// Whether it was the first on its connection.
    pub first: bool,
    /// When its client ended its sending or closed.
    pub left: Option<Instant>,
    /// How it ended; nothing where the client did not wait for that.
    pub end: Option<End>,
    /// Where it went.
    pub arrivals: Vec<Arrival>,
}

/// All requests of a run, by number, and what else was seen.
#[derive(Debug, Default)]
pub struct Ledger {
    requests: RefCell<Vec<Request>>,
    /// Counts of what no request shows.
    pub seen: RefCell<Seen>,
}

/// Counts of what no request shows.
#[derive(Debug, Default, Clone, Copy)]
pub struct Seen {
    /// Requests that came to a server that had been told to drain for too long.
    pub drained: usize,
    /// Clients that stopped in the middle of a request and got neither an error nor a close in time.
    pub stuck: usize,
    /// Limiters that had not ended by themselves when they were killed.
    pub killed: usize,
    /// Limiters that ended with a failure, or were not ready in time.
    pub failed: usize,
}

impl Ledger {
    /// Takes in a new request; gives its number.
    pub fn open(&self, class: Class, deadline: Duration, first: bool) -> usize {
        let mut requests = self.requests.borrow_mut();
        requests.push(Request {
            class,
            deadline,
            sent: None,
            first,
            left: None,
            end: None,
            arrivals: Vec::new(),
        });
        requests.len() - 1
    }

    /// Changes a request.
    pub fn note(&self, number: usize, change: impl FnOnce(&mut Request)) {
        if let Some(request) = self.requests.borrow_mut().get_mut(number) {
            change(request);
        }
    }

    /// Notes that a request came to a server that drains since a time.
    pub fn arrived(&self, number: usize, arrival: Arrival, draining: Option<Instant>) {
        if draining.is_some_and(|since| arrival.at > since + DRAIN_GRACE) {
            self.seen.borrow_mut().drained += 1;
        }
        self.note(number, |request| request.arrivals.push(arrival));
    }

    /// What it all comes to. Amid a crowd new connections may be shut unread.
    pub fn verdict(&self, crowd: bool) -> Verdict {
        let mut verdict = Verdict { seen: *self.seen.borrow(), ..Verdict::default() };
        for (number, request) in self.requests.borrow().iter().enumerate() {
            let broken = verdict.add(request, crowd);
            if broken {
                log::warn!("request {number}: {request:?}");
            }
        }
        verdict
    }
}

/// Counts over all requests.
#[derive(Debug, Default)]
pub struct Verdict {
    asked: usize,
    answered: usize,
    served: usize,
    left: usize,
    crossed: usize,
    lost: usize,
    repeated: usize,
    misrouted: usize,
    overtold: usize,
    seen: Seen,
}

impl Verdict {
    /// Whether a rule was broken.
    pub fn is_broken(&self) -> bool {
        let Seen { drained, stuck, killed, failed } = self.seen;
        let requests = self.lost + self.repeated + self.misrouted + self.overtold;
        requests + drained + stuck + killed + failed > 0
    }

    /// Counts one request; true where it breaks a rule.
    fn add(&mut self, request: &Request, crowd: bool) -> bool {
        self.asked += 1;
        let arrived = !request.arrivals.is_empty();
        let mut lost = self.count_end(request, arrived || (request.first && !crowd));
        let after = |a: &Arrival| request.left.is_some_and(|left| a.at > left + LEAVE_GRACE);
        lost |= request.arrivals.iter().any(after);
        let repeated = is_repeated(request);
        let overtold = request.arrivals.iter().any(|arrival| is_overtold(request, arrival));
        let misrouted = matches!(request.end, Some(End::Answered(200, false)));
        self.lost += usize::from(lost);
        self.repeated += usize::from(repeated);
        self.overtold += usize::from(overtold);
        self.misrouted += usize::from(misrouted);
        lost || repeated || overtold || misrouted
    }

    /// Counts how a request ended; true where it was lost. `taken` tells whether a close without an answer loses it.
    fn count_end(&mut self, request: &Request, taken: bool) -> bool {
        match request.end {
            Some(End::Answered(status, _)) => {
                self.answered += 1;
                self.served += usize::from(status == 200);
            }
            Some(End::Silent) => return true,
            Some(End::Closed) if taken => return true,
            Some(End::Closed | End::Unwritten) => self.crossed += 1,
            None => self.left += 1,
        }
        false
    }
}

/// Whether a request came to servers more often than its class allows, or was refused though it may have run.
fn is_repeated(request: &Request) -> bool {
    let Some(ran) = request.arrivals.iter().position(|a| !a.declined) else { return false };
    let refused = matches!(request.end, Some(End::Answered(429 | 503, _)));
    match request.class {
        Class::Look => false,
        Class::Book => {
            let known = request.arrivals[ran].at + KEY_WINDOW + KEY_SLACK;
            request.arrivals[ran..].iter().any(|a| a.at > known)
        }
        Class::Once => refused || request.arrivals.len() > ran + 1,
    }
}

/// Whether a server was told of more time than the client had left.
fn is_overtold(request: &Request, arrival: &Arrival) -> bool {
    let Some(sent) = request.sent else { return false };
    arrival.told + arrival.at.saturating_duration_since(sent) > request.deadline + TOLD_SLACK
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Seen { drained, stuck, killed, failed } = self.seen;
        write!(
            f,
            "asked {}, answered {}, served {}, left {}, crossed {}; lost {}, repeated {}, misrouted {}, told too much \
             {}, sent to draining {drained}, stuck {stuck}, killed {killed}, failed {failed}",
            self.asked,
            self.answered,
            self.served,
            self.left,
            self.crossed,
            self.lost,
            self.repeated,
            self.misrouted,
            self.overtold
        )
    }
}
