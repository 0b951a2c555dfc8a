//! A limiter as a process on loopback.

use crate::process;
use crate::standins::read_head;
use serde_json::Value;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout};

/// Time between two looks at whether a limiter is ready.
const LOOK_EVERY: Duration = Duration::from_millis(5);

/// Where a limiter finds what it talks to.
#[derive(Debug, Clone, Copy)]
pub struct Places {
    /// Discovery.
    pub discovery: SocketAddr,
    /// The counter.
    pub counter: SocketAddr,
}

/// What a limiter may use.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Memory, in megabytes.
    pub memory_mb: u64,
    /// Descriptors.
    pub sockets: u32,
}

/// A limiter that runs; it ends with this value.
pub struct Limiter {
    child: Child,
    program: PathBuf,
    /// Where its clients connect.
    pub address: SocketAddr,
    /// The file of its configuration.
    pub config: PathBuf,
}

impl Drop for Limiter {
    fn drop(&mut self) {
        let _ = self.child.start_kill();
        let _ = std::fs::remove_file(&self.config);
    }
}

impl Limiter {
    /// Starts limiter number `me`, which knows nothing but these settings.
    ///
    /// # Errors
    /// Where no port or file can be had, or the program does not start.
    pub fn start(
        program: &Path,
        me: u32,
        seed: u64,
        places: Places,
        limits: Limits,
        settings: Value,
    ) -> io::Result<Self> {
        // Nobody listens there until the limiter does.
        let listener = std::net::TcpListener::bind((IpAddr::from([127, 0, 0, 1]), 0))?;
        let address = listener.local_addr()?;
        drop(listener);
        let json = serde_json::json!({
            "name": format!("n{me}"), "listen": address.to_string(), "seed": format!("{seed:x}"),
            "discovery": places.discovery.to_string(), "counter": places.counter.to_string(),
            "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.sockets},
            "settings": settings,
        });
        let name = format!("saltlink-scale-{}-{}.json", std::process::id(), address.port());
        let config = std::env::temp_dir().join(name);
        std::fs::write(&config, json.to_string())?;
        Ok(Limiter { child: spawn(program, &config)?, program: program.to_owned(), address, config })
    }

    /// Starts it anew at its address, after it has ended.
    ///
    /// # Errors
    /// Where the program does not start.
    pub fn restart(&mut self) -> io::Result<()> {
        self.child = spawn(&self.program, &self.config)?;
        Ok(())
    }

    /// Its number among the system's processes; 0 once it has ended.
    pub fn pid(&self) -> u32 {
        self.child.id().unwrap_or(0)
    }

    /// Processor time that it has used.
    pub fn cpu(&self) -> Duration {
        process::cpu(self.pid()).unwrap_or_default()
    }

    /// Sends it a signal by name.
    ///
    /// # Errors
    /// Where the signal cannot be sent.
    pub async fn signal(&self, name: &str) -> io::Result<()> {
        signal(self.pid(), name).await
    }

    /// Waits for its end, for so long; nothing where it still runs.
    pub async fn ended(&mut self, most: Duration) -> Option<ExitStatus> {
        timeout(most, self.child.wait()).await.ok()?.ok()
    }

    /// Waits until it is ready, for so long; whether it is.
    pub async fn ready(&self, most: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < most {
            if let Ok(mut stream) = TcpStream::connect(self.address).await {
                let mut buffer = Vec::new();
                let asked = exchange(&mut stream, &mut buffer, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
                if matches!(timeout(Duration::from_secs(1), asked).await, Ok(Ok(200))) {
                    return true;
                }
            }
            sleep(LOOK_EVERY).await;
        }
        false
    }
}

/// Sends a process a signal by name.
///
/// # Errors
/// Where the signal cannot be sent.
pub async fn signal(pid: u32, name: &str) -> io::Result<()> {
    Command::new("kill").args(["-s", name, &pid.to_string()]).stderr(Stdio::null()).status().await.map(drop)
}

fn spawn(program: &Path, config: &Path) -> io::Result<Child> {
    let mut command = Command::new(program);
    for name in ["ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_DISCOVERY"] {
        command.env_remove(name);
    }
    command.env("ROUTER_CONFIG", config).stdin(Stdio::null()).stderr(Stdio::null()).stdout(Stdio::null());
    command.kill_on_drop(true).spawn()
}

/// Writes a message and reads the status of its answer.
///
/// # Errors
/// Where the connection ends before the answer is whole.
pub async fn exchange(stream: &mut TcpStream, buffer: &mut Vec<u8>, message: &str) -> io::Result<u16> {
    stream.write_all(message.as_bytes()).await?;
    read_answer(stream, buffer).await.map(|answer| answer.0)
}

/// Reads an answer: its status and its body.
///
/// # Errors
/// Where the connection ends before the answer is whole.
pub async fn read_answer(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<(u16, String)> {
    let Some(head) = read_head(stream, buffer).await? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let body = read_body(stream, buffer, &head).await?;
    Ok((head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0), body))
}

/// Reads the body that the head of a message announces.
///
/// # Errors
/// Where the connection ends before the body is whole.
pub async fn read_body(stream: &mut TcpStream, buffer: &mut Vec<u8>, head: &str) -> io::Result<String> {
    let length = header(head, "content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    while buffer.len() < length {
        if stream.read_buf(buffer).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(String::from_utf8_lossy(&buffer.drain(..length).collect::<Vec<u8>>()).into_owned())
}

/// The value of a header, by its name in lower case.
pub fn header(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
    })
}
