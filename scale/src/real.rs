//! Measures limiter processes on loopback: what they cost, depending on the number of servers, customers and limiters.

use crate::deployment::{Deployment, DEADLINE_MS, LIMITERS_PER_CUSTOMER};
use crate::http::exchange;
use crate::limiter::{Endpoints, LimiterProcess, ResourceLimits};
use crate::process;
use crate::report::Run;
use crate::standins::{self, Discovery, Traffic};
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// A limiter that is not ready after this time counts as one that never is; three times the start-up time that is
/// allowed.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// A change of the list that a limiter has not acknowledged after this time counts as missed.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(12);
/// File descriptors that each limiter may open.
const SOCKETS: u32 = 1_024;
/// Clients that send requests to one limiter, each with one request in flight.
const CLIENTS_PER_LIMITER: usize = 8;
/// Lists with more servers than this are spread over six regions of four zones, shorter ones over one region of two.
const MAX_SINGLE_REGION_SERVERS: usize = 2_000;

/// Default pause of a client after each answer, in milliseconds: it keeps the load far below what a limiter can bear.
pub const DEFAULT_PAUSE_MS: u64 = 20;

/// Why a measurement failed.
#[derive(Debug)]
pub enum Error {
    /// The program or a socket failed.
    Io(io::Error),
    /// A limiter was not ready in time.
    NeverReady,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Io(e) => write!(f, "{e}"),
            Error::NeverReady => write!(f, "a limiter was not ready within {READY_TIMEOUT:?}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(e: io::Error) -> Self {
        Error::Io(e)
    }
}

/// Parameters of one measurement.
#[derive(Debug, Clone)]
pub struct Measurement {
    /// The limiter's program.
    pub program: PathBuf,
    /// Number of limiters that run at the same time.
    pub limiters: u32,
    /// Number of servers in the list.
    pub servers: usize,
    /// Number of customers that the requests belong to.
    pub customers: u64,
    /// Number of requests, over all limiters.
    pub requests: u64,
    /// Pause of each client after each answer.
    pub pause: Duration,
    /// Time without requests over which the idle processor time and traffic are measured.
    pub idle_time: Duration,
    /// Memory that each limiter may use, in megabytes.
    pub memory_mb: u64,
    /// Seed of all random numbers.
    pub seed: u64,
}

/// The stand-ins of one measurement. All servers of the list are one stand-in.
struct StandIns {
    discovery: Rc<Discovery>,
    counter_address: SocketAddr,
    counter_traffic: Rc<Traffic>,
    server_address: SocketAddr,
    server_traffic: Rc<Traffic>,
    deployment: Deployment,
}

impl StandIns {
    async fn start(measurement: &Measurement) -> io::Result<Self> {
        let servers = measurement.servers;
        let (regions, zones_per_region) = if servers > MAX_SINGLE_REGION_SERVERS { (6, 4) } else { (1, 2) };
        let deployment = Deployment {
            limiters: measurement.limiters,
            servers,
            regions,
            zones_per_region,
            watch_discovery: false,
        };
        let (counter_address, counter_traffic) = standins::start_counter().await?;
        let (server_address, server_traffic) = standins::start_server().await?;
        let address = server_address.to_string();
        let rows: Vec<String> =
            (0..servers).map(|n| deployment.discovery_row(n, &address, "SERVING")).collect();
        Ok(StandIns {
            discovery: Discovery::start(&rows).await?,
            counter_address,
            counter_traffic,
            server_address,
            server_traffic,
            deployment,
        })
    }

    fn start_limiter(&self, measurement: &Measurement, number: u32) -> io::Result<LimiterProcess> {
        let endpoints = Endpoints { discovery: self.discovery.address, counter: self.counter_address };
        let limits = ResourceLimits { memory_mb: measurement.memory_mb, sockets: SOCKETS };
        let seed = measurement.seed + u64::from(number);
        let settings = self.deployment.limiter_settings(number);
        LimiterProcess::start(&measurement.program, number, seed, endpoints, limits, settings)
    }

    /// Bytes that discovery and the counter have received and sent.
    fn control_bytes(&self) -> u64 {
        self.discovery.traffic.bytes.get() + self.counter_traffic.bytes.get()
    }

    fn discovery_calls(&self) -> u64 {
        self.discovery.traffic.calls.get()
    }

    fn counter_calls(&self) -> u64 {
        self.counter_traffic.calls.get()
    }
}

