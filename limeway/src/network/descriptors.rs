//! Division of the descriptors that the process may hold among those that open connections.
//!
//! Each owner has a guaranteed share and an upper bound. It may open one more while it is below its share, or while
//! what the others hold, and what is left of their shares, still leaves one over. So the sum over all owners of the
//! larger of "open" and "share" never exceeds the budget: nobody is kept from its share, what is not needed
//! elsewhere can be used, and the process does not run out. The shares add up to less than the budget from
//! [`MIN_SOCKETS`] on.

use std::cell::Cell;
use std::rc::Rc;

/// Least number of descriptors with which the limiter can work at all.
pub const MIN_SOCKETS: usize = 64;
/// DescriptorBudget that are no connections: standard streams (3), runtime (3), signals (3), listener, datagrams, the
/// configuration while it is read, a connection that is just being accepted, and a few inherited from the parent.
const NO_CONNECTIONS: usize = 16;
/// Clients hold at most this part of all descriptors for requests (deployment page).
const REQUESTS_PART: usize = 3;
/// Part of all descriptors that connections to servers are sure of: three in eight of the requests that clients can
/// have open at once, as most of these wait for quota or are just being read or answered.
const SERVERS_PART: usize = 8;
/// Connections to servers beyond one for each open request: these stand idle to be used again.
const SERVERS_MORE: usize = 8;
/// Part of all descriptors that connections to the counter are sure of. A call takes milliseconds, so that few
/// carry some hundred calls a second.
const COUNTER_PART: usize = 32;
/// Bounds on that share.
const COUNTER_SHARE: (usize, usize) = (2, 8);
/// Connections to one address of the counter at most, see `counter`.
pub const MAX_COUNTER_CONNECTIONS: usize = 24;
/// Calls to discovery that are under way at most, see `discovery`; all of them are sure of a connection.
pub const MAX_DISCOVERY_CALLS: usize = 4;

/// Who opens connections.
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

/// The four owners, in the order of their allotments.
const OWNERS: [Owner; 4] = [Owner::Clients, Owner::Servers, Owner::Counter, Owner::Discovery];

/// What one owner holds and may hold.
#[derive(Debug)]
struct Allotment {
    open: Rc<Cell<usize>>,
    share: usize,
    most: usize,
}

/// The descriptors of the process.
#[derive(Debug)]
pub struct DescriptorBudget {
    budget: usize,
    requests: usize,
    allotments: [Allotment; OWNERS.len()],
}

/// Counts what is open for as long as it lives.
#[derive(Debug)]
pub struct CountGuard(Rc<Cell<usize>>);

impl CountGuard {
    /// One more.
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
    /// Divides so many descriptors.
    pub fn divide(total: usize) -> Rc<Self> {
        let total = total.max(MIN_SOCKETS);
        let requests = total / REQUESTS_PART;
        let allotment = |owner| {
            let (share, most) = match owner {
                Owner::Clients => (requests, total),
                Owner::Servers => (total / SERVERS_PART, requests + SERVERS_MORE),
                // Twice the most at one address: those to an old one end on their own.
                Owner::Counter => (
                    (total / COUNTER_PART).clamp(COUNTER_SHARE.0, COUNTER_SHARE.1),
                    2 * MAX_COUNTER_CONNECTIONS,
                ),
                Owner::Discovery => (MAX_DISCOVERY_CALLS, MAX_DISCOVERY_CALLS),
            };
            Allotment { open: Rc::default(), share, most }
        };
        Rc::new(DescriptorBudget {
            budget: total - NO_CONNECTIONS,
            requests,
            allotments: OWNERS.map(allotment),
        })
    }

    /// Connections that clients hold for requests at most.
    pub fn requests(&self) -> usize {
        self.requests
    }

    /// Connections that an owner has open.
    pub fn open(&self, owner: Owner) -> usize {
        self.allotments[owner as usize].open.get()
    }

    /// Connections that an owner may have open at present.
    pub fn limit(&self, owner: Owner) -> usize {
        let others = OWNERS.iter().filter(|other| **other != owner).map(|other| {
            let allotment = &self.allotments[*other as usize];
            allotment.open.get().max(allotment.share)
        });
        let left = self.budget.saturating_sub(others.sum());
        left.min(self.allotments[owner as usize].most)
    }

    /// Takes a descriptor; nothing where the owner may open no more.
    pub fn try_acquire(&self, owner: Owner) -> Option<CountGuard> {
        (self.open(owner) < self.limit(owner)).then(|| self.acquire(owner))
    }

    /// Takes a descriptor that is open already.
    pub fn acquire(&self, owner: Owner) -> CountGuard {
        CountGuard::new(&self.allotments[owner as usize].open)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/descriptors.rs"]
mod tests;
