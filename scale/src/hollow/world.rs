//! The world of a day: limiters, servers, and the requests that come.

use super::event_queue::{EventQueue, Pending};
use super::{Day, BEGIN, MS, S};
use crate::settings::{DEADLINE_MS, SPREAD};
use pondgw::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// What was counted in one second.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Second {
    pub(super) offered: u64,
    pub(super) served: u64,
    pub(super) refused: u64,
    pub(super) attempts: u64,
    pub(super) connections: u64,
    pub(super) counter_calls: u64,
    pub(super) list_calls: u64,
}

/// A limiter, as far as it is more than its decisions.
pub(super) struct Limiter {
    pub(super) gateway: Gateway,
    pub(super) up: bool,
    /// Its life: what is under way for an earlier one is lost with it.
    pub(super) life: u32,
    /// Discovery has answered it, and tells it of changes from then on.
    pub(super) watching: bool,
    /// Attempts of each open request, and the second in which it came.
    pub(super) open: HashMap<RequestId, (u32, usize)>,
}

/// A server.
#[derive(Clone, Copy)]
pub(super) struct Server {
    pub(super) free: Micros,
    pub(super) up: bool,
    pub(super) started: Micros,
    pub(super) draining: bool,
    pub(super) got: f64,
    pub(super) got_at: Micros,
}

/// All that a day is played with.
pub(super) struct World {
    pub(super) day: Day,
    pub(super) now: Micros,
    pub(super) random: SmallRng,
    pub(super) limiters: Vec<Limiter>,
    pub(super) servers: Vec<Server>,
    pub(super) events: EventQueue,
    pub(super) totals: HashMap<u64, f64>,
    pub(super) counter_free: Micros,
    pub(super) discovery_free: Micros,
    pub(super) failing: bool,
    pub(super) used: HashMap<(u32, u32), Micros>,
    pub(super) seconds: Vec<Second>,
    pub(super) last_id: RequestId,
    pub(super) spent: Duration,
    pub(super) handled: u64,
}

impl World {
    /// A world in which nothing has begun.
    pub(super) fn new(day: Day) -> Self {
        let server = Server { free: 0, up: true, started: 0, draining: false, got: 0.0, got_at: 0 };
        World {
            day,
            now: BEGIN,
            random: SmallRng::seed_from_u64(day.seed),
            limiters: Vec::new(),
            servers: vec![server; day.deployment.servers],
            events: EventQueue::default(),
            totals: HashMap::new(),
            counter_free: 0,
            discovery_free: 0,
            failing: false,
            used: HashMap::new(),
            seconds: vec![Second::default(); day.seconds as usize + 2],
            last_id: 0,
            spent: Duration::ZERO,
            handled: 0,
        }
    }

    /// The present second of the day.
    pub(super) fn second_now(&self) -> usize {
        (((self.now - BEGIN) / S) as usize).min(self.seconds.len() - 1)
    }

    /// What is counted in the present second.
    pub(super) fn second(&mut self) -> &mut Second {
        let at = self.second_now();
        &mut self.seconds[at]
    }

    /// The whole list of servers.
    pub(super) fn entries(&self) -> Vec<ServerEntry> {
        (0..self.servers.len()).map(|n| self.entry(n)).collect()
    }

    /// One row of it.
    pub(super) fn entry(&self, n: usize) -> ServerEntry {
        let Server { started, draining, .. } = self.servers[n];
        let state = if draining { Lifecycle::Draining } else { Lifecycle::Ready };
        let (zone, cell) = (self.day.deployment.zone_of(n), (n % 16) as u64);
        ServerEntry { server: n, zone, cell, lifecycle: state, weight: 1.0, started_at: started }
    }

    /// Gives a limiter an event and does what its module asks for.
    pub(super) fn give(&mut self, n: usize, event: Event) {
        let mut actions = Vec::new();
        let start = Instant::now();
        self.limiters[n].gateway.handle(self.now, event, &mut actions);
        self.spent += start.elapsed();
        self.handled += 1;
        let life = self.limiters[n].life;
        for action in actions {
            match action {
                Action::Send { id, server, .. } => self.send(n, id, server),
                Action::Refuse { id, .. } | Action::Fail { id } => {
                    if let Some((_, second)) = self.limiters[n].open.remove(&id) {
                        self.seconds[second].refused += 1;
                    }
                }
                Action::Timer { at, .. } => self.events.push(at.max(self.now), life, Pending::Timer(n)),
                Action::Count { name, amount, .. } => self.count(n, name, amount),
                Action::Watch => self.ask(n),
                Action::Cancel { .. } | Action::SendToPeer { .. } => {}
            }
        }
    }

