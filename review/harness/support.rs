//! Stand-ins of discovery, the counter and servers, and the limiters under test as processes.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record(Arc<(Mutex<io::BufWriter<File>>, Instant)>);

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Record(Arc::new((Mutex::new(io::BufWriter::new(File::create(path)?)), Instant::now()))))
    }

    /// Writes a line with the time since the start of the run.
    pub fn line(&self, text: &str) {
        let mut file = self.0 .0.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {text}", self.0 .1.elapsed().as_secs_f64());
        let _ = file.flush();
    }

    /// The same, and on standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// An HTTP message.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads a message whose body has a Content-Length; `None` at the end of the input or after an error.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    let mut line = Vec::new();
    loop {
        line.clear();
        if reader.read_until(b'\n', &mut line).ok()? == 0 {
            return None;
        }
        let text = String::from_utf8_lossy(&line).trim_end().to_owned();
        if message.start_line.is_empty() {
            message.start_line = text;
        } else if text.is_empty() {
            break;
        } else if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
    let length = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

pub fn ok_response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Listens on loopback at a free port and serves each connection in a thread of its own.
pub fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    Ok(address)
}

/// Starts discovery with a list of servers that never changes.
pub fn start_discovery(servers: &[SocketAddr]) -> io::Result<(SocketAddr, String)> {
    let rows: Vec<String> = servers
        .iter()
        .enumerate()
        .map(|(n, address)| {
            let site = if n % 2 == 0 { "first-floor" } else { "second-floor" };
            format!(
                r#"{{"host":"s-{n}","dial":"{address}","site":"{site}","class":"std-2c","block":0,"health":"SERVING","share":1.0,"born_ms":0}}"#
            )
        })
        .collect();
    let list = format!(r#"{{"seq":1,"whole":true,"hosts":[{}]}}"#, rows.join(","));
    let whole = list.clone();
    let address = listen(move |mut stream| {
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        while let Some(call) = read_message(&mut reader) {
            let parameter = |name: &str| -> Option<u64> {
                call.start_line.split(['?', '&', ' ']).find_map(|p| p.strip_prefix(name))?.parse().ok()
            };
            let body = if parameter("from=") == Some(1) {
                thread::sleep(Duration::from_millis(parameter("hold_ms=").unwrap_or(0)));
                r#"{"seq":1,"whole":false,"hosts":[]}"#.to_owned()
            } else {
                whole.clone()
            };
            if stream.write_all(ok_response(&body).as_bytes()).is_err() {
                return;
            }
        }
    })?;
    Ok((address, list))
}

/// The counter: adds to numbers by name, which it forgets when the life given in the first call is over.
pub struct Counter {
    pub address: SocketAddr,
    /// While set, calls get no answer and add nothing.
    pub silent: Arc<AtomicBool>,
    pub calls: Arc<AtomicU64>,
}

pub fn start_counter(record: Record) -> io::Result<Counter> {
    let silent = Arc::new(AtomicBool::new(false));
    let calls = Arc::new(AtomicU64::new(0));
    let totals = Arc::new(Mutex::new(HashMap::<String, (f64, Instant)>::new()));
    let (is_silent, count) = (silent.clone(), calls.clone());
    let address = listen(move |mut stream| {
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        while let Some(call) = read_message(&mut reader) {
            if is_silent.load(Ordering::SeqCst) {
                record.line(&format!("counter silent: {}", call.start_line));
                continue;
            }
            count.fetch_add(1, Ordering::SeqCst);
            let target = call.start_line.split(' ').nth(1).unwrap_or_default().to_owned();
            let (name, query) = target.split_once('?').unwrap_or((&target, ""));
            let value = |key: &str| -> f64 {
                query.split('&').find_map(|p| p.strip_prefix(key)).and_then(|v| v.parse().ok()).unwrap_or(0.0)
            };
            let life = Duration::from_millis((value("ttl_ms=") as u64).clamp(1, 60_000));
            thread::sleep(Duration::from_millis(1));
            let total = {
                let mut totals = totals.lock().unwrap();
                let now = Instant::now();
                let entry = totals.entry(name.to_owned()).or_insert((0.0, now + life));
                if entry.1 <= now {
                    *entry = (0.0, now + life);
                }
                entry.0 += value("add=");
                entry.0
            };
            record.line(&format!("counter {name} add {} total {total}", value("add=")));
            if stream.write_all(ok_response(&total.to_string()).as_bytes()).is_err() {
                return;
            }
        }
    })?;
    Ok(Counter { address, silent, calls })
}

/// A request as a server received it.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Instant,
    pub server: usize,
    pub message: Message,
}

