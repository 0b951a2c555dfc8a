//! The queue of what is to come, by time and then by the order in which it was put there.

use pondgw::{Micros, Outcome, Status};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What is to come.
pub(super) enum Pending {
    /// A request comes.
    Arrival,
    /// A limiter's timer.
    Timer(usize),
    /// An attempt of a limiter ends.
    Outcome(usize, Outcome),
    /// A limiter's call to the counter ends.
    Counted { limiter: usize, name: u64, status: Status, total: f64, latency: Micros },
    /// A limiter's call to discovery ends, answered or not.
    List { limiter: usize, answered: bool },
    /// A server begins or ends to drain.
    Change,
    /// The fault begins.
    Fault,
    /// The fault ends.
    Repair,
    /// A limiter starts again.
    Return(usize),
}

/// What is to come, each with the life of the limiter that it is for.
#[derive(Default)]
pub(super) struct EventQueue {
    queue: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    events: Vec<Option<(u32, Pending)>>,
    /// Places among the events that can be used again.
    free: Vec<usize>,
    order: u64,
}

impl EventQueue {
    /// Puts something there.
    pub(super) fn push(&mut self, at: Micros, life: u32, pending: Pending) {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.events.push(None);
            self.events.len() - 1
        });
        self.events[slot] = Some((life, pending));
        self.order += 1;
        self.queue.push(Reverse((at, self.order, slot)));
    }

    /// Takes what comes first: its time, the life that it is for, and what it is.
    pub(super) fn pop(&mut self) -> Option<(Micros, u32, Pending)> {
        let Reverse((at, _, slot)) = self.queue.pop()?;
        let (life, pending) = self.events[slot].take()?;
        self.free.push(slot);
        Some((at, life, pending))
    }
}