/// Starts the stand-ins and limiters of a measurement, and records what starting, idling, requests and a change of the
/// list cost.
///
/// # Errors
/// If a process or a socket fails, or a limiter does not become ready.
pub async fn measure(measurement: &Measurement, run: &mut Run) -> Result<(), Error> {
    let stand_ins = StandIns::start(measurement).await?;
    run.set("list_mb", stand_ins.discovery.list_bytes() as f64 / 1e6);
    let limiters = measure_start(&stand_ins, measurement, run).await?;
    measure_idle(&stand_ins, &limiters, measurement.idle_time, run).await;
    measure_requests(&stand_ins, &limiters, measurement, run).await?;
    measure_change(&stand_ins, &limiters, run).await;
    record_resources(&limiters, run);
    run.set("server_connections", stand_ins.server_traffic.connections.get() as f64);
    Ok(())
}

/// Starts all limiters and waits until they are ready.
async fn measure_start(
    stand_ins: &StandIns,
    measurement: &Measurement,
    run: &mut Run,
) -> Result<Vec<LimiterProcess>, Error> {
    let start = Instant::now();
    let limiters: Vec<LimiterProcess> = (0..measurement.limiters)
        .map(|number| stand_ins.start_limiter(measurement, number))
        .collect::<io::Result<_>>()?;
    for limiter in &limiters {
        if !limiter.wait_until_ready(READY_TIMEOUT).await {
            return Err(Error::NeverReady);
        }
    }
    run.set("ready_s", start.elapsed().as_secs_f64());
    run.set("start_cpu_ms", total_cpu_seconds(&limiters) * 1e3 / limiters.len() as f64);
    run.set("start_list_calls", stand_ins.discovery_calls() as f64);
    Ok(limiters)
}

/// Lets the limiters run for a time without requests.
async fn measure_idle(stand_ins: &StandIns, limiters: &[LimiterProcess], idle_time: Duration, run: &mut Run) {
    let (cpu_before, bytes_before, calls_before) =
        (total_cpu_seconds(limiters), stand_ins.control_bytes(), stand_ins.discovery_calls());
    sleep(idle_time).await;
    let (seconds, count) = (idle_time.as_secs_f64(), limiters.len() as f64);
    run.set("rest_cpu_percent", (total_cpu_seconds(limiters) - cpu_before) / seconds * 100.0 / count);
    run.set("rest_bytes_s", (stand_ins.control_bytes() - bytes_before) as f64 / seconds / count);
    run.set("rest_list_calls_s", (stand_ins.discovery_calls() - calls_before) as f64 / seconds);
}

/// Sends the requests to the server directly, then through each limiter in turn; the difference in latency is what the
/// limiters add.
async fn measure_requests(
    stand_ins: &StandIns,
    limiters: &[LimiterProcess],
    measurement: &Measurement,
    run: &mut Run,
) -> Result<(), Error> {
    let (direct, _) = send_requests(stand_ins.server_address, measurement.requests, measurement, 0).await?;
    let (cpu_before, calls_before) = (total_cpu_seconds(limiters), stand_ins.counter_calls());
    let (mut latency, mut served) = (latency_histogram()?, 0);
    let requests = measurement.requests / limiters.len() as u64;
    for (n, limiter) in limiters.iter().enumerate() {
        let first_id = (n as u64 + 1) << 32;
        let (limiter_latency, limiter_served) =
            send_requests(limiter.address, requests, measurement, first_id).await?;
        latency.add(limiter_latency).map_err(|e| io::Error::other(e.to_string()))?;
        served += limiter_served;
    }
    let sent = latency.len().max(1) as f64;
    run.set("request_cpu_ms", (total_cpu_seconds(limiters) - cpu_before) * 1e3 / sent);
    run.set("served_share", served as f64 / sent);
    run.set("counter_calls_a_request", (stand_ins.counter_calls() - calls_before) as f64 / sent);
    run.set("direct_ms_median", direct.value_at_quantile(0.5) as f64 / 1e3);
    run.set("direct_ms_99", direct.value_at_quantile(0.99) as f64 / 1e3);
    let added = |q: f64| (latency.value_at_quantile(q) as f64 - direct.value_at_quantile(q) as f64) / 1e3;
    run.set("added_ms_median", added(0.5));
    run.set("added_ms_99", added(0.99));
    Ok(())
}