/// Writes the answer to a request; false if the connection has to end.
pub type Answer = dyn Fn(usize, &Message, &mut TcpStream) -> bool + Send + Sync;

/// Writes an answer with a load report.
pub fn write_answer(stream: &mut TcpStream, length: usize, body: &str) -> bool {
    let head = "HTTP/1.1 200 OK\r\nSrv-Load: qps=5,inflight=1,util=0.30\r\n";
    stream.write_all(format!("{head}Content-Length: {length}\r\n\r\n{body}").as_bytes()).is_ok()
}

/// Starts servers that work for a time on each request and answer with its id.
pub fn start_servers(
    count: usize,
    work: Duration,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
) -> io::Result<Vec<SocketAddr>> {
    start_servers_that(count, work, runs, record, |_, message, stream| {
        let id = message.header("req-id").unwrap_or("-");
        write_answer(stream, id.len(), id)
    })
}

/// Starts servers that work for a time on each request and answer it in the given way.
pub fn start_servers_that(
    count: usize,
    work: Duration,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
    answer: impl Fn(usize, &Message, &mut TcpStream) -> bool + Send + Sync + 'static,
) -> io::Result<Vec<SocketAddr>> {
    let answer: Arc<Answer> = Arc::new(answer);
    (0..count)
        .map(|server| {
            let (runs, record, answer) = (runs.clone(), record.clone(), answer.clone());
            listen(move |mut stream| {
                let Ok(clone) = stream.try_clone() else { return };
                let mut reader = BufReader::new(clone);
                while let Some(message) = read_message(&mut reader) {
                    let id = message.header("req-id").unwrap_or("-").to_owned();
                    record.line(&format!("server {server} runs {id}: {}", message.start_line));
                    runs.lock().unwrap().push(Run { at: Instant::now(), server, message: message.clone() });
                    thread::sleep(work);
                    if !answer(server, &message, &mut stream) {
                        return;
                    }
                }
            })
        })
        .collect()
}

/// Figures in which the settings of a case may differ.
pub struct Settings {
    pub limiters: u32,
    pub memory_mb: u32,
    pub sockets: u32,
}

/// The settings of the example on the wire page, for limiter `me`.
fn settings_json(settings: &Settings, me: u32) -> String {
    format!(
        r#"{{"balancers":{},"clients":{{"marks-retry":true}},"discovery":"push","failure-domains":["first-floor","second-floor"],
"family":"gate","family-info":{{"count-fee":0.01,"count-limit":30000,"max-units":6,"may-count":true,"peer-intake":0.0,"post-paid":false,"use-period":0}},
"me":{me},
"permissions":{{"cancel":true,"cpu-us-per-request":0.0,"cpu-us-per-s":539190,"dial-timeout":250000,"keepalive":15000000,"max-attempts":6,"max-retry-after":500000,"may-duplicate":true,"may-tell":false,"open-cap":26959,"probing":true,"retry-after":true,"streams-per-conn":32}},
"plans":[{{"at-once":0,"cap-rate":0.0,"extra-worth":0.0,"hard-burst":0.0,"name":"alap","over-cost":1.0,"pays":0.72,"per-second":2.0,"store-size":12.0,"tolerance":0.0}},{{"at-once":0,"cap-rate":9.6,"extra-worth":0.0,"hard-burst":49.0,"name":"kozepes","over-cost":0.5,"pays":1.1,"per-second":4.7,"store-size":24.0,"tolerance":6.0}},{{"at-once":0,"cap-rate":0.0,"extra-worth":0.0,"hard-burst":0.0,"name":"teljes","over-cost":1.2,"pays":1.6,"per-second":15.0,"store-size":26.0,"tolerance":0.0}}],
"prices":{{"connection":0.0,"cross-zone":0.01,"discovery":0.0,"handshake":0.0,"late-fail":0.08,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.01,"waste":0.05}},
"profiles":[{{"deadline":6000000,"effect":"pure","goal-time":2500000,"key-scope":"all","late-worth":0.0,"name":"payslip-preview","streamed":false,"window":5000000,"worth":1.0}},{{"deadline":1500000,"effect":"pure","goal-time":600000,"key-scope":"all","late-worth":0.2,"name":"net-check","streamed":false,"window":5000000,"worth":3.0}},{{"deadline":6000000,"effect":"token","goal-time":2000000,"key-scope":"all","late-worth":0.2,"name":"run-approve","streamed":false,"window":4000000,"worth":3.0}}],
"round":4000,
"rules":{{"answer-slack":16000,"cold":17000000,"cold-from":0.28,"drain-grace":1000000,"fall":2000000,"fall-multiple":3.0,"must-ask-in":10000000}},
"score-parts":{{"whole":0.55,"worst-class":0.0,"worst-tenant":0.25,"worst-window":0.2}},
"shapes":["std-2c"],"telemetry":{{"fields":["served_ps","busy_reqs","cpu_share"],"how":"piggyback"}},
"tier":0,"tiers":["bermotor"],"weight-kind":"silent","zone":"first-floor"}}"#,
        settings.limiters
    )
}

