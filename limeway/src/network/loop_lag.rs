//! An upper bound on the time that input just read had waited for the process's only thread.
//!
//! The system does not tell when a connection or its data arrived. But it had not arrived when the runtime last polled
//! the sockets, at the end of the thread's previous park. So it arrived either in the turn that followed, in which the
//! tasks ran, or during the latest park, which it would have ended at once. A park that lasts longer than the heartbeat
//! allows was no idle wait: the process was stopped, or the machine was busy. The excess counts as waiting time.
//!
//! As long as there are always tasks to run, the runtime polls the sockets without a park, and calls no hook. A task
//! that yields runs again right after such a poll, so in a long turn a task yields in order to record the poll.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::timeout;

/// A timer ends each park after this time at the latest.
const HEARTBEAT: Duration = Duration::from_millis(250);
/// Length of a turn, in microseconds, from which on the next poll is recorded by a task: far above a usual turn.
const LONG_TURN_US: u64 = 5_000;

/// Times of the event loop's turns and parks. Atomic, as the runtime requires that its hooks can be shared by threads.
#[derive(Debug)]
pub struct LoopLag {
    start: Instant,
    /// When the last park began, in microseconds since `start`.
    parked_at: AtomicU64,
    /// When the runtime last polled the sockets: at the end of that park, or later without one.
    polled_at: AtomicU64,
    /// Time by which that park exceeded the heartbeat, in microseconds.
    park_excess: AtomicU64,
    /// Upper bound on the time that input found by that poll had waited until then, in microseconds.
    wait_before_poll: AtomicU64,
    /// Notified when the present turn is long.
    long_turn: Notify,
}

impl LoopLag {
    /// Starts with no turn recorded.
    pub fn new() -> Arc<Self> {
        Arc::new(LoopLag {
            start: Instant::now(),
            parked_at: AtomicU64::new(0),
            polled_at: AtomicU64::new(0),
            park_excess: AtomicU64::new(0),
            wait_before_poll: AtomicU64::new(0),
            long_turn: Notify::new(),
        })
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    /// To be called when the thread is about to park.
    pub fn on_park(&self) {
        self.parked_at.store(self.now(), Ordering::Relaxed);
    }

    /// To be called when the thread resumes after a park.
    pub fn on_unpark(&self) {
        let (parked, polled) =
            (self.parked_at.load(Ordering::Relaxed), self.polled_at.load(Ordering::Relaxed));
        let now = self.now();
        let turn = parked.saturating_sub(polled);
        let excess = now.saturating_sub(parked).saturating_sub(HEARTBEAT.as_micros() as u64);
        // The signal that resumes a stopped process also ends its park, before any input is read. The input follows
        // after the next park, so the excess counts for that one too.
        let previous_excess = self.park_excess.swap(excess, Ordering::Relaxed);
        self.wait_before_poll.store(previous_excess + turn + excess, Ordering::Relaxed);
        self.polled_at.store(now, Ordering::Relaxed);
    }

    /// Records a poll without a park.
    fn on_poll(&self) {
        let now = self.now();
        let polled = self.polled_at.swap(now, Ordering::Relaxed);
        self.wait_before_poll.store(now.saturating_sub(polled), Ordering::Relaxed);
    }

    /// Upper bound on the time that input read now has waited.
    pub fn max_wait(&self) -> Duration {
        let turn = self.now().saturating_sub(self.polled_at.load(Ordering::Relaxed));
        if turn > LONG_TURN_US {
            self.long_turn.notify_one();
        }
        Duration::from_micros(self.wait_before_poll.load(Ordering::Relaxed) + turn)
    }

    /// Ends parks at the heartbeat and records polls in long turns; never returns.
    pub async fn run(self: Arc<Self>) {
        loop {
            if timeout(HEARTBEAT, self.long_turn.notified()).await.is_ok() {
                yield_now().await;
                self.on_poll();
            }
        }
    }
}
