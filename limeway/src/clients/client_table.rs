//! The open client connections: how many there may be, how much memory their requests may take, and which of them are
//! closed to make room for others.
//!
//! Three thresholds divide the number of connections that [`DescriptorBudget`] allows. Above the first, a connection is
//! closed after the response to its first request. Above the second, connections without a request are evicted until
//! the first threshold is reached again; this begins before the room is needed, as each takes a moment to close. From
//! the third on, a new connection is rejected with a response if no other can be evicted for it; the room between the
//! third threshold and the limit is for these responses. So connections are accepted at once, and none waits in the
//! listen queue for another to close.
//!
//! A connection holds little memory of its own ([`UNRESERVED_BYTES`] for input and as much for a request). What exceeds that is
//! reserved from one pool. If the pool is used up, connections with a partial request that hold memory are evicted for a
//! request that needs some. A complete request keeps its memory until it is finished.

use crate::network::descriptors::{CountGuard, DescriptorBudget, Owner};
use crate::network::memory_pool::{MemoryPool, MemoryReservation};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::time::timeout;

/// Upper bound on the first threshold, as a fraction of the limit; the rest is room for new connections.
const KEEP_ALIVE_FRACTION: (usize, usize) = (2, 3);
/// The second threshold lies above the first by the distance between the first and the third divided by this.
const EVICT_DIVISOR: usize = 4;
/// The limit divided by this is reserved for rejecting new connections, within the two bounds below: a rejected
/// connection stays open until its request has been received.
const REJECT_DIVISOR: usize = 8;
/// Least number of connections reserved for rejecting.
const MIN_REJECT_RESERVE: usize = 2;
/// Largest number of connections reserved for rejecting.
const MAX_REJECT_RESERVE: usize = 8;
/// A connection is not evicted within this time of entering its phase: many round trips within a site, so that data
/// already on its way has arrived.
const MIN_EVICTION_AGE: Duration = Duration::from_millis(20);
/// The same for a connection that has carried a request, unless there is no other room. The service specification
/// sets this time.
const MIN_KEEP_ALIVE_AGE: Duration = Duration::from_secs(2);

/// Memory that a connection may take without a reservation, for its input and again for its request, in bytes. Most
/// requests need no more.
pub const UNRESERVED_BYTES: usize = 4 * 1024;
/// Longest wait of a request for memory. Evicted connections give theirs back at once.
const MAX_MEMORY_WAIT: Duration = Duration::from_millis(200);

/// Which idle connections are closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseIdle {
    /// None.
    None,
    /// Those that have carried a request; the first request on any other may be on its way.
    Used,
    /// All.
    All,
}

/// State of a connection that has no complete request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// No bytes have been received yet.
    New,
    /// One request has been answered, and no byte of another received.
    AnsweredOnce,
    /// More than one request has been received, and all are answered.
    Reused,
    /// Part of a request has been received.
    PartialRequest,
    /// The last response is sent, and remaining input is read before the close.
    Closing,
}

/// Number of phases.
const PHASES: usize = 5;

/// Which connections are evicted above the second threshold, by phase and least time in it; of all these, the oldest
/// goes first.
const EVICTED_EARLY: [(Phase, Duration); 4] = [
    (Phase::Closing, MIN_EVICTION_AGE),
    (Phase::New, MIN_EVICTION_AGE),
    (Phase::AnsweredOnce, MIN_KEEP_ALIVE_AGE),
    (Phase::Reused, MIN_KEEP_ALIVE_AGE),
];
/// Which others are evicted, in this order, before a new connection is rejected.
const EVICTED_LATE: [(Phase, Duration); 3] = [
    (Phase::AnsweredOnce, MIN_EVICTION_AGE),
    (Phase::Reused, MIN_EVICTION_AGE),
    (Phase::PartialRequest, MIN_EVICTION_AGE),
];

/// A connection that can be evicted.
struct Candidate {
    /// When it entered its phase.
    since: Instant,
    /// Tells its task that it is evicted.
    evict: Rc<Notify>,
    /// Memory reserved for its request, in bytes.
    reserved: usize,
}

/// Numbers of open connections at which their treatment changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Thresholds {
    /// Above this, a connection is closed after its first response.
    keep_alive: usize,
    /// Above this, connections are evicted.
    evict: usize,
    /// From this on, new connections are rejected.
    reject: usize,
    /// From this on, no connection is accepted.
    limit: usize,
}