    /// Starts a limiter, with the list as it is.
    pub(super) fn start(&mut self, n: usize) {
        let setup = HostSettings::from_json(&self.day.deployment.settings(n as u32));
        let settings = setup.expect("the deployment's own settings are sound").settings;
        let seed = self.random.random();
        let gateway = Gateway::new(settings, seed, self.now);
        match self.limiters.get_mut(n) {
            Some(limiter) => (limiter.gateway, limiter.up, limiter.watching) = (gateway, true, false),
            None => self.limiters.push(Limiter {
                gateway,
                up: true,
                life: 0,
                watching: false,
                open: HashMap::new(),
            }),
        }
        let entries = self.entries();
        self.give(n, Event::Servers { kind: ListKind::Cached, entries });
        if !self.day.deployment.ask {
            // Its own agent answers at once.
            self.second().list_calls += 1;
            self.events.push(
                self.now + MS,
                self.limiters[n].life,
                Pending::List { limiter: n, answered: true },
            );
        }
    }

    /// A request comes to one of its tenant's limiters, and the next one is put on its way.
    pub(super) fn arrive(&mut self) {
        if self.now >= BEGIN + self.day.seconds * S {
            return;
        }
        let gap = -(1.0 - self.random.random::<f64>()).ln() / self.day.rate;
        self.events.push(self.now + (gap * S as f64) as Micros, 0, Pending::Arrival);
        let limiters = self.limiters.len() as u32;
        let tenant = self.random.random_range(0..self.day.tenants);
        let (spread, first) = (SPREAD.min(limiters), (tenant % u64::from(limiters)) as u32);
        // The first of a tenant's limiters gets most.
        let door = ((self.random.random::<f64>().powi(2)) * f64::from(spread)) as u32;
        let Some(n) = (door..door + spread)
            .map(|d| ((first + d % spread) % limiters) as usize)
            .find(|n| self.limiters[*n].up)
        else {
            return;
        };
        self.last_id += 1;
        self.second().offered += 1;
        let id = self.last_id;
        let second = self.second_now();
        self.limiters[n].open.insert(id, (0, second));
        let (customer, left) = (format!("{tenant:016x}"), DEADLINE_MS * MS);
        let demand = ClientRequest {
            id,
            class: 0,
            plan: 0,
            customer,
            time_left: left,
            units: 1.0,
            gateways: spread,
            first_gateway: first,
        };
        self.give(n, Event::Request(demand));
    }

    /// Tells the limiters of these servers that discovery has answered.
    pub(super) fn tell_all(&mut self, servers: &[usize]) {
        let entries: Vec<ServerEntry> = servers.iter().map(|n| self.entry(*n)).collect();
        for n in 0..self.limiters.len() {
            if self.limiters[n].up && self.limiters[n].watching {
                self.give(n, Event::Servers { kind: ListKind::Delta, entries: entries.clone() });
            }
        }
    }

    /// Carries out what was to come.
    pub(super) fn take(&mut self, life: u32, pending: Pending) {
        let alive = |n: usize, world: &World| world.limiters[n].up && world.limiters[n].life == life;
        match pending {
            Pending::Arrival => self.arrive(),
            Pending::Timer(n) if alive(n, self) => self.give(n, Event::Timer { token: 0 }),
            Pending::Outcome(n, outcome) if alive(n, self) => {
                if outcome.request_done {
                    if let Some((_, second)) = self.limiters[n].open.remove(&outcome.id) {
                        self.seconds[second].served += 1;
                    }
                }
                self.give(n, Event::Outcome(outcome));
            }
            Pending::Counted { limiter: n, name, status, total, latency } if alive(n, self) => {
                self.give(n, Event::Counted { name, status, total, latency });
            }
            Pending::List { limiter: n, answered } if alive(n, self) => {
                self.limiters[n].watching |= answered;
                let kind = if answered { ListKind::Full } else { ListKind::Failed };
                let entries = if answered { self.entries() } else { Vec::new() };
                self.give(n, Event::Servers { kind, entries });
            }
            Pending::Change => {
                let gap = (S as f64 / self.day.changes) as Micros;
                self.events.push(self.now + gap, 0, Pending::Change);
                let n = self.random.random_range(0..self.servers.len());
                self.servers[n].draining = !self.servers[n].draining;
                self.tell_all(&[n]);
            }
            Pending::Fault => self.fail(),
            Pending::Repair => self.repair(),
            Pending::Return(n) => self.start(n),
            _ => {}
        }
    }
}
