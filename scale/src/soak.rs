//! Soak test: real limiters are terminated, killed and restarted again and again, while servers and clients misbehave
//! at random. Each request is followed from its client to the servers and back.

mod client;
mod request_log;
mod server;

use crate::deployment::Deployment;
use crate::limiter::{send_signal, Endpoints, LimiterProcess, ResourceLimits};
use crate::standins::{self, Discovery};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
pub use request_log::Summary;
use request_log::{RequestLog, DEDUP_WINDOW};
use serde_json::{json, Value};
use server::Server;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, sleep_until};

/// Deadlines of requests; each run uses one.
const DEADLINES_MS: [u64; 3] = [200, 1_000, 3_000];
/// Number of clients.
const CLIENTS: usize = 24;
/// Number of servers.
const SERVERS: usize = 6;
/// Number of limiters.
const LIMITERS: std::ops::RangeInclusive<usize> = 2..=4;
/// Time from when a limiter is ready to the first signal, in milliseconds.
const UPTIME_MS: std::ops::Range<u64> = 800..1_800;
/// Time between two signals of a sequence, in milliseconds.
const SIGNAL_INTERVAL_MS: std::ops::Range<u64> = 0..150;
/// Time after SIGTERM for which clients still open new connections (from the specification).
const NEW_CONNECTIONS_AFTER_TERM: Duration = Duration::from_millis(300);
/// A limiter that still runs after SIGTERM is killed after this time plus the requests' deadline.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// Most of the deadline that counts towards the delay before SIGKILL.
const MAX_DEADLINE_BEFORE_KILL: Duration = Duration::from_secs(3);
/// A limiter that is not ready this long after its start counts as failed.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which a limiter is paused now and then (from the specification), in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 20..150;
/// Time between two pauses of a limiter, in milliseconds.
const PAUSE_INTERVAL_MS: std::ops::Range<u64> = 100..500;
/// Number of times that each limiter is terminated and restarted in a run.
const TERMINATIONS: usize = 3;
/// Interval between two changes of the list of servers.
const LIST_CHANGE_INTERVAL: Duration = Duration::from_millis(700);
/// Time after the last limiter has ended for clients to finish their last requests.
const CLIENT_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);
/// One run in this many opens idle connections to limiters that have few descriptors.
const CROWDED_RUN_INTERVAL: u64 = 3;
/// Idle connections to each limiter of a crowded run.
const IDLE_CONNECTIONS: usize = 80;
/// Descriptors of each limiter in a crowded run.
const CROWDED_SOCKETS: u32 = 128;
/// Descriptors of each limiter in any other run.
const SOCKETS: u32 = 1_024;
/// Sequences of signals; each termination of a limiter uses one of them, drawn at random.
const SIGNAL_SEQUENCES: [&[&str]; 5] = [
    &["TERM"],
    &["TERM", "TERM", "HUP"],
    &["HUP", "TERM"],
    &["HUP", "HUP", "TERM"],
    &["TERM", "HUP", "TERM"],
];

/// State that the tasks of a run share.
pub struct SharedState {
    log: Rc<RequestLog>,
    /// Deadline of every request.
    deadline: Duration,
    limiters: Vec<LimiterStatus>,
    /// The limiters have ended for the last time, and the clients stop.
    finished: Cell<bool>,
}

/// What clients know of a limiter.
struct LimiterStatus {
    address: SocketAddr,
    /// Clients may open new connections.
    accepting: Cell<bool>,
}

impl SharedState {
    fn accepting_limiters(&self) -> Vec<SocketAddr> {
        self.limiters
            .iter()
            .filter(|limiter| limiter.accepting.get())
            .map(|limiter| limiter.address)
            .collect()
    }
}

/// Draws a value by its share in percent; the rest of the hundred percent goes to `default`.
fn draw_by_share<T: Copy>(random: &mut SmallRng, shares: &[(T, u32)], default: T) -> T {
    let mut roll = random.random_range(0..100);
    for (value, share) in shares {
        if roll < *share {
            return *value;
        }
        roll -= share;
    }
    default
}

/// Settings of a limiter: one class for each effect that a repeat can have, all with the same deadline, and a quota so
/// high that no customer uses it up.
fn limiter_settings(deployment: &Deployment, limiter: u32, deadline: Duration) -> Value {
    let mut settings = deployment.limiter_settings(limiter);
    let class = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "key-scope": "all", "window": DEDUP_WINDOW.as_micros() as u64,
            "worth": 1.0, "deadline": deadline.as_micros() as u64, "goal-time": deadline.as_micros() as u64 / 2})
    };
    settings["profiles"] =
        json!([class("look", "pure"), class("book", "token"), class("once", "side_effect")]);
    settings["plans"] = json!([{"name": "plan", "per-second": 1_000.0, "store-size": 2_000.0}]);
    settings
}

