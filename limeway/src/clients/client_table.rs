//! The open connections of clients: how many there may be, and which of them go to make room for others.
//!
//! Three marks divide the number that [`DescriptorBudget`] allows. Beyond the first, a connection ends with the answer to
//! its first request. Beyond the second, connections without a request are told to go, as many at a time as lead
//! back to the first: ahead of need, as each takes a moment to go. Beyond the third, a new connection is turned away
//! with an answer if no other can go for it; between the third and the limit there is room for those answers. So
//! connections are accepted at once, and none waits in the system's queue for another to go.

use crate::network::descriptors::{CountGuard, DescriptorBudget, Owner};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Part of the limit at which the first mark lies at most; the rest is room.
const KEPT_PART: (usize, usize) = (2, 3);
/// Part of that room at which the second mark lies.
const EVICT_PART: usize = 4;
/// Part of the limit that is kept for turning connections away, with its bounds: such a connection takes as long
/// as its request needs to come whole.
const TURNED_AWAY_PART: usize = 8;
/// Bounds on that part.
const TURNED_AWAY: (usize, usize) = (2, 8);
/// Time for which a connection is left alone in any case: many round trips within a site, so that what is on its
/// way has come.
const ROOM_AFTER: Duration = Duration::from_millis(20);
/// Time for which one that has asked is left alone unless there is no other room (page of the days of service).
const IDLE_ROOM_AFTER: Duration = Duration::from_secs(2);

/// Which idle connections are closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Closing {
    /// None.
    None,
    /// Those that have carried a request; the first request of another may be on its way.
    Used,
    /// All.
    All,
}

/// What a connection without a whole request does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Nothing has come on it yet.
    Silent,
    /// One request has been answered on it.
    AskedOnce,
    /// Its client has come back to it after an answer.
    Reused,
    /// A part of a request has come.
    Partial,
    /// It has had its last answer, and what is still on its way is read.
    Ending,
}

/// Number of phases.
const PHASES: usize = 5;

/// Who may go once connections are many: the oldest of all these.
const IDLE: [(Phase, Duration); 4] = [
    (Phase::Ending, ROOM_AFTER),
    (Phase::Silent, ROOM_AFTER),
    (Phase::AskedOnce, IDLE_ROOM_AFTER),
    (Phase::Reused, IDLE_ROOM_AFTER),
];
/// Who goes besides, in this order, before a new connection is turned away.
const LAST_RESORT: [(Phase, Duration); 3] =
    [(Phase::AskedOnce, ROOM_AFTER), (Phase::Reused, ROOM_AFTER), (Phase::Partial, ROOM_AFTER)];

/// A connection that can be told to go, and since when it stands as it does.
struct Waiting {
    since: Instant,
    go: Rc<Notify>,
}

/// Numbers of connections at which something changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Marks {
    /// Beyond this a connection ends with its first answer.
    kept: usize,
    /// Beyond this connections are told to go.
    evict: usize,
    /// From this on new ones are turned away.
    admitted: usize,
    /// From this on none is accepted.
    limit: usize,
}

impl Marks {
    fn new(limit: usize, requests: usize) -> Self {
        let turned_away = (limit / TURNED_AWAY_PART).clamp(TURNED_AWAY.0, TURNED_AWAY.1);
        let admitted = limit.saturating_sub(turned_away).max(1);
        let kept = requests.min(limit * KEPT_PART.0 / KEPT_PART.1).min(admitted);
        Marks { kept, evict: kept + (admitted - kept) / EVICT_PART, admitted, limit }
    }
}

/// The connections of clients.
pub struct ClientTable {
    descriptors: Rc<DescriptorBudget>,
    /// Connections that can be told to go, by phase, the oldest first.
    waiting: [RefCell<BTreeMap<u64, Waiting>>; PHASES],
    next_key: Cell<u64>,
    /// Connections that were told to go and are still open.
    leaving: Cell<usize>,
    /// A connection has ended.
    pub ended: Notify,
    closing: Cell<Closing>,
    /// Which idle connections must go has changed.
    pub close: Notify,
    /// When the last connection was accepted.
    accepted: Cell<Option<Instant>>,
}

impl ClientTable {
    /// No connections yet.
    pub fn new(descriptors: Rc<DescriptorBudget>) -> Rc<Self> {
        Rc::new(ClientTable {
            descriptors,
            waiting: Default::default(),
            next_key: Cell::new(0),
            leaving: Cell::new(0),
            ended: Notify::new(),
            closing: Cell::new(Closing::None),
            close: Notify::new(),
            accepted: Cell::new(None),
        })
    }

