//! Follows discovery: requests the list of servers, then watches it for changes, without end.
//!
//! The protocol treats the limiter as informed of a change some time after discovery had it and could be reached,
//! whatever became of earlier calls. So an overdue call is not waited for: another call starts on a connection of its
//! own, and the first response counts.
//!
//! The setting `discovery` has two modes. In ask mode, the gateway decides when the first call starts and when to retry
//! after a failure; only a watch that is overdue is followed by another call at once. In push mode, this follower
//! decides both.

use crate::config::Config;
use crate::core::Core;
use crate::discovery::catalog::ServerList;
use crate::network::connection::{ExchangeError, OutboundConnection, Response, ResponseLimits};
use crate::network::descriptors::{self, Owner};
use crate::network::http;
use crate::network::response_memory::ResponseMemory;
use pondgw::{Event, HostSettings, ListKind};
use std::cell::Cell;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{AbortHandle, Id, JoinSet};
use tokio::time::{sleep_until, timeout, Instant};

/// The protocol treats the limiter as informed of a change this long after discovery had it and could be reached
/// (protocol specification).
const INFORMED_AFTER: Duration = Duration::from_secs(6);
/// Time after which a response is overdue and another call starts: a quarter of `INFORMED_AFTER`. The hold time of a
/// watch, the time until it is overdue, and the time for the response to the next call then fit into `INFORMED_AFTER`.
const OVERDUE_AFTER: Duration = Duration::from_millis(1_500);
/// Time for which discovery holds a watch while there are no changes, in milliseconds: half of `INFORMED_AFTER`, see
/// `OVERDUE_AFTER`. A call with a shorter hold time is no watch.
const HOLD_MS: u64 = 3_000;
/// Hold time of the first call for changes, and of the first after a failure: its response shows that discovery can be
/// reached.
const FIRST_HOLD_MS: u64 = 1;
/// In push mode, a call that is not a watch is overdue after the drain grace divided by this. The agent of discovery,
/// which serves this mode, answers such a call at once, and the protocol treats the limiter as informed of whatever the
/// agent has.
const GRACE_DIVISOR: u32 = 2;
/// Largest number of concurrent calls: as many as can become overdue one after the other within `INFORMED_AFTER`.
const MAX_CALLS: usize = descriptors::MAX_DISCOVERY_CALLS;
/// Longest list that is read, in bytes for each megabyte of the memory limit: an eighth. A list is held once as read,
/// twice while the buffer grows, and then both as text and as rows. A row takes about 126 bytes, so 64 MB are enough
/// for a list of 60,000 servers.
const LIST_BYTES_PER_MB: f64 = 1024.0 * 1024.0 / 8.0;
/// First backoff after a failed call in push mode; it doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Upper bound on the backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// The backoff is also bounded by the drain grace divided by this, but never below `MIN_BACKOFF`.
const BACKOFF_GRACE_DIVISOR: u32 = 4;
/// Pause after a watch that was answered early with changes. Like `EARLY_UNCHANGED_PAUSE`, it is below the 200 ms
/// within which the next watch must start, and keeps the limiter from a busy loop if discovery does not hold watches.
const EARLY_CHANGES_PAUSE: Duration = Duration::from_millis(10);
/// Pause after a watch that was answered early without changes.
const EARLY_UNCHANGED_PAUSE: Duration = Duration::from_millis(100);

/// Follows discovery, without end, and across changes of its address.
pub async fn run(core: Rc<Core>) {
    let mut moved = false;
    loop {
        tokio::select! {
            biased;
            // A pending watch at the old address is dropped, and the whole list is requested at the new one.
            () = core.discovery_moved.notified() => moved = true,
            () = Follower::new(&core, moved).run() => {}
        }
    }
}

/// What happens next, if no call ends before.
#[derive(Clone, Copy)]
enum Next {
    /// A call starts at this time.
    Call(Instant),
    /// The newest call is overdue at this time.
    Overdue(Instant),
    /// A call starts when the gateway asks for one.
    OnRequest,
}

/// A list, and its connection if that can be reused.
type ListResponse = (ServerList, Option<OutboundConnection>);

