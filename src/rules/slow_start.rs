//! Slow start: a cold server gets this gateway's part of what it can take without falling over.

use crate::interface::{Micros, ServerRules, SECOND};
use crate::state::*;

/// Share of the fall budget that is used: the rest covers uneven gateways and chance.
const COLD_SHARE: f64 = 0.5;

/// The same at the most, for a server that is taken for older than it is.
const COLD_SHARE_MOST: f64 = 0.75;

impl ServerRules {
    /// Age that a server may wrongly be taken to have when it starts, in microseconds: what it gets then
    /// still leaves some of its budget. Lists are told within that time unless discovery cannot be reached.
    pub(super) fn safe_age(&self) -> Micros {
        let growth = 1.0 - self.initial_capacity;
        if growth <= 0.0 {
            return self.slow_start_duration;
        }
        let share = self.initial_capacity * (COLD_SHARE_MOST / COLD_SHARE - 1.0) / growth;
        (share.min(1.0) * self.slow_start_duration as f64) as Micros
    }
}

impl Server {
    /// Counts as cold since a time. A part of a first token by chance: hundreds of gateways that all start at
    /// nought would all send at one moment, or none before it is warm.
    pub(super) fn begin_slow_start(&mut self, since: Micros, now: Micros, chance: u64) {
        self.cold_since = Some(since);
        self.tokens = Bucket { level: (chance % 1_000) as f64 / 1_000.0, at: now };
    }

    /// Fills this gateway's share of a cold server's fall budget, until it is warm.
    pub(super) fn fill_slow_start(&mut self, rules: &ServerRules, now: Micros, rate: f64) {
        let Some(since) = self.cold_since else { return };
        if now >= since + rules.slow_start_duration {
            self.cold_since = None;
            return;
        }
        let share = (now - since) as f64 / rules.slow_start_duration.max(1) as f64;
        let warm = rules.initial_capacity + (1.0 - rules.initial_capacity) * share;
        let budget = COLD_SHARE * rules.overload_factor * warm * rate;
        let most = (budget * rules.overload_duration as f64 * SECOND / 2.0).max(1.0);
        self.tokens.fill(budget, most, now);
    }
}
