//! Stand-ins of discovery, the counter and servers on loopback. All run in the tool's own thread.

use crate::http::{ok_response, read_head};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Traffic that a stand-in has seen.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Requests answered.
    pub calls: Cell<u64>,
    /// Bytes received and sent.
    pub bytes: Cell<u64>,
    /// Connections accepted.
    pub connections: Cell<u64>,
}

impl Traffic {
    fn count_call(&self, bytes: usize) {
        self.calls.set(self.calls.get() + 1);
        self.bytes.set(self.bytes.get() + bytes as u64);
    }
}

/// Listens on loopback, at a free port.
///
/// # Errors
/// If no port is free.
pub async fn listen() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// Accepts connections until the runtime ends, and serves each in a task of its own.
pub fn accept_connections<F, T>(listener: TcpListener, traffic: Rc<Traffic>, mut serve: F)
where
    F: FnMut(TcpStream) -> T + 'static,
    T: std::future::Future<Output = io::Result<()>> + 'static,
{
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            traffic.connections.set(traffic.connections.get() + 1);
            let _ = stream.set_nodelay(true);
            let connection = serve(stream);
            spawn_local(async move {
                if let Err(e) = connection.await {
                    log::debug!("stand-in: connection failed: {e}");
                }
            });
        }
    });
}

/// Starts a server that answers each request at once. It can stand for many servers at the same address.
///
/// # Errors
/// If no port is free.
pub async fn start_server() -> io::Result<(SocketAddr, Rc<Traffic>)> {
    let (listener, address) = listen().await?;
    let traffic = Rc::<Traffic>::default();
    let shared = traffic.clone();
    accept_connections(listener, traffic.clone(), move |mut stream| {
        let traffic = shared.clone();
        async move {
            let mut buffer = Vec::new();
            while let Some(head) = read_head(&mut stream, &mut buffer).await? {
                let response =
                    ok_response("Srv-Load: busy_reqs=1,cpu_share=0.30,served_ps=10.0\r\n", "served");
                traffic.count_call(head.len() + response.len());
                stream.write_all(response.as_bytes()).await?;
            }
            Ok(())
        }
    });
    Ok((address, traffic))
}

/// Starts a counter, which adds to a total by name and answers with the new total. Totals do not expire.
///
/// # Errors
/// If no port is free.
pub async fn start_counter() -> io::Result<(SocketAddr, Rc<Traffic>)> {
    let (listener, address) = listen().await?;
    let traffic = Rc::<Traffic>::default();
    let shared = traffic.clone();
    let totals = Rc::<RefCell<HashMap<String, f64>>>::default();
    accept_connections(listener, traffic.clone(), move |mut stream| {
        let (traffic, totals) = (shared.clone(), totals.clone());
        async move {
            let mut buffer = Vec::new();
            while let Some(head) = read_head(&mut stream, &mut buffer).await? {
                let target = head.split(' ').nth(1).unwrap_or_default();
                let (name, query) = target.split_once('?').unwrap_or((target, ""));
                let amount =
                    query.split('&').find_map(|p| p.strip_prefix("add=")).and_then(|a| a.parse().ok());
                let total = {
                    let mut totals = totals.borrow_mut();
                    let total = totals.entry(name.to_owned()).or_insert(0.0);
                    *total += amount.unwrap_or(0.0);
                    *total
                };
                let response = ok_response("", &total.to_string());
                traffic.count_call(head.len() + response.len());
                stream.write_all(response.as_bytes()).await?;
            }
            Ok(())
        }
    });
    Ok((address, traffic))
}

/// Discovery. It holds the list of servers, the last change to it, and the times at which limiters acknowledged that
/// change.
pub struct Discovery {
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Traffic that it has seen.
    pub traffic: Rc<Traffic>,
    rows: RefCell<Vec<String>>,
    version: Cell<u64>,
    /// Body of the response that reports the last change: a list with just the changed row.
    last_change: RefCell<String>,
    changed: Notify,
    /// When each connection first asked for changes since the present version, which shows that its limiter has
    /// applied that version.
    acknowledged: RefCell<Vec<Instant>>,
}

impl Discovery {
    /// Starts discovery with the rows of its list.
    ///
    /// # Errors
    /// If no port is free.
    pub async fn start(rows: &[String]) -> io::Result<Rc<Self>> {
        let (listener, address) = listen().await?;
        let traffic = Rc::<Traffic>::default();
        let discovery = Rc::new(Discovery {
            address,
            traffic: traffic.clone(),
            rows: RefCell::new(rows.to_vec()),
            version: Cell::new(1),
            last_change: RefCell::default(),
            changed: Notify::new(),
            acknowledged: RefCell::default(),
        });
        let shared = discovery.clone();
        accept_connections(listener, traffic, move |stream| serve_discovery(shared.clone(), stream));
        Ok(discovery)
    }

    /// Length of the full list, in bytes.
    pub fn list_bytes(&self) -> usize {
        self.full_list().len()
    }

    fn full_list(&self) -> String {
        list_json(self.version.get(), true, &self.rows.borrow().join(","))
    }

    /// Replaces a row, raises the version and answers all held requests.
    pub fn update_row(&self, index: usize, row: &str) {
        self.version.set(self.version.get() + 1);
        row.clone_into(&mut self.rows.borrow_mut()[index]);
        *self.last_change.borrow_mut() = list_json(self.version.get(), false, row);
        self.acknowledged.borrow_mut().clear();
        self.changed.notify_waiters();
    }

    /// When each limiter acknowledged the present version; limiters that have not are absent.
    pub fn acknowledged(&self) -> Vec<Instant> {
        self.acknowledged.borrow().clone()
    }
}

/// A list in discovery's format: the full list, or changed rows only.
fn list_json(version: u64, full: bool, rows: &str) -> String {
    format!(r#"{{"seq":{version},"whole":{full},"hosts":[{rows}]}}"#)
}

/// Answers the requests of one connection. A request that names the present version is held until the list changes or
/// the hold time that it allows is over.
async fn serve_discovery(discovery: Rc<Discovery>, mut stream: TcpStream) -> io::Result<()> {
    let mut buffer = Vec::new();
    let mut acknowledged_version = 0;
    while let Some(head) = read_head(&mut stream, &mut buffer).await? {
        let parameter = |name: &str| -> Option<u64> {
            head.split(['?', '&', ' ']).find_map(|p| p.strip_prefix(name))?.parse().ok()
        };
        let (from, hold) = (parameter("from="), Duration::from_millis(parameter("hold_ms=").unwrap_or(0)));
        if from == Some(discovery.version.get()) && acknowledged_version != discovery.version.get() {
            acknowledged_version = discovery.version.get();
            discovery.acknowledged.borrow_mut().push(Instant::now());
        }
        let body = match from {
            None => discovery.full_list(),
            Some(from) => {
                if from == discovery.version.get() {
                    let _ = timeout(hold, discovery.changed.notified()).await;
                }
                match discovery.version.get() - from.min(discovery.version.get()) {
                    0 => list_json(from, false, ""),
                    1 => discovery.last_change.borrow().clone(),
                    _ => discovery.full_list(),
                }
            }
        };
        let response = ok_response("", &body);
        discovery.traffic.count_call(head.len() + response.len());
        stream.write_all(response.as_bytes()).await?;
    }
    Ok(())
}
