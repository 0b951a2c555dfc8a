//! The stand-ins of discovery, the counter and the servers, limiters as child processes, and the record of a run.

use crate::http::{read_message, response, Message};
use std::collections::HashMap;
use std::fs::File;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// What was sent, answered and run, a line each, with the time since the start of the run.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Arc<Self>> {
        Ok(Arc::new(Record { start: Instant::now(), file: Mutex::new(File::create(path)?) }))
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let _ = writeln!(lock(&self.file), "{:9.4} {text}", self.now());
    }

    /// Also prints the line.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// Locks a mutex, also after a panic of another thread.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// Listens at a free loopback port and serves each connection in a thread of its own.
pub fn serve(
    handler: impl Fn(TcpStream) -> io::Result<()> + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            let _ = stream.set_nodelay(true);
            thread::spawn(move || handler(stream));
        }
    });
    Ok(address)
}

/// A server: each request goes to `answer`, which writes to the connection; false ends the connection.
pub fn start_server(
    answer: impl Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    serve(move |mut stream| {
        let mut buffer = Vec::new();
        while let Some(message) = read_message(&mut stream, &mut buffer)? {
            if !answer(&message, &mut stream)? {
                break;
            }
        }
        Ok(())
    })
}

/// The load report of a server that is far from busy, under the names of the settings.
pub const LOAD: &str = "Srv-Load: served_ps=6.0,busy_reqs=1,cpu_share=0.45\r\n";

/// A count, and when it is forgotten.
type Counts = Mutex<HashMap<String, (f64, Instant)>>;

/// The counter: it adds up named counts. Each limiter reaches it at an address of its own, which may be cut off.
pub struct Counter {
    counts: Counts,
    /// Time that a call takes beside the way there and back.
    call_time: Duration,
    /// When names were seen first, in seconds of the record.
    pub first_calls: Mutex<Vec<(String, f64)>>,
}

impl Counter {
    pub fn new(call_time: Duration) -> Arc<Self> {
        Arc::new(Counter { counts: Mutex::default(), call_time, first_calls: Mutex::default() })
    }

    fn add(&self, record: &Record, name: &str, amount: f64, life: Duration) -> f64 {
        // One call after another.
        let mut counts = lock(&self.counts);
        thread::sleep(self.call_time);
        let now = Instant::now();
        counts.retain(|_, (_, until)| *until > now);
        if !counts.contains_key(name) {
            lock(&self.first_calls).push((name.to_owned(), record.now()));
        }
        let count = counts.entry(name.to_owned()).or_insert((0.0, now + life));
        count.0 += amount;
        count.0
    }

    /// An address for one limiter. While `cut` is set, nothing that is sent there has an effect or an answer.
    pub fn address(
        self: &Arc<Self>,
        limiter: usize,
        record: &Arc<Record>,
        cut: &Arc<AtomicBool>,
    ) -> io::Result<SocketAddr> {
        let (counter, record, cut) = (self.clone(), record.clone(), cut.clone());
        serve(move |mut stream| {
            let mut buffer = Vec::new();
            while let Some(call) = read_message(&mut stream, &mut buffer)? {
                if cut.load(Ordering::SeqCst) {
                    // Silent until the cut is over, then reset.
                    while cut.load(Ordering::SeqCst) {
                        thread::sleep(Duration::from_millis(5));
                    }
                    return Ok(());
                }
                let name = call.target().split(['?', '/']).nth(3).unwrap_or_default().to_owned();
                let amount: f64 = call.parameter("add").and_then(|a| a.parse().ok()).unwrap_or(0.0);
                let ttl = call.parameter("ttl_ms").and_then(|t| t.parse().ok()).unwrap_or(1_u64);
                let total = counter.add(&record, &name, amount, Duration::from_millis(ttl.min(60_000)));
                record.line(&format!("counter: limiter {limiter} adds {amount} to {name}, total {total}"));
                stream.write_all(&response("200 OK", "", total.to_string().as_bytes()))?;
            }
            Ok(())
        })
    }
}

/// Discovery in push mode: the list of servers, and watches on it.
pub struct Discovery {
    rows: Mutex<(u64, Vec<Row>)>,
    changed: Condvar,
}

/// A server in the list.
#[derive(Clone)]
pub struct Row {
    pub host: String,
    pub dial: SocketAddr,
    pub site: String,
    pub health: &'static str,
    pub born_ms: u64,
    /// Version of its last change.
    pub changed_in: u64,
}

impl Row {
    pub fn new(number: usize, dial: SocketAddr) -> Self {
        let site = if number % 2 == 0 { "first-floor" } else { "second-floor" };
        Row {
            host: format!("s-{number}"),
            dial,
            site: site.into(),
            health: "SERVING",
            born_ms: 0,
            changed_in: 1,
        }
    }
}

