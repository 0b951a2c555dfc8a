//! Numbers of zones: the decisions know zones by number, discovery by name.

use pondgw::ServerId;
use std::collections::HashMap;

/// Zones that get a number by their name at most, beside those that the settings name: state is bounded, and a list
/// may bring ever new names.
const NAMED_MOST: usize = 4_096;

/// The zones by name.
pub struct Zones {
    numbers: HashMap<String, usize>,
    /// The next number that is given.
    next: usize,
    /// Numbers from this on are given to no name.
    limit: usize,
}

impl Zones {
    /// The zones that the settings name, numbered as they stand there.
    pub fn new(named: &[String]) -> Self {
        let mut numbers = HashMap::new();
        for (number, name) in named.iter().enumerate() {
            numbers.entry(name.clone()).or_insert(number);
        }
        Zones { numbers, next: named.len(), limit: named.len() + NAMED_MOST }
    }

    /// Number of the zone of a server. Where there are too many, the server stands for a zone of its own: two zones
    /// with one number would be taken for one by whoever may repeat a request within its zone only.
    pub fn number(&mut self, name: &str, server: ServerId) -> usize {
        if let Some(number) = self.numbers.get(name) {
            return *number;
        }
        if self.next >= self.limit {
            return self.limit + server;
        }
        let number = self.next;
        self.next += 1;
        self.numbers.insert(name.to_owned(), number);
        number
    }
}

#[cfg(test)]
#[path = "../../tests/unit/zones.rs"]
mod tests;
