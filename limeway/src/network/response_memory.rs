//! The memory for responses that the limiter receives and has not passed on yet.
//!
//! A connection may hold [`UNRESERVED_BYTES`] of a response. What exceeds that is reserved from one pool as it arrives,
//! and kept until the response is passed on or dropped. If the pool is used up, the response that has been arriving for
//! the longest time is given up for another one: complete ones arrive soon, and one that never ends becomes the oldest.
//! A response that is complete keeps its memory. Until memory is returned, input stays in the kernel, and flow control
//! makes the server wait.

use crate::network::memory_pool::{MemoryPool, MemoryReservation};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Memory that a response may take without a reservation, in bytes. Most responses need no more.
pub const UNRESERVED_BYTES: usize = 8 * 1024;
/// A response is not given up within this time of its first reservation, so that one that arrives at once is completed.
const MIN_EVICTION_AGE: Duration = Duration::from_millis(250);
/// Largest part of the memory that is reserved for a response at once, by the length that it announces.
const MAX_ANNOUNCED_DIVISOR: usize = 8;
/// Interval between two looks for a response to give up, while memory is waited for.
const EVICTION_INTERVAL: Duration = Duration::from_millis(20);

/// A response was given up, as the memory for responses is used up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseEvicted;

impl fmt::Display for ResponseEvicted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("given up after a long time, as the memory for responses is used up")
    }
}

impl std::error::Error for ResponseEvicted {}

/// A response that is arriving and holds reserved memory.
#[derive(Debug)]
struct Arriving {
    since: Instant,
    /// Size of the reservation, in bytes.
    reserved: usize,
    /// Tells its reader to give it up.
    evict: Rc<Notify>,
}

/// Memory for all responses together.
#[derive(Debug)]
pub struct ResponseMemory {
    pool: MemoryPool,
    /// Largest number of bytes reserved for a response by the length that it announces.
    max_announced: usize,
    /// The arriving responses that hold memory; of all, the one that began first has the smallest key.
    arriving: RefCell<BTreeMap<u64, Arriving>>,
    next_key: Cell<u64>,
}

impl ResponseMemory {
    /// Memory of this many bytes.
    pub fn new(bytes: usize) -> Rc<Self> {
        Rc::new(ResponseMemory {
            pool: MemoryPool::new(bytes),
            max_announced: bytes / MAX_ANNOUNCED_DIVISOR,
            arriving: RefCell::default(),
            next_key: Cell::new(0),
        })
    }

    /// Gives up responses that have been arriving for long, the oldest first, until they hold `bytes` together or the one
    /// that needs them, of this key, is given up itself. Returns how much they hold.
    fn evict_oldest(&self, bytes: usize, needed_by: Option<u64>) -> usize {
        let mut arriving = self.arriving.borrow_mut();
        let mut freed = 0;
        while freed < bytes {
            let is_old = |arriving: &Arriving| arriving.since.elapsed() >= MIN_EVICTION_AGE;
            let oldest = arriving.iter().find(|(_, candidate)| is_old(candidate)).map(|(key, _)| *key);
            let Some(key) = oldest else { break };
            if let Some(evicted) = arriving.remove(&key) {
                evicted.evict.notify_one();
                freed += evicted.reserved;
            }
            if needed_by == Some(key) {
                break;
            }
        }
        freed
    }
}

/// The part of the memory that one arriving response may use. Dropping it returns what is reserved.
#[derive(Debug)]
pub struct ResponseAllowance {
    memory: Rc<ResponseMemory>,
    /// Largest number of bytes that may have to be held.
    max_bytes: usize,
    /// Number of bytes to reserve at once as soon as the response needs a reservation.
    announced: usize,
    /// Key among the arriving responses, once memory is reserved.
    key: Option<u64>,
    reserved: Option<MemoryReservation>,
    evict: Rc<Notify>,
}

impl ResponseAllowance {
    /// An allowance without a reservation, for a response of which at most `max_bytes` are to be held.
    pub fn new(memory: &Rc<ResponseMemory>, max_bytes: usize) -> Self {
        ResponseAllowance {
            memory: memory.clone(),
            max_bytes,
            announced: 0,
            key: None,
            reserved: None,
            evict: Rc::default(),
        }
    }

    /// Records that the response announces that so many bytes are to be held, and no more.
    pub fn announce(&mut self, bytes: usize) {
        self.max_bytes = bytes;
        self.announced = bytes.min(self.memory.max_announced);
    }

    /// Number of bytes that may be held.
    pub fn bytes(&self) -> usize {
        UNRESERVED_BYTES + self.reserved.as_ref().map_or(0, MemoryReservation::bytes)
    }

    /// Waits until at least `bytes` may be held. To do so seldom, as much again is reserved, if so much may be needed.
    pub async fn grow_to(&mut self, bytes: usize) -> Result<(), ResponseEvicted> {
        let allowed = self.bytes();
        if bytes <= allowed {
            return Ok(());
        }
        let wanted = (2 * allowed).min(self.max_bytes).max(self.announced);
        let growth = bytes.max(wanted) - allowed;
        let (memory, evict, key) = (self.memory.clone(), self.evict.clone(), self.key);
        let waiting_since = Instant::now();
        let reservation = memory
            .pool
            .reserve_evicting(growth, EVICTION_INTERVAL, |missing| memory.evict_oldest(missing, key));
        let reservation = tokio::select! {
            biased;
            () = evict.notified() => None,
            reservation = reservation => reservation,
        };
        self.add(reservation.ok_or(ResponseEvicted)?, waiting_since.elapsed());
        Ok(())
    }

    /// Waits until the response is to be given up.
    pub async fn evicted(&self) {
        self.evict.notified().await;
    }

    /// Ends the arrival of the response, which may not be given up any more, and returns the memory that it does not
    /// need to hold `bytes`.
    pub fn finish(mut self, bytes: usize) -> Option<MemoryReservation> {
        let mut reserved = self.reserved.take()?;
        match bytes.checked_sub(UNRESERVED_BYTES) {
            Some(needed @ 1..) => reserved.shrink_to(needed),
            _ => return None,
        }
        Some(reserved)
    }

    /// Adds a reservation that was waited for so long; this time does not count as taken by the server.
    fn add(&mut self, reservation: MemoryReservation, waited: Duration) {
        match &mut self.reserved {
            Some(reserved) => reserved.merge(reservation),
            None => self.reserved = Some(reservation),
        }
        let reserved = self.bytes() - UNRESERVED_BYTES;
        let next_key = &self.memory.next_key;
        let key = *self.key.get_or_insert_with(|| next_key.replace(next_key.get() + 1));
        let mut arriving = self.memory.arriving.borrow_mut();
        match arriving.get_mut(&key) {
            Some(entry) => {
                entry.since += waited;
                entry.reserved = reserved;
            }
            None => {
                let (since, evict) = (Instant::now(), self.evict.clone());
                arriving.insert(key, Arriving { since, reserved, evict });
            }
        }
    }
}

impl Drop for ResponseAllowance {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            self.memory.arriving.borrow_mut().remove(&key);
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/response_memory.rs"]
mod tests;
