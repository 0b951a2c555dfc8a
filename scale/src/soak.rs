//! A soak: real limiters that are told to end and are killed, again and again, between servers and clients that
//! misbehave by chance. Each request is followed from its client to the servers and back.

mod client;
mod ledger;
mod server;

use crate::limiter::{signal, Limiter, Limits, Places};
use crate::settings::Deployment;
use crate::standins::{self, Discovery};
pub use ledger::Verdict;
use ledger::{Ledger, KEY_WINDOW};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};
use server::Server;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, sleep_until};

/// Deadlines of which each run has one.
const DEADLINES_MS: [u64; 3] = [200, 1_000, 3_000];
/// Clients that ask.
const CLIENTS: usize = 24;
/// Servers.
const SERVERS: usize = 6;
/// Limiters, at least and at most.
const LIMITERS: (usize, usize) = (2, 4);
/// Time before the first signal, in milliseconds.
const QUIET_MS: std::ops::Range<u64> = 800..1_800;
/// Time between two signals of a series, in milliseconds.
const BETWEEN_MS: std::ops::Range<u64> = 0..150;
/// New connections come for so long after SIGTERM (protocol page).
const NEW_CONNECTIONS: Duration = Duration::from_millis(300);
/// SIGKILL comes so long after SIGTERM, beside the longest deadline, which counts as at most the second.
const KILL_AFTER: (Duration, Duration) = (Duration::from_millis(700), Duration::from_secs(3));
/// Time that a restarted limiter has to be ready.
const READY_MOST: Duration = Duration::from_secs(10);
/// Time for which a limiter is held up now and then (fleet page), and the time between, in milliseconds.
const HELD_UP_MS: (std::ops::Range<u64>, std::ops::Range<u64>) = (20..150, 100..500);
/// Ends of each limiter in a run.
const ENDS: usize = 2;
/// Time between two changes of the list.
const CHANGE_EVERY: Duration = Duration::from_millis(700);
/// Time for the last requests to end.
const LAST_REQUESTS: Duration = Duration::from_secs(5);
/// One run in so many has a crowd of idle connections, and few descriptors.
const CROWD_EVERY: u64 = 3;
/// Connections of a crowd at each limiter, and descriptors of a limiter with and without one.
const CROWD: (usize, u32, u32) = (80, 128, 1_024);
/// Signals that come in a row.
const SERIES: [&[&str]; 5] = [
    &["TERM"],
    &["TERM", "TERM", "HUP"],
    &["HUP", "TERM"],
    &["HUP", "HUP", "TERM"],
    &["TERM", "HUP", "TERM"],
];

/// What all parts of a run share.
pub struct World {
    ledger: Rc<Ledger>,
    /// Time that each request has.
    deadline: Duration,
    /// Where limiters listen, and whether they take new connections.
    limiters: Vec<(SocketAddr, Cell<bool>)>,
    /// The run is over.
    over: Cell<bool>,
}

impl World {
    fn open_limiters(&self) -> Vec<SocketAddr> {
        self.limiters.iter().filter(|limiter| limiter.1.get()).map(|limiter| limiter.0).collect()
    }

    fn is_open(&self, limiter: usize) -> bool {
        self.limiters[limiter].1.get()
    }

    fn address(&self, limiter: usize) -> SocketAddr {
        self.limiters[limiter].0
    }

    fn set_open(&self, limiter: usize, open: bool) {
        self.limiters[limiter].1.set(open);
    }
}

/// Draws one of these by its share in percent; what is left of a hundred is the usual one.
fn draw<T: Copy>(random: &mut SmallRng, shares: &[(T, u32)], usual: T) -> T {
    let mut roll = random.random_range(0..100);
    for (value, share) in shares {
        if roll < *share {
            return *value;
        }
        roll -= share;
    }
    usual
}

/// Settings of a limiter: three classes with this deadline, and quotas that nobody reaches.
fn settings(deployment: &Deployment, me: u32, deadline: Duration) -> Value {
    let mut settings = deployment.settings(me);
    let class = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "key-scope": "all", "window": KEY_WINDOW.as_micros() as u64,
            "worth": 1.0, "deadline": deadline.as_micros() as u64, "goal-time": deadline.as_micros() as u64 / 2})
    };
    settings["profiles"] =
        json!([class("look", "pure"), class("book", "token"), class("once", "side_effect")]);
    settings["plans"] = json!([{"name": "plan", "per-second": 1_000.0, "store-size": 2_000.0}]);
    settings
}

