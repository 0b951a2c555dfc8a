//! Record of all requests of a run: what was sent, which servers received it and how it ended. From it follows which
//! rules were broken.
//!
//! The last term of each grace period below is an allowance for inaccuracies of the measurement.

use std::cell::RefCell;
use std::fmt;
use std::time::{Duration, Instant};

/// Time after its deadline within which a request has to be answered (from the specification).
pub const ANSWER_GRACE: Duration = Duration::from_millis(500 + 250);
/// Time for which requests may reach a server after discovery has changed it to draining (from the specification).
const DRAIN_GRACE: Duration = Duration::from_millis(1_000 + 50 + 100);
/// Time for which an attempt may reach a server after its client has left.
const LEAVE_GRACE: Duration = Duration::from_millis(100 + 50);
/// How far the deadline that a server is given may lie after the client's.
const DEADLINE_GRACE: Duration = Duration::from_millis(150 + 50);
/// Time for which servers drop repeats of a keyed request.
pub const DEDUP_WINDOW: Duration = Duration::from_millis(1_000);
/// How much later than the window a repeat may reach a server (from the specification).
const DEDUP_GRACE: Duration = Duration::from_millis(50 + 50);

/// Classes of requests, by the effect of a repeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// A repeat has no effect; called `look` on the wire.
    Idempotent,
    /// Servers drop repeats within a window; called `book` on the wire.
    Keyed,
    /// It must not be repeated; called `once` on the wire.
    NonIdempotent,
}

/// An attempt, as a server received it.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// When the server had received all of it.
    pub at: Instant,
    /// Time to the deadline that the attempt gave the server.
    pub time_left: Duration,
    /// The server declined it, and said so in its answer.
    pub declined: bool,
}

/// How a request ended for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// With an answer.
    Answered {
        /// Status of the answer.
        status: u16,
        /// The body is the one that servers send for this request.
        own_body: bool,
    },
    /// The connection ended without a complete answer.
    Closed,
    /// No complete answer came in time.
    TimedOut,
    /// The request could not be written completely.
    WriteFailed,
}

/// One request.
#[derive(Debug, Clone)]
pub struct Request {
    /// Its class.
    pub class: Class,
    /// Its deadline, counted from when it was sent.
    pub deadline: Duration,
    /// When its client had written all of it.
    pub sent_at: Option<Instant>,
    /// Whether it was the first request on its connection.
    pub first_on_connection: bool,
    /// When its client disconnected or closed its sending side.
    pub left_at: Option<Instant>,
    /// How it ended; `None` if its client did not wait for the end.
    pub end: Option<End>,
    /// Its attempts that reached a server, in order.
    pub arrivals: Vec<Arrival>,
}

/// All requests of a run, by id, and further counts.
#[derive(Debug, Default)]
pub struct RequestLog {
    requests: RefCell<Vec<Request>>,
    /// Violations that are not recorded with a request.
    pub other_violations: RefCell<OtherViolations>,
}

/// Counts of violations that are not recorded with a request.
#[derive(Debug, Default, Clone, Copy)]
pub struct OtherViolations {
    /// Attempts that reached a server too long after it began to drain.
    pub sent_to_draining: usize,
    /// Stalled requests that were neither answered nor closed in time.
    pub stalls_kept_open: usize,
    /// Limiters that did not exit in time after SIGTERM and were killed.
    pub killed: usize,
    /// Limiters that exited with a failure, did not start or were not ready in time.
    pub failed: usize,
}

impl RequestLog {
    /// Adds a request and gives its id.
    pub fn add(&self, class: Class, deadline: Duration, first_on_connection: bool) -> usize {
        let mut requests = self.requests.borrow_mut();
        requests.push(Request {
            class,
            deadline,
            sent_at: None,
            first_on_connection,
            left_at: None,
            end: None,
            arrivals: Vec::new(),
        });
        requests.len() - 1
    }

    /// Changes the record of a request; an unknown id is ignored.
    pub fn update(&self, id: usize, change: impl FnOnce(&mut Request)) {
        if let Some(request) = self.requests.borrow_mut().get_mut(id) {
            change(request);
        }
    }

    /// Records that an attempt reached a server. `draining_since` is when the server began to drain, if it has.
    pub fn record_arrival(&self, id: usize, arrival: Arrival, draining_since: Option<Instant>) {
        if draining_since.is_some_and(|since| arrival.at > since + DRAIN_GRACE) {
            self.other_violations.borrow_mut().sent_to_draining += 1;
        }
        self.update(id, |request| request.arrivals.push(arrival));
    }

    /// Checks all requests, and logs those that break a rule. In a crowded run, where limiters are short of
    /// descriptors, they may close new connections unread.
    pub fn summarize(&self, crowded: bool) -> Summary {
        let mut summary = Summary { other_violations: *self.other_violations.borrow(), ..Summary::default() };
        for (id, request) in self.requests.borrow().iter().enumerate() {
            let violates = summary.add(request, crowded);
            if violates {
                log::warn!("request {id} breaks a rule: {request:?}");
            }
        }
        summary
    }
}

