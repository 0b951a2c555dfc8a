//! Models of what limiters talk to: servers, the counter and discovery, and the network between them.

use super::engine::Simulation;
use super::event_queue::SimulationEvent;
use super::{Fault, MS, SECOND};
use pondgw::*;

/// One-way network latency within a zone, between zones of a region, and between regions.
const ONE_WAY_LATENCY: [Micros; 3] = [100, 500, 30 * MS];
/// Zone in which the counter runs.
const COUNTER_ZONE: usize = 0;
/// Time after which connecting to a server fails, equal to `dial-timeout` in the settings.
const CONNECT_TIMEOUT: Micros = 250 * MS;
/// Time for which a limiter keeps an idle connection: a third of `keepalive` in the settings, after which servers may
/// close it.
const IDLE_CONNECTION_TIME: Micros = 5 * SECOND;
/// Time after which a call to the counter fails, equal to `count-limit` in the settings.
const COUNTER_TIMEOUT: Micros = 30 * MS;
/// Time after which a call to discovery fails.
const DISCOVERY_TIMEOUT: Micros = 1_500 * MS;
/// A server declines a request when it has a backlog of more than this time.
const MAX_BACKLOG: Micros = SECOND;

/// Calls that the counter can answer in a second.
const COUNTER_CALLS_PER_SECOND: f64 = 100_000.0;
/// Calls that discovery can answer in a second.
const DISCOVERY_CALLS_PER_SECOND: f64 = 200.0;
/// Share of the capacity of all servers that the scenario's requests use.
const UTILIZATION: f64 = 0.5;
/// Least capacity of a server, in requests per second: its service time must not grow with the number of servers.
const MIN_CAPACITY: f64 = 10.0;

impl Simulation {
    fn region_of_zone(&self, zone: usize) -> usize {
        zone / self.scenario.deployment.zones_per_region
    }

    /// Network latency from a limiter to a zone.
    fn one_way_latency(&self, limiter: usize, zone: usize) -> Micros {
        let own_zone = self.scenario.deployment.zone_of_limiter(limiter);
        let other_zone = usize::from(own_zone != zone);
        let other_region = usize::from(self.region_of_zone(own_zone) != self.region_of_zone(zone));
        ONE_WAY_LATENCY[other_zone + other_region]
    }

    /// Whether the fault keeps a limiter from reaching a zone.
    fn is_partitioned(&self, limiter: usize, zone: usize) -> bool {
        let own_zone = self.scenario.deployment.zone_of_limiter(limiter);
        self.is_failing(Fault::Regions) && self.region_of_zone(own_zone) != self.region_of_zone(zone)
    }

    /// Whether this is the scenario's fault and it has begun and not ended.
    fn is_failing(&self, fault: Fault) -> bool {
        self.fault_active && self.scenario.fault == fault
    }

    /// Models an attempt: its connection, the server's work and the outcome.
    pub(super) fn send_attempt(&mut self, n: usize, id: RequestId, server: usize) {
        self.counts().attempts += 1;
        let attempt = match self.limiters[n].open_requests.get_mut(&id) {
            Some(request) => {
                request.attempts += 1;
                request.attempts - 1
            }
            None => 0,
        };
        let zone = self.scenario.deployment.zone_of_server(server);
        let latency = self.one_way_latency(n, zone);
        let last_used = self.connections_last_used.insert((n as u32, server as u32), self.now);
        let is_connected = last_used.is_some_and(|at| at + IDLE_CONNECTION_TIME > self.now);
        let mut received = self.now + latency;
        if !is_connected {
            self.counts().connections += 1;
            received += 2 * latency;
        }
        let capacity = self.server_capacity();
        let (is_partitioned, now) = (self.is_partitioned(n, zone), self.now);
        let state = &mut self.servers[server];
        let (status, done) = if !state.up || is_partitioned {
            (Status::ConnectFailed, now + CONNECT_TIMEOUT)
        } else if state.busy_until > received + MAX_BACKLOG {
            (Status::Declined, received + latency)
        } else {
            state.busy_until = state.busy_until.max(received) + (SECOND as f64 / capacity) as Micros;
            (Status::Ok, state.busy_until + latency)
        };
        state.count_attempt(now);
        let load = if status == Status::ConnectFailed {
            LoadReport::default()
        } else {
            let backlog = state.busy_until.saturating_sub(received) as f64;
            LoadReport {
                inflight: Some((backlog * capacity / SECOND as f64).ceil()),
                util: Some((state.attempt_rate / capacity).min(1.0)),
                qps: Some(state.attempt_rate.min(capacity)),
                service_time_ms: None,
            }
        };
        let (latency, request_done) = (done - self.now, status == Status::Ok);
        let outcome = Outcome { id, attempt, server, status, latency, request_done, load };
        self.push_for_limiter(done, n, SimulationEvent::AttemptEnds(n, outcome));
    }

    /// Requests per second that a server can serve.
    fn server_capacity(&self) -> f64 {
        (self.scenario.requests_per_second / UTILIZATION / self.servers.len() as f64).max(MIN_CAPACITY)
    }

    /// Models a call to the counter. A call that fails leaves the total as it was.
    pub(super) fn call_counter(&mut self, n: usize, name: u64, amount: f64) {
        self.counts().counter_calls += 1;
        let latency = self.one_way_latency(n, COUNTER_ZONE);
        let is_unreachable = self.is_failing(Fault::Counter) || self.is_partitioned(n, COUNTER_ZONE);
        self.counter_busy_until = self.counter_busy_until.max(self.now + latency)
            + (SECOND as f64 / COUNTER_CALLS_PER_SECOND) as Micros;
        let done = self.counter_busy_until + latency;
        if is_unreachable || done > self.now + COUNTER_TIMEOUT {
            let failed = SimulationEvent::CounterCallEnds {
                limiter: n,
                name,
                status: Status::Timeout,
                total: 0.0,
                latency: COUNTER_TIMEOUT,
            };
            return self.push_for_limiter(self.now + COUNTER_TIMEOUT, n, failed);
        }
        let total = self.totals.entry(name).or_insert(0.0);
        *total += amount;
        let (total, latency) = (*total, done - self.now);
        let counted =
            SimulationEvent::CounterCallEnds { limiter: n, name, status: Status::Ok, total, latency };
        self.push_for_limiter(done, n, counted);
    }

    /// Models a call to discovery.
    pub(super) fn call_discovery(&mut self, n: usize) {
        self.counts().list_calls += 1;
        self.discovery_busy_until =
            self.discovery_busy_until.max(self.now) + (SECOND as f64 / DISCOVERY_CALLS_PER_SECOND) as Micros;
        let done = self.discovery_busy_until + MS;
        let (at, answered) = if self.is_failing(Fault::Discovery) || done > self.now + DISCOVERY_TIMEOUT {
            (self.now + DISCOVERY_TIMEOUT, false)
        } else {
            (done, true)
        };
        self.push_for_limiter(at, n, SimulationEvent::DiscoveryCallEnds { limiter: n, answered });
    }
}