/// Follows discovery at one address.
struct Follower<'a> {
    core: &'a Rc<Core>,
    /// Ask mode: the gateway decides when the first call starts, and when to retry after a failure. Otherwise push
    /// mode, in which this follower decides.
    ask_mode: bool,
    /// Version of the list held. `None` if the whole list must be requested.
    seq: Option<u64>,
    /// Hold time of the next call, in milliseconds.
    hold_ms: u64,
    conn: Option<OutboundConnection>,
    calls: JoinSet<io::Result<ListResponse>>,
    /// The pending calls, oldest first.
    pending: VecDeque<AbortHandle>,
    /// When the newest call started.
    started: Instant,
    next: Next,
    backoff: Duration,
}

impl<'a> Follower<'a> {
    fn new(core: &'a Rc<Core>, moved: bool) -> Self {
        let ask_mode = core.config.host_settings.settings.watch_discovery;
        // The gateway holds the list known at start, so the changes since then are enough, and cost discovery less than
        // the whole list. The first call has almost no hold time, as the limiter is not ready before its response.
        let known =
            core.config.known_servers.as_ref().filter(|list| !moved && list.whole && list.invalid_rows == 0);
        let now = Instant::now();
        Follower {
            core,
            ask_mode,
            seq: known.map(|list| list.seq),
            hold_ms: FIRST_HOLD_MS,
            conn: None,
            calls: JoinSet::new(),
            pending: VecDeque::new(),
            started: now,
            next: if ask_mode && !moved { Next::OnRequest } else { Next::Call(now) },
            backoff: MIN_BACKOFF,
        }
    }

    async fn run(mut self) {
        loop {
            let (on_request, at) = match self.next {
                Next::Call(at) | Next::Overdue(at) => (false, at),
                Next::OnRequest => (true, self.started),
            };
            tokio::select! {
                biased;
                Some(done) = self.calls.join_next_with_id() => match done {
                    Ok((_, Ok(response))) => self.on_response(response),
                    Ok((id, Err(e))) => self.on_failure(id, &e),
                    Err(e) => self.on_failure(e.id(), &io::Error::other("the call was aborted")),
                },
                () = self.core.watch_requested.notified(), if on_request => self.next = Next::Call(Instant::now()),
                () = sleep_until(at), if !on_request => match self.next {
                    Next::Call(_) => self.start_call(),
                    _ => self.on_overdue(),
                },
            }
        }
    }

    fn start_call(&mut self) {
        self.pending.retain(|call| !call.is_finished());
        // The oldest call may be the next to be answered, so the second oldest is aborted.
        if self.pending.len() >= MAX_CALLS {
            if let Some(call) = self.pending.remove(1) {
                call.abort();
            }
        }
        let (core, conn, seq, hold_ms) = (self.core.clone(), self.conn.take(), self.seq, self.hold_ms);
        self.pending.push_back(self.calls.spawn_local(call(core, conn, seq, hold_ms)));
        self.started = Instant::now();
        let hold_ms = self.seq.map(|_| self.hold_ms);
        self.next = Next::Overdue(self.started + overdue_after(&self.core.config.host_settings, hold_ms));
    }

    fn on_overdue(&mut self) {
        // The limiter soon counts as informed of changes that a silent watch misses. So another call starts at once,
        // even in ask mode.
        let is_watch = self.hold_ms == HOLD_MS;
        log::info!("discovery: no response after {:?}", self.started.elapsed());
        self.hold_ms = FIRST_HOLD_MS;
        if self.ask_mode && !is_watch {
            self.report_failure();
        } else {
            self.next = Next::Call(Instant::now());
        }
    }

    /// A call has failed. The failure counts only if it is the newest call.
    fn on_failure(&mut self, id: Id, error: &io::Error) {
        self.core.log_limiter.warn(format_args!("discovery: {error}"));
        if self.pending.back().is_none_or(|newest| newest.id() != id)
            || !matches!(self.next, Next::Overdue(_))
        {
            return;
        }
        self.hold_ms = FIRST_HOLD_MS;
        if self.ask_mode {
            self.report_failure();
        } else {
            self.back_off();
        }
    }

    fn report_failure(&mut self) {
        self.next = Next::OnRequest;
        self.core.handle_event(Event::Servers { kind: ListKind::Failed, entries: Vec::new() });
    }

    fn back_off(&mut self) {
        self.next = Next::Call(Instant::now() + self.backoff);
        let limit = Duration::from_micros(self.core.config.host_settings.drain_grace) / BACKOFF_GRACE_DIVISOR;
        let limit = if limit.is_zero() { MAX_BACKOFF } else { limit.clamp(MIN_BACKOFF, MAX_BACKOFF) };
        self.backoff = (self.backoff * 2).min(limit);
    }

