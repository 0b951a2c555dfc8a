//! Clients that stop in the middle of a request and stay. The platform kills a limiter that needs more memory than its
//! limit, as the deployment page says.

use crate::support::*;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Limits of each limiter, as the bench sets them on its short days, and within the 32 to 192 MB and 256 to 1,024
/// descriptors of the pages.
const MEMORY_MB: u32 = 48;
const SOCKETS: u32 = 544;
/// Clients that stop in the middle of a request: "hundreds of connections".
const STOPPING: usize = 425;
/// Length that their requests announce: the largest body that the protocol allows.
const LENGTH: usize = 64 * 1024;
/// Bytes of the body that they send.
const PART: usize = LENGTH - 512;
/// Usual clients of each limiter.
const USUAL: usize = 6;
const WORK: Duration = Duration::from_millis(100);

/// A usual client: one request after the other on a kept connection, until `stop` is set.
fn usual_client(n: usize, address: SocketAddr, record: &Record, stop: &AtomicBool, counts: &[AtomicU64; 2]) {
    let mut connection: Option<(TcpStream, BufReader<TcpStream>)> = None;
    for round in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        if connection.is_none() {
            connection = TcpStream::connect(address).ok().and_then(|stream| {
                stream.set_read_timeout(Some(Duration::from_secs(7))).ok()?;
                Some((stream.try_clone().ok()?, BufReader::new(stream)))
            });
        }
        let Some((writer, reader)) = connection.as_mut() else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let id = format!("{n:08x}{round:08x}");
        let message = format!(
            "GET /payslip-preview/{:016x} HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {id}\r\nReq-Kind: payslip-preview\r\n\
Plan: teljes\r\nReq-Deadline-Ms: 6000\r\nQuota-Info: units=1,spread=2,first=0\r\n\r\n",
            0x0200_0000 + n
        );
        record.line(&format!("client {n} sends {id}"));
        let written = writer.write_all(message.as_bytes()).is_ok();
        match read_message(reader) {
            Some(answer) => {
                record.line(&format!("client {n}: answer {} to {id}", answer.status()));
                counts[0].fetch_add(1, Ordering::SeqCst);
                if answer.header("connection") == Some("close") {
                    connection = None;
                }
            }
            None => {
                record.line(&format!("client {n}: no answer to {id} (written: {written})"));
                counts[1].fetch_add(1, Ordering::SeqCst);
                connection = None;
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
}

pub fn run(root: &Path, record: Record, trouble: bool) -> io::Result<bool> {
    let temp = TempFolder::create()?;
    let runs = Arc::new(Mutex::new(Vec::new()));
    let servers = start_servers(8, WORK, runs, record.clone())?;
    let (discovery, list) = start_discovery(&servers)?;
    let counter = start_counter(record.clone())?;
    let settings = Settings { limiters: 2, memory_mb: MEMORY_MB, sockets: SOCKETS };
    let mut limiters = (0..2)
        .map(|me| Limiter::start(root, &temp.0, &settings, me, (discovery, &list), counter.address))
        .collect::<io::Result<Vec<_>>>()?;
    let stop = Arc::new(AtomicBool::new(false));
    let counts = Arc::new([AtomicU64::new(0), AtomicU64::new(0)]);
    let clients: Vec<_> = (0..2 * USUAL)
        .map(|n| {
            let (address, record) = (limiters[n % 2].address, record.clone());
            let (stop, counts) = (stop.clone(), counts.clone());
            thread::spawn(move || usual_client(n, address, &record, &stop, &counts))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));

    let address = limiters[0].address;
    let in_place = Arc::new(AtomicBool::new(false));
    let stopping = trouble.then(|| {
        let (record, stop, in_place) = (record.clone(), stop.clone(), in_place.clone());
        thread::spawn(move || {
            let mut held = Vec::new();
            let part = vec![b'p'; PART];
            for n in 0..STOPPING {
                let Ok(mut stream) = TcpStream::connect(address) else { break };
                let _ = stream.set_write_timeout(Some(Duration::from_secs(1)));
                let head = format!(
                    "POST /run-approve/{:016x} HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: bad{n:013x}\r\nReq-Kind: run-approve\r\n\
Plan: teljes\r\nReq-Deadline-Ms: 6000\r\nIdempotency-Key: bad{n:029x}\r\nQuota-Info: units=1,spread=2,first=0\r\n\
Content-Length: {LENGTH}\r\n\r\n",
                    0x0300_0000 + n
                );
                if stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(&part)).is_err() {
                    break;
                }
                held.push(stream);
            }
            record.line(&format!("{} clients have stopped in the middle of their request", held.len()));
            in_place.store(true, Ordering::SeqCst);
            while !stop.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(20));
            }
        })
    });
    // The platform looks at the memory of each limiter and kills one that is over its limit.
    let end = Instant::now() + Duration::from_secs(6);
    let mut peak = [0, 0];
    let mut killed = None;
    while Instant::now() < end && killed.is_none() {
        for (n, limiter) in limiters.iter_mut().enumerate() {
            let memory = limiter.resident_kb().unwrap_or(0);
            peak[n] = peak[n].max(memory);
            if memory > u64::from(MEMORY_MB) * 1_024 {
                let _ = limiter.child.kill();
                killed = Some(n);
                record.say(&format!("limiter n{n} needs {memory} kB, its limit is {MEMORY_MB} MB: killed"));
            } else if let Some(status) = limiter.child.try_wait()? {
                killed = Some(n);
                record.say(&format!("limiter n{n} has ended by itself: {status}"));
            }
        }
        thread::sleep(Duration::from_millis(2));
    }
    thread::sleep(Duration::from_millis(500));
    stop.store(true, Ordering::SeqCst);
    let (answered, unanswered) = (counts[0].load(Ordering::SeqCst), counts[1].load(Ordering::SeqCst));
    record.say(&format!(
        "most memory without code and files: {} and {} kB; usual clients' requests: {answered} answered, {unanswered} not answered",
        peak[0], peak[1]
    ));
    drop(limiters);
    clients.into_iter().for_each(|client| drop(client.join()));
    stopping.map(|stopping| stopping.join());
    Ok(killed.is_none() && unanswered == 0)
}