/// Processes that the case has started and not ended yet.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all limiters; for a case that is cut short.
pub fn kill_started() {
    for pid in STARTED.lock().unwrap().drain(..) {
        let _ = Command::new("kill").args(["-KILL", &pid.to_string()]).status();
    }
}

/// A limiter, started with the `run` command of the deploy file. Dropping it kills it.
pub struct Limiter {
    pub child: Child,
    pub address: SocketAddr,
}

impl Drop for Limiter {
    fn drop(&mut self) {
        STARTED.lock().unwrap().retain(|pid| *pid != self.child.id());
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The `run` command of the deploy file.
fn run_command(root: &Path) -> io::Result<String> {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml"))?;
    let value = text.lines().find_map(|l| l.strip_prefix("run = \"")).and_then(|l| l.split('"').next());
    value.map(str::to_owned).ok_or_else(|| io::Error::other("deploy/balancer.toml has no run command"))
}

impl Limiter {
    /// Starts limiter `me` from the project's root, with its configuration in the folder `temp`.
    pub fn start(
        root: &Path,
        temp: &Path,
        settings: &Settings,
        me: u32,
        discovery: (SocketAddr, &str),
        counter: SocketAddr,
    ) -> io::Result<Self> {
        let address = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let config = temp.join(format!("n{me}.json"));
        let json = format!(
            r#"{{"name":"n{me}","listen":"{address}","discovery":"{}","seed":"8c1f30d27a5be96{me}",
"limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"counter":"{counter}","known":{},"settings":{}}}"#,
            discovery.0,
            settings.memory_mb,
            settings.sockets,
            discovery.1,
            settings_json(settings, me)
        );
        std::fs::write(&config, json)?;
        let log = File::create(temp.join(format!("n{me}.log")))?;
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run_command(root)?).current_dir(root);
        command.env("ROUTER_NAME", format!("n{me}")).env("ROUTER_CONFIG", &config);
        command.env("ROUTER_LISTEN", address.to_string()).env("ROUTER_DISCOVERY", discovery.0.to_string());
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        let limiter = Limiter { child: command.spawn()?, address };
        STARTED.lock().unwrap().push(limiter.child.id());
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            if limiter.is_ready() {
                return Ok(limiter);
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(io::Error::other("the limiter is not ready"))
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.address) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let _ = stream.write_all(b"GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
        read_message(&mut BufReader::new(stream)).is_some_and(|m| m.status() == 200)
    }

    /// Resident memory of the process without code and files, in kilobytes; `None` if it has ended.
    pub fn resident_kb(&self) -> Option<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        text.lines().find_map(|l| l.strip_prefix("RssAnon:"))?.trim().trim_end_matches(" kB").parse().ok()
    }
}

/// A folder for temporary files, removed at the end.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn create() -> io::Result<Self> {
        let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos();
        let path = std::env::temp_dir().join(format!("saltlink-review-{}-{time}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(TempFolder(path))
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