impl Thresholds {
    fn new(limit: usize, requests: usize) -> Self {
        let reserve = (limit / REJECT_DIVISOR).clamp(MIN_REJECT_RESERVE, MAX_REJECT_RESERVE);
        let reject = limit.saturating_sub(reserve).max(1);
        let keep_alive = requests.min(limit * KEEP_ALIVE_FRACTION.0 / KEEP_ALIVE_FRACTION.1).min(reject);
        Thresholds { keep_alive, evict: keep_alive + (reject - keep_alive) / EVICT_DIVISOR, reject, limit }
    }
}

/// The open client connections.
pub struct ClientTable {
    descriptors: Rc<DescriptorBudget>,
    /// Memory for input and requests beyond [`UNRESERVED_BYTES`] for each.
    pub memory: Rc<MemoryPool>,
    /// Connections that can be evicted, by phase; of each phase, the one registered first has the smallest key.
    candidates: [RefCell<BTreeMap<u64, Candidate>>; PHASES],
    next_key: Cell<u64>,
    /// Number of connections that are evicted but still open.
    evicted: Cell<usize>,
    /// Notified when a connection has closed.
    pub closed: Notify,
    idle_to_close: Cell<CloseIdle>,
    /// Notified when `idle_to_close` has changed.
    pub idle_to_close_changed: Notify,
    last_accept: Cell<Option<Instant>>,
}

impl ClientTable {
    /// Creates an empty table.
    pub fn new(descriptors: Rc<DescriptorBudget>, memory: Rc<MemoryPool>) -> Rc<Self> {
        Rc::new(ClientTable {
            descriptors,
            memory,
            candidates: Default::default(),
            next_key: Cell::new(0),
            evicted: Cell::new(0),
            closed: Notify::new(),
            idle_to_close: Cell::new(CloseIdle::None),
            idle_to_close_changed: Notify::new(),
            last_accept: Cell::new(None),
        })
    }

    fn thresholds(&self) -> Thresholds {
        Thresholds::new(self.descriptors.limit(Owner::Clients), self.descriptors.max_client_requests())
    }

    /// Number of open connections.
    pub fn open(&self) -> usize {
        self.descriptors.open(Owner::Clients)
    }

    /// Number of open connections that are not evicted.
    fn remaining(&self) -> usize {
        self.open().saturating_sub(self.evicted.get())
    }

    /// Counts a connection that has just been accepted.
    pub fn accept(&self) -> CountGuard {
        self.last_accept.set(Some(Instant::now()));
        self.descriptors.acquire(Owner::Clients)
    }

    /// Time since a connection was last accepted.
    pub fn time_since_accept(&self) -> Duration {
        self.last_accept.get().map_or(Duration::MAX, |at| at.elapsed())
    }

    /// Whether there are more connections than clients need for their requests. Keep-alive would then make new
    /// connections wait behind those that have had a response.
    pub fn is_above_keep_alive(&self) -> bool {
        self.open() > self.thresholds().keep_alive
    }

    /// Whether no connection can be accepted.
    pub fn is_full(&self) -> bool {
        self.open() >= self.thresholds().limit
    }

    /// Whether a new connection has to be rejected.
    pub fn rejects_new(&self) -> bool {
        self.remaining() >= self.thresholds().reject
    }

    /// Which idle connections are to close.
    pub fn idle_to_close(&self) -> CloseIdle {
        self.idle_to_close.get()
    }

    /// Closes connections that are idle, now or later.
    pub fn close_idle(&self, which: CloseIdle) {
        self.idle_to_close.set(which);
        self.idle_to_close_changed.notify_waiters();
    }

    /// Evicts all connections with a partial request; each gets a response with the reason.
    pub fn evict_partial_requests(&self) {
        while self.evict_oldest(&[(Phase::PartialRequest, Duration::ZERO)]) {}
    }

    /// Whether any connection has a partial request.
    pub fn has_partial_requests(&self) -> bool {
        !self.candidates[Phase::PartialRequest as usize].borrow().is_empty()
    }

