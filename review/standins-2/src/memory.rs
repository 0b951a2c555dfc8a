//! Servers whose answers now and then never end, and the memory of the limiters that read them.

use crate::client::{Answer, Connections, Random, Request};
use crate::http::response;
use crate::world::*;
use std::collections::HashMap;
use std::io::{self, Write};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const LIMITERS: usize = 2;
const SERVERS: usize = 10;
/// The least that the pages give a limiter, in megabytes, and descriptors.
const MEMORY_MB: u32 = 32;
const SOCKETS: u32 = 1024;
/// Requests a second at each limiter.
const RATE: f64 = 140.0;
const LENGTH_S: f64 = 12.0;
/// One answer in so many never ends.
const SPOILT_ONE_IN: u64 = 5;
/// Such an answer comes in pieces of this length, with this pause between them.
const PIECE: usize = 64 * 1024;
const PAUSE: Duration = Duration::from_millis(200);
/// No longer than clients wait for it.
const ENDLESS_UNTIL: Duration = Duration::from_millis(6_500);

pub fn run(record: &Arc<Record>, trouble: bool) -> io::Result<bool> {
    let deployment = Deployment {
        limiters: LIMITERS,
        plans: r#"[{"at-once":0,"cap-rate":0.0,"extra-worth":0.0,"hard-burst":0.0,"name":"teljes","over-cost":1.2,"pays":1.6,"per-second":100.0,"store-size":250.0,"tolerance":0.0}]"#.into(),
        profiles: SITE_PROFILES.into(),
        may_duplicate: true,
        memory_mb: MEMORY_MB,
        sockets: SOCKETS,
    };
    let answers = Arc::new(AtomicU64::new(0));
    let mut rows = Vec::new();
    for number in 0..SERVERS {
        let (record, answers) = (record.clone(), answers.clone());
        let address = start_server(move |message, stream| {
            let id = message.header("req-id").unwrap_or_default().to_owned();
            record.line(&format!("server {number}: runs {id}"));
            thread::sleep(Duration::from_millis(40));
            let nth = answers.fetch_add(1, Ordering::SeqCst);
            if trouble && nth % SPOILT_ONE_IN == SPOILT_ONE_IN - 1 {
                record.line(&format!("server {number}: begins an answer to {id} that never ends"));
                let begun = record.now();
                stream.write_all(format!("HTTP/1.1 200 OK\r\n{LOAD}\r\n").as_bytes())?;
                while record.now() < begun + ENDLESS_UNTIL.as_secs_f64() {
                    stream.write_all(&[b'x'; PIECE])?;
                    thread::sleep(PAUSE);
                }
                return Ok(false);
            }
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
    let clients: Vec<Arc<Connections>> =
        limiters.iter().map(|l| Arc::new(Connections::new(l.address))).collect();
    // The platform: it kills a limiter whose memory goes over its limit.
    let pids: Vec<u32> = limiters.iter().map(|l| l.child.id()).collect();
    let killed = Arc::new(Mutex::new(Vec::new()));
    let over = Arc::new(AtomicBool::new(false));
    let watch = {
        let (record, killed, over) = (record.clone(), killed.clone(), over.clone());
        thread::spawn(move || {
            let mut next_line = 0.0;
            while !over.load(Ordering::SeqCst) {
                let held: Vec<f64> = pids.iter().map(|pid| memory_mb(*pid, "VmRSS:")).collect();
                if record.now() >= next_line {
                    record.line(&format!("platform: the limiters hold {held:.1?} MB"));
                    next_line = record.now() + 0.25;
                }
                for (number, held) in held.iter().enumerate() {
                    if *held > f64::from(MEMORY_MB) && !lock(&killed).contains(&number) {
                        record.say(&format!("platform: limiter {number} holds {held:.1} MB and is killed"));
                        lock(&killed).push(number);
                        kill(pids[number]);
                    }
                }
                thread::sleep(Duration::from_millis(10));
            }
        })
    };
    let outcomes = Arc::new(Mutex::new(HashMap::<String, u64>::new()));
    let mut random = Random(5);
    let start = record.now();
    let mut waiting = Vec::new();
    let rate = RATE * LIMITERS as f64;
    for n in 0..(rate * LENGTH_S) as u64 {
        while record.now() < start + n as f64 / rate {
            thread::sleep(Duration::from_millis(1));
        }
        let limiter = n as usize % LIMITERS;
        let (class, deadline_ms) =
            if random.below(100) < 54 { ("payslip-preview", 6_000) } else { ("net-check", 1_500) };
        let request = Request {
            class,
            customer: 0x1000 + random.below(40),
            plan: "teljes",
            id: format!("{:016x}", 0x9b1f_0000_0000_0000 + n),
            deadline_ms,
            key: String::new(),
            units: 1 + random.below(3) as u32,
            spread: LIMITERS,
            first: 0,
            body: Vec::new(),
        };
        let (client, record, outcomes) = (clients[limiter].clone(), record.clone(), outcomes.clone());
        waiting.push(thread::spawn(move || {
            record.line(&format!("client: sends {} ({class}) to limiter {limiter}", request.id));
            let wait = Duration::from_millis(request.deadline_ms + 500);
            let outcome = match client.send(&request.bytes(), wait) {
                Answer::Whole(message) => format!("answered {}", message.status()),
                Answer::Silent => "never answered".into(),
                Answer::Cut => "no answer, as the limiter's process had ended".into(),
            };
            record.line(&format!("client: {} {outcome}", request.id));
            *lock(&outcomes).entry(outcome).or_default() += 1;
        }));
    }
    for thread in waiting {
        let _ = thread.join();
    }
    over.store(true, Ordering::SeqCst);
    let _ = watch.join();
    record.say(&format!("outcomes: {:?}", lock(&outcomes)));
    for limiter in &limiters {
        if limiter.peak_memory_mb() > 0.0 {
            record.say(&format!(
                "peak memory of a limiter that still runs: {:.1} MB",
                limiter.peak_memory_mb()
            ));
        }
    }
    let killed = lock(&killed).clone();
    Ok(killed.is_empty())
}
