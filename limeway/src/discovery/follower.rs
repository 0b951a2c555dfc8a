//! Discovery: asked for the list of servers, then watched for its changes, for ever.
//!
//! What discovery has counts as told some time after it had it and could be reached, whatever became of the calls
//! before. So a call that is not answered in time is not waited out: another begins beside it on a connection of its
//! own, and the first answer counts. Where discovery must be asked, the module says when, but for a watch that has
//! fallen silent.

use crate::core::Core;
use crate::discovery::catalog::ServerList;
use crate::network::connection::{ExchangeError, OutboundConnection, Response};
use crate::network::descriptors::{self, Owner};
use crate::network::http;
use pondgw::{Event, HostSettings, ListKind};
use std::cell::Cell;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{AbortHandle, Id, JoinSet};
use tokio::time::{sleep_until, timeout, Instant};

/// What discovery has counts as told so long after it had it and could be reached (protocol page).
const NOTIFIED_AFTER: Duration = Duration::from_secs(6);
/// Time after which an answer is late, and another call begins: a quarter of the time above, so that a watch with
/// its wait, the time in which it is late, and the time for the answer to the next call stay within it.
const LATE: Duration = Duration::from_millis(1_500);
/// How long a watch waits for changes, in milliseconds: half of the time above, see there.
const HOLD_MS: u64 = 3_000;
/// The same for the first one, and for the first after a failure: its answer shows that it is heard.
const FIRST_HOLD_MS: u64 = 1;
/// Part of the time of grace for drains after which a call is late that has nothing to wait for, where lists are
/// pushed: its agent answers at once, and what the agent has counts as told from the first moment on.
const GRACE_PART: u32 = 2;
/// Calls under way at most: as many as may be late one after the other within the time above.
const CALLS_MOST: usize = descriptors::MAX_DISCOVERY_CALLS;
/// Bytes that a list may have as it comes, for each megabyte of the memory limit: an eighth, as it is held once as
/// it is read, twice while that grows, and then as text and as rows. A row has some 126 bytes, so 64 MB bear a list
/// of 60,000 servers.
const LIST_PART: f64 = 1024.0 * 1024.0 / 8.0;
/// Wait after a call that failed where lists are pushed: at first, and at most after doubling.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));
/// Part of the time of grace that this wait may take.
const BACKOFF_PART: u32 = 4;
/// Wait after a watch that was answered early, with news and without: less than the 200 ms within which it goes on,
/// and enough that a discovery which keeps none waiting is not asked in a spin.
const EARLY_PAUSE: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(100));

/// Follows discovery, for ever, also to another address.
pub async fn run(core: Rc<Core>) {
    let mut moved = false;
    loop {
        tokio::select! {
            biased;
            // The old agent is told no more: a pending watch is given up, and the whole list is asked of the new.
            () = core.discovery_moved.notified() => moved = true,
            () = Follower::new(&core, moved).run() => {}
        }
    }
}

/// What is due next.
#[derive(Clone, Copy)]
enum Next {
    /// A call begins.
    Begin(Instant),
    /// The newest call is late.
    Late(Instant),
    /// A call begins when the module says so.
    OnRequest,
}

/// A list, and the connection that it came on if that can be used again.
type Answer = (ServerList, Option<OutboundConnection>);

/// Follows discovery at one address.
struct Follower<'a> {
    core: &'a Rc<Core>,
    ask: bool,
    /// The version held; nothing where only the whole list will do.
    seq: Option<u64>,
    /// How long the next call waits for changes, in milliseconds.
    hold_ms: u64,
    conn: Option<OutboundConnection>,
    calls: JoinSet<io::Result<Answer>>,
    /// The calls under way, the oldest first.
    order: VecDeque<AbortHandle>,
    /// When the newest began.
    began: Instant,
    next: Next,
    backoff: Duration,
}

impl<'a> Follower<'a> {
    fn new(core: &'a Rc<Core>, moved: bool) -> Self {
        let ask = core.config.host_settings.settings.watch_discovery;
        // What was known at the start is what the module holds: changes since then are enough, and cost discovery
        // less than the whole list. They are asked for without a wait, as the limiter is not ready before.
        let known =
            core.config.known_servers.as_ref().filter(|list| !moved && list.whole && list.invalid_rows == 0);
        let now = Instant::now();
        Follower {
            core,
            ask,
            seq: known.map(|list| list.seq),
            hold_ms: FIRST_HOLD_MS,
            conn: None,
            calls: JoinSet::new(),
            order: VecDeque::new(),
            began: now,
            next: if ask && !moved { Next::OnRequest } else { Next::Begin(now) },
            backoff: BACKOFF.0,
        }
    }

    async fn run(mut self) {
        loop {
            let (on_request, at) = match self.next {
                Next::Begin(at) | Next::Late(at) => (false, at),
                Next::OnRequest => (true, self.began),
            };
            tokio::select! {
                biased;
                Some(done) = self.calls.join_next_with_id() => match done {
                    Ok((_, Ok(answer))) => self.on_answer(answer),
                    Ok((id, Err(e))) => self.on_failure(id, &e),
                    Err(e) => self.on_failure(e.id(), &io::Error::other("the call was ended")),
                },
                () = self.core.watch_requested.notified(), if on_request => self.next = Next::Begin(Instant::now()),
                () = sleep_until(at), if !on_request => match self.next {
                    Next::Begin(_) => self.begin(),
                    _ => self.on_late(),
                },
            }
        }
    }

