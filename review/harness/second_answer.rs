//! Servers send, now and then, a second copy of an answer right behind it. What a client gets with 200 has
//! to be the answer to its own request.

use crate::support::*;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const WORK: Duration = Duration::from_millis(100);
const CLIENTS: usize = 8;
const RUN_TIME: Duration = Duration::from_secs(12);
/// One in so many answers comes twice.
const TWICE: usize = 10;

/// The body that servers make for a request.
fn payslip(id: &str, customer: &str) -> String {
    format!("payslip {id} of customer {customer}\n")
}

/// Sends one request after the other; adds to the numbers of own, foreign and other answers.
fn client(n: usize, address: SocketAddr, record: &Record, counts: &[AtomicUsize; 3]) -> io::Result<()> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(7)))?;
    let (mut writer, mut reader) = (stream.try_clone()?, BufReader::new(stream));
    let end = Instant::now() + RUN_TIME;
    for round in 0u64.. {
        if Instant::now() > end {
            break;
        }
        let (id, customer) = (format!("{n:08x}{round:08x}"), format!("{:016x}", 0x0500_0000 + n));
        let message = format!(
            "GET /payslip-preview/{customer} HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {id}\r\nReq-Kind: payslip-preview\r\n\
Plan: teljes\r\nReq-Deadline-Ms: 6000\r\nQuota-Info: units=1,spread=2,first=0\r\n\r\n"
        );
        record.line(&format!("client {n} sends {id}"));
        writer.write_all(message.as_bytes())?;
        let answer = read_message(&mut reader).ok_or_else(|| io::Error::other("a request got no answer"))?;
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        record.line(&format!("client {n}: answer {} to {id}: {}", answer.status(), body.trim_end()));
        let kind = match answer.status() {
            200 if body == payslip(&id, &customer) => 0,
            200 => 1,
            _ => 2,
        };
        if kind == 1 {
            record.line(&format!("client {n} got the answer to another request for {id}: {}", body.trim_end()));
        }
        counts[kind].fetch_add(1, Ordering::SeqCst);
        // Pauses of 0 to 60 ms, the same in each run.
        thread::sleep(Duration::from_millis((round * 37 + n as u64 * 17) % 61));
    }
    Ok(())
}

/// Whether a request or the end of the connection waits to be read.
fn input_waits(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let waits = !matches!(stream.peek(&mut [0]), Err(e) if e.kind() == io::ErrorKind::WouldBlock);
    let _ = stream.set_nonblocking(false);
    waits
}

pub fn run(root: &Path, record: Record, trouble: bool) -> io::Result<bool> {
    let temp = TempFolder::create()?;
    let (runs, answers) = (Arc::new(Mutex::new(Vec::new())), AtomicUsize::new(0));
    let repeats = record.clone();
    let servers = start_servers_that(8, WORK, runs, record.clone(), move |server, message, stream| {
        let id = message.header("req-id").unwrap_or("-").to_owned();
        let customer = message.start_line.split(['/', ' ']).nth(3).unwrap_or_default();
        let body = payslip(&id, customer);
        if !write_answer(stream, body.len(), &body) {
            return false;
        }
        if trouble && answers.fetch_add(1, Ordering::SeqCst) % TWICE == TWICE - 1 {
            // The sockets are as the system makes them, without TCP_NODELAY.
            if !input_waits(stream) {
                repeats.line(&format!("server {server} writes its answer to {id} once more"));
                return write_answer(stream, body.len(), &body);
            }
        }
        true
    })?;
    let (discovery, list) = start_discovery(&servers)?;
    let counter = start_counter(record.clone())?;
    let settings = Settings { limiters: 2, memory_mb: 192, sockets: 1_024 };
    let limiters = (0..2)
        .map(|me| Limiter::start(root, &temp.0, &settings, me, (discovery, &list), counter.address))
        .collect::<io::Result<Vec<_>>>()?;
    let counts = Arc::new([AtomicUsize::new(0), AtomicUsize::new(0), AtomicUsize::new(0)]);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (address, record, counts) = (limiters[n % 2].address, record.clone(), counts.clone());
            thread::spawn(move || client(n, address, &record, &counts))
        })
        .collect();
    for client in clients {
        client.join().map_err(|_| io::Error::other("a client failed"))??;
    }
    let [own, foreign, other] = [0, 1, 2].map(|kind: usize| counts[kind].load(Ordering::SeqCst));
    record.say(&format!(
        "{own} clients' requests got their own answer, {foreign} that of another request, {other} were refused or failed"
    ));
    if own == 0 {
        return Err(io::Error::other("no request was served"));
    }
    Ok(foreign == 0)
}
