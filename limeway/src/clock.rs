//! The clock that the gateway is run by.

use pondgw::Micros;
use std::time::{Duration, Instant, SystemTime};

/// Counts microseconds since the Unix epoch, so that limiters agree on the time. The system time is read once, at the
/// start; from then on a monotonic clock advances it, so that it never jumps.
pub struct Clock {
    /// System time at the start.
    base: Micros,
    start: Instant,
}

impl Clock {
    /// Starts the clock at the system time.
    pub fn new() -> Self {
        let unix = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
        Clock { base: unix.as_micros() as Micros, start: Instant::now() }
    }

    /// The current time.
    pub fn now(&self) -> Micros {
        self.base + self.start.elapsed().as_micros() as Micros
    }

    /// Converts a time of this clock to one of the runtime's clock.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(self.base))
    }
}
