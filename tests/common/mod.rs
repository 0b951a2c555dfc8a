//! A scripted host: delivers events to one gateway on a simulated clock and records the actions that it returns.
#![allow(dead_code)]

use pondgw::*;
use std::collections::BTreeMap;

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;

// Indices of the classes in `settings`.
pub const IDEMPOTENT: usize = 0;
pub const KEYED: usize = 1;
pub const NON_IDEMPOTENT: usize = 2;
/// Keyed, with keys shared only among the servers of one zone.
pub const KEYED_PER_ZONE: usize = 3;

// Indices of the plans in `settings`.
/// Four units a second, with bursts of eight.
pub const RATE_LIMITED: usize = 0;
/// The same with a ceiling of twice the rate and burst.
pub const WITH_CEILING: usize = 1;
/// Two requests in progress at once, no limit on units.
pub const CONCURRENCY_LIMITED: usize = 2;
pub const UNLIMITED: usize = 3;

pub fn class(idempotency: Idempotency, key_scope: KeyScope) -> Class {
    Class { slo: S, idempotency, key_scope, dedup_window: 4 * S, value: 1.0 }
}

pub fn plan(rate: f64, burst: f64) -> Plan {
    Plan { rate, burst, max_concurrent: 0.0, value_factor: 1.0, ceiling_rate: 0.0, ceiling_burst: 0.0 }
}

/// Settings of the first of two gateways.
pub fn settings() -> Settings {
    Settings {
        gateways: 2,
        gateway_index: 0,
        zone: 0,
        tick: 4 * MS,
        watch_discovery: false,
        classes: vec![
            class(Idempotency::Idempotent, KeyScope::All),
            class(Idempotency::Keyed, KeyScope::All),
            class(Idempotency::NonIdempotent, KeyScope::All),
            class(Idempotency::Keyed, KeyScope::Zone),
        ],
        plans: vec![
            plan(4.0, 8.0),
            Plan { ceiling_rate: 8.0, ceiling_burst: 16.0, ..plan(4.0, 8.0) },
            Plan { max_concurrent: 2.0, ..plan(0.0, 0.0) },
            plan(0.0, 0.0),
        ],
        max_units: 1.0,
        permissions: Permissions {
            cancel: true,
            parallel_attempts: true,
            max_attempts: 3,
            max_retry_after: S,
            send_retry_after: true,
            peer_messages: false,
            connect_timeout: 250 * MS,
        },
        counter: Some(CounterSettings { call_timeout: 50 * MS }),
        server_rules: ServerRules {
            slow_start_duration: 10 * S,
            initial_capacity: 0.25,
            overload_duration: S,
            overload_factor: 2.0,
            max_watch_interval: 0,
        },
    }
}

/// Rules of a site whose cold servers warm up slowly.
pub fn slow_start_rules() -> ServerRules {
    ServerRules {
        slow_start_duration: 17 * S,
        initial_capacity: 0.28,
        overload_duration: 2 * S,
        overload_factor: 3.0,
        max_watch_interval: 0,
    }
}

/// The list entry of a server in service. Servers alternate between two zones.
pub fn server_entry(server: ServerId) -> ServerEntry {
    ServerEntry { server, zone: server % 2, cell: 0, lifecycle: Lifecycle::Ready, weight: 1.0, started_at: 0 }
}

/// The list entry of a server that drains.
pub fn draining_entry(server: ServerId) -> ServerEntry {
    ServerEntry { lifecycle: Lifecycle::Draining, ..server_entry(server) }
}

/// The list entry of a server that discovery has removed.
pub fn removed_entry(server: ServerId) -> ServerEntry {
    ServerEntry { lifecycle: Lifecycle::Removed, ..server_entry(server) }
}