fn list_json(version: u64, whole: bool, rows: &[&Row]) -> String {
    let rows: Vec<String> = rows
        .iter()
        .map(|r| {
            format!(
                r#"{{"host":"{}","dial":"{}","site":"{}","class":"std-2c","block":0,"health":"{}","share":1.0,"born_ms":{}}}"#,
                r.host, r.dial, r.site, r.health, r.born_ms
            )
        })
        .collect();
    format!(r#"{{"seq":{version},"whole":{whole},"hosts":[{}]}}"#, rows.join(","))
}

impl Discovery {
    pub fn new(rows: Vec<Row>) -> Arc<Self> {
        Arc::new(Discovery { rows: Mutex::new((1, rows)), changed: Condvar::new() })
    }

    /// The whole list.
    pub fn list(&self) -> String {
        let held = lock(&self.rows);
        let rows: Vec<&Row> = held.1.iter().filter(|r| r.health != "DELETED").collect();
        list_json(held.0, true, &rows)
    }

    /// Changes rows and tells it.
    pub fn change(&self, change: impl FnOnce(&mut Vec<Row>, u64)) {
        let mut held = lock(&self.rows);
        held.0 += 1;
        let version = held.0;
        change(&mut held.1, version);
        self.changed.notify_all();
    }

    /// An address of its agent.
    pub fn address(self: &Arc<Self>) -> io::Result<SocketAddr> {
        let discovery = self.clone();
        serve(move |mut stream| {
            let mut buffer = Vec::new();
            while let Some(call) = read_message(&mut stream, &mut buffer)? {
                let body = discovery.answer(&call);
                stream.write_all(&response("200 OK", "", body.as_bytes()))?;
            }
            Ok(())
        })
    }

    pub fn answer(&self, call: &Message) -> String {
        let from: Option<u64> = call.parameter("from").and_then(|f| f.parse().ok());
        let hold = call.parameter("hold_ms").and_then(|h| h.parse().ok()).unwrap_or(0_u64);
        let Some(from) = from else { return self.list() };
        let give_up = Instant::now() + Duration::from_millis(hold);
        let mut held = lock(&self.rows);
        while held.0 <= from && Instant::now() < give_up {
            let left = give_up.saturating_duration_since(Instant::now());
            held = self.changed.wait_timeout(held, left).unwrap_or_else(|e| e.into_inner()).0;
        }
        let rows: Vec<&Row> = held.1.iter().filter(|r| r.changed_in > from).collect();
        list_json(held.0, false, &rows)
    }
}

/// A class, a plan or the like, as JSON of the settings.
pub struct Deployment {
    pub limiters: usize,
    /// JSON of `permissions`, `plans` and `profiles`.
    pub plans: String,
    pub profiles: String,
    pub may_duplicate: bool,
    pub memory_mb: u32,
    pub sockets: u32,
}

/// The classes of the site, with its deadlines.
pub const SITE_PROFILES: &str = r#"[
{"deadline":6000000,"effect":"pure","goal-time":2500000,"key-scope":"all","late-worth":0.0,"name":"payslip-preview","streamed":false,"window":5000000,"worth":1.0},
{"deadline":1500000,"effect":"pure","goal-time":600000,"key-scope":"all","late-worth":0.2,"name":"net-check","streamed":false,"window":5000000,"worth":3.0},
{"deadline":6000000,"effect":"token","goal-time":2000000,"key-scope":"all","late-worth":0.2,"name":"run-approve","streamed":false,"window":4000000,"worth":3.0}]"#;

impl Deployment {
    /// The settings of limiter number `me`, after the example of the wire's page.
    pub fn settings(&self, me: usize) -> String {
        let zone = if me < self.limiters.div_ceil(2) { "first-floor" } else { "second-floor" };
        format!(
            r#"{{"balancers":{},"clients":{{"marks-retry":true}},"discovery":"push","failure-domains":["first-floor","second-floor"],"family":"gate",
"family-info":{{"count-fee":0.01,"count-limit":30000,"max-units":6,"may-count":true,"peer-intake":0.0,"post-paid":false,"use-period":0}},
"me":{me},"permissions":{{"cancel":true,"cpu-us-per-request":0.0,"cpu-us-per-s":539190,"dial-timeout":250000,"keepalive":15000000,"max-attempts":6,"max-retry-after":500000,"may-duplicate":{},"may-tell":false,"open-cap":26959,"probing":true,"retry-after":true,"streams-per-conn":32}},
"plans":{},"prices":{{"connection":0.0,"cross-zone":0.01,"discovery":0.0,"handshake":0.0,"late-fail":0.08,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.01,"waste":0.05}},
"profiles":{},"round":4000,"rules":{{"answer-slack":16000,"cold":17000000,"cold-from":0.28,"drain-grace":1000000,"fall":2000000,"fall-multiple":3.0,"must-ask-in":10000000}},
"score-parts":{{"whole":0.55,"worst-class":0.0,"worst-tenant":0.25,"worst-window":0.2}},"shapes":["std-2c"],"telemetry":{{"fields":["served_ps","busy_reqs","cpu_share"],"how":"piggyback"}},"tier":0,"tiers":["bermotor"],"weight-kind":"silent","zone":"{zone}"}}"#,
            self.limiters, self.may_duplicate, self.plans, self.profiles
        )
    }
}

