//! The gateway: entry point for events, and the path of a request up to its first attempt. The other
//! decisions are in `src/rules/`, one file per concern. The interface is in `src/interface.rs`, the types of
//! the state are in `src/state.rs`.

mod concurrency;
mod counter_pace;
mod ejection;
mod escrow;
mod lease_owners;
mod leasing;
mod membership;
mod retries;
mod selection;
mod slow_start;

use crate::interface::*;
use crate::reports::MeanLoad;
use crate::state::*;
use concurrency::LATENCY_TARGET;
use counter_pace::{INITIAL_TOTAL_RATE, MIN_BURST_SECONDS};
use membership::WATCH_BACKOFF_MIN;
use retries::{MAX_SAVED_RETRIES, RETRIES_PER_REQUEST};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Time between two sweeps while there are requests or customers, in microseconds: short in comparison with
/// objectives of some 100 ms.
const SWEEP_INTERVAL: Micros = 10_000;
/// Delay of a sweep, in microseconds, above which the process itself has stalled: far more than a tick.
const STALL: Micros = 200_000;
/// Time for which an idle customer is remembered, in microseconds: its token bucket is full again by then.
const CUSTOMER_TTL: Micros = 50_000_000;
/// Share of its objective for which a request waits for the counter or the ceiling before it is refused.
const MAX_UNIT_WAIT: f64 = 0.4;
/// Time constant of the admission and answer rates, in microseconds.
const RATE_TIME_CONSTANT: f64 = 2_000_000.0;
/// Mean latency assumed before the first answer, as a share of the objective.
const INITIAL_LATENCY: f64 = 0.2;
/// Time before a request's deadline at which it gets its final answer, in microseconds.
const DEADLINE_MARGIN: Micros = 2 * SWEEP_INTERVAL;

/// A gateway: one instance of the decision module.
pub struct Gateway {
    settings: Settings,
    now: Micros,
    created_at: Micros,
    /// When the process last resumed after a stall.
    resumed_at: Micros,
    rng_state: u64,
    next_sweep: Micros,
    /// When to ask discovery again; `Micros::MAX` for not at all.
    next_watch: Micros,
    watch_backoff: Micros,
    /// When discovery last answered.
    discovery_answered: Option<Micros>,
    servers: Vec<Option<Server>>,
    /// Servers with attempts in progress, and until the next sweep also some without.
    busy_servers: BTreeSet<ServerId>,
    customers: BTreeMap<u64, Customer>,
    /// Customers with requests that wait for units.
    waiting_customers: BTreeSet<u64>,
    /// When to check whether a customer is idle and can be forgotten.
    customer_expiry: BTreeSet<(Micros, u64)>,
    /// Calls to the counter that are in progress, by the name of the count.
    lease_calls: BTreeMap<u64, LeaseCall>,
    counter: Counter,
    /// Customers whose lease owner was asked, by the time when its answer is due.
    owner_answers_due: BTreeSet<(Micros, u64)>,
    /// Lease owners that did not answer: how many times in a row, and until when they are not asked.
    unresponsive_owners: BTreeMap<u32, (u32, Micros)>,
    requests: BTreeMap<RequestId, Request>,
    /// Admitted requests that wait for a server, by rank.
    ready_requests: BTreeSet<(u64, u64, RequestId)>,
    request_timers: BTreeSet<(Micros, RequestId)>,
    /// Mean latency, by class.
    mean_latency: Vec<f64>,
    mean_load: MeanLoad,
    /// Limit of attempts in progress at all servers together.
    total_limit: f64,
    /// Mean latency over all servers, as a share of the objective.
    latency_share: f64,
    total_limit_lowered_at: Micros,
    /// Attempts left in the retry budget.
    retry_budget: f64,
    /// Rate of admitted requests.
    admission_rate: EventRate,
    /// Rate of successful answers.
    answer_rate: EventRate,
    /// Number of requests so far.
    arrivals: u64,
}

