//! Tests of the numbers of zones.

use super::*;
use std::collections::HashSet;

/// Guards against zones beyond some number that are taken for one, so that a request goes out again in another zone
/// than its key is known in.
#[test]
fn no_two_zones_share_a_number_however_many_there_are() {
    let named: Vec<String> = (0..1_024).map(|n| format!("named-{n}")).collect();
    let mut zones = Zones::new(&named);
    let first: Vec<usize> = named.iter().map(|name| zones.number(name, 0)).collect();
    assert_eq!(first, (0..1_024).collect::<Vec<_>>(), "as the settings number them");
    let strange = |n: usize| format!("strange-{n}");
    let count = NAMED_MOST + 500;
    let numbers: HashSet<usize> = (0..count).map(|n| zones.number(&strange(n), n)).collect();
    assert_eq!(numbers.len(), count);
    assert!(numbers.iter().all(|number| *number >= 1_024));
    assert_eq!(zones.number(&strange(7), 3), zones.number(&strange(7), 4), "one zone, two servers");
    assert!(zones.numbers.len() <= 1_024 + NAMED_MOST, "what is kept is bounded");
}
