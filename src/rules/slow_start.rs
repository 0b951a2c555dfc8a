//! Slow start: each gateway sends a cold server no more than its own share of what the server can take
//! without failing.

use crate::interface::{Micros, ServerRules, SECONDS_PER_MICRO};
use crate::state::*;

/// Share that is used of the load at which a cold server fails. The rest covers uneven gateways and chance.
const LOAD_SHARE: f64 = 0.5;
/// Upper bound on this share for a server that is taken for older than it is.
const MAX_LOAD_SHARE: f64 = 0.75;

impl ServerRules {
    /// By how much the age of a server may be overestimated at its start, in microseconds, with the load
    /// still within `MAX_LOAD_SHARE`. Discovery reports a start within this time unless it cannot be reached.
    pub(super) fn max_age_error(&self) -> Micros {
        let growth = 1.0 - self.initial_capacity;
        if growth <= 0.0 {
            return self.slow_start_duration;
        }
        let share = self.initial_capacity * (MAX_LOAD_SHARE / LOAD_SHARE - 1.0) / growth;
        (share.min(1.0) * self.slow_start_duration as f64) as Micros
    }
}

impl Server {
    /// Marks the server as cold since a time. Its bucket starts with a random part of one token: without it,
    /// hundreds of gateways would either all send their first request at the same moment, or not at all
    /// before the server is warm.
    pub(super) fn begin_slow_start(&mut self, since: Micros, now: Micros, random: u64) {
        self.cold_since = Some(since);
        self.slow_start = TokenBucket { level: (random % 1_000) as f64 / 1_000.0, refilled_at: now };
    }

    /// Refills the bucket of a cold server with this gateway's share of what the server can take, or ends
    /// slow start. `warm_rate` is the rate, in requests per second, that this gateway would send to a warm
    /// server.
    pub(super) fn refill_slow_start(&mut self, rules: &ServerRules, now: Micros, warm_rate: f64) {
        let Some(since) = self.cold_since else { return };
        if now >= since + rules.slow_start_duration {
            self.cold_since = None;
            return;
        }
        let progress = (now - since) as f64 / rules.slow_start_duration.max(1) as f64;
        let capacity = rules.initial_capacity + (1.0 - rules.initial_capacity) * progress;
        let rate = LOAD_SHARE * rules.overload_factor * capacity * warm_rate;
        let burst = (rate * rules.overload_duration as f64 * SECONDS_PER_MICRO / 2.0).max(1.0);
        self.slow_start.refill(rate, burst, now);
    }
}