/// Runs the test with one seed.
///
/// # Errors
/// If the stand-ins or the limiters cannot be started.
pub async fn run_seed(program: &Path, seed: u64) -> io::Result<Summary> {
    let mut random = SmallRng::seed_from_u64(seed);
    let deadline = Duration::from_millis(DEADLINES_MS[random.random_range(0..DEADLINES_MS.len())]);
    let crowded = seed % CROWDED_RUN_INTERVAL == 0;
    let log = Rc::new(RequestLog::default());
    let deployment = Deployment {
        limiters: random.random_range(LIMITERS) as u32,
        servers: SERVERS,
        regions: 1,
        zones_per_region: 2,
        watch_discovery: false,
    };
    let mut servers = Vec::new();
    for _ in 0..SERVERS {
        servers.push(Server::start(log.clone(), random.random()).await?);
    }
    let rows: Vec<String> = (0..SERVERS).map(|n| server_row(&deployment, &servers, n, "SERVING")).collect();
    let discovery = Discovery::start(&rows).await?;
    let endpoints = Endpoints { discovery: discovery.address, counter: standins::start_counter().await?.0 };
    let limits = ResourceLimits { memory_mb: 64, sockets: if crowded { CROWDED_SOCKETS } else { SOCKETS } };
    let mut processes = Vec::new();
    for n in 0..deployment.limiters {
        let settings = limiter_settings(&deployment, n, deadline);
        processes.push(LimiterProcess::start(program, n, random.random(), endpoints, limits, settings)?);
    }
    let limiters = processes
        .iter()
        .map(|limiter| LimiterStatus { address: limiter.address, accepting: Cell::new(false) })
        .collect();
    let state = Rc::new(SharedState { log, deadline, limiters, finished: Cell::new(false) });
    let mut limiter_tasks: Vec<JoinHandle<()>> = Vec::new();
    for (n, process) in processes.into_iter().enumerate() {
        let limiter_random = SmallRng::seed_from_u64(random.random());
        limiter_tasks.push(spawn_local(run_limiter(state.clone(), n, process, limiter_random)));
        if crowded {
            spawn_local(client::hold_idle_connections(state.clone(), n, IDLE_CONNECTIONS));
        }
    }
    let clients: Vec<_> =
        (0..CLIENTS).map(|_| spawn_local(client::run(state.clone(), random.random()))).collect();
    let list_changes = spawn_local(change_list(state.clone(), deployment, servers, discovery, random));
    for task in limiter_tasks {
        task.await.map_err(io::Error::other)?;
    }
    state.finished.set(true);
    let shutdown_deadline = tokio::time::Instant::now() + CLIENT_SHUTDOWN_TIMEOUT;
    for client in clients {
        let _ = tokio::time::timeout_at(shutdown_deadline, client).await;
    }
    list_changes.abort();
    Ok(state.log.summarize(crowded))
}

fn server_row(deployment: &Deployment, servers: &[Server], n: usize, health: &str) -> String {
    deployment.discovery_row(n, &servers[n].address.to_string(), health)
}

/// Starts or stops draining one of the first half of the servers at regular intervals, so that the other half is
/// always in service.
async fn change_list(
    state: Rc<SharedState>,
    deployment: Deployment,
    servers: Vec<Server>,
    discovery: Rc<Discovery>,
    mut random: SmallRng,
) {
    while !state.finished.get() {
        sleep(LIST_CHANGE_INTERVAL).await;
        let n = random.random_range(0..SERVERS / 2);
        let drain = servers[n].draining_since.get().is_none();
        let health = if drain { "DRAINING" } else { "SERVING" };
        discovery.update_row(n, &server_row(&deployment, &servers, n, health));
        servers[n].draining_since.set(drain.then(Instant::now));
    }
}

/// Terminates and restarts a limiter several times; kills it when it does not exit in time.
async fn run_limiter(state: Rc<SharedState>, n: usize, mut limiter: LimiterProcess, mut random: SmallRng) {
    for _ in 0..TERMINATIONS {
        if !limiter.wait_until_ready(READY_TIMEOUT).await {
            state.log.other_violations.borrow_mut().failed += 1;
            return;
        }
        state.limiters[n].accepting.set(true);
        let pauses = spawn_local(pause_repeatedly(limiter.pid(), SmallRng::seed_from_u64(random.random())));
        sleep(Duration::from_millis(random.random_range(UPTIME_MS))).await;
        let terminated_at = send_signals(&state, n, &limiter, &mut random).await;
        let kill_at = terminated_at + KILL_DELAY + state.deadline.min(MAX_DEADLINE_BEFORE_KILL);
        match limiter.wait_for_exit(kill_at.saturating_duration_since(Instant::now())).await {
            Some(status) if status.success() => {}
            Some(status) => {
                log::warn!("limiter {n} exited with {status}");
                state.log.other_violations.borrow_mut().failed += 1;
            }
            None => {
                let _ = limiter.signal("KILL").await;
                let _ = limiter.wait_for_exit(READY_TIMEOUT).await;
                state.log.other_violations.borrow_mut().killed += 1;
            }
        }
        pauses.abort();
        state.limiters[n].accepting.set(false);
        if let Err(e) = limiter.restart() {
            log::warn!("limiter {n} does not start: {e}");
            state.log.other_violations.borrow_mut().failed += 1;
            return;
        }
    }
}

/// Stops and continues a process at random intervals.
async fn pause_repeatedly(pid: u32, mut random: SmallRng) {
    loop {
        sleep(Duration::from_millis(random.random_range(PAUSE_INTERVAL_MS))).await;
        let _ = send_signal(pid, "STOP").await;
        sleep(Duration::from_millis(random.random_range(PAUSE_MS))).await;
        let _ = send_signal(pid, "CONT").await;
    }
}

/// Sends a limiter one of the signal sequences; gives the time of the first SIGTERM.
async fn send_signals(
    state: &Rc<SharedState>,
    n: usize,
    limiter: &LimiterProcess,
    random: &mut SmallRng,
) -> Instant {
    let mut terminated_at = None;
    for name in SIGNAL_SEQUENCES[random.random_range(0..SIGNAL_SEQUENCES.len())] {
        let _ = limiter.signal(name).await;
        if *name == "TERM" && terminated_at.is_none() {
            let now = Instant::now();
            terminated_at = Some(now);
            let state = state.clone();
            spawn_local(async move {
                sleep_until((now + NEW_CONNECTIONS_AFTER_TERM).into()).await;
                state.limiters[n].accepting.set(false);
            });
        }
        sleep(Duration::from_millis(random.random_range(SIGNAL_INTERVAL_MS))).await;
    }
    terminated_at.unwrap_or_else(Instant::now)
}
