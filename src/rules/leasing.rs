//! Leasing: the calls to the counter that lease units, and what their results mean.

use super::escrow::{MAX_WINDOW, MIN_WINDOW};
use super::*;

/// Difference of two totals, in units, that may be due to rounding: totals are exact to seven digits.
const TOTAL_TOLERANCE: f64 = 0.01;
/// Share of a window's budget that a lease owner leases at once. It can be large because it spends for all
/// gateways, so little is forfeited.
const OWNER_LEASE: f64 = 0.5;
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
}
