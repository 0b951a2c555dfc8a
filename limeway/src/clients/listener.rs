//! The listener: accepts client connections and serves each in a task of its own.

use crate::clients::client_connection::ClientConnection;
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

/// Wait before the next try after a failed accept; also the longest wait when no connection may be accepted.
const ACCEPT_RETRY_WAIT: Duration = Duration::from_millis(20);
/// Length of the system's queue of connections that wait to be accepted.
const LISTEN_QUEUE: u32 = 1_024;

/// Opens the listening socket.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_QUEUE)
}

/// Accepts connections until `stop` is notified, then closes the listener.
pub async fn run(core: Rc<Core>, table: Rc<ClientTable>, listener: TcpListener, stop: Rc<Notify>) {
    // Since when connections may have been waiting because none could be accepted.
    let mut delayed_since: Option<Instant> = None;
    loop {
        table.make_room();
        if table.is_full() {
            delayed_since.get_or_insert_with(Instant::now);
            let _ = timeout(ACCEPT_RETRY_WAIT, table.closed.notified()).await;
            continue;
        }
        let accept = poll_fn(|context| {
            let polled = listener.poll_accept(context);
            if polled.is_pending() {
                delayed_since = None;
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
                let in_loop = core.lag.max_wait();
                let in_queue = delayed_since.map_or(Duration::ZERO, |since| since.elapsed());
                let waited = in_loop.max(in_queue);
                let over_limit = table.rejects_new();
                let held = table.accept();
                let (core, table) = (core.clone(), table.clone());
                tokio::task::spawn_local(async move {
                    let memory = table.memory.clone();
                    ClientConnection::new(stream, waited, over_limit, memory).serve(&core, &table).await;
                    drop(held);
                    table.closed.notify_waiters();
                });
            }
            Err(e) => {
                core.log_limiter.warn(format_args!("cannot accept a client connection: {e}"));
                if concerns_one_connection(&e) {
                    continue;
                }
                // Out of descriptors or memory: idle connections are closed, and a pause avoids a busy loop.
                delayed_since.get_or_insert_with(Instant::now);
                core.pools.prune();
                sleep(ACCEPT_RETRY_WAIT).await;
            }
        }
    }
}

/// Errors of accept(2) that concern only the connection to be accepted: it was aborted, a firewall rule forbids it, or
/// an error was pending on its network. EINTR, for a signal, is handled like these.
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

/// Whether an accept error concerns only one connection, so that the next in the queue can be accepted at once.
fn concerns_one_connection(error: &io::Error) -> bool {
    error.raw_os_error().is_some_and(|code| CONNECTION_ERRORS.contains(&code))
}

#[cfg(test)]
#[path = "../../tests/unit/listener.rs"]
mod tests;
