//! Models of what limiters talk to: servers, the counter, discovery, and the ways there.

use super::event_queue::Pending;
use super::world::World;
use super::{Fault, MS, S};
use pondgw::*;

/// One way within a zone, within a region, and between regions.
const ONE_WAY: [Micros; 3] = [100, 500, 30 * MS];
/// Time after which a connection that does not come up has failed, as the settings have it.
const DIAL: Micros = 250 * MS;
/// Time for which a connection is kept idle: a third of what the settings give servers.
const KEPT: Micros = 5 * S;
/// Time after which a call to the counter is given up, as the settings have it.
const COUNT_LIMIT: Micros = 30 * MS;
/// Time after which an answer of discovery is late.
const LATE: Micros = 1_500 * MS;
/// Longest work that a server takes on, in time.
const QUEUE: Micros = S;

/// Calls that the counter and discovery take in a second, and the use that the traffic makes of all servers.
const COUNTER_RATE: f64 = 100_000.0;
const DISCOVERY_RATE: f64 = 200.0;
const USE: f64 = 0.5;
/// Requests that a server can do in a second, at the least: before many servers each of them is not slower for it.
const CAPACITY_LEAST: f64 = 10.0;

impl World {
    /// Region of a zone.
    fn region(&self, zone: usize) -> usize {
        zone / self.day.deployment.zones
    }

    /// Time from a limiter to a zone.
    fn one_way(&self, limiter: usize, zone: usize) -> Micros {
        let here = limiter % self.day.deployment.all_zones();
        let borders = usize::from(here != zone) + usize::from(self.region(here) != self.region(zone));
        ONE_WAY[borders]
    }

    /// Whether a limiter does not reach a zone.
    fn apart(&self, limiter: usize, zone: usize) -> bool {
        let here = limiter % self.day.deployment.all_zones();
        self.failing && self.day.fault == Fault::Regions && self.region(here) != self.region(zone)
    }

    /// Models an attempt: its connection, the server's work, and its outcome.
    pub(super) fn send(&mut self, n: usize, id: RequestId, server: usize) {
        self.second().attempts += 1;
        let attempt = match self.limiters[n].open.get_mut(&id) {
            Some((attempts, _)) => {
                *attempts += 1;
                *attempts - 1
            }
            None => 0,
        };
        let zone = self.day.deployment.zone_of(server);
        let way = self.one_way(n, zone);
        let kept =
            self.used.insert((n as u32, server as u32), self.now).is_some_and(|at| at + KEPT > self.now);
        let mut begun = self.now + way;
        if !kept {
            self.second().connections += 1;
            begun += 2 * way;
        }
        let capacity = (self.day.rate / USE / self.servers.len() as f64).max(CAPACITY_LEAST);
        let (apart, now) = (self.apart(n, zone), self.now);
        let state = &mut self.servers[server];
        let (status, done) = if !state.up || apart {
            (Status::ConnectFailed, now + DIAL)
        } else if state.free > begun + QUEUE {
            (Status::Declined, begun + way)
        } else {
            state.free = state.free.max(begun) + (S as f64 / capacity) as Micros;
            (Status::Ok, state.free + way)
        };
        state.got = state.got * (-((now.saturating_sub(state.got_at)) as f64 / S as f64)).exp() + 1.0;
        state.got_at = now;
        let load = LoadReport {
            inflight: Some((state.free.saturating_sub(begun) as f64 * capacity / S as f64).ceil()),
            util: Some((state.got / capacity).min(1.0)),
            qps: Some(state.got.min(capacity)),
            service_time_ms: None,
        };
        let load = if status == Status::ConnectFailed { LoadReport::default() } else { load };
        let (latency, closed) = (done - self.now, status == Status::Ok);
        let outcome = Outcome { id, attempt, server, status, latency, request_done: closed, load };
        let life = self.limiters[n].life;
        self.events.push(done, life, Pending::Outcome(n, outcome));
    }

    /// Models a call to the counter.
    pub(super) fn count(&mut self, n: usize, name: u64, amount: f64) {
        self.second().counter_calls += 1;
        let way = self.one_way(n, 0);
        let silent = self.failing && self.day.fault == Fault::Counter || self.apart(n, 0);
        self.counter_free = self.counter_free.max(self.now + way) + (S as f64 / COUNTER_RATE) as Micros;
        let done = self.counter_free + way;
        let life = self.limiters[n].life;
        if silent || done > self.now + COUNT_LIMIT {
            let lost = Pending::Counted {
                limiter: n,
                name,
                status: Status::Timeout,
                total: 0.0,
                latency: COUNT_LIMIT,
            };
            return self.events.push(self.now + COUNT_LIMIT, life, lost);
        }
        let total = self.totals.entry(name).or_insert(0.0);
        *total += amount;
        let (total, took) = (*total, done - self.now);
        self.events.push(
            done,
            life,
            Pending::Counted { limiter: n, name, status: Status::Ok, total, latency: took },
        );
    }

    /// Models a call to discovery.
    pub(super) fn ask(&mut self, n: usize) {
        self.second().list_calls += 1;
        let life = self.limiters[n].life;
        self.discovery_free = self.discovery_free.max(self.now) + (S as f64 / DISCOVERY_RATE) as Micros;
        let done = self.discovery_free + MS;
        if self.failing && self.day.fault == Fault::Discovery || done > self.now + LATE {
            return self.events.push(self.now + LATE, life, Pending::List { limiter: n, answered: false });
        }
        self.events.push(done, life, Pending::List { limiter: n, answered: true });
    }
}