    fn on_response(&mut self, (list, conn): ListResponse) {
        // The responses to the other calls are not needed any more.
        self.calls = JoinSet::new();
        self.pending.clear();
        self.conn = conn;
        let has_changes = if list.whole { self.seq != Some(list.seq) } else { !list.hosts.is_empty() };
        let early = self.started.elapsed() < Duration::from_millis(self.hold_ms) / 2;
        // A whole list with invalid rows is applied as changes: a server missing from it may be in an invalid row.
        if list.whole && list.invalid_rows == 0 {
            self.core.update_servers(ListKind::Full, &list);
        } else {
            // Applied even without changes, as the gateway derives the age of its list from it.
            self.core.update_servers(ListKind::Delta, &list);
        }
        self.core.ready.set(true);
        if list.invalid_rows > 0 {
            self.core
                .log_limiter
                .warn(format_args!("discovery: list with {} invalid rows", list.invalid_rows));
            (self.seq, self.hold_ms) = (None, FIRST_HOLD_MS);
            return self.back_off();
        }
        let pause = match (early, has_changes) {
            (false, _) => Duration::ZERO,
            (true, true) => EARLY_CHANGES_PAUSE,
            (true, false) => EARLY_UNCHANGED_PAUSE,
        };
        self.next = Next::Call(Instant::now() + pause);
        (self.seq, self.hold_ms, self.backoff) = (Some(list.seq), HOLD_MS, MIN_BACKOFF);
    }
}

/// Time after which a response is overdue, including the hold time if there is one.
fn overdue_after(host_settings: &HostSettings, hold_ms: Option<u64>) -> Duration {
    let grace = Duration::from_micros(host_settings.drain_grace) / GRACE_DIVISOR;
    // In ask mode, the calls of all limiters wait in one queue there.
    if host_settings.settings.watch_discovery || hold_ms == Some(HOLD_MS) || grace.is_zero() {
        return Duration::from_millis(hold_ms.unwrap_or_default()) + OVERDUE_AFTER;
    }
    grace.min(OVERDUE_AFTER)
}

/// Limits on lists: each call may hold one of the largest size, so that none is given up for another.
pub fn list_limits(config: &Config) -> ResponseLimits {
    // The cast turns a negative value or NaN into 0, and saturates above the largest `usize`.
    let max_body = ((config.memory_mb * LIST_BYTES_PER_MB) as usize).max(http::MAX_RESPONSE_BODY);
    let all_calls = MAX_CALLS.saturating_mul(max_body.saturating_add(2 * http::MAX_HEAD));
    ResponseLimits { max_body, memory: ResponseMemory::new(all_calls) }
}

/// Requests the whole list, or with `seq` the changes since that version, for which discovery waits up to `hold_ms`.
async fn call(
    core: Rc<Core>,
    idle: Option<OutboundConnection>,
    seq: Option<u64>,
    hold_ms: u64,
) -> io::Result<ListResponse> {
    let target = match seq {
        Some(seq) => format!("/catalog/members?from={seq}&hold_ms={hold_ms}"),
        None => "/catalog/members".to_owned(),
    };
    let message = format!("GET {target} HTTP/1.1\r\nHost: discovery\r\n\r\n");
    let limits = core.list_limits.clone();
    let max_bytes = limits.max_body;
    let exchange = async {
        let mut conn = match idle.filter(OutboundConnection::nothing_pending) {
            Some(conn) => conn,
            None => {
                let held = core.descriptors.try_acquire(Owner::Discovery);
                let held = held.ok_or_else(|| io::Error::other("the limit of open calls is reached"))?;
                OutboundConnection::connect(core.service_addresses.get().discovery, held, limits).await?
            }
        };
        conn.write(message.into_bytes(), &[], &Cell::new(false)).await?;
        let Response { head, body, reusable, .. } = conn.read_response().await.map_err(|e| match e {
            ExchangeError::Connection(e) => e,
            e => io::Error::other(format!("{e}; lists of up to {max_bytes} bytes are read")),
        })?;
        if head.status != 200 {
            return Err(io::Error::other(format!("status {}", head.status)));
        }
        let list = serde_json::from_slice(&body)?;
        Ok((list, reusable.then_some(conn)))
    };
    timeout(Duration::from_millis(hold_ms) + INFORMED_AFTER, exchange).await?
}

#[cfg(test)]
#[path = "../../tests/unit/follower.rs"]
mod tests;