/// Plays one run.
///
/// # Errors
/// Where the stand-ins or the limiters cannot be started.
pub async fn play(program: &Path, seed: u64) -> io::Result<Verdict> {
    let mut random = SmallRng::seed_from_u64(seed);
    let deadline = Duration::from_millis(DEADLINES_MS[random.random_range(0..DEADLINES_MS.len())]);
    let crowd = seed % CROWD_EVERY == 0;
    let ledger = Rc::new(Ledger::default());
    let limiters = random.random_range(LIMITERS.0..=LIMITERS.1);
    let deployment =
        Deployment { limiters: limiters as u32, servers: SERVERS, regions: 1, zones: 2, ask: false };
    let mut servers = Vec::new();
    for _ in 0..SERVERS {
        servers.push(Server::start(ledger.clone(), random.random()).await?);
    }
    let row = move |n: usize, health: &str, servers: &[Server]| {
        deployment.row(n, &servers[n].address.to_string(), health)
    };
    let rows: Vec<String> = (0..SERVERS).map(|n| row(n, "SERVING", &servers)).collect();
    let discovery = Discovery::start(&rows).await?;
    let places = Places { discovery: discovery.address, counter: standins::counter().await?.0 };
    let limits = Limits { memory_mb: 64, sockets: if crowd { CROWD.1 } else { CROWD.2 } };
    let program: PathBuf = program.to_owned();
    let mut processes = Vec::new();
    for me in 0..limiters as u32 {
        let settings = settings(&deployment, me, deadline);
        processes.push(Limiter::start(&program, me, random.random(), places, limits, settings)?);
    }
    let limiters = processes.iter().map(|limiter| (limiter.address, Cell::new(false))).collect();
    let world = Rc::new(World { ledger, deadline, limiters, over: Cell::new(false) });
    let mut lives: Vec<JoinHandle<()>> = Vec::new();
    for (n, process) in processes.into_iter().enumerate() {
        lives.push(spawn_local(live(world.clone(), n, process, SmallRng::seed_from_u64(random.random()))));
        if crowd {
            spawn_local(client::crowd(world.clone(), n, CROWD.0));
        }
    }
    let clients: Vec<_> =
        (0..CLIENTS).map(|_| spawn_local(client::run(world.clone(), random.random()))).collect();
    let changes = spawn_local({
        let world = world.clone();
        async move {
            while !world.over.get() {
                sleep(CHANGE_EVERY).await;
                let n = random.random_range(0..SERVERS / 2);
                let drains = servers[n].draining.get().is_none();
                discovery.tell(n, &row(n, if drains { "DRAINING" } else { "SERVING" }, &servers));
                servers[n].draining.set(drains.then(Instant::now));
            }
        }
    });
    for life in lives {
        life.await.map_err(io::Error::other)?;
    }
    world.over.set(true);
    let last = tokio::time::Instant::now() + LAST_REQUESTS;
    for client in clients {
        let _ = tokio::time::timeout_at(last, client).await;
    }
    changes.abort();
    Ok(world.ledger.verdict(crowd))
}

/// Lets a limiter live: it is told to end, killed if it does not, and starts anew.
async fn live(world: Rc<World>, n: usize, mut limiter: Limiter, mut random: SmallRng) {
    for _ in 0..=ENDS {
        if !limiter.ready(READY_MOST).await {
            world.ledger.seen.borrow_mut().failed += 1;
            return;
        }
        world.set_open(n, true);
        let held_up = spawn_local(hold_up(limiter.pid(), SmallRng::seed_from_u64(random.random())));
        sleep(Duration::from_millis(random.random_range(QUIET_MS))).await;
        let told = tell_to_end(&world, n, &limiter, &mut random).await;
        let kill = told + KILL_AFTER.0 + world.deadline.min(KILL_AFTER.1);
        match limiter.ended(kill.saturating_duration_since(Instant::now())).await {
            Some(status) if status.success() => {}
            Some(status) => {
                log::warn!("limiter {n} ended with {status}");
                world.ledger.seen.borrow_mut().failed += 1;
            }
            None => {
                let _ = limiter.signal("KILL").await;
                let _ = limiter.ended(READY_MOST).await;
                world.ledger.seen.borrow_mut().killed += 1;
            }
        }
        held_up.abort();
        world.set_open(n, false);
        if let Err(e) = limiter.restart() {
            log::warn!("limiter {n} does not start: {e}");
            world.ledger.seen.borrow_mut().failed += 1;
            return;
        }
    }
}

/// Stops a process again and again, and lets it go on.
async fn hold_up(pid: u32, mut random: SmallRng) {
    loop {
        sleep(Duration::from_millis(random.random_range(HELD_UP_MS.1))).await;
        let _ = signal(pid, "STOP").await;
        sleep(Duration::from_millis(random.random_range(HELD_UP_MS.0))).await;
        let _ = signal(pid, "CONT").await;
    }
}

/// Sends a series of signals; gives the time of the first SIGTERM.
async fn tell_to_end(world: &Rc<World>, n: usize, limiter: &Limiter, random: &mut SmallRng) -> Instant {
    let mut told = None;
    for name in SERIES[random.random_range(0..SERIES.len())] {
        let _ = limiter.signal(name).await;
        if *name == "TERM" && told.is_none() {
            let now = Instant::now();
            told = Some(now);
            let world = world.clone();
            spawn_local(async move {
                sleep_until((now + NEW_CONNECTIONS).into()).await;
                world.set_open(n, false);
            });
        }
        sleep(Duration::from_millis(random.random_range(BETWEEN_MS))).await;
    }
    told.unwrap_or_else(Instant::now)
}