    fn begin(&mut self) {
        self.order.retain(|call| !call.is_finished());
        // The oldest may be the next to be answered; of the others the one that began first goes.
        if self.order.len() >= CALLS_MOST {
            if let Some(call) = self.order.remove(1) {
                call.abort();
            }
        }
        let (core, conn, seq, hold_ms) = (self.core.clone(), self.conn.take(), self.seq, self.hold_ms);
        self.order.push_back(self.calls.spawn_local(call(core, conn, seq, hold_ms)));
        self.began = Instant::now();
        let held = self.seq.map(|_| self.hold_ms);
        self.next = Next::Late(self.began + late_after(&self.core.config.host_settings, held));
    }

    /// The newest call is late.
    fn on_late(&mut self) {
        // What a silent watch misses soon counts as told, so it is opened anew at once, where discovery must be
        // asked, too.
        let watch = self.hold_ms == HOLD_MS;
        log::info!("discovery: no answer after {:?}", self.began.elapsed());
        self.hold_ms = FIRST_HOLD_MS;
        if self.ask && !watch {
            self.report_failure();
        } else {
            self.next = Next::Begin(Instant::now());
        }
    }

    /// A call has failed. Only the newest tells how things stand.
    fn on_failure(&mut self, id: Id, error: &io::Error) {
        self.core.log_limiter.warn(format_args!("discovery: {error}"));
        if self.order.back().is_none_or(|newest| newest.id() != id) || !matches!(self.next, Next::Late(_)) {
            return;
        }
        self.hold_ms = FIRST_HOLD_MS;
        if self.ask {
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
        self.next = Next::Begin(Instant::now() + self.backoff);
        let grace = Duration::from_micros(self.core.config.host_settings.drain_grace) / BACKOFF_PART;
        let most = if grace.is_zero() { BACKOFF.1 } else { grace.clamp(BACKOFF.0, BACKOFF.1) };
        self.backoff = (self.backoff * 2).min(most);
    }

    fn on_answer(&mut self, (list, conn): Answer) {
        // The others are of no more use.
        self.calls = JoinSet::new();
        self.order.clear();
        self.conn = conn;
        let news = if list.whole { self.seq != Some(list.seq) } else { !list.hosts.is_empty() };
        let early = self.began.elapsed() < Duration::from_millis(self.hold_ms) / 2;
        // Changes refer to the list held; the whole list stands for itself, unless some of it cannot be read:
        // whoever is not named then may well be there.
        if list.whole && list.invalid_rows == 0 {
            self.core.update_servers(ListKind::Full, &list);
        } else {
            // Also where nothing has changed: the module knows by that how old news can be.
            self.core.update_servers(ListKind::Delta, &list);
        }
        self.core.ready.set(true);
        if list.invalid_rows > 0 {
            self.core.log_limiter.warn(format_args!("discovery: {} rows make no sense", list.invalid_rows));
            (self.seq, self.hold_ms) = (None, FIRST_HOLD_MS);
            return self.back_off();
        }
        let pause = match (early, news) {
            (false, _) => Duration::ZERO,
            (true, true) => EARLY_PAUSE.0,
            (true, false) => EARLY_PAUSE.1,
        };
        self.next = Next::Begin(Instant::now() + pause);
        (self.seq, self.hold_ms, self.backoff) = (Some(list.seq), HOLD_MS, BACKOFF.0);
    }
}

/// Time after which an answer is late, of a watch with its wait or of a call without one.
fn late_after(setup: &HostSettings, hold_ms: Option<u64>) -> Duration {
    let grace = Duration::from_micros(setup.drain_grace) / GRACE_PART;
    // Where discovery must be asked, calls of all limiters wait in one line there.
    if setup.settings.watch_discovery || hold_ms == Some(HOLD_MS) || grace.is_zero() {
        return Duration::from_millis(hold_ms.unwrap_or_default()) + LATE;
    }
    grace.min(LATE)
}

/// Longest list that is read, in bytes.
fn list_most(core: &Core) -> usize {
    // A figure that makes no sense becomes nought, or the most that there is.
    ((core.config.memory_mb * LIST_PART) as usize).max(http::MAX_RESPONSE_BODY)
}

/// Asks for the whole list, or for what is newer than the version held, waiting so long for it.
async fn call(
    core: Rc<Core>,
    kept: Option<OutboundConnection>,
    seq: Option<u64>,
    hold_ms: u64,
) -> io::Result<Answer> {
    let target = match seq {
        Some(seq) => format!("/catalog/members?from={seq}&hold_ms={hold_ms}"),
        None => "/catalog/members".to_owned(),
    };
    let message = format!("GET {target} HTTP/1.1\r\nHost: discovery\r\n\r\n");
    let most = list_most(&core);
    let exchange = async {
        let mut open = match kept.filter(OutboundConnection::nothing_pending) {
            Some(open) => open,
            None => {
                let held = core.descriptors.try_acquire(Owner::Discovery);
                let held = held.ok_or_else(|| io::Error::other("all calls that may be open are"))?;
                OutboundConnection::connect_with_body_limit(
                    core.service_addresses.get().discovery,
                    held,
                    most,
                )
                .await?
            }
        };
        open.write(message.as_bytes(), &Cell::new(false)).await?;
        let Response { head, body, reusable, .. } = open.read_response().await.map_err(|e| match e {
            ExchangeError::Connection(e) => e,
            e => io::Error::other(format!("{e}; lists of up to {most} bytes are read")),
        })?;
        if head.status != 200 {
            return Err(io::Error::other(format!("status {}", head.status)));
        }
        let list = serde_json::from_slice(&body)?;
        Ok((list, reusable.then_some(open)))
    };
    timeout(Duration::from_millis(hold_ms) + NOTIFIED_AFTER, exchange).await?
}

#[cfg(test)]
#[path = "../../tests/unit/follower.rs"]
mod tests;
