//! Unused addresses, and a lock that keeps them unused while processes are started.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// A loopback address that no other test and no other process uses, so that a port found unused on it stays unused
/// until the limiter binds it.
pub fn unique_loopback_ip() -> Ipv4Addr {
    static NUMBER: AtomicUsize = AtomicUsize::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, high | 0x80, low, u8::try_from(number % 254 + 1).expect("at most 254"))
}

/// Lock to hold while a process is started and while an unused port is looked for. Between fork and exec a child
/// still holds every socket that is open here, so the limiter could find the port that it is meant to bind in use.
pub fn spawn_lock() -> std::sync::MutexGuard<'static, ()> {
    static LOCK: Mutex<()> = Mutex::new(());
    LOCK.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// An address on which nothing listens, for the limiter to bind or to be refused a connection by.
pub fn unused_address() -> SocketAddr {
    let _lock = spawn_lock();
    TcpListener::bind((unique_loopback_ip(), 0)).and_then(|l| l.local_addr()).expect("a free port")
}
