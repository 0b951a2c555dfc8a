//! Servers whose answers now and then give a length that doesn't fit.

use crate::client::{Answer, Connections, Random, Request};
use crate::http::response;
use crate::world::*;
use std::collections::HashMap;
use std::io::{self, Write};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const LIMITERS: usize = 3;
const SERVERS: usize = 9;
/// Requests a second, through all limiters together.
const RATE: f64 = 57.0;
const LENGTH_S: f64 = 20.0;
/// One answer in so many gives a length that doesn't fit.
const SPOILT_ONE_IN: u64 = 20;

/// The answer that a server makes for a request: known from its id alone.
fn made_for(id: &str) -> Vec<u8> {
    format!("{id};gross=812400;tax=121860;contributions=150294;net=540246").into_bytes()
}

pub fn run(record: &Arc<Record>, trouble: bool) -> io::Result<bool> {
    let deployment = Deployment {
        limiters: LIMITERS,
        plans: r#"[{"at-once":0,"cap-rate":0.0,"extra-worth":0.0,"hard-burst":0.0,"name":"teljes","over-cost":1.2,"pays":1.6,"per-second":20.0,"store-size":50.0,"tolerance":0.0}]"#.into(),
        profiles: SITE_PROFILES.into(),
        may_duplicate: true,
        memory_mb: 192,
        sockets: 1024,
    };
    let spoil = Arc::new(AtomicBool::new(trouble));
    let answers = Arc::new(AtomicU64::new(0));
    let mut rows = Vec::new();
    for number in 0..SERVERS {
        let (shared, spoil, answers) = (record.clone(), spoil.clone(), answers.clone());
        let address = start_server(move |message, stream| {
            let id = message.header("req-id").unwrap_or_default().to_owned();
            shared.line(&format!("server {number}: runs {id}"));
            thread::sleep(Duration::from_millis(70 + Random(id.len() as u64 + number as u64).below(50)));
            let body = made_for(&id);
            let nth = answers.fetch_add(1, Ordering::SeqCst);
            if spoil.load(Ordering::SeqCst) && nth % SPOILT_ONE_IN == SPOILT_ONE_IN - 1 {
                // The whole answer in one write, under a length that is too short. The connection stays open.
                // It ends within a figure: a client can't tell that something is missing.
                let length = body.len() - 3;
                let mut bytes =
                    format!("HTTP/1.1 200 OK\r\n{LOAD}Content-Length: {length}\r\n\r\n").into_bytes();
                bytes.extend_from_slice(&body);
                stream.write_all(&bytes)?;
                shared.line(&format!(
                    "server {number}: answers {id} with {} bytes and the length {length}",
                    body.len()
                ));
                let mut rest = [0; 1024];
                while matches!(io::Read::read(stream, &mut rest), Ok(1..)) {}
                return Ok(false);
            }
            stream.write_all(&response("200 OK", LOAD, &body))?;
            Ok(true)
        })?;
        rows.push(Row::new(number, address));
    }
    let discovery = Discovery::new(rows);
    let counter = Counter::new(Duration::from_micros(1_000));
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
    let clients: Vec<Arc<Connections>> =
        limiters.iter().map(|l| Arc::new(Connections::new(l.address))).collect();
    let outcomes = Arc::new(Mutex::new(HashMap::<String, u64>::new()));
    let mut random = Random(5);
    let start = record.now();
    let mut waiting = Vec::new();
    for n in 0..(RATE * LENGTH_S) as u64 {
        while record.now() < start + n as f64 / RATE {
            thread::sleep(Duration::from_millis(1));
        }
        let limiter = random.below(LIMITERS as u64) as usize;
        let (class, key, deadline_ms) = match random.below(100) {
            0..=45 => ("payslip-preview", String::new(), 6_000),
            46..=84 => ("net-check", String::new(), 1_500),
            _ => ("run-approve", format!("{:032x}", random.next()), 6_000),
        };
        let request = Request {
            class,
            customer: 0x1000 + random.below(12),
            plan: "teljes",
            id: format!("{:016x}", 0x9b1f_0000_0000_0000 + n),
            deadline_ms,
            key,
            units: 1 + random.below(3) as u32,
            spread: LIMITERS,
            first: 0,
            body: if class == "run-approve" { b"{\"run\":1}".to_vec() } else { Vec::new() },
        };
        let (client, record, outcomes) = (clients[limiter].clone(), record.clone(), outcomes.clone());
        waiting.push(thread::spawn(move || {
            record.line(&format!("client: sends {} ({class}) to limiter {limiter}", request.id));
            let wait = Duration::from_millis(request.deadline_ms + 500);
            let outcome = match client.send(&request.bytes(), wait) {
                Answer::Whole(message) if message.status() == 200 => {
                    if message.body == made_for(&request.id) {
                        "served with the answer made for it".to_owned()
                    } else {
                        record.line(&format!(
                            "client: {} was served {:?}",
                            request.id,
                            String::from_utf8_lossy(&message.body)
                        ));
                        "served with what no server made for it".to_owned()
                    }
                }
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
    let outcomes = lock(&outcomes).clone();
    record.say(&format!("outcomes: {outcomes:?}"));
    Ok(!outcomes.contains_key("served with what no server made for it"))
}
