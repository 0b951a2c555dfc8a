//! State of a simulation and the handling of its events.

use super::event_queue::{EventQueue, SimulationEvent};
use super::{Scenario, MS, SECOND, START};
use crate::deployment::{DEADLINE_MS, LIMITERS_PER_CUSTOMER};
use pondgw::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Counts of one simulated second. Served and refused requests count in the second in which they arrived.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SecondCounts {
    pub(super) offered: u64,
    pub(super) served: u64,
    pub(super) refused: u64,
    pub(super) attempts: u64,
    pub(super) connections: u64,
    pub(super) counter_calls: u64,
    pub(super) list_calls: u64,
}

/// A limiter: its decision module, and the state that the process around the module would hold.
pub(super) struct SimulatedLimiter {
    pub(super) gateway: Gateway,
    pub(super) up: bool,
    /// Number of times that it was killed: events meant for an earlier incarnation are dropped.
    pub(super) incarnation: u32,
    /// Discovery has sent it the list and sends it every change from then on.
    pub(super) subscribed: bool,
    pub(super) open_requests: HashMap<RequestId, OpenRequest>,
}

/// A request that has no final answer yet.
pub(super) struct OpenRequest {
    /// Attempts made so far.
    pub(super) attempts: u32,
    /// Index of the second in which it arrived.
    arrival_second: usize,
}

/// A server. It works on one request at a time, in the order in which they arrive.
#[derive(Clone, Copy)]
pub(super) struct SimulatedServer {
    /// When it will have finished the requests that it has accepted.
    pub(super) busy_until: Micros,
    pub(super) up: bool,
    /// When it last started.
    pub(super) started_at: Micros,
    pub(super) draining: bool,
    /// Attempts per second, as a count that decays with a time constant of one second.
    pub(super) attempt_rate: f64,
    /// When `attempt_rate` was last updated.
    last_attempt: Micros,
}

impl SimulatedServer {
    /// Adds an attempt to `attempt_rate`.
    pub(super) fn count_attempt(&mut self, now: Micros) {
        let elapsed = now.saturating_sub(self.last_attempt) as f64 / SECOND as f64;
        self.attempt_rate = self.attempt_rate * (-elapsed).exp() + 1.0;
        self.last_attempt = now;
    }
}

/// State of a simulation.
pub(super) struct Simulation {
    pub(super) scenario: Scenario,
    /// The virtual clock.
    pub(super) now: Micros,
    pub(super) random: SmallRng,
    pub(super) limiters: Vec<SimulatedLimiter>,
    pub(super) servers: Vec<SimulatedServer>,
    pub(super) events: EventQueue,
    /// Totals that the counter holds, by name.
    pub(super) totals: HashMap<u64, f64>,
    /// When the counter will have answered the calls that it has accepted.
    pub(super) counter_busy_until: Micros,
    /// When discovery will have answered the calls that it has accepted.
    pub(super) discovery_busy_until: Micros,
    pub(super) fault_active: bool,
    /// When the connection between a limiter and a server was last used.
    pub(super) connections_last_used: HashMap<(u32, u32), Micros>,
    /// Counts, by second since the start.
    pub(super) seconds: Vec<SecondCounts>,
    last_id: RequestId,
    /// Real time spent in the decision modules.
    pub(super) module_time: Duration,
    /// Events delivered to the decision modules.
    pub(super) module_events: u64,
}

impl Simulation {
    /// Creates a simulation without limiters and events.
    pub(super) fn new(scenario: Scenario) -> Self {
        let server = SimulatedServer {
            busy_until: 0,
            up: true,
            started_at: 0,
            draining: false,
            attempt_rate: 0.0,
            last_attempt: 0,
        };
        Simulation {
            scenario,
            now: START,
            random: SmallRng::seed_from_u64(scenario.seed),
            limiters: Vec::new(),
            servers: vec![server; scenario.deployment.servers],
            events: EventQueue::default(),
            totals: HashMap::new(),
            counter_busy_until: 0,
            discovery_busy_until: 0,
            fault_active: false,
            connections_last_used: HashMap::new(),
            seconds: vec![SecondCounts::default(); scenario.seconds as usize + 2],
            last_id: 0,
            module_time: Duration::ZERO,
            module_events: 0,
        }
    }

