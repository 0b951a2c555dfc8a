//! Escrow: units that are leased for the customer's window, spent locally, and forfeited at the end of the
//! window. Also credit, which is spent without a lease, and the ceiling.

use super::lease_owners::{OWNER_RETRY_AFTER, OWNER_TIMEOUT};
use super::*;

/// Shortest window, in microseconds: with shorter ones, calls to the counter would outnumber requests.
pub(super) const MIN_WINDOW: Micros = 500_000;
/// Longest window, in microseconds: the counter keeps a count for 60 s at most, which must cover two windows.
pub(super) const MAX_WINDOW: Micros = 25_000_000;
/// Share of the ceiling's burst that the budget of one window may take, because the budgets of two windows
/// can be spent back to back.
const CEILING_BUDGET: f64 = 0.5;
/// A customer gets a lease owner if an even share of its window's budget is below this many units: leasing
/// single units is not worth a call.
const OWNER_MAX_SHARE: f64 = 2.0;
/// Replaces a rate of zero in a division, in units per second.
const MIN_RATE: f64 = 1e-6;

/// Where the units of a request come from.
#[derive(Clone, Copy, PartialEq)]
enum UnitSource {
    /// Granted by the customer's lease owner.
    Grant,
    /// The escrow of the current window.
    Escrow,
    /// This gateway's even share of the quota, without a lease. Added to the count later.
    Credit,
    /// The plan has no quota of units.
    Unlimited,
}

/// What becomes of a request that waits for units.
enum Admission {
    /// The gateway that asked no longer waits.
    Expired,
    /// Refused, with the time after which to retry.
    Refused(Micros),
    /// Stays in the queue.
    Waits,
    /// Gets units. `from_shared_lease` is set if they are leased from a counter that all gateways share.
    Admitted { source: UnitSource, from_shared_lease: bool },
}

/// What a customer's admissions depend on besides the customer itself.
struct AdmissionContext<'a> {
    plan: &'a Plan,
    now: Micros,
    window: u64,
    window_end: Micros,
    /// This gateway leases from the counter itself, and does not ask a lease owner.
    leases_itself: bool,
    /// Credit may be spent.
    credit_allowed: bool,
    /// The counter's totals include what all gateways lease.
    counter_shared: bool,
}

impl Gateway {
    /// Admits the customer's waiting requests as far as its escrow and ceiling allow. Leases more units, or
    /// asks the lease owner for them, if the escrow does not cover all requests.
    pub(super) fn admit_waiting(&mut self, key: u64, out: &mut Vec<Action>) {
        let Some(customer) = self.customers.get_mut(&key) else { return };
        let plan = &self.settings.plans[customer.plan];
        let (window, window_end) = customer.window_at(self.now);
        customer.advance_to(window);
        customer.refill(plan, self.now);
        let leases_itself = customer
            .lease_owner
            .filter(|owner| self.unresponsive_owners.get(owner).is_none_or(|o| o.1 <= self.now))
            .is_none();
        // Credit: while no lease can be had, this gateway spends its even share of the customer's quota
        // without one. This guards against a counter that is down, unreachable, slow or too small for the
        // number of gateways. Drawback: of a customer far over its quota, each gateway admits at least one
        // request. Credit is also used if the counter takes fewer calls than there are requests: customers
        // within their even share then leave the calls to those above it. What is spent on credit is added to
        // the count with the next call.
        let gateways = f64::from(self.settings.gateways.max(1));
        let credit_allowed = leases_itself
            && !customer.calling
            && (customer.call_failed || self.counter.is_scarce(self.now, gateways));
        let limited = plan.rate > 0.0;
        let counter_shared = self.counter.is_shared(self.now, customer.window_length);
        let context = AdmissionContext {
            plan,
            now: self.now,
            window,
            window_end,
            leases_itself,
            credit_allowed,
            counter_shared,
        };
        let (mut still_waiting, mut refused, mut admitted) = (VecDeque::new(), Vec::new(), Vec::new());
        while let Some(item) = customer.waiting.pop_front() {
            match customer.admission(&item, &context, !still_waiting.is_empty()) {
                Admission::Expired => {}
                Admission::Refused(retry_after) => refused.push((item, retry_after)),
                Admission::Waits => still_waiting.push_back(item),
                Admission::Admitted { source, from_shared_lease } => {
                    customer.spend(item.units, source, from_shared_lease, window);
                    if let Some(peer) = item.peer {
                        let message = Message::Grant { customer: key, units: item.units as f32 };
                        out.push(Action::SendToPeer { peer, data: message.encode() });
                    } else if self.requests.contains_key(&item.id) {
                        customer.in_progress += 1.0;
                        admitted.push((item.id, if source == UnitSource::Escrow { window } else { 0 }));
                    }
                }
            }
        }
        customer.waiting = still_waiting;
        let units_wanted = customer.units_wanted();
        if customer.waiting.is_empty() {
            self.waiting_customers.remove(&key);
        }
        for (id, escrow_window) in admitted {
            self.admit(id, window, escrow_window);
        }
        let Some(customer) = self.customers.get_mut(&key) else { return };
        if leases_itself && units_wanted > customer.escrow_of(window) && !customer.calling && limited {
            self.lease(key, out);
        } else if !leases_itself
            && units_wanted > customer.granted
            && customer.answer_due.is_none()
            && limited
        {
            self.ask_lease_owner(key, out);
        }
        for (item, retry_after) in refused {
            let Some(peer) = item.peer else {
                self.refuse(item.id, retry_after, out);
                continue;
            };
            let wait = retry_after.min(OWNER_RETRY_AFTER) as u32;
            out.push(Action::SendToPeer { peer, data: Message::Deny { customer: key, wait }.encode() });
        }
    }

