//! How long what has just been read may have waited for the one thread.
//!
//! The system tells nothing of when a connection or its bytes came. But they were not there when the runtime last
//! looked, at the end of the park before the present one: so they came in the turn after that, or in the park, from
//! which they would have woken it. A park that lasts longer than the heartbeat lets it was no wait: the process was
//! stopped, or the machine busy.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time between two timers that do nothing but end a park.
const HEARTBEAT: Duration = Duration::from_millis(250);

/// What is known of the turns of the runtime's loop. The runtime's hooks demand that it may be shared by threads.
#[derive(Debug)]
pub struct LoopLag {
    start: Instant,
    /// When the last park began, in microseconds since the start.
    parked: AtomicU64,
    /// When it ended.
    unparked: AtomicU64,
    /// How much longer that park was than the heartbeat lets it, in microseconds.
    stopped: AtomicU64,
    /// Bound on the wait of what came up to its end, in microseconds.
    before: AtomicU64,
}

impl LoopLag {
    /// Nothing is known yet.
    pub fn new() -> Arc<Self> {
        Arc::new(LoopLag {
            start: Instant::now(),
            parked: AtomicU64::new(0),
            unparked: AtomicU64::new(0),
            stopped: AtomicU64::new(0),
            before: AtomicU64::new(0),
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
        let (parked, unparked) = (self.parked.load(Ordering::Relaxed), self.unparked.load(Ordering::Relaxed));
        let now = self.now();
        let turn = parked.saturating_sub(unparked);
        let stopped = now.saturating_sub(parked).saturating_sub(HEARTBEAT.as_micros() as u64);
        // The signal that lets a stopped process go on also ends its park, with nothing read: that is up to the next.
        let stopped_before = self.stopped.swap(stopped, Ordering::Relaxed);
        self.before.store(stopped_before + turn + stopped, Ordering::Relaxed);
        self.unparked.store(now, Ordering::Relaxed);
    }

    /// Bound on the time that what is read now has waited.
    pub fn bound(&self) -> Duration {
        let turn = self.now().saturating_sub(self.unparked.load(Ordering::Relaxed));
        Duration::from_micros(self.before.load(Ordering::Relaxed) + turn)
    }
}

/// Ends parks, for ever.
pub async fn beat() {
    loop {
        tokio::time::sleep(HEARTBEAT).await;
    }
}
