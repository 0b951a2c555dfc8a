//! Client of the counter service.

use crate::network::connection::{ExchangeError, OutboundConnection, Response, ResponseLimits};
use crate::network::descriptors::{self, CountGuard, DescriptorBudget, Owner};
use crate::network::network_event::{EventSink, NetworkEvent};
use crate::network::response_memory::ResponseMemory;
use pondgw::{Micros, Status};
use std::cell::{Cell, RefCell};
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// An idle connection is kept for this time. The counter closes one after some 10 s or less, and if a call is sent just
/// then, it is unknown whether its amount was added.
const MAX_IDLE_TIME: Duration = Duration::from_secs(3);
/// Largest body of a response, in bytes: a total is a number.
const MAX_TOTAL_LENGTH: usize = 1024;

/// Calls the counter. A connection carries one call at a time, so that giving up a call affects no other.
pub struct Counter {
    address: Cell<SocketAddr>,
    call_timeout: Duration,
    descriptors: Rc<DescriptorBudget>,
    response_limits: ResponseLimits,
    sink: EventSink,
    idle: RefCell<Vec<CounterConnection>>,
    /// Number of connections to the current address.
    open: RefCell<Rc<Cell<usize>>>,
}

/// A connection, counted with the others to its address.
struct CounterConnection {
    conn: OutboundConnection,
    _open: CountGuard,
}

/// Maximum number of connections to one address. The counter resets connections beyond 32, and after a network failure
/// it may still hold as many that were given up here without its knowledge.
const MAX_CONNECTIONS: usize = descriptors::MAX_COUNTER_CONNECTIONS;

impl Counter {
    /// Creates a client for the counter at this address. A call is given up after `call_timeout`; its result goes to
    /// the sink.
    pub fn new(
        address: SocketAddr,
        call_timeout: Micros,
        descriptors: Rc<DescriptorBudget>,
        memory: Rc<ResponseMemory>,
        sink: EventSink,
    ) -> Rc<Self> {
        let call_timeout = Duration::from_micros(call_timeout);
        Rc::new(Counter {
            address: Cell::new(address),
            call_timeout,
            descriptors,
            response_limits: ResponseLimits { max_body: MAX_TOTAL_LENGTH, memory },
            sink,
            idle: RefCell::default(),
            open: RefCell::default(),
        })
    }

    /// Switches to another address. New calls go there; calls in progress finish at the old address, and connections
    /// to it are closed once they are idle.
    pub fn set_address(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.idle.borrow_mut().clear();
            self.open.replace(Rc::default());
        }
    }

    /// Makes a call and reports its result to the sink. Calls for one name never overlap: the gateway makes one call
    /// for a customer at a time, and no two customers share a name.
    pub fn call(self: &Rc<Self>, name: u64, amount: f64, ttl: Micros) {
        let counter = self.clone();
        tokio::task::spawn_local(async move {
            let (start, written) = (Instant::now(), Cell::new(false));
            let result = timeout(counter.call_timeout, counter.exchange((name, amount, ttl), &written)).await;
            let (status, total) = match result {
                Ok(result) => result,
                Err(_) if written.get() => (Status::Timeout, 0.0),
                Err(_) => (Status::ConnectFailed, 0.0),
            };
            let latency = start.elapsed().as_micros() as Micros;
            log::debug!(
                "count {name}: adding {amount} ended with {status:?}, total {total}, after {latency} us"
            );
            (counter.sink)(NetworkEvent::Counted { name, status, total, latency });
        });
    }

    fn take_idle(&self) -> Option<CounterConnection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(kept) = idle.pop() {
            if kept.conn.idle_time() < MAX_IDLE_TIME && kept.conn.nothing_pending() {
                return Some(kept);
            }
        }
        None
    }

    /// Opens a connection. On failure, returns the status of the call.
    async fn connect(&self) -> Result<CounterConnection, Status> {
        let open = self.open.borrow().clone();
        // `Status::Declined`, as nothing is added if no connection may be opened.
        let held = self.descriptors.try_acquire(Owner::Counter).filter(|_| open.get() < MAX_CONNECTIONS);
        let (held, _open) = (held.ok_or(Status::Declined)?, CountGuard::new(&open));
        let conn = OutboundConnection::connect(self.address.get(), held, self.response_limits.clone());
        let conn = conn.await.map_err(|_| Status::ConnectFailed)?;
        Ok(CounterConnection { conn, _open })
    }

    async fn exchange(&self, (name, amount, ttl): (u64, f64, Micros), written: &Cell<bool>) -> (Status, f64) {
        let address = self.address.get();
        let mut call = match self.take_idle() {
            Some(kept) => kept,
            None => match self.connect().await {
                Ok(opened) => opened,
                Err(status) => return (status, 0.0),
            },
        };
        let mut message = Vec::with_capacity(128);
        let ttl = ttl.div_ceil(1_000).max(1);
        let formatted = write!(
            message,
            "POST /v1/count/{name}?add={amount}&ttl_ms={ttl} HTTP/1.1\r\nHost: counter\r\nContent-Length: 0\r\n\r\n"
        );
        debug_assert!(formatted.is_ok(), "writing to memory cannot fail");
        if call.conn.write(message, &[], written).await.is_err() {
            return (Status::ConnectFailed, 0.0);
        }
        let Response { head, body, reusable, .. } = match call.conn.read_response().await {
            // The total may be incomplete, as the body has no length.
            Ok(response) if response.close_delimited => return (Status::Error, 0.0),
            Ok(response) => response,
            Err(ExchangeError::Connection(_)) => return (Status::Reset, 0.0),
            // The amount was added, but the total cannot be read.
            Err(ExchangeError::InvalidResponse(_) | ExchangeError::Evicted(_)) => {
                return (Status::Error, 0.0)
            }
        };
        let result = match head.status {
            200 => match std::str::from_utf8(&body).ok().and_then(|t| t.trim().parse::<f64>().ok()) {
                Some(total) if total.is_finite() => (Status::Ok, total),
                _ => (Status::Error, 0.0),
            },
            400 | 404 | 503 => (Status::Declined, 0.0),
            _ => (Status::Error, 0.0),
        };
        // After an invalid response, the connection is not reused.
        if reusable && result.0 != Status::Error && self.address.get() == address {
            call.conn.mark_idle();
            self.idle.borrow_mut().push(call);
        }
        result
    }

    /// Closes connections that have been idle for too long or that the counter has closed.
    pub fn prune(&self) {
        self.idle
            .borrow_mut()
            .retain(|kept| kept.conn.idle_time() < MAX_IDLE_TIME && kept.conn.nothing_pending());
    }
}
