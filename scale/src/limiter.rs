//! A limiter run as a child process on loopback.

use crate::http::exchange;
use crate::process;
use serde_json::Value;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout};

/// Interval at which a starting limiter is asked whether it is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Addresses of the services that a limiter calls.
#[derive(Debug, Clone, Copy)]
pub struct Endpoints {
    /// Discovery.
    pub discovery: SocketAddr,
    /// The counter.
    pub counter: SocketAddr,
}

/// Resources that a limiter may use.
#[derive(Debug, Clone, Copy)]
pub struct ResourceLimits {
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// File descriptors.
    pub sockets: u32,
}

/// Path of the limiter's program, in the directory of the running program.
///
/// # Errors
/// If there is no such file.
pub fn default_program() -> io::Result<PathBuf> {
    let mut path = std::env::current_exe()?;
    path.set_file_name("limeway");
    if path.exists() {
        Ok(path)
    } else {
        Err(io::Error::new(
            io::ErrorKind::NotFound,
            format!(
                "limiter program not found at {}: build it, or give its path with --program",
                path.display()
            ),
        ))
    }
}

/// A limiter process. Dropping it kills the process and removes its configuration file.
pub struct LimiterProcess {
    child: Child,
    program: PathBuf,
    /// Address at which it accepts clients.
    pub address: SocketAddr,
    /// Its configuration file.
    pub config: PathBuf,
}

impl Drop for LimiterProcess {
    fn drop(&mut self) {
        let _ = self.child.start_kill();
        let _ = std::fs::remove_file(&self.config);
    }
}

impl LimiterProcess {
    /// Starts limiter number `number` with no list of servers in its configuration: it has to get one from discovery.
    ///
    /// # Errors
    /// If no port is free, the configuration file cannot be written or the program does not start.
    pub fn start(
        program: &Path,
        number: u32,
        seed: u64,
        endpoints: Endpoints,
        limits: ResourceLimits,
        settings: Value,
    ) -> io::Result<Self> {
        // Finds a free port. Another process could take it before the limiter listens there; the start would then fail.
        let listener = std::net::TcpListener::bind((IpAddr::from([127, 0, 0, 1]), 0))?;
        let address = listener.local_addr()?;
        drop(listener);
        let json = serde_json::json!({
            "name": format!("n{number}"), "listen": address.to_string(), "seed": format!("{seed:x}"),
            "discovery": endpoints.discovery.to_string(), "counter": endpoints.counter.to_string(),
            "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.sockets},
            "settings": settings,
        });
        let name = format!("saltlink-scale-{}-{}.json", std::process::id(), address.port());
        let config = std::env::temp_dir().join(name);
        std::fs::write(&config, json.to_string())?;
        Ok(LimiterProcess { child: spawn(program, &config)?, program: program.to_owned(), address, config })
    }

    /// Starts the process again at the same address, after it has exited.
    ///
    /// # Errors
    /// If the program does not start.
    pub fn restart(&mut self) -> io::Result<()> {
        self.child = spawn(&self.program, &self.config)?;
        Ok(())
    }

    /// Its process id; 0 once it has exited.
    pub fn pid(&self) -> u32 {
        self.child.id().unwrap_or(0)
    }

    /// Processor time that it has used; zero once it has exited.
    pub fn cpu_time(&self) -> Duration {
        process::cpu_time(self.pid()).unwrap_or_default()
    }

    /// Sends it a signal, by name.
    ///
    /// # Errors
    /// If the signal cannot be sent.
    pub async fn signal(&self, name: &str) -> io::Result<()> {
        send_signal(self.pid(), name).await
    }

    /// Waits for it to exit; `None` if it still runs after `wait`.
    pub async fn wait_for_exit(&mut self, wait: Duration) -> Option<ExitStatus> {
        timeout(wait, self.child.wait()).await.ok()?.ok()
    }

    /// Waits until it reports that it is ready; false if it does not within `wait`.
    pub async fn wait_until_ready(&self, wait: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < wait {
            if let Ok(mut stream) = TcpStream::connect(self.address).await {
                let mut buffer = Vec::new();
                let probe = exchange(&mut stream, &mut buffer, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
                if matches!(timeout(Duration::from_secs(1), probe).await, Ok(Ok(200))) {
                    return true;
                }
            }
            sleep(READY_POLL_INTERVAL).await;
        }
        false
    }
}

/// Sends a process a signal, by name.
///
/// # Errors
/// If the signal cannot be sent.
pub async fn send_signal(pid: u32, name: &str) -> io::Result<()> {
    Command::new("kill").args(["-s", name, &pid.to_string()]).stderr(Stdio::null()).status().await.map(drop)
}

/// Starts the limiter's program without the environment variables that would override its configuration.
fn spawn(program: &Path, config: &Path) -> io::Result<Child> {
    let mut command = Command::new(program);
    for name in ["ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY"] {
        command.env_remove(name);
    }
    command.env("ROUTER_CONFIG", config).stdin(Stdio::null()).stderr(Stdio::null()).stdout(Stdio::null());
    command.kill_on_drop(true).spawn()
}
