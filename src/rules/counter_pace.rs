//! The calls to the counter that lease units, what their results mean, and how often the counter is called.

use super::escrow::{MAX_WINDOW, MIN_WINDOW};
use super::*;

/// Difference of two totals, in units, that may be due to rounding: totals are exact to seven digits.
const TOTAL_TOLERANCE: f64 = 0.01;
/// Share of a window's budget that a lease owner leases at once. It can be large because it spends for all
/// gateways, so little is forfeited.
const OWNER_LEASE: f64 = 0.5;
/// Initial calls per second to the counter from all gateways together; a small counter can take some 600.
pub(super) const INITIAL_TOTAL_RATE: f64 = 500.0;
/// Lower bound on the calls per second from all gateways together. It is high enough to notice within seconds
/// that the counter is back, and too low to overload a counter that takes less than one call for every three
/// requests.
const MIN_TOTAL_RATE: f64 = 24.0;
/// Calls are scarce when the call rate is below this share of the initial rate and few are saved up.
const SCARCE_RATE: f64 = 0.5;
/// Share of the calls that can be saved up below which few are saved up.
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
/// Share of the way back to the call rate before a loss by which the rate recovers with each quick answer.
const RECOVERY: f64 = 0.25;
/// Seconds over which unused calls can be saved up, at least, because requests come in bursts.
pub(super) const MIN_BURST_SECONDS: f64 = 0.25;
/// Time for which the counter is trusted to be shared after a total included what others added, in
/// microseconds. It is long compared with windows, and the longest time before the counter forgets a count.
const SHARED_TTL: Micros = 60_000_000;

impl Gateway {
    /// Calls the counter to lease units from the count of the customer's window: as many as waiting requests
    /// need, or a larger block.
    pub(super) fn lease(&mut self, key: u64, out: &mut Vec<Action>) {
        if !self.counter.may_call(self.now) {
            return;
        }
        let Some(customer) = self.customers.get_mut(&key) else { return };
        let (window, window_end) = customer.window_at(self.now);
        let needed = customer.units_wanted();
        let is_lease_owner = customer.has_lease_owner && customer.lease_owner.is_none();
        // A lease grows with the use in the previous window, up to the even share of the budget, but only
        // while calls are scarce: units that are leased and not spent are forfeited.
        let block = if is_lease_owner {
            customer.budget * OWNER_LEASE
        } else if self.counter.is_scarce(self.now, f64::from(self.settings.gateways.max(1))) {
            (customer.spent_before - customer.spent).clamp(0.0, customer.budget / customer.gateways).floor()
        } else {
            0.0
        };
        let credit = customer.credit;
        let amount = needed.max(block).min(customer.budget.max(1.0).ceil()) + credit;
        let name = stable_hash(&key.to_le_bytes(), window);
        customer.calling = true;
        self.counter.calls.level -= 1.0;
        self.lease_calls.insert(name, LeaseCall { customer: key, window, amount, credit, repeated: false });
        let ttl = 2 * (window_end - self.now) + MIN_WINDOW;
        out.push(Action::Count { name, amount, ttl });
    }

    /// Handles the result of a call to the counter.
    pub(super) fn on_counted(
        &mut self,
        name: u64,
        status: Status,
        total: f64,
        latency: Micros,
        out: &mut Vec<Action>,
    ) {
        let Some(mut call) = self.lease_calls.remove(&name) else { return };
        let call_timeout = self.settings.counter.as_ref().map_or(0, |c| c.call_timeout);
        let ok = status == Status::Ok;
        if self.resumed_at != self.now {
            // An unreadable answer is still an answer: it does not indicate that calls are queueing.
            self.counter.adapt_call_rate(
                ok || status == Status::Error,
                self.now,
                call_timeout,
                latency as f64 / call_timeout.max(1) as f64,
                f64::from(self.settings.gateways.max(1)),
            );
        }
        let Some(customer) = self.customers.get_mut(&call.customer) else { return };
        // After an unreadable answer the amount was added but the total is unknown. One more call that adds 0
        // returns it. What others added in the meantime counts as if it had come before, so the escrow is
        // never more than was leased.
        if status == Status::Error && !call.repeated {
            call.repeated = true;
            self.lease_calls.insert(name, call);
            return out.push(Action::Count { name, amount: 0.0, ttl: MAX_WINDOW });
        }
        customer.calling = false;
        // A higher total after a lost or repeated call may be due to this gateway's own amount.
        let own_amount_unsure = std::mem::replace(&mut customer.call_failed, !ok) || call.repeated;
        if ok && call.window == customer.window {
            let total_before = total - call.amount;
            if total_before < customer.total - TOTAL_TOLERANCE {
                (self.counter.shared_at, self.counter.reset_at) = (None, Some(self.now));
            } else if !own_amount_unsure && total_before > customer.total + TOTAL_TOLERANCE {
                self.counter.shared_at = Some(self.now);
            }
            customer.quota.level -= (total_before - customer.total).max(0.0);
            customer.total = total;
            customer.exhausted_window = (total >= customer.budget).then_some(call.window);
            customer.credit = (customer.credit - call.credit).max(0.0);
            let leased = (customer.budget - total_before - call.credit).clamp(0.0, call.amount - call.credit);
            *customer.escrow.entry(call.window).or_insert(0.0) += leased;
        }
        self.admit_waiting(call.customer, out);
    }
}

impl Counter {
    /// Whether totals include what all gateways lease: other gateways' leases were seen recently, and no
    /// count was lost within the last two windows.
    pub(super) fn is_shared(&self, now: Micros, window_length: Micros) -> bool {
        let no_recent_loss = self.reset_at.is_none_or(|at| now > at + 2 * window_length);
        no_recent_loss && self.shared_at.is_some_and(|at| now < at + SHARED_TTL)
    }

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
