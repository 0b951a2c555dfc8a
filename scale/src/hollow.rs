//! Many instances of the decision module in one process, on a virtual clock, against a model of all else.
//!
//! What the model leaves out: sockets and the processor time of limiters, retries by clients, bytes on the wire, the
//! growth of queues in the network, idle connections that servers close, and discovery's calls beside one that is
//! late. A connection costs a round trip. Servers work off one request after the other. Of a tenant's limiters each
//! gets its own part of the requests all the time.

use crate::process;
use crate::report::Run;
use crate::settings::{Deployment, DEADLINE_MS, SPREAD};
use clap::ValueEnum;
use pondgw::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::{Duration, Instant};

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
/// When days begin, on the module's clock: a server's start lies before it.
const BEGIN: Micros = 100 * S;
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

/// What goes wrong in the middle third of the day.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Fault {
    /// Nothing.
    None,
    /// Seven in ten limiters are killed at once and come back within 1.6 to 7.4 s.
    Restart,
    /// The servers of one zone vanish, and start anew.
    Zone,
    /// One of twenty servers vanishes, and starts anew.
    Rack,
    /// Regions do not reach each other, nor the counter, which stands in the first.
    Regions,
    /// Discovery answers nothing.
    Discovery,
    /// The counter answers nothing.
    Counter,
}

/// One day.
#[derive(Debug, Clone, Copy)]
pub struct Day {
    /// What it is played with.
    pub deployment: Deployment,
    /// Tenants.
    pub tenants: u64,
    /// Requests a second, over all limiters.
    pub rate: f64,
    /// Changes of the list a second.
    pub changes: f64,
    /// Length in seconds.
    pub seconds: u64,
    /// What goes wrong.
    pub fault: Fault,
    /// Seed of all random numbers.
    pub seed: u64,
}

/// Calls that the counter and discovery take in a second, and the use that the traffic makes of all servers.
const COUNTER_RATE: f64 = 100_000.0;
const DISCOVERY_RATE: f64 = 200.0;
const USE: f64 = 0.5;
/// Requests that a server can do in a second, at the least: before many servers each of them is not slower for it.
const CAPACITY_LEAST: f64 = 10.0;

/// What was counted in one second.
#[derive(Debug, Clone, Copy, Default)]
struct Second {
    offered: u64,
    served: u64,
    refused: u64,
    attempts: u64,
    connections: u64,
    counter_calls: u64,
    list_calls: u64,
}

enum What {
    Arrival,
    Timer(usize),
    Outcome(usize, Outcome),
    Counted(usize, u64, Status, f64, Micros),
    List(usize, bool),
    Change,
    Fault,
    Repair,
    Return(usize),
}

struct Limiter {
    gateway: Gateway,
    up: bool,
    /// Its life: what is under way for an earlier one is lost with it.
    life: u32,
    /// Discovery has answered it, and tells it of changes from then on.
    watching: bool,
    /// Attempts of each open request, and the second in which it came.
    open: HashMap<RequestId, (u32, usize)>,
}

#[derive(Clone, Copy)]
struct Server {
    free: Micros,
    up: bool,
    started: Micros,
    draining: bool,
    got: f64,
    got_at: Micros,
}

struct World {
    day: Day,
    now: Micros,
    random: SmallRng,
    limiters: Vec<Limiter>,
    servers: Vec<Server>,
    queue: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    events: Vec<Option<(u32, What)>>,
    free: Vec<usize>,
    order: u64,
    totals: HashMap<u64, f64>,
    counter_free: Micros,
    discovery_free: Micros,
    failing: bool,
    used: HashMap<(u32, u32), Micros>,
    seconds: Vec<Second>,
    last_id: RequestId,
    spent: Duration,
    handled: u64,
}