/// Sets one server to draining, and records how long all limiters take to apply the change and what it costs each.
async fn measure_change(stand_ins: &StandIns, limiters: &[LimiterProcess], run: &mut Run) {
    let cpu_before = total_cpu_seconds(limiters);
    let row = stand_ins.deployment.discovery_row(0, &stand_ins.server_address.to_string(), "DRAINING");
    let start = Instant::now();
    stand_ins.discovery.update_row(0, &row);
    while stand_ins.discovery.acknowledged().len() < limiters.len() && start.elapsed() < CHANGE_TIMEOUT {
        sleep(Duration::from_millis(2)).await;
    }
    let acknowledged = stand_ins.discovery.acknowledged();
    run.set("change_missed", (limiters.len() - acknowledged.len().min(limiters.len())) as f64);
    let last = acknowledged.iter().max().map_or(f64::NAN, |at| (*at - start).as_secs_f64());
    run.set("change_in_force_ms", last * 1e3);
    run.set("change_cpu_ms", (total_cpu_seconds(limiters) - cpu_before) * 1e3 / limiters.len() as f64);
}

/// Records the memory and descriptors that the limiters use now.
fn record_resources(limiters: &[LimiterProcess], run: &mut Run) {
    let memory: Vec<(f64, f64)> = limiters.iter().filter_map(|l| process::memory_mb(l.pid())).collect();
    run.set("memory_mb", memory.iter().map(|m| m.0).sum::<f64>() / limiters.len() as f64);
    run.set("memory_peak_mb", memory.iter().map(|m| m.1).fold(0.0, f64::max));
    let descriptors = limiters.iter().filter_map(|l| process::open_descriptors(l.pid()));
    run.set("descriptors", descriptors.max().unwrap_or(0) as f64);
}

fn total_cpu_seconds(limiters: &[LimiterProcess]) -> f64 {
    limiters.iter().map(|l| l.cpu_time().as_secs_f64()).sum()
}

/// Sends requests to an address from several clients at once, each for a random customer. Gives the latencies in
/// microseconds and the number of requests that were served. `first_id` numbers the requests and varies the seed.
async fn send_requests(
    address: SocketAddr,
    requests: u64,
    measurement: &Measurement,
    first_id: u64,
) -> Result<(Histogram<u64>, u64), Error> {
    let mut random = SmallRng::seed_from_u64(measurement.seed ^ first_id);
    let mut requests_by_client = vec![Vec::new(); CLIENTS_PER_LIMITER];
    for n in 0..requests {
        let customer = random.random_range(0..measurement.customers.max(1));
        requests_by_client[n as usize % CLIENTS_PER_LIMITER].push((first_id + n, customer));
    }
    let limiters_per_customer = LIMITERS_PER_CUSTOMER.min(measurement.limiters);
    let clients: Vec<_> = requests_by_client
        .into_iter()
        .map(|requests| {
            tokio::task::spawn_local(run_client(address, requests, limiters_per_customer, measurement.pause))
        })
        .collect();
    let (mut latency, mut served) = (latency_histogram()?, 0);
    for client in clients {
        let (client_latencies, client_served) = client.await.map_err(io::Error::other)??;
        served += client_served;
        for microseconds in client_latencies {
            latency.saturating_record(microseconds);
        }
    }
    Ok((latency, served))
}

/// Sends requests, given as (id, customer), one after the other on one connection. Gives the latency of each in
/// microseconds and the number that were served. `limiters_per_customer` is only stated in the requests, which
/// all go to `address`.
async fn run_client(
    address: SocketAddr,
    requests: Vec<(u64, u64)>,
    limiters_per_customer: u32,
    pause: Duration,
) -> io::Result<(Vec<u64>, u64)> {
    let (mut stream, mut buffer) = (TcpStream::connect(address).await?, Vec::new());
    stream.set_nodelay(true)?;
    let (mut latencies, mut served) = (Vec::with_capacity(requests.len()), 0);
    for (id, customer) in requests {
        let message = format!(
            "GET /look/{customer:016x} HTTP/1.1\r\nHost: x\r\nReq-Id: {id:016x}\r\nReq-Kind: look\r\nPlan: plan\r\n\
             Req-Deadline-Ms: {DEADLINE_MS}\r\nQuota-Info: units=1,spread={limiters_per_customer},first=0\r\n\r\n"
        );
        let start = Instant::now();
        let status = exchange(&mut stream, &mut buffer, &message).await?;
        latencies.push(start.elapsed().as_micros() as u64);
        served += u64::from(status == 200);
        sleep(pause).await;
    }
    Ok((latencies, served))
}

/// An empty histogram of latencies from a microsecond to ten times a request's deadline.
fn latency_histogram() -> io::Result<Histogram<u64>> {
    Histogram::new_with_bounds(1, DEADLINE_MS * 10_000, 3).map_err(|e| io::Error::other(e.to_string()))
}