    fn marks(&self) -> Marks {
        Marks::new(self.descriptors.limit(Owner::Clients), self.descriptors.requests())
    }

    /// Connections that are open.
    pub fn open(&self) -> usize {
        self.descriptors.open(Owner::Clients)
    }

    /// Connections that are open and have not been told to go.
    fn staying(&self) -> usize {
        self.open().saturating_sub(self.leaving.get())
    }

    /// Counts a connection that has just been accepted.
    pub fn accept(&self) -> CountGuard {
        self.accepted.set(Some(Instant::now()));
        self.descriptors.acquire(Owner::Clients)
    }

    /// Time since a connection was last accepted.
    pub fn quiet_for(&self) -> Duration {
        self.accepted.get().map_or(Duration::MAX, |at| at.elapsed())
    }

    /// Whether there are more than clients need for their requests: the others wait to be accepted behind those
    /// that have asked and stay.
    pub fn crowded(&self) -> bool {
        self.open() > self.marks().kept
    }

    /// Whether no connection can be accepted.
    pub fn is_full(&self) -> bool {
        self.open() >= self.marks().limit
    }

    /// Whether a new connection has to be turned away.
    pub fn turns_away(&self) -> bool {
        self.staying() >= self.marks().admitted
    }

    /// Which idle connections must go.
    pub fn closing(&self) -> Closing {
        self.closing.get()
    }

    /// Closes connections once they are idle.
    pub fn close_idle(&self, which: Closing) {
        self.closing.set(which);
        self.close.notify_waiters();
    }

    /// Tells all connections to go on which a part of a request has come: they get an answer that says so.
    pub fn turn_away_partial(&self) {
        while self.evict_oldest(&[(Phase::Partial, Duration::ZERO)]) {}
    }

    /// Whether a part of a request has come on any connection.
    pub fn is_receiving(&self) -> bool {
        !self.waiting[Phase::Partial as usize].borrow().is_empty()
    }

    /// Tells connections to go, as far as there are too many.
    pub fn make_room(&self) {
        let marks = self.marks();
        if self.staying() > marks.evict {
            while self.staying() > marks.kept && self.evict_oldest(&IDLE) {}
        }
        for candidate in LAST_RESORT {
            while self.staying() >= marks.admitted && self.evict_oldest(&[candidate]) {}
        }
    }

    /// Tells the oldest connection to go of those that have been in one of these phases for long enough.
    fn evict_oldest(&self, candidates: &[(Phase, Duration)]) -> bool {
        let ripe = candidates.iter().filter_map(|(phase, least)| {
            let waiting = self.waiting[*phase as usize].borrow();
            let (key, first) = waiting.first_key_value()?;
            (first.since.elapsed() >= *least).then_some((*key, *phase))
        });
        let Some((key, phase)) = ripe.min() else { return false };
        let Some(oldest) = self.waiting[phase as usize].borrow_mut().remove(&key) else { return false };
        self.leaving.set(self.leaving.get() + 1);
        oldest.go.notify_one();
        true
    }
}

/// A place among the connections that can be told to go, left when dropped.
pub struct Place {
    table: Rc<ClientTable>,
    phase: Phase,
    key: u64,
    go: Rc<Notify>,
}

impl Place {
    /// Takes the place of the newest.
    pub fn take(table: &Rc<ClientTable>, phase: Phase) -> Self {
        let (key, go) = (table.next_key.get(), Rc::new(Notify::new()));
        table.next_key.set(key + 1);
        let waiting = Waiting { since: Instant::now(), go: go.clone() };
        table.waiting[phase as usize].borrow_mut().insert(key, waiting);
        Place { table: table.clone(), phase, key, go }
    }

    /// Waits until the connection is told to go.
    pub async fn evicted(&self) {
        self.go.notified().await;
    }

    /// Whether the connection has been told to go.
    pub fn is_evicted(&self) -> bool {
        !self.table.waiting[self.phase as usize].borrow().contains_key(&self.key)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let waiting = self.table.waiting[self.phase as usize].borrow_mut().remove(&self.key);
        if waiting.is_none() {
            self.table.leaving.set(self.table.leaving.get().saturating_sub(1));
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/client_table.rs"]
mod tests;
