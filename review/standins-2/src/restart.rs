//! A planned restart of a limiter whose clients have several requests at once on a connection.

use crate::client::Request;
use crate::http::{read_message, response};
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
const CLIENTS: usize = 8;
/// Requests that a client has on their way at once on its connection.
const AT_ONCE: usize = 5;
const TERM_AT: f64 = 4.0;
/// SIGKILL comes no sooner than the longest deadline, counted as 3 s, plus 0.7 s after SIGTERM.
const KILL_AFTER: f64 = 3.7;
/// What came later than this after SIGTERM, and SIGKILL finds unanswered, is lost.
const LATE: f64 = 0.7;

pub fn run(record: &Arc<Record>, trouble: bool) -> io::Result<bool> {
    let deployment = Deployment {
        limiters: LIMITERS,
        plans: r#"[{"at-once":0,"cap-rate":0.0,"extra-worth":0.0,"hard-burst":0.0,"name":"teljes","over-cost":1.2,"pays":1.6,"per-second":20.0,"store-size":50.0,"tolerance":0.0}]"#.into(),
        profiles: SITE_PROFILES.into(),
        may_duplicate: true,
        memory_mb: 192,
        sockets: 1024,
    };
    let mut rows = Vec::new();
    for number in 0..SERVERS {
        let record = record.clone();
        let address = start_server(move |message, stream| {
            let id = message.header("req-id").unwrap_or_default().to_owned();
            record.line(&format!("server {number}: runs {id}"));
            thread::sleep(Duration::from_millis(250));
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
    // When each request was sent, and which were answered.
    let sent = Arc::new(Mutex::new(HashMap::<String, f64>::new()));
    let answered = Arc::new(Mutex::new(HashMap::<String, u16>::new()));
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let (record, sent, answered, stop) = (record.clone(), sent.clone(), answered.clone(), stop.clone());
        let address = limiters[0].address;
        clients.push(thread::spawn(move || -> io::Result<()> {
            let mut stream = TcpStream::connect(address)?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(Duration::from_secs(7)))?;
            let (mut buffer, mut number, mut on_their_way) = (Vec::new(), 0, 0);
            loop {
                while on_their_way < AT_ONCE && !stop.load(std::sync::atomic::Ordering::SeqCst) {
                    let request = Request {
                        class: "payslip-preview",
                        customer: 0x1000 + client as u64,
                        plan: "teljes",
                        id: format!("{client:04x}{number:012x}"),
                        deadline_ms: 6_000,
                        key: String::new(),
                        units: 1,
                        spread: LIMITERS,
                        first: 0,
                        body: Vec::new(),
                    };
                    number += 1;
                    stream.write_all(&request.bytes())?;
                    record.line(&format!("client {client}: has sent {}", request.id));
                    lock(&sent).insert(request.id, record.now());
                    on_their_way += 1;
                }
                if on_their_way == 0 {
                    return Ok(());
                }
                let Some(message) = read_message(&mut stream, &mut buffer)? else { return Ok(()) };
                // Answers come in the order of the requests.
                let id = format!("{client:04x}{:012x}", number - on_their_way);
                record.line(&format!("client {client}: {id} is answered with {}", message.status()));
                lock(&answered).insert(id, message.status());
                on_their_way -= 1;
                if message.header("connection").is_some_and(|c| c.eq_ignore_ascii_case("close")) {
                    return Ok(());
                }
            }
        }));
    }
    while record.now() < TERM_AT {
        thread::sleep(Duration::from_millis(1));
    }
    let mut term_at = f64::INFINITY;
    if trouble {
        term_at = record.now();
        limiters[0].signal("TERM")?;
        record.say("SIGTERM to limiter 0");
    }
    let end = record.now() + KILL_AFTER;
    let mut ended = None;
    while record.now() < end && ended.is_none() {
        ended = limiters[0].child.try_wait()?;
        thread::sleep(Duration::from_millis(2));
    }
    if trouble {
        match ended {
            Some(status) => record.say(&format!("limiter 0 ended by itself: {status}")),
            None => {
                kill(limiters[0].child.id());
                record.say(&format!("SIGKILL to limiter 0, {KILL_AFTER} s after SIGTERM"));
            }
        }
    }
    let killed_at = record.now();
    stop.store(true, std::sync::atomic::Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let (sent, answered) = (lock(&sent), lock(&answered));
    let lost: Vec<&String> = sent
        .iter()
        .filter(|(id, at)| **at > term_at + LATE && **at < killed_at && !answered.contains_key(*id))
        .map(|(id, _)| id)
        .collect();
    for id in &lost {
        record.line(&format!(
            "lost: {id}, sent {:.3} s after SIGTERM, was never answered",
            sent[*id] - term_at
        ));
    }
    record.say(&format!(
        "{} requests sent, {} answered; {} came later than {LATE} s after SIGTERM and were never answered",
        sent.len(),
        answered.len(),
        lost.len()
    ));
    // Without a restart every request has to be answered.
    Ok(if trouble { ended.is_some() || lost.is_empty() } else { sent.len() == answered.len() })
}