    /// A request has its units, from the escrow of a window (0 if from elsewhere), and waits for a server.
    fn admit(&mut self, id: RequestId, window: u64, escrow_window: u64) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.escrow_window = escrow_window;
        request.admitted_window = window;
        request.stage = Stage::WaitingForServer;
        // Counts what should be sent, not what is: if all servers are cold, the share of each depends on this
        // rate, and with the rate of sends both would shrink further and further.
        self.admission_rate.record(self.now);
        let objective_ends = request.arrived_at + self.settings.classes[request.class].slo;
        let expires = objective_ends.saturating_sub(self.mean_latency[request.class] as u64);
        set_request_timer(&mut self.request_timers, request, id, expires);
        self.ready_requests.insert(request.rank);
    }

    /// The customer with this key, which is created if necessary, updated to its number of gateways.
    pub(super) fn customer_entry(&mut self, key: u64, plan: usize, gateways: u32) -> &mut Customer {
        let (now, created_at, max_units) = (self.now, self.created_at, self.settings.max_units);
        let peer_messages = self.settings.permissions.peer_messages;
        let (p, expiry) = (&self.settings.plans[plan], &mut self.customer_expiry);
        let customer = self.customers.entry(key).or_insert_with(|| {
            expiry.insert((now + CUSTOMER_TTL, key));
            new_customer(key, plan, p, max_units, now, created_at)
        });
        customer.gateways = f64::from(gateways.max(1));
        customer.has_lease_owner =
            peer_messages && p.ceiling_rate <= 0.0 && customer.budget / customer.gateways < OWNER_MAX_SHARE;
        customer.seen_at = now;
        customer
    }
}

/// A customer of a plan before its first request.
fn new_customer(
    key: u64,
    plan_index: usize,
    plan: &Plan,
    max_units: f64,
    now: Micros,
    gateway_created_at: Micros,
) -> Customer {
    let ceiling_budget = (plan.ceiling_burst * CEILING_BUDGET).max(max_units);
    let window_length = if plan.ceiling_rate > 0.0 {
        (ceiling_budget / plan.ceiling_rate / SECONDS_PER_MICRO).ceil() as u64
    } else {
        (plan.burst.max(max_units) / plan.rate.max(MIN_RATE) / SECONDS_PER_MICRO) as u64
    };
    let window_length = window_length.clamp(MIN_WINDOW, MAX_WINDOW);
    // The most that the quota allows within a window.
    let budget = plan.rate * window_length as f64 * SECONDS_PER_MICRO + plan.burst;
    Customer {
        // Windows of different customers end at different times, which spreads the calls to the counter.
        window_offset: key % window_length,
        budget: if plan.ceiling_rate > 0.0 { budget.min(ceiling_budget) } else { budget },
        plan: plan_index,
        window_length,
        // The first refill limits these to their capacity.
        quota: TokenBucket { level: f64::MAX, refilled_at: now },
        quota_share: TokenBucket { level: f64::MAX, refilled_at: now },
        ceiling_share: TokenBucket { level: 0.0, refilled_at: gateway_created_at },
        request_units: max_units,
        ..Customer::default()
    }
}