    /// Index of the present second.
    fn current_second(&self) -> usize {
        (((self.now - START) / SECOND) as usize).min(self.seconds.len() - 1)
    }

    /// Counts of the present second.
    pub(super) fn counts(&mut self) -> &mut SecondCounts {
        let second = self.current_second();
        &mut self.seconds[second]
    }

    /// The full list of servers.
    fn full_list(&self) -> Vec<ServerEntry> {
        (0..self.servers.len()).map(|n| self.list_entry(n)).collect()
    }

    fn list_entry(&self, n: usize) -> ServerEntry {
        let SimulatedServer { started_at, draining, .. } = self.servers[n];
        let lifecycle = if draining { Lifecycle::Draining } else { Lifecycle::Ready };
        let zone = self.scenario.deployment.zone_of_server(n);
        let cell = self.scenario.deployment.cell_of_server(n) as u64;
        ServerEntry { server: n, zone, cell, lifecycle, weight: 1.0, started_at }
    }

    /// Adds an event that is dropped if the limiter is killed before it is due.
    pub(super) fn push_for_limiter(&mut self, at: Micros, n: usize, event: SimulationEvent) {
        self.events.push(at, self.limiters[n].incarnation, event);
    }

    /// Handles an event that is due.
    pub(super) fn handle(&mut self, incarnation: u32, event: SimulationEvent) {
        let alive = |n: usize, simulation: &Simulation| {
            simulation.limiters[n].up && simulation.limiters[n].incarnation == incarnation
        };
        match event {
            SimulationEvent::RequestArrival => self.receive_request(),
            SimulationEvent::Timer(n) if alive(n, self) => self.deliver(n, Event::Timer { token: 0 }),
            SimulationEvent::AttemptEnds(n, outcome) if alive(n, self) => {
                if outcome.request_done {
                    if let Some(request) = self.limiters[n].open_requests.remove(&outcome.id) {
                        self.seconds[request.arrival_second].served += 1;
                    }
                }
                self.deliver(n, Event::Outcome(outcome));
            }
            SimulationEvent::CounterCallEnds { limiter: n, name, status, total, latency }
                if alive(n, self) =>
            {
                self.deliver(n, Event::Counted { name, status, total, latency });
            }
            SimulationEvent::DiscoveryCallEnds { limiter: n, answered } if alive(n, self) => {
                self.limiters[n].subscribed |= answered;
                let kind = if answered { ListKind::Full } else { ListKind::Failed };
                let entries = if answered { self.full_list() } else { Vec::new() };
                self.deliver(n, Event::Servers { kind, entries });
            }
            SimulationEvent::ListChange => self.toggle_draining(),
            SimulationEvent::FaultBegins => self.begin_fault(),
            SimulationEvent::FaultEnds => self.end_fault(),
            SimulationEvent::LimiterRestart(n) => self.start_limiter(n),
            // Meant for an earlier incarnation of a limiter, or for one that is down.
            _ => {}
        }
    }

    /// Delivers an event to a limiter's decision module and carries out the actions that it returns.
    pub(super) fn deliver(&mut self, n: usize, event: Event) {
        let mut actions = Vec::new();
        let start = Instant::now();
        self.limiters[n].gateway.handle(self.now, event, &mut actions);
        self.module_time += start.elapsed();
        self.module_events += 1;
        for action in actions {
            match action {
                Action::Send { id, server, .. } => self.send_attempt(n, id, server),
                Action::Refuse { id, .. } | Action::Fail { id } => {
                    if let Some(request) = self.limiters[n].open_requests.remove(&id) {
                        self.seconds[request.arrival_second].refused += 1;
                    }
                }
                Action::Timer { at, .. } => {
                    self.push_for_limiter(at.max(self.now), n, SimulationEvent::Timer(n));
                }
                Action::Count { name, amount, .. } => self.call_counter(n, name, amount),
                Action::Watch => self.call_discovery(n),
                Action::Cancel { .. } | Action::SendToPeer { .. } => {}
            }
        }
    }

