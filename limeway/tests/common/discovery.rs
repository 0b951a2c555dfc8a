//! Stand-ins for discovery, and the server lists that they return. A watch is a long poll: a call that names the list
//! version that the limiter has (`from=`) and for how long discovery may hold the call while there are no changes
//! (`hold_ms=`). So a watch from a version shows that the limiter has applied the list of that version.

use super::*;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A row of discovery's list: one server.
pub fn server_row(host: &str, dial: SocketAddr, health: &str) -> String {
    format!(
        r#"{{"host":"{host}","dial":"{dial}","site":"a","class":"m","block":1,"health":"{health}","share":1.0,"born_ms":0}}"#
    )
}

/// A list of servers: a full one if `whole`, else the rows that have changed.
pub fn server_list(seq: u64, whole: bool, rows: &[String]) -> String {
    format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, rows.join(","))
}

/// Starts a discovery stand-in that returns this full list. Each watch waits for a list from the returned sender and
/// is answered with it.
pub fn discovery_stand_in(full_list: String) -> (StandIn, Sender<String>) {
    discovery_stand_in_at(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), full_list)
}

/// Starts the same stand-in at a given address.
pub fn discovery_stand_in_at(address: SocketAddr, full_list: String) -> (StandIn, Sender<String>) {
    let (updates, pending) = channel::<String>();
    let pending = Mutex::new(pending);
    let discovery = stand_in_at(address, move |_, message, stream| {
        // A call with `hold_ms=1` is no watch. It gets the full list, which discovery may return for an old version.
        if message.start_line.contains("from=") && !message.start_line.contains("hold_ms=1 ") {
            let pending = pending.lock().expect("lock is not poisoned");
            match pending.recv() {
                Ok(list) => write_response(stream, "200 OK", &list),
                Err(_) => thread::park(),
            }
        } else {
            write_response(stream, "200 OK", &full_list);
        }
    });
    (discovery, updates)
}

/// How a [`FaultyDiscovery`] treats calls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum DiscoveryMode {
    /// Responds at once if it has a change or the full list is requested, else when the hold time is over.
    Respond,
    /// Never responds, neither to new calls nor to those that it holds.
    Silent,
    /// Responds with status 503.
    Unavailable,
    /// Resets connections.
    Reset,
    /// Responds with truncated JSON.
    MalformedJson,
    /// Responds with a list whose only row is malformed.
    MalformedRows,
    /// Responds after this many milliseconds, as if calls waited in a queue.
    Delayed(u64),
}

/// A discovery stand-in whose mode can be changed. Its list has version 1, then version 2 once it has a change.
pub struct FaultyDiscovery {
    pub server: StandIn,
    state: Arc<Mutex<(DiscoveryMode, Option<String>)>>,
    /// Receives the time of each response that contained the change.
    pub change_sent: Receiver<Instant>,
}

/// Starts a [`FaultyDiscovery`].
pub fn faulty_discovery(mode: DiscoveryMode, full_list: String) -> FaultyDiscovery {
    let state = Arc::new(Mutex::new((mode, None::<String>)));
    let (notify_sent, change_sent) = channel();
    let notify_sent = Mutex::new(notify_sent);
    let shared = state.clone();
    let server = stand_in(move |_, message, stream| {
        let value = |name: &str| {
            let found = message.start_line.split(['?', '&', ' ']).find_map(|p| p.strip_prefix(name));
            found.and_then(|v| v.parse::<u64>().ok())
        };
        let (from, until) =
            (value("from="), Instant::now() + Duration::from_millis(value("hold_ms=").unwrap_or(0)));
        loop {
            let (mode, change) = shared.lock().expect("lock is not poisoned").clone();
            match mode {
                DiscoveryMode::Silent => thread::park(),
                DiscoveryMode::Unavailable => return write_response(stream, "503 Busy", ""),
                DiscoveryMode::Reset => return reset(stream),
                DiscoveryMode::MalformedJson => return write_response(stream, "200 OK", r#"{"seq":"#),
                DiscoveryMode::MalformedRows => {
                    return write_response(stream, "200 OK", r#"{"seq":1,"whole":true,"hosts":[{"host":3}]}"#)
                }
                DiscoveryMode::Delayed(ms) => thread::sleep(Duration::from_millis(ms)),
                DiscoveryMode::Respond => {}
            }
            match (change, from) {
                (Some(change), from) if from != Some(2) => {
                    write_response(stream, "200 OK", &change);
                    let _ = notify_sent.lock().expect("lock is not poisoned").send(Instant::now());
                    return;
                }
                (_, None) => return write_response(stream, "200 OK", &full_list),
                (_, Some(from)) if Instant::now() >= until => {
                    return write_response(stream, "200 OK", &server_list(from, false, &[]));
                }
                _ => thread::sleep(Duration::from_millis(5)),
            }
        }
    });
    FaultyDiscovery { server, state, change_sent }
}

impl FaultyDiscovery {
    /// Changes the mode, also for calls that are held.
    pub fn set_mode(&self, mode: DiscoveryMode) {
        self.state.lock().expect("lock is not poisoned").0 = mode;
    }

    /// Switches to [`DiscoveryMode::Respond`], with this list as the change.
    pub fn recover_with(&self, change: String) {
        *self.state.lock().expect("lock is not poisoned") = (DiscoveryMode::Respond, Some(change));
    }
}
