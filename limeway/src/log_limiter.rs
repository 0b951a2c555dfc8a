//! A rate limit on warnings that could otherwise be logged with every request.

use std::cell::Cell;
use std::fmt;
use std::time::{Duration, Instant};

/// Logs at most one warning per second. The reader of standard error may be slow, and a write to a full pipe would
/// block the process's only thread.
#[derive(Default)]
pub struct LogLimiter {
    last: Cell<Option<Instant>>,
    suppressed: Cell<u64>,
}

impl LogLimiter {
    /// Logs a warning, or counts it as suppressed.
    pub fn warn(&self, text: fmt::Arguments) {
        if self.last.get().is_some_and(|last| last.elapsed() < Duration::from_secs(1)) {
            return self.suppressed.set(self.suppressed.get() + 1);
        }
        self.last.set(Some(Instant::now()));
        log::warn!("{text} ({} earlier warnings were suppressed)", self.suppressed.take());
    }
}
