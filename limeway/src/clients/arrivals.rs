//! When the parts of a connection's input arrived: a request's time runs from its last byte, however much has arrived
//! behind it since.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Parts of the same unconsumed input that arrived within this time count as one.
const RESOLUTION: Duration = Duration::from_millis(1);
/// Most parts that are told apart. With more, pairs of them are merged.
const MAX_PARTS: usize = 256;

/// A part of the input.
#[derive(Debug)]
struct Part {
    /// Number of bytes received up to its end.
    end: u64,
    /// When it arrived, at the earliest.
    at: Instant,
}

/// Arrival times of the input that is held and of the last byte consumed.
#[derive(Debug, Default)]
pub struct Arrivals {
    /// In the order of their arrival. All but the first are unconsumed, wholly or in part.
    parts: VecDeque<Part>,
    /// Number of bytes received.
    received: u64,
}

impl Arrivals {
    /// Records that `length` bytes arrived, at the earliest at the time `at`, behind `unconsumed` others.
    pub fn record(&mut self, length: usize, at: Instant, unconsumed: usize) {
        let consumed = self.received - unconsumed as u64;
        while self.parts.front().is_some_and(|part| part.end <= consumed) {
            self.parts.pop_front();
        }
        if self.parts.len() >= MAX_PARTS {
            self.merge_pairs();
        }
        self.received += length as u64;
        match self.parts.back_mut() {
            Some(last) if at <= last.at + RESOLUTION => last.end = self.received,
            _ => self.parts.push_back(Part { end: self.received, at }),
        }
    }

    /// When the last consumed byte arrived, at the earliest, if `unconsumed` bytes are held. To be asked before further
    /// input is recorded; `None` if nothing has arrived.
    pub fn of_last_consumed(&self, unconsumed: usize) -> Option<Instant> {
        let consumed = self.received - unconsumed as u64;
        self.parts.iter().find(|part| part.end >= consumed).map(|part| part.at)
    }

    /// Halves the number of parts: each pair counts as arrived with its first.
    fn merge_pairs(&mut self) {
        let mut merged = VecDeque::with_capacity(MAX_PARTS);
        let mut parts = self.parts.drain(..);
        while let Some(first) = parts.next() {
            let end = parts.next().map_or(first.end, |second| second.end);
            merged.push_back(Part { end, at: first.at });
        }
        drop(parts);
        self.parts = merged;
    }
}

#[cfg(test)]
#[path = "../../tests/unit/arrivals.rs"]
mod tests;
