//! Clients: one request at a time on a connection; connections are kept and opened when all are busy.

use crate::http::{read_message, Message};
use crate::world::lock;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A client's request.
#[derive(Clone)]
pub struct Request {
    pub class: &'static str,
    pub customer: u64,
    pub plan: &'static str,
    pub id: String,
    pub deadline_ms: u64,
    /// Idempotency-Key; empty for none.
    pub key: String,
    pub units: u32,
    pub spread: usize,
    pub first: usize,
    pub body: Vec<u8>,
}

impl Request {
    pub fn bytes(&self) -> Vec<u8> {
        let method = if self.class == "run-approve" { "POST" } else { "GET" };
        let mut head = format!(
            "{method} /{}/{:016x} HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {}\r\nReq-Kind: {}\r\nPlan: {}\r\nReq-Deadline-Ms: {}\r\nQuota-Info: units={},spread={},first={}\r\n",
            self.class, self.customer, self.id, self.class, self.plan, self.deadline_ms, self.units, self.spread, self.first
        );
        if !self.key.is_empty() {
            head.push_str(&format!("Idempotency-Key: {}\r\n", self.key));
        }
        if method == "POST" {
            head.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// What a client got.
#[derive(Debug)]
pub enum Answer {
    Whole(Message),
    /// Nothing until the client gave up waiting.
    Silent,
    /// The connection ended without a whole answer.
    Cut,
}

/// Connections to one limiter.
pub struct Connections {
    pub address: SocketAddr,
    idle: Mutex<Vec<TcpStream>>,
}

impl Connections {
    pub fn new(address: SocketAddr) -> Self {
        Connections { address, idle: Mutex::default() }
    }

    /// Sends a request and waits for the answer until `wait` is over. If a kept connection ends without an answer, as it
    /// may between requests, the request is sent once more on a new one.
    pub fn send(&self, bytes: &[u8], wait: Duration) -> Answer {
        let kept = lock(&self.idle).pop();
        let start = Instant::now();
        if let Some(stream) = kept {
            match self.exchange(stream, bytes, start, wait) {
                Answer::Cut => {}
                answer => return answer,
            }
        }
        match TcpStream::connect(self.address) {
            Ok(stream) => {
                let _ = stream.set_nodelay(true);
                self.exchange(stream, bytes, start, wait)
            }
            Err(_) => Answer::Cut,
        }
    }

    fn exchange(&self, mut stream: TcpStream, bytes: &[u8], start: Instant, wait: Duration) -> Answer {
        let left = wait.saturating_sub(start.elapsed()).max(Duration::from_millis(1));
        let _ = stream.set_read_timeout(Some(left));
        if stream.write_all(bytes).is_err() {
            return Answer::Cut;
        }
        let mut buffer = Vec::new();
        match read_message(&mut stream, &mut buffer) {
            Ok(Some(message)) => {
                let close = message.header("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
                if !close {
                    lock(&self.idle).push(stream);
                }
                Answer::Whole(message)
            }
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                Answer::Silent
            }
            Ok(None) | Err(_) => Answer::Cut,
        }
    }
}

/// A small generator of random numbers (splitmix64).
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// A number below `limit`.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit.max(1)
    }
}
