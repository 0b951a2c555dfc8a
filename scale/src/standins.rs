//! Stand-ins of discovery, counter and servers on loopback, by the published protocol. One thread serves them all.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Longest head that is read, in bytes.
const HEAD_MOST: usize = 16 * 1024;

/// What a stand-in has seen.
#[derive(Debug, Default)]
pub struct Seen {
    /// Calls.
    pub calls: Cell<u64>,
    /// Bytes that came and went.
    pub bytes: Cell<u64>,
    /// Connections that were accepted.
    pub connections: Cell<u64>,
}

impl Seen {
    fn count(&self, bytes: usize) {
        self.calls.set(self.calls.get() + 1);
        self.bytes.set(self.bytes.get() + bytes as u64);
    }
}

/// Reads one message without a body; nothing at the end of the connection.
pub async fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<String>> {
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end + 4]).into_owned();
            buffer.drain(..end + 4);
            return Ok(Some(head));
        }
        if buffer.len() > HEAD_MOST {
            return Err(io::ErrorKind::InvalidData.into());
        }
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
}

/// An answer with a body.
pub fn answer(headers: &str, body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Listens at a port of the system's choice.
///
/// # Errors
/// Where no port can be had.
pub async fn listen() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Accepts connections for ever and gives each to a task of its own.
pub fn accept<F, T>(listener: TcpListener, seen: Rc<Seen>, mut serve: F)
where
    F: FnMut(TcpStream) -> T + 'static,
    T: std::future::Future<Output = io::Result<()>> + 'static,
{
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            seen.connections.set(seen.connections.get() + 1);
            let _ = stream.set_nodelay(true);
            let served = serve(stream);
            spawn_local(async move {
                if let Err(e) = served.await {
                    log::debug!("stand-in: {e}");
                }
            });
        }
    });
}

/// A server, or many at one address: answers each request at once.
pub async fn server() -> io::Result<(SocketAddr, Rc<Seen>)> {
    let (listener, address) = listen().await?;
    let seen = Rc::<Seen>::default();
    let shared = seen.clone();
    accept(listener, seen.clone(), move |mut stream| {
        let seen = shared.clone();
        async move {
            let mut buffer = Vec::new();
            while let Some(head) = read_head(&mut stream, &mut buffer).await? {
                let text = answer("Srv-Load: busy_reqs=1,cpu_share=0.30,served_ps=10.0\r\n", "served");
                seen.count(head.len() + text.len());
                stream.write_all(text.as_bytes()).await?;
            }
            Ok(())
        }
    });
    Ok((address, seen))
}

/// A counter.
pub async fn counter() -> io::Result<(SocketAddr, Rc<Seen>)> {
    let (listener, address) = listen().await?;
    let seen = Rc::<Seen>::default();
    let shared = seen.clone();
    let totals = Rc::<RefCell<HashMap<String, f64>>>::default();
    accept(listener, seen.clone(), move |mut stream| {
        let (seen, totals) = (shared.clone(), totals.clone());
        async move {
            let mut buffer = Vec::new();
            while let Some(head) = read_head(&mut stream, &mut buffer).await? {
                let target = head.split(' ').nth(1).unwrap_or_default();
                let (name, query) = target.split_once('?').unwrap_or((target, ""));
                let add = query.split('&').find_map(|p| p.strip_prefix("add=")).and_then(|a| a.parse().ok());
                let total = {
                    let mut totals = totals.borrow_mut();
                    let total = totals.entry(name.to_owned()).or_insert(0.0);
                    *total += add.unwrap_or(0.0);
                    *total
                };
                let text = answer("", &total.to_string());
                seen.count(head.len() + text.len());
                stream.write_all(text.as_bytes()).await?;
            }
            Ok(())
        }
    });
    Ok((address, seen))
}

/// Discovery: its list, the last change, and who has heard of it.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    /// What it has seen.
    pub seen: Rc<Seen>,
    rows: RefCell<Vec<String>>,
    version: Cell<u64>,
    /// The row that the last change replaced.
    change: RefCell<String>,
    changed: Notify,
    /// When the last watch came that names the present version: its limiter has taken the change in.
    heard: RefCell<Vec<Instant>>,
}

impl Discovery {
    /// Starts it with the rows of its list.
    pub async fn start(rows: &[String]) -> io::Result<Rc<Self>> {
        let (listener, address) = listen().await?;
        let seen = Rc::<Seen>::default();
        let discovery = Rc::new(Discovery {
            address,
            seen: seen.clone(),
            rows: RefCell::new(rows.to_vec()),
            version: Cell::new(1),
            change: RefCell::default(),
            changed: Notify::new(),
            heard: RefCell::default(),
        });
        let shared = discovery.clone();
        accept(listener, seen, move |stream| serve(shared.clone(), stream));
        Ok(discovery)
    }

    /// Length of the whole list, in bytes.
    pub fn length(&self) -> usize {
        self.whole().len()
    }

    fn whole(&self) -> String {
        list(self.version.get(), true, &self.rows.borrow().join(","))
    }

    /// Replaces a row, and tells all watches of it.
    pub fn tell(&self, number: usize, row: &str) {
        self.version.set(self.version.get() + 1);
        row.clone_into(&mut self.rows.borrow_mut()[number]);
        *self.change.borrow_mut() = list(self.version.get(), false, row);
        self.heard.borrow_mut().clear();
        self.changed.notify_waiters();
    }

    /// When each limiter that has taken in the present version said so.
    pub fn heard(&self) -> Vec<Instant> {
        self.heard.borrow().clone()
    }
}

fn list(version: u64, whole: bool, rows: &str) -> String {
    format!(r#"{{"seq":{version},"whole":{whole},"hosts":[{rows}]}}"#)
}

async fn serve(discovery: Rc<Discovery>, mut stream: TcpStream) -> io::Result<()> {
    let mut buffer = Vec::new();
    let mut told = 0;
    while let Some(head) = read_head(&mut stream, &mut buffer).await? {
        let value = |name: &str| -> Option<u64> {
            head.split(['?', '&', ' ']).find_map(|p| p.strip_prefix(name))?.parse().ok()
        };
        let (from, hold) = (value("from="), Duration::from_millis(value("hold_ms=").unwrap_or(0)));
        if from == Some(discovery.version.get()) && told != discovery.version.get() {
            told = discovery.version.get();
            discovery.heard.borrow_mut().push(Instant::now());
        }
        let body = match from {
            None => discovery.whole(),
            Some(from) => {
                if from == discovery.version.get() {
                    let _ = timeout(hold, discovery.changed.notified()).await;
                }
                match discovery.version.get() - from.min(discovery.version.get()) {
                    0 => list(from, false, ""),
                    1 => discovery.change.borrow().clone(),
                    _ => discovery.whole(),
                }
            }
        };
        let text = answer("", &body);
        discovery.seen.count(head.len() + text.len());
        stream.write_all(text.as_bytes()).await?;
    }
    Ok(())
}