impl Gateway {
    /// Creates a gateway that does not yet know any servers or customers.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let mean_latency = settings.classes.iter().map(|c| c.slo as f64 * INITIAL_LATENCY).collect();
        let total_call_rate = settings.counter.as_ref().map_or(0.0, |_| INITIAL_TOTAL_RATE);
        let call_rate = total_call_rate / f64::from(settings.gateways.max(1));
        // A random part of one call is added so that hundreds of gateways do not all call at their start.
        let random_part = (seed % 1_000) as f64 / 1_000.0;
        let calls = TokenBucket { level: call_rate * MIN_BURST_SECONDS + random_part, refilled_at: now };
        Gateway {
            settings,
            now,
            created_at: now,
            resumed_at: 0,
            rng_state: seed | 1,
            next_sweep: 0,
            next_watch: Micros::MAX,
            watch_backoff: WATCH_BACKOFF_MIN,
            discovery_answered: None,
            servers: Vec::new(),
            busy_servers: BTreeSet::new(),
            customers: BTreeMap::new(),
            waiting_customers: BTreeSet::new(),
            customer_expiry: BTreeSet::new(),
            owner_answers_due: BTreeSet::new(),
            unresponsive_owners: BTreeMap::new(),
            lease_calls: BTreeMap::new(),
            counter: Counter { calls, call_rate, rate_after_loss: call_rate, ..Counter::default() },
            requests: BTreeMap::new(),
            ready_requests: BTreeSet::new(),
            request_timers: BTreeSet::new(),
            mean_latency,
            mean_load: MeanLoad::default(),
            total_limit: f64::INFINITY,
            latency_share: LATENCY_TARGET,
            total_limit_lowered_at: 0,
            retry_budget: MAX_SAVED_RETRIES,
            admission_rate: EventRate::new(RATE_TIME_CONSTANT, now),
            answer_rate: EventRate::new(RATE_TIME_CONSTANT, now),
            arrivals: 0,
        }
    }

    /// Processes an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        // A late sweep means that this process stalled. Answers that are overdue or late on resuming then
        // say nothing about servers, the counter or other gateways.
        self.resumed_at = if now > self.next_sweep + STALL { now } else { self.resumed_at };
        match event {
            Event::Servers { kind, entries } => self.on_servers(kind, entries, out),
            Event::Request(request) => self.on_request(request, out),
            Event::Timer { .. } => self.sweep(out),
            Event::Outcome(outcome) => self.on_outcome(&outcome, out),
            Event::StreamStarted { id, attempt } => self.on_stream_started(id, attempt, out),
            Event::ClientGone { id } => self.remove_request(id, out),
            Event::Counted { name, status, total, latency } => {
                self.on_counted(name, status, total, latency, out)
            }
            Event::PeerMessage { from, data } => self.on_peer_message(from, &data, out),
            Event::Probed { .. } => {}
        }
        self.dispatch(out);
        if self.next_sweep <= now && !(self.requests.is_empty() && self.customers.is_empty()) {
            self.next_sweep = now + SWEEP_INTERVAL.max(self.settings.tick);
            out.push(Action::Timer { at: self.next_sweep, token: 0 });
        }
    }

    fn next_random(&mut self) -> u64 {
        self.rng_state = lcg_step(self.rng_state);
        self.rng_state >> 33
    }

    /// Handles everything that is due by now, and customers with waiting requests.
    fn sweep(&mut self, out: &mut Vec<Action>) {
        if self.next_watch <= self.now {
            self.next_watch = Micros::MAX;
            out.push(Action::Watch);
        }
        if self.resumed_at != self.now {
            self.check_silent_servers();
            self.check_lease_owners();
        }
        while let Some(&(at, id)) = self.request_timers.first().filter(|t| t.0 <= self.now) {
            self.request_timers.remove(&(at, id));
            self.on_request_timer(id, out);
        }
        // Starts with a random customer, so that all have the same chance where the counter takes few calls.
        let first = self.next_random() as usize % self.waiting_customers.len().max(1);
        let customers: Vec<u64> = self.waiting_customers.iter().copied().collect();
        for n in 0..customers.len() {
            self.admit_waiting(customers[(first + n) % customers.len()], out);
        }
        self.forget_idle_customers();
    }

    /// Forgets customers that are idle and whose ceiling is available in full again.
    fn forget_idle_customers(&mut self) {
        while let Some(&(at, key)) = self.customer_expiry.first().filter(|e| e.0 <= self.now) {
            self.customer_expiry.remove(&(at, key));
            let Some(c) = self.customers.get(&key) else { continue };
            let plan = &self.settings.plans[c.plan];
            let elapsed = (self.now - c.ceiling_share.refilled_at) as f64;
            let ceiling_full = elapsed * SECONDS_PER_MICRO * plan.ceiling_rate >= plan.ceiling_burst;
            let idle = self.now >= c.seen_at + CUSTOMER_TTL
                && !c.calling
                && c.waiting.is_empty()
                && c.in_progress == 0.0;
            if ceiling_full && idle {
                self.customers.remove(&key);
                continue;
            }
            self.customer_expiry.insert((self.now.max(c.seen_at) + CUSTOMER_TTL, key));
        }
    }

    /// Puts a new request into its customer's queue for units.
    fn on_request(&mut self, request: ClientRequest, out: &mut Vec<Action>) {
        let ClientRequest { id, class, plan, customer, time_left, units, gateways, first_gateway } = request;
        let key = stable_hash(customer.as_bytes(), plan as u64);
        // All gateways of the customer must find the same lease owner among them.
        let index_of_owner = u64::from(first_gateway) + key % u64::from(gateways.max(1));
        let owner = (index_of_owner % u64::from(self.settings.gateways.max(1))) as u32;
        let gateway_index = self.settings.gateway_index;
        let customer = self.customer_entry(key, plan, gateways);
        customer.lease_owner = (customer.has_lease_owner && owner != gateway_index).then_some(owner);
        let since = customer.seen_at;
        customer.request_units = units;
        customer.waiting.push_back(UnitRequest { id, peer: None, units, since });
        self.waiting_customers.insert(key);
        self.arrivals += 1;
        let value = (self.settings.classes[class].value * 1_000.0) as u64;
        let objective = self.settings.classes[class].slo.min(time_left);
        let mut request = Request {
            class,
            customer: key,
            units,
            escrow_window: 0,
            admitted_window: 0,
            arrived_at: self.now,
            deadline: self.now + time_left,
            stage: Stage::WaitingForUnits,
            rank: (u64::MAX - value, self.arrivals, id),
            timer_at: 0,
            attempts: Vec::new(),
        };
        let refuse_at = self.now + (objective as f64 * MAX_UNIT_WAIT) as u64;
        set_request_timer(&mut self.request_timers, &mut request, id, refuse_at);
        self.requests.insert(id, request);
        self.admit_waiting(key, out);
    }

    /// Sends admitted requests, in the order of their rank, while there is a server for the first of them.
    fn dispatch(&mut self, out: &mut Vec<Action>) {
        while let Some(&rank) = self.ready_requests.first() {
            if self.revoke_stale_admission(rank.2) {
                self.ready_requests.remove(&rank);
                continue;
            }
            let Some(server) = self.select_server(rank.2) else { break };
            self.ready_requests.remove(&rank);
            self.send(rank.2, server, out);
        }
    }

    /// Puts a request back into the queue for units if it was admitted under a ceiling in a window that has
    /// ended, and was not sent since. The ceiling covers the budgets of two consecutive windows, but not the
    /// requests of a third one on top of them. Returns whether it did so.
    fn revoke_stale_admission(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get_mut(&id).filter(|r| r.attempts.is_empty()) else {
            return false;
        };
        let Some(customer) = self.customers.get_mut(&request.customer) else { return false };
        let has_ceiling = self.settings.plans[customer.plan].ceiling_rate > 0.0;
        if !has_ceiling || customer.window_at(self.now).0 <= request.admitted_window {
            return false;
        }
        request.stage = Stage::WaitingForUnits;
        customer.in_progress -= 1.0;
        customer.quota.level += request.units;
        let (units, since) = (request.units, self.now);
        customer.waiting.push_back(UnitRequest { id, peer: None, units, since });
        self.waiting_customers.insert(request.customer);
        true
    }

    /// Sends an attempt to a server.
    fn send(&mut self, id: RequestId, server_id: ServerId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(server) = self.servers[server_id].as_mut() else { return };
        if request.attempts.is_empty() {
            self.retry_budget = (self.retry_budget + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
        }
        if matches!(server.health, Health::Ejected(_)) {
            server.health = Health::HalfOpen;
        }
        if server.cold_since.is_some() {
            server.slow_start.level -= 1.0;
        }
        server.in_progress.insert((id, request.attempts.len() as u32), self.now);
        self.busy_servers.insert(server_id);
        let (location, state) = ((server.zone, server.cell), AttemptState::InProgress);
        let attempt = Attempt { server: server_id, location, sent_at: self.now, state, cancelled: false };
        request.attempts.push(attempt);
        request.stage = Stage::Sent;
        let end = request.deadline.saturating_sub(DEADLINE_MARGIN);
        set_request_timer(&mut self.request_timers, request, id, end.max(self.now));
        out.push(Action::Send { id, server: server_id, timeout: 0 });
    }
}

/// Replaces the request's timer. It expires before the deadline, however late `at` is.
fn set_request_timer(
    timers: &mut BTreeSet<(Micros, RequestId)>,
    request: &mut Request,
    id: RequestId,
    at: Micros,
) {
    timers.remove(&(request.timer_at, id));
    request.timer_at = at.min(request.deadline.saturating_sub(DEADLINE_MARGIN));
    timers.insert((request.timer_at, id));
}