/// Counts over all requests of a run. Its text is the run's line in the output.
#[derive(Debug, Default)]
pub struct Summary {
    requests: usize,
    answered: usize,
    served: usize,
    /// Requests whose client did not wait for the end.
    abandoned: usize,
    /// Requests that crossed with the close of their connection, which is allowed.
    crossed_close: usize,
    /// Requests that should have been answered but were not, or of which an attempt began after the client had left.
    lost: usize,
    /// Requests that were repeated though their class forbids it.
    repeated: usize,
    /// Requests that got the answer to another request.
    misrouted: usize,
    /// Requests of which a server was given a deadline after the client's.
    deadline_too_late: usize,
    other_violations: OtherViolations,
}

impl Summary {
    /// Whether any rule was broken.
    pub fn has_violations(&self) -> bool {
        let OtherViolations { sent_to_draining, stalls_kept_open, killed, failed } = self.other_violations;
        let requests = self.lost + self.repeated + self.misrouted + self.deadline_too_late;
        requests + sent_to_draining + stalls_kept_open + killed + failed > 0
    }

    /// Counts one request; true if it breaks a rule.
    fn add(&mut self, request: &Request, crowded: bool) -> bool {
        self.requests += 1;
        // A limiter may close a kept-alive connection just as the next request arrives, but it has to answer a request
        // that it has forwarded, and the first one of each connection that it accepts.
        let was_forwarded = !request.arrivals.is_empty();
        let must_answer = was_forwarded || (request.first_on_connection && !crowded);
        let mut lost = self.count_end(request, must_answer);
        let after_leave = |a: &Arrival| request.left_at.is_some_and(|left_at| a.at > left_at + LEAVE_GRACE);
        lost |= request.arrivals.iter().any(after_leave);
        let repeated = is_wrongly_repeated(request);
        let deadline_too_late = request.arrivals.iter().any(|a| is_deadline_too_late(request, a));
        let misrouted = matches!(request.end, Some(End::Answered { status: 200, own_body: false }));
        self.lost += usize::from(lost);
        self.repeated += usize::from(repeated);
        self.deadline_too_late += usize::from(deadline_too_late);
        self.misrouted += usize::from(misrouted);
        lost || repeated || deadline_too_late || misrouted
    }

    /// Counts how a request ended; true if it was lost. `must_answer` tells whether it is lost when its connection
    /// closes without an answer.
    fn count_end(&mut self, request: &Request, must_answer: bool) -> bool {
        match request.end {
            Some(End::Answered { status, .. }) => {
                self.answered += 1;
                self.served += usize::from(status == 200);
            }
            Some(End::TimedOut) => return true,
            Some(End::Closed) if must_answer => return true,
            Some(End::Closed | End::WriteFailed) => self.crossed_close += 1,
            None => self.abandoned += 1,
        }
        false
    }
}

/// Whether a request breaks the rule of its class on repeats: too many of its attempts reached servers, or it must not
/// be repeated and was refused, which invites the client to repeat it, after a server may have executed it.
fn is_wrongly_repeated(request: &Request) -> bool {
    let Some(first_undeclined) = request.arrivals.iter().position(|a| !a.declined) else { return false };
    let refused = matches!(request.end, Some(End::Answered { status: 429 | 503, .. }));
    match request.class {
        Class::Idempotent => false,
        Class::Keyed => {
            let last_allowed = request.arrivals[first_undeclined].at + DEDUP_WINDOW + DEDUP_GRACE;
            request.arrivals[first_undeclined..].iter().any(|a| a.at > last_allowed)
        }
        Class::NonIdempotent => refused || request.arrivals.len() > first_undeclined + 1,
    }
}

/// Whether the deadline that an attempt gave a server lies after the client's.
fn is_deadline_too_late(request: &Request, arrival: &Arrival) -> bool {
    let Some(sent_at) = request.sent_at else { return false };
    arrival.time_left + arrival.at.saturating_duration_since(sent_at) > request.deadline + DEADLINE_GRACE
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let OtherViolations { sent_to_draining, stalls_kept_open, killed, failed } = self.other_violations;
        write!(
            f,
            "asked {}, answered {}, served {}, left {}, crossed {}; lost {}, repeated {}, misrouted {}, told too much \
             {}, sent to draining {sent_to_draining}, stuck {stalls_kept_open}, killed {killed}, failed {failed}",
            self.requests,
            self.answered,
            self.served,
            self.abandoned,
            self.crossed_close,
            self.lost,
            self.repeated,
            self.misrouted,
            self.deadline_too_late
        )
    }
}
