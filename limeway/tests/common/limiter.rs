//! The limiter as a process: its configuration, start, signals and end.

use super::*;
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::Sender;
use std::thread;
use std::time::{Duration, Instant};

/// The server list in the limiter's configuration (key `known`).
pub enum KnownServers {
    /// All servers of the setup, as `SERVING`.
    All,
    /// These rows.
    Rows(Vec<String>),
    /// The key is left out.
    Absent,
}

/// Configuration of a limiter to be started.
pub struct LimiterSetup {
    /// Host name and address of each server.
    pub servers: Vec<(String, SocketAddr)>,
    /// If `None`, the limiter gets a discovery stand-in that returns all `servers` as `SERVING`.
    pub discovery: Option<SocketAddr>,
    pub counter: SocketAddr,
    /// Descriptor limit, in the configuration and of the process.
    pub sockets: usize,
    pub keepalive_us: u64,
    /// Further members of `settings.permissions`, with a leading comma. They override those before.
    pub extra_permissions: String,
    pub seed: u64,
    /// Whether `settings.discovery` is "ask" (the limiter has to poll) instead of "push".
    pub ask_mode: bool,
    /// Number of limiters in the fleet.
    pub gateways: u32,
    pub known: KnownServers,
    pub memory_mb: u32,
    /// Zone names in the settings.
    pub zones: Vec<String>,
    /// Time for which servers remember the idempotency key of a `book` request.
    pub key_window_us: u64,
}

impl LimiterSetup {
    /// One of two limiters, with these servers as hosts `s-0`, `s-1` and so on.
    pub fn new(servers: &[&StandIn], counter: &StandIn) -> Self {
        let servers = servers.iter().enumerate().map(|(n, s)| (format!("s-{n}"), s.address)).collect();
        LimiterSetup {
            servers,
            discovery: None,
            counter: counter.address,
            sockets: 1024,
            keepalive_us: 30_000_000,
            extra_permissions: String::new(),
            seed: 0x8c1f_30d2_7a5b_e964,
            ask_mode: false,
            gateways: 2,
            known: KnownServers::All,
            memory_mb: 192,
            zones: vec!["a".into()],
            key_window_us: 8_000_000,
        }
    }

    /// Replaces the default seed.
    pub fn seed(self, seed: u64) -> Self {
        LimiterSetup { seed, ..self }
    }

    /// The configuration as JSON. `peers` are the addresses of the limiters, its own one first.
    pub fn config_json(&self, listen: SocketAddr, discovery: SocketAddr, peers: &[SocketAddr]) -> String {
        let known = match &self.known {
            KnownServers::All => format!(r#""known":{},"#, server_list(1, true, &self.serving_rows())),
            KnownServers::Rows(rows) => format!(r#""known":{},"#, server_list(1, true, rows)),
            KnownServers::Absent => String::new(),
        };
        let gateways = self.gateways;
        // Nothing listens at the addresses of the other limiters of a large fleet: datagrams to them are lost.
        let absent = (peers.len() as u32..gateways).map(|n| format!("\"127.0.0.1:{}\"", 20_000 + n));
        let peers: Vec<String> = peers.iter().map(|p| format!("\"{p}\"")).chain(absent).collect();
        format!(
            r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"{:016x}",
"limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"peer_listen":{},"peers":[{}],
"counter":"{}",{known}
"settings":{{"balancers":{gateways},"me":0,"discovery":"{}","failure-domains":{:?},"zone":"a","round":4000,
"family-info":{{"count-limit":2000000,"max-units":4,"may-count":true}},
"permissions":{{"cancel":true,"dial-timeout":500000,"keepalive":{},"max-attempts":3,
"max-retry-after":1000000,"may-duplicate":false,"may-tell":true,"retry-after":true{}}},
"plans":[{{"name":"team","per-second":50.0,"store-size":100.0}},{{"name":"tiny","per-second":0.01,"store-size":2.0}}],
"profiles":[
{{"deadline":30000000,"effect":"pure","goal-time":8000000,"key-scope":"all","name":"look","window":0,"worth":1.0}},
{{"deadline":30000000,"effect":"token","goal-time":8000000,"key-scope":"all","name":"book","window":{},"worth":3.0}},
{{"deadline":30000000,"effect":"side_effect","goal-time":8000000,"key-scope":"all","name":"once","window":0,"worth":3.0}}],
"rules":{{"cold":9000000,"cold-from":0.3,"drain-grace":1000000,"fall":1000000,"fall-multiple":3.0}}}}}}"#,
            self.seed,
            self.memory_mb,
            self.sockets,
            peers.first().map_or("\"127.0.0.1:0\"".into(), String::clone),
            peers.join(","),
            self.counter,
            if self.ask_mode { "ask" } else { "push" },
            self.zones,
            self.keepalive_us,
            self.extra_permissions,
            self.key_window_us,
        )
    }

