//! How long what has just been read may have waited for the one thread.
//!
//! The system tells nothing of when a connection or its bytes came. But they were not there when the runtime last
//! looked, at the end of the park before the present one: so they came in the turn after that, or in the park, from
//! which they would have woken it. A park that lasts longer than the heartbeat lets it was no wait: the process was
//! stopped, or the machine busy.
//!
//! While there is always something to do the runtime looks without a park, and tells nobody. Then a task that has
//! yielded runs next after such a look, so one is let do so once a turn is long.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::timeout;

/// Time between two timers that do nothing but end a park.
const HEARTBEAT: Duration = Duration::from_millis(250);
/// Length of a turn, in microseconds, from which on it is asked when the runtime looks next: far above a usual turn.
const LONG_TURN: u64 = 5_000;

/// What is known of the turns of the runtime's loop. The runtime's hooks demand that it may be shared by threads.
#[derive(Debug)]
pub struct LoopLag {
    start: Instant,
    /// When the last park began, in microseconds since the start.
    parked: AtomicU64,
    /// When the runtime last looked for what has come: at the end of that park, or later without one.
    looked: AtomicU64,
    /// How much longer that park was than the heartbeat lets it, in microseconds.
    stopped: AtomicU64,
    /// Bound on the wait of what came up to that look, in microseconds.
    before: AtomicU64,
    /// The present turn is long.
    long_turn: Notify,
}

impl LoopLag {
    /// Nothing is known yet.
    pub fn new() -> Arc<Self> {
        Arc::new(LoopLag {
            start: Instant::now(),
            parked: AtomicU64::new(0),
            looked: AtomicU64::new(0),
            stopped: AtomicU64::new(0),
            before: AtomicU64::new(0),
            long_turn: Notify::new(),
        })
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    /// The thread is about to wait.
    pub fn on_park(&self) {
        self.parked.store(self.now(), Ordering::Relaxed);
    }

    /// The thread goes on.
    pub fn on_unpark(&self) {
        let (parked, looked) = (self.parked.load(Ordering::Relaxed), self.looked.load(Ordering::Relaxed));
        let now = self.now();
        let turn = parked.saturating_sub(looked);
        let stopped = now.saturating_sub(parked).saturating_sub(HEARTBEAT.as_micros() as u64);
        // The signal that lets a stopped process go on also ends its park, with nothing read: that is up to the next.
        let stopped_before = self.stopped.swap(stopped, Ordering::Relaxed);
        self.before.store(stopped_before + turn + stopped, Ordering::Relaxed);
        self.looked.store(now, Ordering::Relaxed);
    }

    /// The runtime has looked without a park.
    fn on_look(&self) {
        let now = self.now();
        let looked = self.looked.swap(now, Ordering::Relaxed);
        self.before.store(now.saturating_sub(looked), Ordering::Relaxed);
    }

    /// Bound on the time that what is read now has waited.
    pub fn bound(&self) -> Duration {
        let turn = self.now().saturating_sub(self.looked.load(Ordering::Relaxed));
        if turn > LONG_TURN {
            self.long_turn.notify_one();
        }
        Duration::from_micros(self.before.load(Ordering::Relaxed) + turn)
    }

    /// Ends parks in time and follows long turns, for ever.
    pub async fn watch(self: Arc<Self>) {
        loop {
            if timeout(HEARTBEAT, self.long_turn.notified()).await.is_ok() {
                yield_now().await;
                self.on_look();
            }
        }
    }
}
