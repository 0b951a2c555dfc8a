//! The listener: connections are accepted, and each is served by a task of its own.

use crate::client_connection::Connection;
use crate::client_table::ClientTable;
use crate::core::Core;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

/// Longest wait for another look when no connection can be accepted, and when accepting has failed.
const ACCEPT_WAIT: Duration = Duration::from_millis(20);
/// Connections waiting to be accepted.
const BACKLOG: u32 = 1_024;

/// Listens at an address.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections until `stop` is notified, then closes the listener.
pub async fn run(core: Rc<Core>, table: Rc<ClientTable>, listener: TcpListener, stop: Rc<Notify>) {
    loop {
        table.make_room();
        if table.is_full() {
            let _ = timeout(ACCEPT_WAIT, table.ended.notified()).await;
            continue;
        }
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = stop.notified() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let turned_away = table.turns_away();
                let held = table.accept();
                let (core, table) = (core.clone(), table.clone());
                tokio::task::spawn_local(async move {
                    Connection::new(stream, turned_away).serve(&core, &table).await;
                    drop(held);
                    table.ended.notify_waiters();
                });
            }
            Err(e) => {
                // Out of descriptors: idle ones go, and trying again at once would only spin.
                core.log_limiter.warn(format_args!("accepting: {e}"));
                core.pools.prune();
                sleep(ACCEPT_WAIT).await;
            }
        }
    }
}
