//! Maps zone names, which discovery uses, to the zone numbers that the gateway uses.

use pondgw::ServerId;
use std::collections::HashMap;

/// Largest number of zones that are numbered by name, in addition to those that the settings name. Lists of servers may
/// contain ever new names, and the state kept for them must be bounded.
const MAX_LISTED_ZONES: usize = 4_096;

/// Numbers of zones by name.
pub struct Zones {
    numbers: HashMap<String, usize>,
    next: usize,
    /// Zones that are known by name have numbers below this.
    limit: usize,
}

impl Zones {
    /// The zones that the settings name, numbered in their order there.
    pub fn new(names: &[String]) -> Self {
        let mut numbers = HashMap::new();
        for (number, name) in names.iter().enumerate() {
            numbers.entry(name.clone()).or_insert(number);
        }
        Zones { numbers, next: names.len(), limit: names.len() + MAX_LISTED_ZONES }
    }

    /// Number of a server's zone. When there are too many zones, the server gets a zone of its own. A number shared by
    /// two zones would allow a request that may be repeated only within its zone to be repeated in the other.
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