/// A limiter, started by the command of the deploy file. It is killed on drop.
pub struct Limiter {
    pub address: SocketAddr,
    pub child: Child,
    folder: PathBuf,
    number: usize,
    root: PathBuf,
    run: String,
}

/// The folder of the project: the one above `review/`.
pub fn root() -> PathBuf {
    std::env::var("REVIEW_ROOT").map_or_else(|_| PathBuf::from("."), PathBuf::from)
}

fn run_command(root: &Path) -> io::Result<String> {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml"))?;
    let line = text.lines().find_map(|l| l.strip_prefix("run")?.trim_start().strip_prefix('='));
    let value = line.and_then(|l| l.split('"').nth(1)).ok_or_else(|| io::Error::other("no run command"))?;
    Ok(value.to_owned())
}

static FOLDERS: AtomicU64 = AtomicU64::new(0);

extern "C" {
    fn prctl(option: i32, argument: u64, a: u64, b: u64, c: u64) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// All limiters that were started, for [`watch_time`].
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the process and all limiters if a case takes longer than this.
pub fn watch_time(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        eprintln!("the case took too long");
        for pid in lock(&STARTED).iter() {
            kill(*pid);
        }
        std::process::exit(2);
    });
}

/// Kills a limiter.
pub fn kill(pid: u32) {
    let _ = Command::new("/bin/sh").args(["-c", &format!("kill -KILL {pid}")]).stderr(Stdio::null()).status();
}

impl Limiter {
    pub fn start(
        number: usize,
        deployment: &Deployment,
        discovery: SocketAddr,
        counter: SocketAddr,
        known: &str,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        drop(listener);
        let root = root();
        let nth = FOLDERS.fetch_add(1, Ordering::SeqCst);
        let folder = std::env::temp_dir().join(format!("saltlink-review-{}-{nth}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let run = run_command(&root)?;
        let mut limiter =
            Limiter { address, child: Command::new("true").spawn()?, folder, number, root, run };
        limiter.child.wait()?;
        limiter.configure(deployment, discovery, counter, known)?;
        limiter.spawn()?;
        Ok(limiter)
    }

    /// Writes the configuration file.
    pub fn configure(
        &self,
        deployment: &Deployment,
        discovery: SocketAddr,
        counter: SocketAddr,
        known: &str,
    ) -> io::Result<()> {
        let seed = 0x8c1f_30d2_7a5b_e964_u64 ^ (self.number as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let config = format!(
            r#"{{"name":"n{}","listen":"{}","discovery":"{discovery}","seed":"{seed:016x}","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"counter":"{counter}","known":{known},"settings":{}}}"#,
            self.number,
            self.address,
            deployment.memory_mb,
            deployment.sockets,
            deployment.settings(self.number)
        );
        std::fs::write(self.folder.join("config.json"), config)
    }

    /// Starts the process, at the start or again after its end.
    pub fn spawn(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(self.folder.join("log.txt"))?;
        let mut command = Command::new("/bin/sh");
        // The limiter ends with this process, however that ends.
        // SAFETY: prctl(2) with this option only sets a number in the new process.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
                Ok(())
            });
        }
        self.child = command
            .args(["-c", &self.run])
            .current_dir(&self.root)
            .env("ROUTER_CONFIG", self.folder.join("config.json"))
            .env_remove("ROUTER_NAME")
            .env_remove("ROUTER_LISTEN")
            .env_remove("ROUTER_DISCOVERY")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        lock(&STARTED).push(self.child.id());
        Ok(())
    }

    /// Sends it a signal, by name.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let command = format!("kill -{name} {}", self.child.id());
        Command::new("/bin/sh").args(["-c", &command]).status().map(drop)
    }

    /// Waits until it answers its health check with 200.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let give_up = Instant::now() + limit;
        while Instant::now() < give_up {
            if let Ok(mut stream) = TcpStream::connect(self.address) {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
                let sent = stream
                    .write_all(b"GET /_health HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n");
                let answer = read_message(&mut stream, &mut Vec::new());
                if sent.is_ok() && matches!(answer, Ok(Some(ref m)) if m.status() == 200) {
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Most memory that the process has held, in megabytes; 0 once it has ended.
    pub fn peak_memory_mb(&self) -> f64 {
        memory_mb(self.child.id(), "VmHWM:")
    }
}

/// Memory of a process in megabytes, as the system tells it under this name; 0 once it has ended.
pub fn memory_mb(pid: u32, name: &str) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix(name));
    line.and_then(|l| l.split_whitespace().next()?.parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
}

impl Drop for Limiter {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
