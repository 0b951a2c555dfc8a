//! Timers of the gateway, of attempts and of requests, by the time at which they are due.

use pondgw::{Micros, RequestId};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Timers of finished requests are purged once there are more timers than this plus four for each open request.
const TIMER_PURGE_THRESHOLD: usize = 1_024;

/// What a timer is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TimerKind {
    /// A timer of the gateway, with its token.
    Gateway(u64),
    /// The timeout of an attempt.
    AttemptTimeout(RequestId, u32),
    /// The deadline of a request, less a margin.
    Deadline(RequestId),
}

/// All timers.
#[derive(Debug, Default)]
pub struct TimerQueue(BinaryHeap<Reverse<(Micros, TimerKind)>>);

impl TimerQueue {
    /// Adds a timer; true if it is the earliest.
    pub fn push(&mut self, at: Micros, kind: TimerKind) -> bool {
        let is_earliest = self.earliest().is_none_or(|earliest| at < earliest);
        self.0.push(Reverse((at, kind)));
        is_earliest
    }

    /// When the earliest timer is due.
    pub fn earliest(&self) -> Option<Micros> {
        self.0.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes the earliest timer if it is due.
    pub fn pop_due(&mut self, now: Micros) -> Option<TimerKind> {
        let is_due = self.earliest().is_some_and(|at| at <= now);
        let Reverse((_, kind)) = is_due.then(|| self.0.pop()).flatten()?;
        Some(kind)
    }

    /// Removes timers of finished requests if there are many timers for `open` requests. They would stay until the
    /// requests' deadlines, up to minutes away.
    pub fn purge(&mut self, open: usize, is_open: impl Fn(RequestId) -> bool) {
        if self.0.len() <= TIMER_PURGE_THRESHOLD + 4 * open {
            return;
        }
        self.0.retain(|Reverse((_, kind))| match kind {
            TimerKind::Gateway(_) => true,
            TimerKind::AttemptTimeout(id, _) | TimerKind::Deadline(id) => is_open(*id),
        });
    }
}
