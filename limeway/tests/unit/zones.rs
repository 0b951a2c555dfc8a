//! Unit tests of `upstream::zones`.

use super::*;
use std::collections::HashSet;

/// Guards against zones that share a number when there are many: a keyed request could then be repeated in a zone that
/// does not know its key.
#[test]
fn no_two_zones_share_a_number_however_many_there_are() {
    let names: Vec<String> = (0..1_024).map(|n| format!("named-{n}")).collect();
    let mut zones = Zones::new(&names);
    let named: Vec<usize> = names.iter().map(|name| zones.number(name, 0)).collect();
    assert_eq!(named, (0..1_024).collect::<Vec<_>>(), "numbered in the order of the settings");
    let unnamed = |n: usize| format!("unnamed-{n}");
    let count = MAX_LISTED_ZONES + 500;
    let numbers: HashSet<usize> = (0..count).map(|n| zones.number(&unnamed(n), n)).collect();
    assert_eq!(numbers.len(), count);
    assert!(numbers.iter().all(|number| *number >= 1_024));
    assert_eq!(zones.number(&unnamed(7), 3), zones.number(&unnamed(7), 4), "two servers of one zone");
    assert!(zones.numbers.len() <= 1_024 + MAX_LISTED_ZONES, "the state must be bounded");
}
