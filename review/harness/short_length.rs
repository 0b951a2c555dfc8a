//! Servers send, now and then, an answer whose length is smaller than its body. What a client gets with
//! 200 has to be the whole body that a server made for its request.

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
const RUN_TIME: Duration = Duration::from_secs(10);
/// One in so many answers is spoilt.
const SPOILT: usize = 20;

/// The body that servers make for a request: a payslip of some 400 bytes.
fn payslip(id: &str) -> String {
    let mut body = format!("payslip {id}\n");
    for line in 0..12 {
        body.push_str(&format!("{id} line {line:02} {:>8}\n", 1_000 + line * 37));
    }
    body.push_str("end\n");
    body
}

/// Sends one request after the other; adds to the numbers of whole, cut and other answers.
fn client(n: usize, address: SocketAddr, record: &Record, counts: &[AtomicUsize; 3]) -> io::Result<()> {
    let stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(7)))?;
    let (mut writer, mut reader) = (stream.try_clone()?, BufReader::new(stream));
    let end = Instant::now() + RUN_TIME;
    for round in 0.. {
        if Instant::now() > end {
            break;
        }
        let id = format!("{n:08x}{round:08x}");
        let message = format!(
            "GET /payslip-preview/{:016x} HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {id}\r\nReq-Kind: payslip-preview\r\n\
Plan: teljes\r\nReq-Deadline-Ms: 6000\r\nQuota-Info: units=1,spread=2,first=0\r\n\r\n",
            0x0400_0000 + n
        );
        record.line(&format!("client {n} sends {id}"));
        writer.write_all(message.as_bytes())?;
        let answer = read_message(&mut reader).ok_or_else(|| io::Error::other("a request got no answer"))?;
        let whole = payslip(&id);
        record.line(&format!("client {n}: answer {} to {id}, {} bytes", answer.status(), answer.body.len()));
        let kind = match answer.status() {
            200 if answer.body == whole.as_bytes() => 0,
            200 => {
                record.say(&format!(
                    "client {n} got 200 for {id} with {} of {} bytes, and no sign that any are missing",
                    answer.body.len(),
                    whole.len()
                ));
                1
            }
            _ => 2,
        };
        counts[kind].fetch_add(1, Ordering::SeqCst);
    }
    Ok(())
}

pub fn run(root: &Path, record: Record, trouble: bool) -> io::Result<bool> {
    let temp = TempFolder::create()?;
    let (runs, answers) = (Arc::new(Mutex::new(Vec::new())), AtomicUsize::new(0));
    let spoils = record.clone();
    let servers = start_servers_that(8, WORK, runs, record.clone(), move |server, message, stream| {
        let body = payslip(message.header("req-id").unwrap_or("-"));
        let mut length = body.len();
        if trouble && answers.fetch_add(1, Ordering::SeqCst) % SPOILT == SPOILT - 1 {
            length /= 2;
            spoils.line(&format!("server {server} spoils its answer: length {length}, {} bytes", body.len()));
        }
        write_answer(stream, length, &body)
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
    let [whole, cut, other] = [0, 1, 2].map(|kind: usize| counts[kind].load(Ordering::SeqCst));
    record.say(&format!("{whole} whole answers, {cut} cut ones with 200, {other} refused or failed"));
    if whole == 0 {
        return Err(io::Error::other("no request was served"));
    }
    Ok(cut == 0)
}