impl Customer {
    /// Decides on a request that waits for units. `is_blocked` is set if a request before it stays in the
    /// queue: quotas are served in order.
    fn admission(&self, item: &UnitRequest, context: &AdmissionContext, is_blocked: bool) -> Admission {
        let AdmissionContext { plan, now, window, leases_itself, .. } = *context;
        let units = item.units;
        let from_peer = item.peer.is_some();
        if from_peer && now > item.since + OWNER_TIMEOUT {
            return Admission::Expired;
        }
        let limited = plan.rate > 0.0;
        let granted = !from_peer && self.granted >= units;
        let in_escrow = self.escrow_of(window) >= units;
        let max_concurrent = (plan.max_concurrent / self.gateways).floor().max(1.0);
        let too_many_concurrent =
            !from_peer && plan.max_concurrent > 0.0 && self.in_progress >= max_concurrent;
        let over_quota = limited && leases_itself && self.quota.level < units;
        let no_units_left =
            leases_itself && !in_escrow && self.exhausted_window == Some(window) || now < self.denied_until;
        if too_many_concurrent || !granted && (over_quota || limited && no_units_left) {
            let missing = (units - self.quota.level).max(0.0);
            let until_refilled = missing / plan.rate.max(MIN_RATE) / SECONDS_PER_MICRO;
            let until_next_window = context.window_end - now;
            return Admission::Refused(if over_quota { until_refilled as Micros } else { until_next_window });
        }
        let from_shared_lease = context.counter_shared && in_escrow;
        let under_ceiling =
            plan.ceiling_rate <= 0.0 || granted || from_shared_lease || self.ceiling_share.level >= units;
        let on_credit = context.credit_allowed && self.quota_share.level >= units;
        if !under_ceiling || limited && !granted && (is_blocked || !(in_escrow || on_credit)) {
            return Admission::Waits;
        }
        let source = match (granted, limited, in_escrow) {
            (true, ..) => UnitSource::Grant,
            (false, true, true) => UnitSource::Escrow,
            (false, true, false) => UnitSource::Credit,
            (false, false, _) => UnitSource::Unlimited,
        };
        Admission::Admitted { source, from_shared_lease }
    }

    /// Spends units. Units of a shared lease are not limited by this gateway's share of the ceiling, and do
    /// not push it below zero.
    fn spend(&mut self, units: f64, source: UnitSource, from_shared_lease: bool, window: u64) {
        match source {
            UnitSource::Grant => self.granted -= units,
            UnitSource::Escrow => {
                let left = self.escrow_of(window) - units;
                self.escrow.insert(window, left);
            }
            UnitSource::Credit => self.credit += units,
            UnitSource::Unlimited => {}
        }
        self.spent += units;
        if source != UnitSource::Grant {
            let min_level = if from_shared_lease { self.ceiling_share.level.min(0.0) } else { f64::MIN };
            self.ceiling_share.level = (self.ceiling_share.level - units).max(min_level);
        }
        self.quota.level -= units;
        self.quota_share.level = (self.quota_share.level - units).max(0.0);
    }

    /// Moves on to a window; the escrow of earlier windows is forfeited.
    pub(super) fn advance_to(&mut self, window: u64) {
        if window > self.window {
            self.total = 0.0;
            self.granted = 0.0;
            self.spent_before = if window == self.window + 1 { self.spent } else { 0.0 };
            (self.spent, self.credit) = (0.0, 0.0);
            self.window = window;
            self.escrow.retain(|w, _| *w >= window);
        }
    }

    /// Refills the token buckets. The ceiling is divided evenly among the customer's gateways: such shares
    /// need no coordination, and hold when the counter loses counts, a gateway restarts or traffic is
    /// rerouted. A new gateway begins with what its share earned since its start, because it cannot know what
    /// was spent before. Drawback: a customer whose requests come to only a few of its gateways gets less
    /// than its ceiling. Units of a shared lease are therefore exempt: the budgets of two windows are within
    /// the ceiling wherever they are spent, as long as the counter is seen to add up the leases of all
    /// gateways.
    fn refill(&mut self, plan: &Plan, now: Micros) {
        // A lease owner spends for all gateways, so its share of the quota is the whole.
        let share =
            if self.has_lease_owner && self.lease_owner.is_none() { 1.0 } else { 1.0 / self.gateways };
        self.quota.refill(plan.rate, plan.burst.max(self.request_units), now);
        self.quota_share.refill(plan.rate * share, (plan.burst * share).max(self.request_units), now);
        self.ceiling_share.refill(plan.ceiling_rate / self.gateways, plan.ceiling_burst / self.gateways, now);
    }
}