/// How the simulated counter treats calls.
#[derive(Clone, Copy, PartialEq)]
pub enum CounterMode {
    /// Adds the amount and returns the total after 2 ms.
    Answers,
    /// Adds nothing; the call times out after 50 ms.
    TimesOut,
    /// Adds nothing; the connection is refused after 2 ms.
    Unreachable,
}

/// An attempt that the gateway has sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SentAttempt {
    pub at: Micros,
    pub id: RequestId,
    /// Index of the attempt, from 0.
    pub attempt: u32,
    pub server: ServerId,
}

/// A call that the gateway has made to the counter.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CounterCall {
    pub at: Micros,
    pub name: u64,
    pub amount: f64,
}

/// One gateway with its timers, a simulated counter, and a record of all its actions.
pub struct Host {
    pub gateway: Gateway,
    pub now: Micros,
    pub timers: Vec<Micros>,
    pub counter_mode: CounterMode,
    pub counter_totals: BTreeMap<u64, f64>,
    pub counter_calls: Vec<CounterCall>,
    pub sent_attempts: Vec<SentAttempt>,
    pub attempt_counts: BTreeMap<RequestId, u32>,
    pub final_answers: Vec<(RequestId, Action)>,
    pub actions: Vec<Action>,
    /// Servers that answer every attempt after 100 ms. The test itself ends attempts at the others.
    pub responsive_servers: Vec<ServerId>,
    scheduled: Vec<(Micros, Event)>,
}

impl Host {
    pub fn new(settings: Settings, servers: usize) -> Self {
        Host::with_seed(settings, servers, 11)
    }

    pub fn with_seed(settings: Settings, servers: usize, seed: u64) -> Self {
        let now = 100 * S;
        let mut host = Host {
            gateway: Gateway::new(settings, seed, now),
            now,
            timers: Vec::new(),
            counter_mode: CounterMode::Answers,
            counter_totals: BTreeMap::new(),
            counter_calls: Vec::new(),
            sent_attempts: Vec::new(),
            attempt_counts: BTreeMap::new(),
            final_answers: Vec::new(),
            actions: Vec::new(),
            responsive_servers: Vec::new(),
            scheduled: Vec::new(),
        };
        host.deliver_list(ListKind::Cached, (0..servers).map(server_entry).collect());
        host
    }

    pub fn deliver_list(&mut self, kind: ListKind, entries: Vec<ServerEntry>) {
        self.deliver(Event::Servers { kind, entries });
    }

    /// Delivers an event to the gateway and carries out the actions that it returns.
    pub fn deliver(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.gateway.handle(self.now, event, &mut actions);
        for action in actions {
            self.actions.push(action.clone());
            match action {
                Action::Send { id, server, .. } => {
                    let attempt = self.attempt_counts.entry(id).or_insert(0);
                    self.sent_attempts.push(SentAttempt { at: self.now, id, attempt: *attempt, server });
                    if self.responsive_servers.contains(&server) {
                        let outcome = Outcome {
                            id,
                            attempt: *attempt,
                            server,
                            status: Status::Ok,
                            latency: 100 * MS,
                            request_done: true,
                            load: LoadReport::default(),
                        };
                        self.scheduled.push((self.now + 100 * MS, Event::Outcome(outcome)));
                    }
                    *attempt += 1;
                }
                Action::Refuse { id, .. } | Action::Fail { id } => self.final_answers.push((id, action)),
                Action::Timer { at, .. } => self.timers.push(at),
                Action::Count { name, amount, .. } => {
                    self.counter_calls.push(CounterCall { at: self.now, name, amount });
                    let (latency, status) = match self.counter_mode {
                        CounterMode::Answers => (2 * MS, Status::Ok),
                        CounterMode::TimesOut => (50 * MS, Status::Timeout),
                        CounterMode::Unreachable => (2 * MS, Status::ConnectFailed),
                    };
                    let total = self.counter_totals.entry(name).or_insert(0.0);
                    *total += if status == Status::Ok { amount } else { 0.0 };
                    let counted = Event::Counted { name, status, total: *total, latency };
                    self.scheduled.push((self.now + latency, counted));
                }
                Action::Cancel { .. } | Action::SendToPeer { .. } | Action::Watch => {}
            }
        }
    }