    /// A list row for each server, as `SERVING`.
    fn serving_rows(&self) -> Vec<String> {
        self.servers.iter().map(|(host, address)| server_row(host, *address, "SERVING")).collect()
    }

    /// Starts the limiter and waits until it is ready.
    pub fn start(&self) -> Limiter {
        let limiter = self.spawn();
        limiter.wait_until_ready();
        limiter
    }

    /// Starts the limiter without waiting for it.
    pub fn spawn(&self) -> Limiter {
        let (own_socket, peer_socket) = (udp_socket(), udp_socket());
        let peers = [
            own_socket.local_addr().expect("a local address"),
            peer_socket.local_addr().expect("a local address"),
        ];
        // Frees the address for the limiter to bind.
        drop(own_socket);
        let listen = unused_address();
        let discovery = match self.discovery {
            Some(_) => None,
            None => Some(discovery_stand_in(server_list(1, true, &self.serving_rows()))),
        };
        let discovery_address =
            self.discovery.or(discovery.as_ref().map(|d| d.0.address)).expect("a discovery address");
        let config = self.config_json(listen, discovery_address, &peers);
        let path = write_config_file(&config);
        Limiter {
            child: spawn_exclusively(command_with_descriptor_limit(self.sockets).env("ROUTER_CONFIG", &path)),
            config,
            path,
            address: listen,
            peer_socket,
            peer_listen: peers[0],
            _discovery: discovery,
        }
    }
}

fn udp_socket() -> UdpSocket {
    let socket = UdpSocket::bind((unique_loopback_ip(), 0)).expect("a free port");
    socket.set_read_timeout(Some(TIMEOUT)).expect("read time-out is set");
    socket
}

/// Writes a configuration to a new temporary file.
fn write_config_file(config: &str) -> PathBuf {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let path = std::env::temp_dir().join(format!("limeway-{}-{number}.json", std::process::id()));
    std::fs::write(&path, config).expect("configuration is written");
    path
}

/// Starts the program with the given configuration file contents.
pub fn spawn_with_config(config: &str) -> Child {
    spawn_exclusively(limeway_command().env("ROUTER_CONFIG", write_config_file(config)))
}

/// Command for the program, without a configuration.
pub fn limeway_command() -> Command {
    isolate(Command::new(env!("CARGO_BIN_EXE_limeway")))
}

/// Command for the program, with the system's descriptor limit set to that of the configuration.
fn command_with_descriptor_limit(sockets: usize) -> Command {
    let mut command = Command::new("sh");
    command.arg("-c").arg(format!("ulimit -n {sockets}; exec \"$0\"")).arg(env!("CARGO_BIN_EXE_limeway"));
    isolate(command)
}

/// Starts a process while holding [`spawn_lock`].
pub fn spawn_exclusively(command: &mut Command) -> Child {
    let _lock = spawn_lock();
    command.spawn().expect("process starts")
}

