//! Real limiters, as processes on loopback: what they cost by the number of servers, of tenants and of limiters.

use crate::limiter::{exchange, Limiter, Limits, Places};
use crate::process;
use crate::report::Run;
use crate::settings::{Deployment, DEADLINE_MS, SPREAD};
use crate::standins::{self, Discovery, Seen};
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Time for a limiter to be ready before it counts as one that never is: three times what the trial allows.
const READY_MOST: Duration = Duration::from_secs(30);
/// Time for a change to be in force before it counts as lost.
const CHANGE_MOST: Duration = Duration::from_secs(12);
/// Descriptors that each limiter may hold.
const SOCKETS: u32 = 1_024;
/// Requests in flight at once from the load generator of one limiter.
const CLIENTS: usize = 8;

/// Pause of a client after each answer where nothing else is asked for: a limiter is measured far from what it can
/// bear.
pub const PAUSE_MS: u64 = 20;

/// Why a measurement could not be made.
#[derive(Debug)]
pub enum Error {
    /// The program or a socket.
    Io(io::Error),
    /// A limiter was not ready in time.
    NeverReady,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Io(e) => write!(f, "{e}"),
            Error::NeverReady => write!(f, "a limiter was not ready within {READY_MOST:?}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(e: io::Error) -> Self {
        Error::Io(e)
    }
}

/// One measurement.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The limiter's program.
    pub program: PathBuf,
    /// Limiters at once.
    pub limiters: u32,
    /// Servers in the list.
    pub servers: usize,
    /// Tenants among which requests are dealt.
    pub tenants: u64,
    /// Requests, over all limiters.
    pub requests: u64,
    /// Pause of each client after each answer.
    pub pause: Duration,
    /// Time at rest over which processor time and bytes are counted.
    pub rest: Duration,
    /// Memory that each limiter may have, in megabytes.
    pub memory_mb: u64,
    /// Seed of all random numbers.
    pub seed: u64,
}

/// The stand-ins of one measurement.
struct World {
    discovery: Rc<Discovery>,
    counter: (SocketAddr, Rc<Seen>),
    servers: (SocketAddr, Rc<Seen>),
    deployment: Deployment,
}

impl World {
    async fn start(plan: &Plan) -> io::Result<Self> {
        let (servers, zones) = (plan.servers, if plan.servers > 2_000 { (6, 4) } else { (1, 2) });
        let deployment =
            Deployment { limiters: plan.limiters, servers, regions: zones.0, zones: zones.1, ask: false };
        let (counter, server) = (standins::counter().await?, standins::server().await?);
        let dial = server.0.to_string();
        let rows: Vec<String> = (0..servers).map(|n| deployment.row(n, &dial, "SERVING")).collect();
        Ok(World { discovery: Discovery::start(&rows).await?, counter, servers: server, deployment })
    }

    /// Starts one limiter, which knows nothing.
    fn limiter(&self, plan: &Plan, me: u32) -> io::Result<Limiter> {
        let places = Places { discovery: self.discovery.address, counter: self.counter.0 };
        let limits = Limits { memory_mb: plan.memory_mb, sockets: SOCKETS };
        let seed = plan.seed + u64::from(me);
        Limiter::start(&plan.program, me, seed, places, limits, self.deployment.settings(me))
    }

    fn bytes(&self) -> u64 {
        self.discovery.seen.bytes.get() + self.counter.1.bytes.get()
    }
}

/// One request after the other on a connection; how long each took, in microseconds, and how many were served.
async fn client(
    to: SocketAddr,
    ids: Vec<(u64, u64)>,
    spread: u32,
    pause: Duration,
) -> io::Result<(Vec<u64>, u64)> {
    let (mut stream, mut buffer) = (TcpStream::connect(to).await?, Vec::new());
    stream.set_nodelay(true)?;
    let (mut took, mut served) = (Vec::with_capacity(ids.len()), 0);
    for (id, tenant) in ids {
        let message = format!(
            "GET /look/{tenant:016x} HTTP/1.1\r\nHost: x\r\nReq-Id: {id:016x}\r\nReq-Kind: look\r\nPlan: plan\r\n\
             Req-Deadline-Ms: {DEADLINE_MS}\r\nQuota-Info: units=1,spread={spread},first=0\r\n\r\n"
        );
        let start = Instant::now();
        let status = exchange(&mut stream, &mut buffer, &message).await?;
        took.push(start.elapsed().as_micros() as u64);
        served += u64::from(status == 200);
        sleep(pause).await;
    }
    Ok((took, served))
}

/// Sends requests at an address from several clients, dealt among tenants by chance.
async fn load(
    to: SocketAddr,
    requests: u64,
    plan: &Plan,
    first: u64,
) -> Result<(Histogram<u64>, u64), Error> {
    let mut random = SmallRng::seed_from_u64(plan.seed ^ first);
    let mut dealt = vec![Vec::new(); CLIENTS];
    for n in 0..requests {
        dealt[n as usize % CLIENTS].push((first + n, random.random_range(0..plan.tenants.max(1))));
    }
    let spread = SPREAD.min(plan.limiters);
    let clients: Vec<_> =
        dealt.into_iter().map(|ids| tokio::task::spawn_local(client(to, ids, spread, plan.pause))).collect();
    let (mut latency, mut served) = (histogram()?, 0);
    for client in clients {
        let (took, good) = client.await.map_err(io::Error::other)??;
        served += good;
        for time in took {
            latency.saturating_record(time);
        }
    }
    Ok((latency, served))
}