impl World {
    fn new(day: Day) -> Self {
        let server = Server { free: 0, up: true, started: 0, draining: false, got: 0.0, got_at: 0 };
        World {
            day,
            now: BEGIN,
            random: SmallRng::seed_from_u64(day.seed),
            limiters: Vec::new(),
            servers: vec![server; day.deployment.servers],
            queue: BinaryHeap::new(),
            events: Vec::new(),
            free: Vec::new(),
            order: 0,
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

    fn second_now(&self) -> usize {
        (((self.now - BEGIN) / S) as usize).min(self.seconds.len() - 1)
    }

    fn second(&mut self) -> &mut Second {
        let at = self.second_now();
        &mut self.seconds[at]
    }

    fn at(&mut self, at: Micros, life: u32, what: What) {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.events.push(None);
            self.events.len() - 1
        });
        self.events[slot] = Some((life, what));
        self.order += 1;
        self.queue.push(Reverse((at, self.order, slot)));
    }

    fn entries(&self) -> Vec<Entry> {
        (0..self.servers.len()).map(|n| self.entry(n)).collect()
    }

    fn entry(&self, n: usize) -> Entry {
        let Server { started, draining, .. } = self.servers[n];
        let state = if draining { Lifecycle::Draining } else { Lifecycle::Ready };
        let (zone, cell) = (self.day.deployment.zone_of(n), (n % 16) as u64);
        Entry { server: n, zone, cell, state, weight: 1.0, started }
    }

    fn region(&self, zone: usize) -> usize {
        zone / self.day.deployment.zones
    }

    fn one_way(&self, limiter: usize, zone: usize) -> Micros {
        let here = limiter % self.day.deployment.all_zones();
        let borders = usize::from(here != zone) + usize::from(self.region(here) != self.region(zone));
        ONE_WAY[borders]
    }

    fn apart(&self, limiter: usize, zone: usize) -> bool {
        let here = limiter % self.day.deployment.all_zones();
        self.failing && self.day.fault == Fault::Regions && self.region(here) != self.region(zone)
    }