    /// Delivers a request for one unit of the customer "choir", whose requests arrive at two gateways.
    pub fn request(&mut self, id: RequestId, class: usize, plan: usize, time_left: Micros) {
        self.request_from("choir", 2, id, (class, plan, time_left));
    }

    /// Delivers a request for one unit of a customer whose requests arrive at this many gateways.
    pub fn request_from(
        &mut self,
        customer: &str,
        gateways: u32,
        id: RequestId,
        (class, plan, time_left): (usize, usize, Micros),
    ) {
        self.deliver(Event::Request(ClientRequest {
            id,
            class,
            plan,
            customer: customer.to_owned(),
            time_left,
            units: 1.0,
            gateways,
            first_gateway: 0,
        }));
    }

    /// Ends an attempt with this status and a latency of 100 ms. The status `Ok` closes the request.
    pub fn end_attempt(&mut self, id: RequestId, attempt: u32, server: ServerId, status: Status) {
        self.deliver(Event::Outcome(Outcome {
            id,
            attempt,
            server,
            status,
            latency: 100 * MS,
            request_done: status == Status::Ok,
            load: LoadReport::default(),
        }));
    }

    /// Lets a server answer an attempt with this latency and load report, which closes the request.
    pub fn serve(&mut self, sent: SentAttempt, latency: Micros, load: LoadReport) {
        let SentAttempt { id, attempt, server, .. } = sent;
        let (status, request_done) = (Status::Ok, true);
        self.deliver(Event::Outcome(Outcome { id, attempt, server, status, latency, request_done, load }));
    }

    /// Advances the clock to a time, and on the way delivers timers and scheduled events when they are due.
    pub fn run_until(&mut self, until: Micros) {
        loop {
            let timer = self.timers.iter().copied().min().unwrap_or(Micros::MAX);
            let event = self.scheduled.iter().map(|(at, _)| *at).min().unwrap_or(Micros::MAX);
            let next = timer.min(event);
            if next > until {
                break;
            }
            self.now = next.max(self.now);
            if event <= timer {
                let index = self.scheduled.iter().position(|(at, _)| *at == event).unwrap_or(0);
                let event = self.scheduled.remove(index).1;
                self.deliver(event);
            } else {
                let index = self.timers.iter().position(|at| *at == timer).unwrap_or(0);
                self.timers.remove(index);
                self.deliver(Event::Timer { token: 0 });
            }
        }
        self.now = until;
    }

    pub fn advance(&mut self, time: Micros) {
        self.run_until(self.now + time);
    }

    /// The servers that attempts of a request were sent to, in order.
    pub fn servers_tried(&self, id: RequestId) -> Vec<ServerId> {
        self.sent_attempts.iter().filter(|s| s.id == id).map(|s| s.server).collect()
    }

    /// Number of requests that were sent to a server at least once.
    pub fn requests_sent(&self) -> usize {
        self.sent_attempts.iter().filter(|s| s.attempt == 0).count()
    }

    /// The latest attempt of a request.
    pub fn latest_attempt(&self, id: RequestId) -> Option<SentAttempt> {
        self.sent_attempts.iter().rev().find(|s| s.id == id).copied()
    }

    pub fn final_answer(&self, id: RequestId) -> Option<&Action> {
        self.final_answers.iter().find(|(answered, _)| *answered == id).map(|(_, answer)| answer)
    }

    pub fn was_refused(&self, id: RequestId) -> bool {
        matches!(self.final_answer(id), Some(Action::Refuse { .. }))
    }

    pub fn was_failed(&self, id: RequestId) -> bool {
        matches!(self.final_answer(id), Some(Action::Fail { .. }))
    }
}
