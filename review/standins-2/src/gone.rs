//! Clients that send much at once and go.

use crate::client::{Answer, Connections, Random, Request};
use crate::http::response;
use crate::world::*;
use std::collections::HashMap;
use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const LIMITERS: usize = 2;
const SERVERS: usize = 8;
/// Clients that send so many requests at once, with bodies of so many bytes, and go.
const CLIENTS: usize = 140;
const AT_ONCE: usize = 24;
const BODY: usize = 64 * 1024;
/// An attempt that begins later than this after the client has closed its connection is a break.
const GRACE: f64 = 0.1 + 0.05;
const RATE: f64 = 30.0;
const LENGTH_S: f64 = 15.0;
const BURST_AT: f64 = 5.0;

pub fn run(record: &Arc<Record>, trouble: bool) -> io::Result<bool> {
    let deployment = Deployment {
        limiters: LIMITERS,
        plans: r#"[{"at-once":0,"cap-rate":0.0,"extra-worth":0.0,"hard-burst":0.0,"name":"teljes","over-cost":1.2,"pays":1.6,"per-second":23.0,"store-size":60.0,"tolerance":0.0}]"#.into(),
        profiles: SITE_PROFILES.into(),
        may_duplicate: true,
        memory_mb: 192,
        sockets: 1024,
    };
    // The begin of each attempt, by id.
    let begun = Arc::new(Mutex::new(Vec::<(f64, String)>::new()));
    let mut rows = Vec::new();
    for number in 0..SERVERS {
        let (record, begun) = (record.clone(), begun.clone());
        let address = start_server(move |message, stream| {
            let id = message.header("req-id").unwrap_or_default().to_owned();
            record.line(&format!("server {number}: runs {id}"));
            lock(&begun).push((record.now(), id.clone()));
            thread::sleep(Duration::from_millis(if message.start.contains("net-check") { 90 } else { 240 }));
            stream.write_all(&response("200 OK", LOAD, id.as_bytes()))?;
            Ok(true)
        })?;
        rows.push(Row::new(number, address));
    }
    let discovery = Discovery::new(rows);
    let counter = Counter::new(Duration::from_micros(500));
    let never = Arc::new(AtomicBool::new(false));
    let mut limiters = Vec::new();
    for number in 0..LIMITERS {
        let counter = counter.address(number, record, &never)?;
        limiters.push(Limiter::start(number, &deployment, discovery.address()?, counter, &discovery.list())?);
    }
    for limiter in &limiters {
        if !limiter.wait_ready(Duration::from_secs(10)) {
            return Err(io::Error::other("a limiter is not ready"));
        }
    }
    // When each client closed its connection, by the first part of its ids.
    let closed = Arc::new(Mutex::new(HashMap::<usize, f64>::new()));
    let mut waiting = Vec::new();
    if trouble {
        for number in 0..CLIENTS {
            let (record, closed) = (record.clone(), closed.clone());
            let address = limiters[number % LIMITERS].address;
            waiting.push(thread::spawn(move || {
                while record.now() < BURST_AT {
                    thread::sleep(Duration::from_millis(1));
                }
                let mut bytes = Vec::new();
                for n in 0..AT_ONCE {
                    let request = Request {
                        class: "run-approve",
                        customer: 0x2000 + number as u64,
                        plan: "teljes",
                        id: format!("{number:08x}{n:08x}"),
                        deadline_ms: 6_000,
                        key: format!("{number:016x}{n:016x}"),
                        units: 1,
                        spread: LIMITERS,
                        first: 0,
                        body: vec![b'x'; BODY],
                    };
                    bytes.extend_from_slice(&request.bytes());
                }
                // It goes after 0.3 s at the latest, also if the system has not yet taken all.
                let sent = TcpStream::connect(address).and_then(|mut stream| {
                    stream.set_write_timeout(Some(Duration::from_millis(300)))?;
                    stream.write_all(&bytes)
                });
                let at = record.now();
                lock(&closed).insert(number, at);
                record.line(&format!("client {number}: has sent {AT_ONCE} requests at once ({sent:?}) and closed its connection"));
            }));
        }
    }
    let clients: Vec<Arc<Connections>> =
        limiters.iter().map(|l| Arc::new(Connections::new(l.address))).collect();
    let mut random = Random(5);
    let start = record.now();
    let outcomes = Arc::new(Mutex::new(HashMap::<String, u64>::new()));
    for n in 0..(RATE * LENGTH_S) as u64 {
        while record.now() < start + n as f64 / RATE {
            thread::sleep(Duration::from_millis(1));
        }
        let limiter = random.below(LIMITERS as u64) as usize;
        let request = Request {
            class: "net-check",
            customer: 0x1000 + random.below(12),
            plan: "teljes",
            id: format!("{:016x}", 0x9b1f_0000_0000_0000 + n),
            deadline_ms: 1_500,
            key: String::new(),
            units: 1,
            spread: LIMITERS,
            first: 0,
            body: Vec::new(),
        };
        let (client, outcomes) = (clients[limiter].clone(), outcomes.clone());
        waiting.push(thread::spawn(move || {
            let outcome = match client.send(&request.bytes(), Duration::from_millis(2_000)) {
                Answer::Whole(message) => format!("answered {}", message.status()),
                Answer::Silent => "never answered".into(),
                Answer::Cut => "cut".into(),
            };
            *lock(&outcomes).entry(outcome).or_default() += 1;
        }));
    }
    for thread in waiting {
        let _ = thread.join();
    }
    record.say(&format!("outcomes of the other clients: {:?}", lock(&outcomes)));
    let (begun, closed) = (lock(&begun), lock(&closed));
    let mut late: Vec<f64> = Vec::new();
    for (at, id) in begun.iter() {
        let Some(number) = id.get(..8).and_then(|n| usize::from_str_radix(n, 16).ok()) else { continue };
        let Some(closed_at) = closed.get(&number) else { continue };
        let after = at - closed_at;
        if after > GRACE {
            record.line(&format!("attempt for {id} began {after:.3} s after its client had closed"));
            late.push(after);
        }
    }
    late.sort_by(f64::total_cmp);
    record.say(&format!(
        "{} attempts began later than {GRACE:.2} s after their client had closed: {late:.2?}",
        late.len()
    ));
    Ok(late.is_empty())
}
