//! Stand-ins for discovery, and the lists that it gives.

use super::*;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// An entry of discovery's list.
pub fn entry(host: &str, dial: SocketAddr, health: &str) -> String {
    format!(
        r#"{{"host":"{host}","dial":"{dial}","site":"a","class":"m","block":1,"health":"{health}","share":1.0,"born_ms":0}}"#
    )
}

/// A list for discovery.
pub fn list(seq: u64, whole: bool, entries: &[String]) -> String {
    format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, entries.join(","))
}

/// Discovery that gives a whole list; what is sent through the channel answers a watch.
pub fn discovery(whole: String) -> (Server, Sender<String>) {
    discovery_at(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), whole)
}

/// The same at an address.
pub fn discovery_at(at: SocketAddr, whole: String) -> (Server, Sender<String>) {
    let (news, pending) = channel::<String>();
    let pending = Mutex::new(pending);
    let served = server_at(at, move |_, message, stream| {
        // A call that will not wait is answered with the whole list, as a discovery may that is asked from far back.
        if message.line.contains("from=") && !message.line.contains("hold_ms=1 ") {
            let pending = pending.lock().expect("no panic while it is held");
            match pending.recv() {
                Ok(list) => reply(stream, "200 OK", &list),
                Err(_) => thread::park(),
            }
        } else {
            reply(stream, "200 OK", &whole);
        }
    });
    (served, news)
}

/// What discovery does with calls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Mood {
    /// Answers: at once where it has news, else once the wait is over.
    Answers,
    /// Never answers a call that comes now, nor one that waits.
    Silent,
    /// Turns calls away.
    Refuses,
    /// Resets connections.
    Resets,
    /// Answers what makes no sense.
    Rubbish,
    /// Answers a list of which no row makes sense.
    Rows,
    /// Answers each call after its turn in a line of this many milliseconds.
    Line(u64),
}

/// A discovery whose mood changes; its list is of version 1, or of version 2 once there is a change.
pub struct Moody {
    pub server: Server,
    state: Arc<Mutex<(Mood, Option<String>)>>,
    /// When a call was answered with the change.
    pub told: Receiver<Instant>,
}

/// Starts such a discovery.
pub fn moody(mood: Mood, whole: String) -> Moody {
    let state = Arc::new(Mutex::new((mood, None::<String>)));
    let (tell, told) = channel();
    let tell = Mutex::new(tell);
    let shared = state.clone();
    let server = server(move |_, message, stream| {
        let value = |name: &str| {
            let found = message.line.split(['?', '&', ' ']).find_map(|p| p.strip_prefix(name));
            found.and_then(|v| v.parse::<u64>().ok())
        };
        let (from, until) =
            (value("from="), Instant::now() + Duration::from_millis(value("hold_ms=").unwrap_or(0)));
        loop {
            let (mood, change) = shared.lock().expect("no panic while it is held").clone();
            match mood {
                Mood::Silent => thread::park(),
                Mood::Refuses => return reply(stream, "503 Busy", ""),
                Mood::Resets => return reset(stream),
                Mood::Rubbish => return reply(stream, "200 OK", r#"{"seq":"#),
                Mood::Rows => {
                    return reply(stream, "200 OK", r#"{"seq":1,"whole":true,"hosts":[{"host":3}]}"#)
                }
                Mood::Line(time) => thread::sleep(Duration::from_millis(time)),
                Mood::Answers => {}
            }
            match (change, from) {
                (Some(change), from) if from != Some(2) => {
                    reply(stream, "200 OK", &change);
                    let _ = tell.lock().expect("no panic while it is held").send(Instant::now());
                    return;
                }
                (_, None) => return reply(stream, "200 OK", &whole),
                (_, Some(from)) if Instant::now() >= until => {
                    return reply(stream, "200 OK", &list(from, false, &[]));
                }
                _ => thread::sleep(Duration::from_millis(5)),
            }
        }
    });
    Moody { server, state, told }
}

impl Moody {
    /// Another mood from now on.
    pub fn turn(&self, mood: Mood) {
        self.state.lock().expect("no panic while it is held").0 = mood;
    }

    /// It can be reached from now on, and has had this change before.
    pub fn changes(&self, change: String) {
        *self.state.lock().expect("no panic while it is held") = (Mood::Answers, Some(change));
    }
}
