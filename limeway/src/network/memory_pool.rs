//! A bounded amount of memory that tasks reserve parts of.
//!
//! Reservations are granted in the order in which they were asked for, so that a large one is not overtaken for ever by
//! small ones.

use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

/// Memory is reserved in units of this many bytes.
const UNIT: usize = 1024;

/// Memory that can be reserved.
#[derive(Debug)]
pub struct MemoryPool {
    units: Arc<Semaphore>,
    total: usize,
}

/// Reserved memory, returned to its pool on drop.
#[derive(Debug)]
pub struct MemoryReservation(OwnedSemaphorePermit);

/// Number of units that hold this many bytes.
fn units(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(UNIT)).unwrap_or(u32::MAX)
}

impl MemoryPool {
    /// A pool of this many bytes.
    pub fn new(bytes: usize) -> Self {
        let total = (bytes / UNIT).min(Semaphore::MAX_PERMITS);
        MemoryPool { units: Arc::new(Semaphore::new(total)), total }
    }

    /// Reserves memory if it is available at once.
    pub fn try_reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        self.units.clone().try_acquire_many_owned(units(bytes)).ok().map(MemoryReservation)
    }

    /// The same, but only if half of the pool is left for others.
    pub fn try_reserve_spare(&self, bytes: usize) -> Option<MemoryReservation> {
        let left = self.units.available_permits().saturating_sub(units(bytes) as usize);
        if left < self.total / 2 {
            return None;
        }
        self.try_reserve(bytes)
    }

    /// Waits until memory is available, and reserves it; `None` if the pool is smaller than that.
    pub async fn reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        if units(bytes) as usize > self.total {
            return None;
        }
        self.units.clone().acquire_many_owned(units(bytes)).await.ok().map(MemoryReservation)
    }

    /// The same; if there is not enough memory, calls `evict` at once and then at the interval. It gets the number of
    /// bytes to be returned by others, beyond what it has made them return, and returns how many these now return.
    pub async fn reserve_evicting(
        &self,
        bytes: usize,
        interval: Duration,
        mut evict: impl FnMut(usize) -> usize,
    ) -> Option<MemoryReservation> {
        let available = self.units.available_permits() * UNIT;
        let reservation = self.reserve(bytes);
        tokio::pin!(reservation);
        let (mut missing, mut wait) = (bytes.saturating_sub(available), Duration::ZERO);
        loop {
            if let Ok(reservation) = timeout(wait, &mut reservation).await {
                return reservation;
            }
            missing = missing.saturating_sub(evict(missing));
            wait = interval;
        }
    }
}

impl MemoryReservation {
    /// Adds another reservation of the same pool to this one.
    pub fn merge(&mut self, other: MemoryReservation) {
        self.0.merge(other.0);
    }

    /// Returns what exceeds this many bytes to the pool.
    pub fn shrink_to(&mut self, bytes: usize) {
        let surplus = self.bytes().saturating_sub(bytes) / UNIT;
        drop(self.0.split(surplus));
    }

    /// Size of the reservation, in bytes.
    pub fn bytes(&self) -> usize {
        self.0.num_permits() * UNIT
    }
}

#[cfg(test)]
#[path = "../../tests/unit/memory_pool.rs"]
mod tests;
