//! Servers begin to drain while discovery is slow: its answers come in pieces, or late after the open watches fell silent.

use crate::client::{Answer, Connections, Random, Request};
use crate::http::{read_message, response};
use crate::world::*;
use std::collections::HashMap;
use std::io::{self, Write};
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const LIMITERS: usize = 2;
const SERVERS: usize = 8;
/// Pause between two pieces of an answer of discovery, which come one behind the other.
const PAUSE: Duration = Duration::from_millis(300);
const PIECES: usize = 3;
/// How late answers come, where they come whole.
const LATE: Duration = Duration::from_millis(1_800);
/// Requests a second, through all limiters together.
const RATE: f64 = 57.0;
/// When two servers begin to drain.
const DRAIN_AT: f64 = 6.4;
const END_AT: f64 = 24.0;
/// Whatever discovery has to tell counts as told this long after it had it, at the latest.
const TOLD_AFTER: f64 = 6.0;
/// A server gets nothing new later than this after the limiter was told, with the slack of sockets.
const GRACE: f64 = 1.0 + 0.05;

/// What discovery does.
#[derive(Clone, Copy, PartialEq)]
pub enum Trouble {
    /// Its answers come in pieces.
    Pieces,
    /// All open watches fall silent once, and from then on answers come late.
    SilentThenLate,
}

pub fn run(record: &Arc<Record>, kind: Trouble, trouble: bool) -> io::Result<bool> {
    let deployment = Deployment {
        limiters: LIMITERS,
        plans: r#"[{"at-once":0,"cap-rate":0.0,"extra-worth":0.0,"hard-burst":0.0,"name":"teljes","over-cost":1.2,"pays":1.6,"per-second":20.0,"store-size":50.0,"tolerance":0.0}]"#.into(),
        profiles: SITE_PROFILES.into(),
        may_duplicate: true,
        memory_mb: 192,
        sockets: 1024,
    };
    // Arrivals at servers: the time of the first byte, the server and the id.
    let arrivals = Arc::new(Mutex::new(Vec::<(f64, usize, String)>::new()));
    let mut rows = Vec::new();
    for number in 0..SERVERS {
        let (record, arrivals) = (record.clone(), arrivals.clone());
        let address = start_server(move |message, stream| {
            let id = message.header("req-id").unwrap_or_default().to_owned();
            record.line(&format!("server {number}: runs {id}"));
            lock(&arrivals).push((record.now(), number, id.clone()));
            thread::sleep(Duration::from_millis(80));
            stream.write_all(&response("200 OK", LOAD, id.as_bytes()))?;
            Ok(true)
        })?;
        rows.push(Row::new(number, address));
    }
    let discovery = Discovery::new(rows);
    let in_pieces = trouble && kind == Trouble::Pieces;
    // The time from which open watches are silent and answers late.
    let late_from = if trouble && kind == Trouble::SilentThenLate { DRAIN_AT - 0.1 } else { f64::INFINITY };
    let counter = Counter::new(Duration::from_micros(500));
    let never = Arc::new(AtomicBool::new(false));
    let mut limiters = Vec::new();
    for number in 0..LIMITERS {
        let (shared, lines) = (discovery.clone(), record.clone());
        let agent = serve(move |mut stream| {
            let mut buffer = Vec::new();
            while let Some(call) = read_message(&mut stream, &mut buffer)? {
                lines.line(&format!("discovery: limiter {number} calls {}", call.target()));
                let called = lines.now();
                let bytes = response("200 OK", "", shared.answer(&call).as_bytes());
                if called < late_from && lines.now() >= late_from {
                    lines.line(&format!("discovery: a watch of limiter {number} has fallen silent"));
                    let _ = read_message(&mut stream, &mut buffer);
                    return Ok(());
                }
                if called >= late_from {
                    thread::sleep(LATE);
                }
                let mut whole = true;
                for (nth, piece) in bytes.chunks(bytes.len().div_ceil(PIECES)).enumerate() {
                    if nth > 0 && in_pieces {
                        thread::sleep(PAUSE);
                    }
                    whole &= stream.write_all(piece).is_ok();
                }
                lines.line(&format!(
                    "discovery: answer to limiter {number} {}",
                    if whole { "written" } else { "not written, as the connection had ended" }
                ));
            }
            lines.line(&format!("discovery: limiter {number} ended a connection"));
            Ok(())
        })?;
        let counter = counter.address(number, record, &never)?;
        limiters.push(Limiter::start(number, &deployment, agent, counter, &discovery.list())?);
    }
    for limiter in &limiters {
        if !limiter.wait_ready(Duration::from_secs(10)) {
            return Err(io::Error::other("a limiter is not ready"));
        }
    }
    let clients: Vec<Arc<Connections>> =
        limiters.iter().map(|l| Arc::new(Connections::new(l.address))).collect();
    let outcomes = Arc::new(Mutex::new(HashMap::<String, u64>::new()));
    let mut random = Random(5);
    let start = record.now();
    let mut drained_at = None;
    let mut waiting = Vec::new();
    for n in 0..(RATE * (END_AT - start)) as u64 {
        while record.now() < start + n as f64 / RATE {
            thread::sleep(Duration::from_millis(1));
        }
        if drained_at.is_none() && record.now() >= DRAIN_AT {
            discovery.change(|rows, version| {
                for row in &mut rows[..2] {
                    (row.health, row.changed_in) = ("DRAINING", version);
                }
            });
            drained_at = Some(record.now());
            record.say("discovery has it that servers 0 and 1 drain");
        }
        let limiter = random.below(LIMITERS as u64) as usize;
        let request = Request {
            class: "net-check",
            customer: 0x1000 + random.below(12),
            plan: "teljes",
            id: format!("{:016x}", 0x9b1f_0000_0000_0000 + n),
            deadline_ms: 1_500,
            key: String::new(),
            units: 1 + random.below(3) as u32,
            spread: LIMITERS,
            first: 0,
            body: Vec::new(),
        };
        let (client, record, outcomes) = (clients[limiter].clone(), record.clone(), outcomes.clone());
        waiting.push(thread::spawn(move || {
            record.line(&format!("client: sends {} to limiter {limiter}", request.id));
            let outcome = match client.send(&request.bytes(), Duration::from_millis(2_000)) {
                Answer::Whole(message) => format!("answered {}", message.status()),
                Answer::Silent => "never answered".into(),
                Answer::Cut => "cut".into(),
            };
            record.line(&format!("client: {} {outcome}", request.id));
            *lock(&outcomes).entry(outcome).or_default() += 1;
        }));
    }
    for thread in waiting {
        let _ = thread.join();
    }
    record.say(&format!("outcomes: {:?}", lock(&outcomes)));
    let drained_at = drained_at.ok_or_else(|| io::Error::other("no server drained"))?;
    let latest = drained_at + TOLD_AFTER + GRACE;
    let arrivals = lock(&arrivals);
    let of_drained = |from: f64| arrivals.iter().filter(|a| a.1 < 2 && a.0 > from).count();
    record.say(&format!(
        "servers 0 and 1 got {} requests after {drained_at:.2} s, when discovery had it, and {} after {latest:.2} s, the latest time that the rule allows",
        of_drained(drained_at),
        of_drained(latest)
    ));
    Ok(of_drained(latest) == 0)
}