/// Latencies from a microsecond to ten times a request's deadline.
fn histogram() -> io::Result<Histogram<u64>> {
    Histogram::new_with_bounds(1, DEADLINE_MS * 10_000, 3).map_err(|e| io::Error::other(e.to_string()))
}

/// Measures once.
pub async fn measure(plan: &Plan, run: &mut Run) -> Result<(), Error> {
    let world = World::start(plan).await?;
    run.put("list_mb", world.discovery.length() as f64 / 1e6);
    let start = Instant::now();
    let limiters: Vec<Limiter> =
        (0..plan.limiters).map(|me| world.limiter(plan, me)).collect::<io::Result<_>>()?;
    for limiter in &limiters {
        if !limiter.ready(READY_MOST).await {
            return Err(Error::NeverReady);
        }
    }
    let all = limiters.len() as f64;
    run.put("ready_s", start.elapsed().as_secs_f64());
    run.put("start_cpu_ms", limiters.iter().map(|l| l.cpu().as_secs_f64()).sum::<f64>() * 1e3 / all);
    run.put("start_list_calls", world.discovery.seen.calls.get() as f64);

    let (before, bytes, calls) = (total_cpu(&limiters), world.bytes(), world.discovery.seen.calls.get());
    sleep(plan.rest).await;
    run.put("rest_cpu_percent", (total_cpu(&limiters) - before) / plan.rest.as_secs_f64() * 100.0 / all);
    run.put("rest_bytes_s", (world.bytes() - bytes) as f64 / plan.rest.as_secs_f64() / all);
    run.put("rest_list_calls_s", (world.discovery.seen.calls.get() - calls) as f64 / plan.rest.as_secs_f64());

    // The same requests at the server itself.
    let (direct, _) = load(world.servers.0, plan.requests, plan, 0).await?;
    let (before, calls) = (total_cpu(&limiters), world.counter.1.calls.get());
    let (mut latency, mut served) = (histogram()?, 0);
    for (n, limiter) in limiters.iter().enumerate() {
        let (took, good) =
            load(limiter.address, plan.requests / limiters.len() as u64, plan, (n as u64 + 1) << 32).await?;
        latency.add(took).map_err(|e| io::Error::other(e.to_string()))?;
        served += good;
    }
    let sent = latency.len().max(1) as f64;
    run.put("request_cpu_ms", (total_cpu(&limiters) - before) * 1e3 / sent);
    run.put("served_share", served as f64 / sent);
    run.put("counter_calls_a_request", (world.counter.1.calls.get() - calls) as f64 / sent);
    run.put("direct_ms_median", direct.value_at_quantile(0.5) as f64 / 1e3);
    run.put("direct_ms_99", direct.value_at_quantile(0.99) as f64 / 1e3);
    let added = |q: f64| (latency.value_at_quantile(q) as f64 - direct.value_at_quantile(q) as f64) / 1e3;
    run.put("added_ms_median", added(0.5));
    run.put("added_ms_99", added(0.99));

    change(&world, &limiters, run).await;
    let memory: Vec<(f64, f64)> = limiters.iter().filter_map(|l| process::memory(l.pid())).collect();
    run.put("memory_mb", memory.iter().map(|m| m.0).sum::<f64>() / all);
    run.put("memory_peak_mb", memory.iter().map(|m| m.1).fold(0.0, f64::max));
    let descriptors = limiters.iter().filter_map(|l| process::descriptors(l.pid()));
    run.put("descriptors", descriptors.max().unwrap_or(0) as f64);
    run.put("server_connections", world.servers.1.connections.get() as f64);
    Ok(())
}

fn total_cpu(limiters: &[Limiter]) -> f64 {
    limiters.iter().map(|l| l.cpu().as_secs_f64()).sum()
}

/// One server drains: how long until all have taken it in, and what that costs each.
async fn change(world: &World, limiters: &[Limiter], run: &mut Run) {
    let before = total_cpu(limiters);
    let row = world.deployment.row(0, &world.servers.0.to_string(), "DRAINING");
    let start = Instant::now();
    world.discovery.tell(0, &row);
    while world.discovery.heard().len() < limiters.len() && start.elapsed() < CHANGE_MOST {
        sleep(Duration::from_millis(2)).await;
    }
    let heard = world.discovery.heard();
    run.put("change_missed", (limiters.len() - heard.len().min(limiters.len())) as f64);
    let last = heard.iter().max().map_or(f64::NAN, |at| (*at - start).as_secs_f64());
    run.put("change_in_force_ms", last * 1e3);
    run.put("change_cpu_ms", (total_cpu(limiters) - before) * 1e3 / limiters.len() as f64);
}

/// The limiter's program beside this one.
pub fn program() -> io::Result<PathBuf> {
    let mut path = std::env::current_exe()?;
    path.set_file_name("limeway");
    if Path::new(&path).exists() {
        Ok(path)
    } else {
        Err(io::Error::new(
            io::ErrorKind::NotFound,
            format!("no limiter at {}: build it, or name it by --program", path.display()),
        ))
    }
}