    /// Evicts connections if there are too many.
    pub fn make_room(&self) {
        let thresholds = self.thresholds();
        if self.remaining() > thresholds.evict {
            while self.remaining() > thresholds.keep_alive && self.evict_oldest(&EVICTED_EARLY) {}
        }
        for phase in EVICTED_LATE {
            while self.remaining() >= thresholds.reject && self.evict_oldest(&[phase]) {}
        }
    }

    /// Reserves memory for the request that is being read on the connection of `slot`. If there is not enough, other
    /// partial requests are evicted for it, the oldest first. `None` if there is none in time.
    pub async fn reserve_memory(&self, bytes: usize, slot: &EvictionSlot) -> Option<MemoryReservation> {
        let reservation =
            self.memory.reserve_evicting(bytes, MIN_EVICTION_AGE, |missing| self.evict_for_memory(missing));
        let reservation = timeout(MAX_MEMORY_WAIT, reservation).await.ok().flatten();
        reservation.inspect(|_| slot.add_reserved(bytes))
    }

    /// Evicts connections with a partial request that holds memory, the oldest first, until they hold `bytes` together.
    /// Returns how much they hold.
    fn evict_for_memory(&self, bytes: usize) -> usize {
        let mut freed = 0;
        while freed < bytes {
            let holder = {
                let candidates = self.candidates[Phase::PartialRequest as usize].borrow();
                let is_old = |candidate: &Candidate| candidate.since.elapsed() >= MIN_EVICTION_AGE;
                candidates
                    .iter()
                    .take_while(|(_, candidate)| is_old(candidate))
                    .find(|(_, candidate)| candidate.reserved > 0)
                    .map(|(key, candidate)| (*key, candidate.reserved))
            };
            let Some((key, reserved)) = holder else { break };
            self.evict(Phase::PartialRequest, key);
            freed += reserved;
        }
        freed
    }

    /// Evicts the oldest connection of those that have been in one of these phases for at least the time given with
    /// it; false if there is none.
    fn evict_oldest(&self, phases: &[(Phase, Duration)]) -> bool {
        let eligible = phases.iter().filter_map(|(phase, min_age)| {
            let candidates = self.candidates[*phase as usize].borrow();
            let (key, first) = candidates.first_key_value()?;
            (first.since.elapsed() >= *min_age).then_some((*key, *phase))
        });
        eligible.min().is_some_and(|(key, phase)| self.evict(phase, key))
    }

    /// Evicts a connection; false if it is no candidate.
    fn evict(&self, phase: Phase, key: u64) -> bool {
        let Some(candidate) = self.candidates[phase as usize].borrow_mut().remove(&key) else { return false };
        self.evicted.set(self.evicted.get() + 1);
        candidate.evict.notify_one();
        true
    }
}

/// A connection's registration as a candidate for eviction, withdrawn on drop.
pub struct EvictionSlot {
    table: Rc<ClientTable>,
    phase: Phase,
    key: u64,
    evict: Rc<Notify>,
}

impl EvictionSlot {
    /// Registers a connection as the newest candidate of its phase.
    pub fn register(table: &Rc<ClientTable>, phase: Phase) -> Self {
        let (key, evict) = (table.next_key.get(), Rc::new(Notify::new()));
        table.next_key.set(key + 1);
        let candidate = Candidate { since: Instant::now(), evict: evict.clone(), reserved: 0 };
        table.candidates[phase as usize].borrow_mut().insert(key, candidate);
        EvictionSlot { table: table.clone(), phase, key, evict }
    }

    /// Waits until the connection is evicted.
    pub async fn evicted(&self) {
        self.evict.notified().await;
    }

    /// Records that more memory is reserved for the connection's request.
    fn add_reserved(&self, bytes: usize) {
        if let Some(candidate) = self.table.candidates[self.phase as usize].borrow_mut().get_mut(&self.key) {
            candidate.reserved += bytes;
        }
    }

    /// Whether the connection is evicted.
    pub fn is_evicted(&self) -> bool {
        !self.table.candidates[self.phase as usize].borrow().contains_key(&self.key)
    }
}

impl Drop for EvictionSlot {
    fn drop(&mut self) {
        let candidate = self.table.candidates[self.phase as usize].borrow_mut().remove(&self.key);
        if candidate.is_none() {
            self.table.evicted.set(self.table.evicted.get().saturating_sub(1));
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/client_table.rs"]
mod tests;