    /// Starts a limiter, for the first time or again, with a cached list that is up to date.
    pub(super) fn start_limiter(&mut self, n: usize) {
        let host_settings = HostSettings::from_json(&self.scenario.deployment.limiter_settings(n as u32));
        let settings = host_settings.expect("the generated settings are valid").settings;
        let seed = self.random.random();
        let gateway = Gateway::new(settings, seed, self.now);
        match self.limiters.get_mut(n) {
            Some(limiter) => (limiter.gateway, limiter.up, limiter.subscribed) = (gateway, true, false),
            None => self.limiters.push(SimulatedLimiter {
                gateway,
                up: true,
                incarnation: 0,
                subscribed: false,
                open_requests: HashMap::new(),
            }),
        }
        let entries = self.full_list();
        self.deliver(n, Event::Servers { kind: ListKind::Cached, entries });
        if !self.scenario.deployment.watch_discovery {
            self.counts().list_calls += 1;
            self.push_list(n);
        }
    }

    /// Pushes the full list to a limiter. The limiter has a discovery agent of its own, so the list arrives at once,
    /// whatever the load on discovery.
    pub(super) fn push_list(&mut self, n: usize) {
        let event = SimulationEvent::DiscoveryCallEnds { limiter: n, answered: true };
        self.push_for_limiter(self.now + MS, n, event);
    }

    /// Pushes the entries of some servers to all limiters that are subscribed to discovery.
    pub(super) fn push_changes(&mut self, servers: &[usize]) {
        let entries: Vec<ServerEntry> = servers.iter().map(|n| self.list_entry(*n)).collect();
        for n in 0..self.limiters.len() {
            if self.limiters[n].up && self.limiters[n].subscribed {
                self.deliver(n, Event::Servers { kind: ListKind::Delta, entries: entries.clone() });
            }
        }
    }

    /// Starts or stops draining a random server, and schedules the next change of the list.
    fn toggle_draining(&mut self) {
        let interval = (SECOND as f64 / self.scenario.list_changes_per_second) as Micros;
        self.events.push(self.now + interval, 0, SimulationEvent::ListChange);
        let n = self.random.random_range(0..self.servers.len());
        self.servers[n].draining = !self.servers[n].draining;
        self.push_changes(&[n]);
    }

    /// Sends a request of a random customer to one of the customer's limiters, and schedules the next arrival after an
    /// exponentially distributed time. A request for which no limiter is up is not counted.
    fn receive_request(&mut self) {
        if self.now >= START + self.scenario.seconds * SECOND {
            return;
        }
        let interval = -(1.0 - self.random.random::<f64>()).ln() / self.scenario.requests_per_second;
        let next = self.now + (interval * SECOND as f64) as Micros;
        self.events.push(next, 0, SimulationEvent::RequestArrival);
        let limiters = self.limiters.len() as u32;
        let customer = self.random.random_range(0..self.scenario.customers);
        let gateways = LIMITERS_PER_CUSTOMER.min(limiters);
        let first_gateway = (customer % u64::from(limiters)) as u32;
        // The square gives the customer's first limiter the largest share.
        let preferred = ((self.random.random::<f64>().powi(2)) * f64::from(gateways)) as u32;
        let Some(n) = (preferred..preferred + gateways)
            .map(|offset| ((first_gateway + offset % gateways) % limiters) as usize)
            .find(|n| self.limiters[*n].up)
        else {
            return;
        };
        self.last_id += 1;
        self.counts().offered += 1;
        let id = self.last_id;
        let open_request = OpenRequest { attempts: 0, arrival_second: self.current_second() };
        self.limiters[n].open_requests.insert(id, open_request);
        let (customer, time_left) = (format!("{customer:016x}"), DEADLINE_MS * MS);
        let request =
            ClientRequest { id, class: 0, plan: 0, customer, time_left, units: 1.0, gateways, first_gateway };
        self.deliver(n, Event::Request(request));
    }
}