    /// Gives a limiter an event and does what its module asks for.
    fn give(&mut self, n: usize, event: Event) {
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
                Action::Timer { at, .. } => self.at(at.max(self.now), life, What::Timer(n)),
                Action::Count { name, amount, .. } => self.count(n, name, amount),
                Action::Watch => self.ask(n),
                Action::Cancel { .. } | Action::Tell { .. } => {}
            }
        }
    }

    fn send(&mut self, n: usize, id: RequestId, server: usize) {
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
            (Status::Full, begun + way)
        } else {
            state.free = state.free.max(begun) + (S as f64 / capacity) as Micros;
            (Status::Ok, state.free + way)
        };
        state.got = state.got * (-((now.saturating_sub(state.got_at)) as f64 / S as f64)).exp() + 1.0;
        state.got_at = now;
        let load = Load {
            inflight: Some((state.free.saturating_sub(begun) as f64 * capacity / S as f64).ceil()),
            util: Some((state.got / capacity).min(1.0)),
            qps: Some(state.got.min(capacity)),
            latency_ms: None,
        };
        let load = if status == Status::ConnectFailed { Load::default() } else { load };
        let (latency, closed) = (done - self.now, status == Status::Ok);
        let outcome = Outcome { id, attempt, server, status, latency, closed, load };
        self.at(done, self.limiters[n].life, What::Outcome(n, outcome));
    }

    fn count(&mut self, n: usize, name: u64, amount: f64) {
        self.second().counter_calls += 1;
        let way = self.one_way(n, 0);
        let silent = self.failing && self.day.fault == Fault::Counter || self.apart(n, 0);
        self.counter_free = self.counter_free.max(self.now + way) + (S as f64 / COUNTER_RATE) as Micros;
        let done = self.counter_free + way;
        let life = self.limiters[n].life;
        if silent || done > self.now + COUNT_LIMIT {
            let lost = What::Counted(n, name, Status::Timeout, 0.0, COUNT_LIMIT);
            return self.at(self.now + COUNT_LIMIT, life, lost);
        }
        let total = self.totals.entry(name).or_insert(0.0);
        *total += amount;
        let (total, took) = (*total, done - self.now);
        self.at(done, life, What::Counted(n, name, Status::Ok, total, took));
    }

    fn ask(&mut self, n: usize) {
        self.second().list_calls += 1;
        let life = self.limiters[n].life;
        self.discovery_free = self.discovery_free.max(self.now) + (S as f64 / DISCOVERY_RATE) as Micros;
        let done = self.discovery_free + MS;
        if self.failing && self.day.fault == Fault::Discovery || done > self.now + LATE {
            return self.at(self.now + LATE, life, What::List(n, false));
        }
        self.at(done, life, What::List(n, true));
    }

    /// Starts a limiter, with the list as it is.
    fn start(&mut self, n: usize) {
        let setup = Setup::read(&self.day.deployment.settings(n as u32));
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
            self.at(self.now + MS, self.limiters[n].life, What::List(n, true));
        }
    }

    fn arrive(&mut self) {
        if self.now >= BEGIN + self.day.seconds * S {
            return;
        }
        let gap = -(1.0 - self.random.random::<f64>()).ln() / self.day.rate;
        self.at(self.now + (gap * S as f64) as Micros, 0, What::Arrival);
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
        let demand = Demand { id, class: 0, plan: 0, customer, left, units: 1.0, spread, first };
        self.give(n, Event::Request(demand));
    }

    fn tell_all(&mut self, servers: &[usize]) {
        let entries: Vec<Entry> = servers.iter().map(|n| self.entry(*n)).collect();
        for n in 0..self.limiters.len() {
            if self.limiters[n].up && self.limiters[n].watching {
                self.give(n, Event::Servers { kind: ListKind::Delta, entries: entries.clone() });
            }
        }
    }

    /// Servers that the fault takes.
    fn hit(&self) -> Vec<usize> {
        let hit = |n: &usize| match self.day.fault {
            Fault::Zone => self.day.deployment.zone_of(*n) == 0,
            Fault::Rack => n % 20 == 0,
            _ => false,
        };
        (0..self.servers.len()).filter(hit).collect()
    }

    fn fail(&mut self) {
        self.failing = true;
        for n in self.hit() {
            self.servers[n].up = false;
        }
        for n in 0..self.limiters.len() {
            let lives = self.limiters[n].life;
            if self.day.fault == Fault::Restart && self.random.random_bool(0.7) {
                let limiter = &mut self.limiters[n];
                (limiter.up, limiter.life) = (false, lives + 1);
                limiter.open.clear();
                let away = self.random.random_range(1_600 * MS..7_400 * MS);
                self.at(self.now + away, 0, What::Return(n));
            } else if self.day.fault == Fault::Discovery {
                self.limiters[n].watching = false;
                if !self.day.deployment.ask {
                    continue;
                }
                self.give(n, Event::Servers { kind: ListKind::Failed, entries: Vec::new() });
            }
        }
    }

    fn repair(&mut self) {
        self.failing = false;
        let back = self.hit();
        for n in &back {
            let (up, started) = (true, self.now);
            self.servers[*n] = Server { up, started, free: self.now, ..self.servers[*n] };
        }
        if !back.is_empty() {
            self.tell_all(&back);
        }
        if self.day.fault == Fault::Discovery && !self.day.deployment.ask {
            for n in 0..self.limiters.len() {
                self.at(self.now + MS, self.limiters[n].life, What::List(n, true));
            }
        }
    }

    fn take(&mut self, life: u32, what: What) {
        let alive = |n: usize, world: &World| world.limiters[n].up && world.limiters[n].life == life;
        match what {
            What::Arrival => self.arrive(),
            What::Timer(n) if alive(n, self) => self.give(n, Event::Timer { token: 0 }),
            What::Outcome(n, outcome) if alive(n, self) => {
                if outcome.closed {
                    if let Some((_, second)) = self.limiters[n].open.remove(&outcome.id) {
                        self.seconds[second].served += 1;
                    }
                }
                self.give(n, Event::Outcome(outcome));
            }
            What::Counted(n, name, status, total, latency) if alive(n, self) => {
                self.give(n, Event::Counted { name, status, total, latency });
            }
            What::List(n, answered) if alive(n, self) => {
                self.limiters[n].watching |= answered;
                let kind = if answered { ListKind::Full } else { ListKind::Failed };
                let entries = if answered { self.entries() } else { Vec::new() };
                self.give(n, Event::Servers { kind, entries });
            }
            What::Change => {
                let gap = (S as f64 / self.day.changes) as Micros;
                self.at(self.now + gap, 0, What::Change);
                let n = self.random.random_range(0..self.servers.len());
                self.servers[n].draining = !self.servers[n].draining;
                self.tell_all(&[n]);
            }
            What::Fault => self.fail(),
            What::Repair => self.repair(),
            What::Return(n) => self.start(n),
            _ => {}
        }
    }
}