/// Removes the variables that the program reads from its environment, and captures its standard error.
fn isolate(mut command: Command) -> Command {
    for name in ["ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY", "ROUTER_CONFIG"] {
        command.env_remove(name);
    }
    command.stdin(Stdio::null()).stderr(Stdio::piped());
    command
}

/// Waits until a process has exited, killing it after the time-out, and returns its output.
pub fn wait_for_output(mut child: Child) -> Output {
    let end = Instant::now() + TIMEOUT;
    while child.try_wait().expect("process status").is_none() {
        if Instant::now() > end {
            let _ = child.kill();
        }
        thread::sleep(Duration::from_millis(5));
    }
    child.wait_with_output().expect("process output")
}

/// A running limiter.
pub struct Limiter {
    pub child: Child,
    /// The configuration that it was started with.
    pub config: String,
    /// The file that holds its configuration.
    pub path: PathBuf,
    /// Where it accepts clients.
    pub address: SocketAddr,
    /// Socket of the other limiter, on which the test stands in for it.
    pub peer_socket: UdpSocket,
    /// Where it receives datagrams of other limiters.
    pub peer_listen: SocketAddr,
    _discovery: Option<(StandIn, Sender<String>)>,
}

impl Limiter {
    /// Whether it accepts connections and reports that it is ready.
    pub fn is_ready(&self) -> bool {
        TcpStream::connect(self.address).is_ok_and(|stream| Client::new(stream).health_check())
    }

    /// Waits until it is ready.
    pub fn wait_until_ready(&self) {
        let end = Instant::now() + TIMEOUT;
        while Instant::now() < end {
            if self.is_ready() {
                return;
            }
            thread::sleep(Duration::from_millis(5));
        }
        panic!("the limiter is not ready after {TIMEOUT:?}");
    }

    /// Opens a client connection.
    pub fn client(&self) -> Client {
        match TcpStream::connect(self.address) {
            Ok(stream) => Client::new(stream),
            Err(e) => {
                // Shows the state of the process; the last figure is its exit status if it has ended.
                let process = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
                panic!("cannot connect to {}: {e}; /proc/PID/stat: {process:?}", self.address)
            }
        }
    }

    fn signal(&self, name: &str) {
        let mut kill = spawn_exclusively(Command::new("kill").args([name, &self.child.id().to_string()]));
        assert!(kill.wait().expect("exit status of kill").success());
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Stops the process with SIGSTOP.
    pub fn pause(&self) {
        self.signal("-STOP");
    }

    /// Continues a stopped process with SIGCONT.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        let new = self.path.with_extension("new");
        std::fs::write(&new, config).expect("configuration is written");
        std::fs::rename(&new, &self.path).expect("configuration file is replaced");
        self.signal("-HUP");
    }

    /// Sends SIGHUP: the limiter reads its configuration file again.
    pub fn send_sighup(&self) {
        self.signal("-HUP");
    }

    /// Waits until the process has exited.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let end = Instant::now() + TIMEOUT;
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait().expect("process status") {
                return status;
            }
            thread::sleep(Duration::from_millis(5));
        }
        panic!("the limiter has not exited after {TIMEOUT:?}");
    }

    /// Peak resident memory of the process, in megabytes.
    pub fn peak_memory_mb(&self) -> u64 {
        let text =
            std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("process is running");
        let line = text.lines().find_map(|l| l.strip_prefix("VmHWM:")).expect("a VmHWM line");
        line.trim().trim_end_matches(" kB").parse::<u64>().expect("a number") / 1024
    }

    /// Like [`Self::is_ready`], but panics if it accepts no connection.
    pub fn passes_health_check(&self) -> bool {
        self.client().health_check()
    }
}

impl Drop for Limiter {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until the limiter's event loop has run twice, by two health checks on new connections: whatever had reached
/// its sockets before this call has been read by then.
pub fn wait_two_loop_iterations(limiter: &Limiter) {
    assert!(limiter.passes_health_check() && limiter.passes_health_check());
}
