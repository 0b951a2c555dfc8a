//! How often the counter is called: the call rate, adapted to the results of calls.

use super::*;

/// Initial calls per second to the counter from all gateways together; a small counter can take some 600.
pub(super) const INITIAL_TOTAL_RATE: f64 = 500.0;
/// Lower bound on the calls per second from all gateways together. It is high enough to notice within seconds
/// that the counter is back, and too low to overload a counter that takes less than one call for every three
/// requests.
const MIN_TOTAL_RATE: f64 = 24.0;
/// Calls are scarce if the call rate is below this share of the initial rate, and fewer calls are saved up
/// than the share [`SCARCE_SAVED_CALLS`] of those that the call rate yields in [`MIN_BURST_SECONDS`].
const SCARCE_RATE: f64 = 0.5;
/// See [`SCARCE_RATE`].
const SCARCE_SAVED_CALLS: f64 = 0.5;
/// Factor on the call rate after a lost call.
const LOSS_FACTOR: f64 = 0.7;
/// Factor on the call rate after a slow answer.
const SLOW_FACTOR: f64 = 0.95;
/// Share of the time-out above which an answer is slow: calls are queueing at the counter.
const SLOW_ANSWER: f64 = 0.6;
/// Increase of the call rate with each quick answer, in calls per second. Answers come at the call rate, so
/// this is also the relative increase per second.
const RATE_INCREASE: f64 = 0.4;
/// The same before the first lost call. A gateway that has just started gets several times the requests that
/// its share of the initial rate covers, and admits on credit what it cannot lease, which the other gateways
/// do not see.
const INITIAL_RATE_INCREASE: f64 = 1.0;
/// Share of the difference to [`Counter::rate_after_loss`] by which the call rate recovers with each quick
/// answer.
const RECOVERY: f64 = 0.25;
/// Seconds over which unused calls can be saved up, because requests come in bursts. At a low call rate the
/// time is longer, so that two calls can always be saved up.
pub(super) const MIN_BURST_SECONDS: f64 = 0.25;

impl Counter {
    /// Whether a call may be made now.
    pub(super) fn may_call(&mut self, now: Micros) -> bool {
        self.calls.refill(self.call_rate, self.max_saved_calls(), now);
        self.calls.level >= 1.0
    }

    fn max_saved_calls(&self) -> f64 {
        (self.call_rate * MIN_BURST_SECONDS).max(2.0)
    }

    /// Whether calls must be kept for the customers that need them most, or none can be made now.
    pub(super) fn is_scarce(&mut self, now: Micros, gateways: f64) -> bool {
        let low_rate = self.call_rate < SCARCE_RATE * INITIAL_TOTAL_RATE / gateways;
        !self.may_call(now)
            || low_rate && self.calls.level < SCARCE_SAVED_CALLS * self.call_rate * MIN_BURST_SECONDS
    }

    /// Adapts the call rate to the result of a call, given its duration as a share of the time-out. All
    /// gateways together must stay below the counter's capacity, because the counter spends time on calls
    /// whose callers have already given up. Drawback: calls lost for other reasons lower the rate as well.
    pub(super) fn adapt_call_rate(
        &mut self,
        ok: bool,
        now: Micros,
        call_timeout: Micros,
        timeout_share: f64,
        gateways: f64,
    ) {
        if !ok && now < self.lowered_at + call_timeout {
            // This call was made before the rate was last lowered, so it is no reason to lower it again.
        } else if !ok {
            self.lowered_at = now;
            self.call_rate *= LOSS_FACTOR;
            // Only the first of several losses in a row shows which rate was too high.
            self.rate_after_loss = if self.failing { self.rate_after_loss } else { self.call_rate };
        } else if timeout_share > SLOW_ANSWER {
            self.call_rate *= SLOW_FACTOR;
        } else {
            let recovery = (self.rate_after_loss - self.call_rate).max(0.0) * RECOVERY;
            // While the current rate is not used up, answers do not show that the counter can take more.
            if self.calls.level < self.max_saved_calls() / 2.0 {
                let increase = if self.lowered_at == 0 { INITIAL_RATE_INCREASE } else { RATE_INCREASE };
                self.call_rate += recovery.max(increase);
            }
        }
        self.failing = !ok;
        self.call_rate = self.call_rate.max(MIN_TOTAL_RATE / gateways);
    }
}
