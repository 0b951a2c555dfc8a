//! Division of the process's descriptors among those that open connections.
//!
//! Each owner has a guaranteed share and an upper bound. It may open another connection while it holds less than its
//! share, or while the budget still has room after what the other owners hold and the unused rest of their shares. So
//! the sum of max(open, share) over all owners never exceeds the budget: every owner can have its share, descriptors
//! that others do not need can be used, and the process never runs out. From [`MIN_SOCKETS`] on, the shares add up to
//! less than the budget.

use std::cell::Cell;
use std::rc::Rc;

/// Least number of descriptors that the limiter can work with.
pub const MIN_SOCKETS: usize = 64;
/// Descriptors that are not connections: standard streams (3), runtime (3), signals (3), listener, datagram socket, the
/// configuration file while it is read, a connection that is just being accepted, and a few inherited from the parent.
const RESERVED: usize = 16;
/// The total divided by this is the number of client connections that may have a request at the same time (deployment
/// specification).
const CLIENT_REQUESTS_DIVISOR: usize = 3;
/// The total divided by this is guaranteed to connections to servers. That is three for every eight requests that
/// clients can have open, as most of these wait for quota or are just being read or answered.
const SERVERS_DIVISOR: usize = 8;
/// Connections to servers beyond one for each open request: these are idle, for reuse.
const SPARE_SERVER_CONNECTIONS: usize = 8;
/// The total divided by this is guaranteed to connections to the counter, within the two bounds below. A call takes
/// milliseconds, so that a few connections carry some hundred calls a second.
const COUNTER_DIVISOR: usize = 32;
/// Least guaranteed share of the counter.
const MIN_COUNTER_SHARE: usize = 2;
/// Largest guaranteed share of the counter.
const MAX_COUNTER_SHARE: usize = 8;
/// Maximum number of connections to one address of the counter; for the reason see `counter.rs`.
pub const MAX_COUNTER_CONNECTIONS: usize = 24;
/// Maximum number of calls to discovery in progress, see `discovery/follower.rs`. Each is guaranteed a
/// connection.
pub const MAX_DISCOVERY_CALLS: usize = 4;

/// Who opens a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Owner {
    /// Clients, by connecting.
    Clients,
    /// Attempts at servers.
    Servers,
    /// Calls to the counter.
    Counter,
    /// Calls to discovery.
    Discovery,
}

/// All owners, in the order of their allotments.
const OWNERS: [Owner; 4] = [Owner::Clients, Owner::Servers, Owner::Counter, Owner::Discovery];

/// What one owner holds and may hold.
#[derive(Debug)]
struct Allotment {
    open: Rc<Cell<usize>>,
    /// Guaranteed to the owner.
    share: usize,
    /// Upper bound.
    max: usize,
}

/// The descriptors of the process.
#[derive(Debug)]
pub struct DescriptorBudget {
    budget: usize,
    max_client_requests: usize,
    allotments: [Allotment; OWNERS.len()],
}

/// Counts one open descriptor or connection until dropped.
#[derive(Debug)]
pub struct CountGuard(Rc<Cell<usize>>);

impl CountGuard {
    /// Adds one to a count.
    pub fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        CountGuard(open.clone())
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

impl DescriptorBudget {
    /// Divides this number of descriptors.
    pub fn new(total: usize) -> Rc<Self> {
        let total = total.max(MIN_SOCKETS);
        let max_client_requests = total / CLIENT_REQUESTS_DIVISOR;
        let allotment = |owner| {
            let (share, max) = match owner {
                Owner::Clients => (max_client_requests, total),
                Owner::Servers => (total / SERVERS_DIVISOR, max_client_requests + SPARE_SERVER_CONNECTIONS),
                // Enough for two addresses: after a change of address, connections to the old one end on their own.
                Owner::Counter => {
                    let share = (total / COUNTER_DIVISOR).clamp(MIN_COUNTER_SHARE, MAX_COUNTER_SHARE);
                    (share, 2 * MAX_COUNTER_CONNECTIONS)
                }
                Owner::Discovery => (MAX_DISCOVERY_CALLS, MAX_DISCOVERY_CALLS),
            };
            Allotment { open: Rc::default(), share, max }
        };
        let allotments = OWNERS.map(allotment);
        Rc::new(DescriptorBudget { budget: total - RESERVED, max_client_requests, allotments })
    }

    /// Number of client connections that may have a request at the same time.
    pub fn max_client_requests(&self) -> usize {
        self.max_client_requests
    }

    /// Number of connections that an owner has open.
    pub fn open(&self, owner: Owner) -> usize {
        self.allotments[owner as usize].open.get()
    }

    /// Number of connections that an owner may have open at present.
    pub fn limit(&self, owner: Owner) -> usize {
        let others = OWNERS.iter().filter(|other| **other != owner).map(|other| {
            let allotment = &self.allotments[*other as usize];
            allotment.open.get().max(allotment.share)
        });
        let left = self.budget.saturating_sub(others.sum());
        left.min(self.allotments[owner as usize].max)
    }

    /// Acquires a descriptor for a new connection; `None` if the owner may open no more.
    pub fn try_acquire(&self, owner: Owner) -> Option<CountGuard> {
        (self.open(owner) < self.limit(owner)).then(|| self.acquire(owner))
    }

    /// Counts a descriptor that is open already.
    pub fn acquire(&self, owner: Owner) -> CountGuard {
        CountGuard::new(&self.allotments[owner as usize].open)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/descriptors.rs"]
mod tests;
