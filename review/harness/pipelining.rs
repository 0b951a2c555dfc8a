//! A client that has two hundred requests on their way at once on one connection. Each request that a server gets has to
//! be one that the client sent, unchanged.

use crate::support::*;
use std::collections::HashMap;
use std::io::{self, BufReader, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Requests that are on their way at once with the disruption.
const AT_ONCE: usize = 200;
/// Length of a body, in bytes; the protocol allows 64 KiB.
const BODY: usize = 4_000;
/// Answers after which the client has seen enough.
const ANSWERS: usize = 24;
/// Work of a request at a server.
const WORK: Duration = Duration::from_millis(170);

/// One request: the payroll run number `n` of a customer of its own.
struct Sent {
    id: String,
    target: String,
    key: String,
    body: Vec<u8>,
}

fn request(n: usize) -> (Sent, Vec<u8>) {
    let id = format!("c0ffee{n:010x}");
    let target = format!("/run-approve/{:016x}", 0x0100_0000 + n);
    let key = format!("5c0f6e1a2b3d4c59a8b7c6d5{n:08x}");
    let mut body = Vec::with_capacity(BODY + 16);
    while body.len() < BODY {
        body.extend_from_slice(format!("run {n:06} pay\n").as_bytes());
    }
    body.truncate(BODY);
    let mut bytes = format!(
        "POST {target} HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {id}\r\nReq-Kind: run-approve\r\nPlan: teljes\r\n\
Req-Deadline-Ms: 6000\r\nIdempotency-Key: {key}\r\nContent-Length: {BODY}\r\nQuota-Info: units=1,spread=2,first=0\r\n\r\n"
    )
    .into_bytes();
    bytes.extend_from_slice(&body);
    (Sent { id, target, key, body }, bytes)
}

/// What differs between a request that ran and what was sent under its id; `None` if nothing does.
fn difference(run: &Message, sent: &HashMap<String, Sent>) -> Option<String> {
    let id = run.header("req-id").unwrap_or("-");
    let Some(sent) = sent.get(id) else { return Some(format!("no client sent the id {id}")) };
    if run.start_line != format!("POST {} HTTP/1.1", sent.target) {
        return Some(format!("{id}: another target: {}", run.start_line));
    }
    if run.header("idempotency-key") != Some(&sent.key) {
        return Some(format!("{id}: another key: {:?}", run.header("idempotency-key")));
    }
    if run.body != sent.body {
        let at = run.body.iter().zip(&sent.body).take_while(|(a, b)| a == b).count();
        let from = &run.body[at..run.body.len().min(at + 120)];
        return Some(format!(
            "{id}: the body that ran differs from the body sent from byte {at} on: {:?}",
            String::from_utf8_lossy(from)
        ));
    }
    None
}

pub fn run(root: &Path, record: Record, trouble: bool) -> io::Result<bool> {
    let temp = TempFolder::create()?;
    let runs = Arc::new(Mutex::new(Vec::new()));
    let servers = start_servers(8, WORK, runs.clone(), record.clone())?;
    let (discovery, list) = start_discovery(&servers)?;
    let counter = start_counter(record.clone())?;
    let settings = Settings { limiters: 2, memory_mb: 192, sockets: 1_024 };
    let limiters = (0..2)
        .map(|me| Limiter::start(root, &temp.0, &settings, me, (discovery, &list), counter.address))
        .collect::<io::Result<Vec<_>>>()?;

    let stream = TcpStream::connect(limiters[0].address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(8)))?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    let mut sent = HashMap::new();
    let mut order = Vec::new();
    let mut send = |sent: &mut HashMap<String, Sent>, order: &mut Vec<String>| {
        let (description, bytes) = request(order.len());
        record.line(&format!("client sends {} with key {}", description.id, description.key));
        order.push(description.id.clone());
        sent.insert(description.id.clone(), description);
        writer.write_all(&bytes)
    };
    for _ in 0..if trouble { AT_ONCE } else { 1 } {
        send(&mut sent, &mut order)?;
    }
    let (mut served, end) = (0, Instant::now() + Duration::from_secs(30));
    for n in 0..ANSWERS {
        if Instant::now() > end {
            break;
        }
        let Some(answer) = read_message(&mut reader) else {
            record.line("client: the limiter has closed the connection");
            break;
        };
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        record.line(&format!("client: answer {} to {}: {body}", answer.status(), order[n]));
        served += usize::from(answer.status() == 200);
        // The next request follows each answer. The last ones are not awaited.
        if send(&mut sent, &mut order).is_err() {
            break;
        }
    }
    drop((limiters, reader));
    let runs = runs.lock().unwrap();
    if served == 0 || runs.is_empty() {
        return Err(io::Error::other("no request was served"));
    }
    let mut differences = 0;
    for run in runs.iter() {
        if let Some(text) = difference(&run.message, &sent) {
            differences += 1;
            record.say(&format!("server {} ran what no client sent: {text}", run.server));
        }
    }
    record.say(&format!(
        "{} requests sent, {served} answered with 200, {} ran, {differences} of these differ from what was sent",
        order.len(),
        runs.len()
    ));
    Ok(differences == 0)
}
