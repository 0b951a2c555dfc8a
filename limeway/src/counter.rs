//! Calls to the counter.

use crate::network::connection::{ExchangeError, OutboundConnection, Response};
use crate::network::descriptors::{self, CountGuard, DescriptorBudget, Owner};
use crate::network::network_event::{EventSink, NetworkEvent};
use pondgw::{Micros, Status};
use std::cell::{Cell, RefCell};
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// Time for which an idle connection is kept: the counter closes one after some 10 s or less, and a call that
/// crosses this may or may not have been added.
const IDLE_MOST: Duration = Duration::from_secs(3);

/// The counter: one call at a time on a connection, so that a call that is given up takes no other with it.
pub struct Counter {
    address: Cell<SocketAddr>,
    limit: Duration,
    descriptors: Rc<DescriptorBudget>,
    sink: EventSink,
    idle: RefCell<Vec<CounterConnection>>,
    /// Connections to the present address.
    open: RefCell<Rc<Cell<usize>>>,
}

/// A connection, counted among those to its address.
struct CounterConnection {
    conn: OutboundConnection,
    _open: CountGuard,
}

/// Connections to one address at most: the counter resets those beyond 32, and after a cut still holds as many that
/// were given up here without its hearing of it.
const CONNECTIONS_MOST: usize = descriptors::MAX_COUNTER_CONNECTIONS;

impl Counter {
    /// The counter at an address; a call is given up after `limit`, and its end goes to the sink.
    pub fn new(
        address: SocketAddr,
        limit: Micros,
        descriptors: Rc<DescriptorBudget>,
        sink: EventSink,
    ) -> Rc<Self> {
        let limit = Duration::from_micros(limit);
        Rc::new(Counter {
            address: Cell::new(address),
            limit,
            descriptors,
            sink,
            idle: RefCell::default(),
            open: RefCell::default(),
        })
    }

    /// Moves to another address: new calls go there, those under way finish where they are, and connections to
    /// the old address are let go as they fall idle.
    pub fn set_address(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.idle.borrow_mut().clear();
            self.open.replace(Rc::default());
        }
    }

    /// Makes a call; its end is reported. Calls on one name never overlap: the module has one call out
    /// for a customer at a time, and no two customers share a name.
    pub fn call(self: &Rc<Self>, name: u64, amount: f64, ttl: Micros) {
        let counter = self.clone();
        tokio::task::spawn_local(async move {
            let (start, written) = (Instant::now(), Cell::new(false));
            let ended = timeout(counter.limit, counter.exchange((name, amount, ttl), &written)).await;
            let (status, total) = match ended {
                Ok(ended) => ended,
                Err(_) if written.get() => (Status::Timeout, 0.0),
                Err(_) => (Status::ConnectFailed, 0.0),
            };
            let latency = start.elapsed().as_micros() as Micros;
            log::debug!("count {name} {amount}: {status:?} {total} after {latency} us");
            (counter.sink)(NetworkEvent::Counted { name, status, total, latency });
        });
    }

    fn take(&self) -> Option<CounterConnection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(kept) = idle.pop() {
            if kept.conn.idle_time() < IDLE_MOST && kept.conn.nothing_pending() {
                return Some(kept);
            }
        }
        None
    }

    /// Opens a connection; says how the call ended where none can be had.
    async fn open(&self) -> Result<CounterConnection, Status> {
        let open = self.open.borrow().clone();
        // Nothing was added where no connection may be opened.
        let held = self.descriptors.try_acquire(Owner::Counter).filter(|_| open.get() < CONNECTIONS_MOST);
        let (held, _open) = (held.ok_or(Status::Full)?, CountGuard::new(&open));
        let conn =
            OutboundConnection::connect(self.address.get(), held).await.map_err(|_| Status::ConnectFailed)?;
        Ok(CounterConnection { conn, _open })
    }

    async fn exchange(&self, (name, amount, ttl): (u64, f64, Micros), written: &Cell<bool>) -> (Status, f64) {
        let address = self.address.get();
        let mut call = match self.take() {
            Some(kept) => kept,
            None => match self.open().await {
                Ok(opened) => opened,
                Err(status) => return (status, 0.0),
            },
        };
        let mut message = Vec::with_capacity(128);
        let ttl = ttl.div_ceil(1_000).max(1);
        let done = write!(
            message,
            "POST /v1/count/{name}?add={amount}&ttl_ms={ttl} HTTP/1.1\r\nHost: counter\r\nContent-Length: 0\r\n\r\n"
        );
        debug_assert!(done.is_ok(), "writing to memory cannot fail");
        if call.conn.write(&message, written).await.is_err() {
            return (Status::ConnectFailed, 0.0);
        }
        let Response { head, body, reusable, .. } = match call.conn.read_response().await {
            // Nobody could tell whether all digits of such a total have come.
            Ok(reply) if reply.close_delimited => return (Status::Error, 0.0),
            Ok(reply) => reply,
            Err(ExchangeError::Connection(_)) => return (Status::Reset, 0.0),
            // Added, but the total cannot be read.
            Err(ExchangeError::InvalidResponse(_)) => return (Status::Error, 0.0),
        };
        let ended = match head.status {
            200 => match std::str::from_utf8(&body).ok().and_then(|t| t.trim().parse::<f64>().ok()) {
                Some(total) if total.is_finite() => (Status::Ok, total),
                _ => (Status::Error, 0.0),
            },
            400 | 404 | 503 => (Status::Full, 0.0),
            _ => (Status::Error, 0.0),
        };
        // A connection that has brought what makes no sense is of no further use.
        if reusable && ended.0 != Status::Error && self.address.get() == address {
            call.conn.mark_idle();
            self.idle.borrow_mut().push(call);
        }
        ended
    }

    /// Lets go of connections that have stood idle too long or were closed from the other side.
    pub fn prune(&self) {
        self.idle
            .borrow_mut()
            .retain(|kept| kept.conn.idle_time() < IDLE_MOST && kept.conn.nothing_pending());
    }
}
