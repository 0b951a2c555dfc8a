//! Queue of future events, ordered by time; events at the same time come in the order in which they were added.

use pondgw::{Micros, Outcome, Status};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A future event of the simulation. Limiters are given by number.
pub(super) enum SimulationEvent {
    /// A client sends a request.
    RequestArrival,
    /// A limiter's timer is due.
    Timer(usize),
    /// An attempt of a limiter ends.
    AttemptEnds(usize, Outcome),
    /// A limiter's call to the counter ends.
    CounterCallEnds { limiter: usize, name: u64, status: Status, total: f64, latency: Micros },
    /// A limiter's call to discovery ends, with or without an answer.
    DiscoveryCallEnds { limiter: usize, answered: bool },
    /// A server starts or stops draining.
    ListChange,
    /// The scenario's fault begins.
    FaultBegins,
    /// The scenario's fault ends.
    FaultEnds,
    /// A killed limiter starts again.
    LimiterRestart(usize),
}

/// Future events, each with the incarnation of the limiter that it is meant for. Events that are not
/// cancelled when a limiter is killed have 0, which is ignored.
#[derive(Default)]
pub(super) struct EventQueue {
    queue: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    /// The events, by the slot that the queue names.
    slots: Vec<Option<(u32, SimulationEvent)>>,
    free_slots: Vec<usize>,
    /// Number of events added so far.
    sequence: u64,
}

impl EventQueue {
    /// Adds an event.
    pub(super) fn push(&mut self, at: Micros, incarnation: u32, event: SimulationEvent) {
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.slots[slot] = Some((incarnation, event));
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, slot)));
    }

    /// Removes the next event, and gives its time, the incarnation that it is meant for and the event.
    pub(super) fn pop(&mut self) -> Option<(Micros, u32, SimulationEvent)> {
        let Reverse((at, _, slot)) = self.queue.pop()?;
        let (incarnation, event) = self.slots[slot].take()?;
        self.free_slots.push(slot);
        Some((at, incarnation, event))
    }
}
