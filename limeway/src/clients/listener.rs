//! The listener: connections are accepted, and each is served by a task of its own.

use crate::clients::client_connection::Connection;
use crate::clients::client_table::ClientTable;
use crate::core::Core;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

/// Longest wait for another look when no connection can be accepted, and when accepting has failed.
const ACCEPT_WAIT: Duration = Duration::from_millis(20);
/// Connections waiting to be accepted.
const BACKLOG: u32 = 1_024;

/// Listens at an address.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections until `stop` is notified, then closes the listener.
pub async fn run(core: Rc<Core>, table: Rc<ClientTable>, listener: TcpListener, stop: Rc<Notify>) {
    // Since when connections may have been waiting because none could be accepted.
    let mut held_up: Option<Instant> = None;
    loop {
        table.make_room();
        if table.is_full() {
            held_up.get_or_insert_with(Instant::now);
            let _ = timeout(ACCEPT_WAIT, table.ended.notified()).await;
            continue;
        }
        let accept = poll_fn(|context| {
            let polled = listener.poll_accept(context);
            if polled.is_pending() {
                held_up = None;
            }
            polled
        });
        let accepted = tokio::select! {
            biased;
            accepted = accept => accepted,
            () = stop.notified() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let waited = core.lag.bound().max(held_up.map_or(Duration::ZERO, |since| since.elapsed()));
                let turned_away = table.turns_away();
                let held = table.accept();
                let (core, table) = (core.clone(), table.clone());
                tokio::task::spawn_local(async move {
                    Connection::new(stream, waited, turned_away).serve(&core, &table).await;
                    drop(held);
                    table.ended.notify_waiters();
                });
            }
            Err(e) => {
                core.log_limiter.warn(format_args!("accepting: {e}"));
                if concerns_one_connection(&e) {
                    continue;
                }
                // Out of descriptors or memory: idle ones go, and trying again at once would only spin.
                held_up.get_or_insert_with(Instant::now);
                core.pools.prune();
                sleep(ACCEPT_WAIT).await;
            }
        }
    }
}

/// Errors of accepting that are those of the connection that was to be accepted, by accept(2): it was aborted, a rule of
/// the firewall forbids it, a signal came, or its network has an error pending.
const CONNECTION_ERRORS: [i32; 12] = [
    libc::ECONNABORTED,
    libc::EPROTO,
    libc::EPERM,
    libc::EINTR,
    libc::ETIMEDOUT,
    libc::ENETDOWN,
    libc::ENOPROTOOPT,
    libc::EHOSTDOWN,
    libc::ENONET,
    libc::EHOSTUNREACH,
    libc::EOPNOTSUPP,
    libc::ENETUNREACH,
];

/// Whether an error of accepting is that of one connection, so that the next in the queue can be accepted at once.
fn concerns_one_connection(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|code| CONNECTION_ERRORS.contains(&code))
}

#[cfg(test)]
#[path = "../../tests/unit/listener.rs"]
mod tests;