/// Plays a day and adds what was counted.
pub fn play(day: Day, run: &mut Run) {
    let mut world = World::new(day);
    let before = process::memory(std::process::id()).map_or(0.0, |m| m.0);
    for n in 0..day.deployment.limiters as usize {
        world.start(n);
    }
    let state = process::memory(std::process::id()).map_or(0.0, |m| m.0) - before;
    let (start_spent, length) = (world.spent, day.seconds * S);
    (world.spent, world.handled) = (Duration::ZERO, 0);
    world.at(BEGIN, 0, What::Arrival);
    if day.changes > 0.0 {
        world.at(BEGIN + S, 0, What::Change);
    }
    if day.fault != Fault::None {
        world.at(BEGIN + length / 3, 0, What::Fault);
        world.at(BEGIN + length / 3 * 2, 0, What::Repair);
    }
    while let Some(Reverse((at, _, slot))) = world.queue.pop() {
        // What came in the last second has time for its answer.
        if at > BEGIN + length + S {
            break;
        }
        world.now = at;
        if let Some((life, what)) = world.events[slot].take() {
            world.free.push(slot);
            world.take(life, what);
        }
    }
    let seconds = &world.seconds[..day.seconds as usize];
    let total = |of: fn(&Second) -> u64| seconds.iter().map(of).sum::<u64>() as f64;
    let worst = |of: fn(&Second) -> u64| seconds.iter().map(of).max().unwrap_or(0) as f64;
    let offered = total(|s| s.offered).max(1.0);
    run.put("served_share", total(|s| s.served) / offered);
    let least = seconds.iter().filter(|s| s.offered > 0).map(|s| s.served as f64 / s.offered as f64);
    run.put("served_share_worst_s", least.fold(f64::MAX, f64::min));
    run.put("refused_share", total(|s| s.refused) / offered);
    run.put("attempts_a_request", total(|s| s.attempts) / offered);
    run.put("counter_calls_a_request", total(|s| s.counter_calls) / offered);
    run.put("counter_calls_worst_s", worst(|s| s.counter_calls));
    run.put("connections_a_request", total(|s| s.connections) / offered);
    run.put("connections_worst_s", worst(|s| s.connections));
    run.put("list_calls_s", total(|s| s.list_calls) / day.seconds as f64);
    run.put("list_calls_worst_s", worst(|s| s.list_calls));
    run.put("events_a_request", world.handled as f64 / offered);
    run.put("module_us_a_request", world.spent.as_secs_f64() * 1e6 / offered);
    run.put("module_us_a_list", start_spent.as_secs_f64() * 1e6 / f64::from(day.deployment.limiters));
    run.put("state_kb_a_limiter", state * 1024.0 / f64::from(day.deployment.limiters));
}
