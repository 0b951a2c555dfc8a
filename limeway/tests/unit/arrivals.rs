//! Unit tests of the arrival times of a connection's input.

use super::*;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against a request whose waiting time is that of input behind it.
#[test]
fn each_part_keeps_its_own_time_however_much_arrives_behind_it() {
    let start = Instant::now();
    let mut arrivals = Arrivals::default();
    assert_eq!(arrivals.of_last_consumed(0), None);
    arrivals.record(100, start, 0);
    arrivals.record(100, start + SECOND, 100);
    arrivals.record(50, start + 2 * SECOND, 200);
    for (unconsumed, seconds) in [(249, 0), (150, 0), (149, 1), (50, 1), (49, 2), (0, 2)] {
        assert_eq!(
            arrivals.of_last_consumed(unconsumed),
            Some(start + seconds * SECOND),
            "{unconsumed} left"
        );
    }
}

/// Guards against a time taken from the input before: what arrives on its own is exact.
#[test]
fn input_that_arrives_after_all_before_it_was_consumed_has_its_own_time() {
    let start = Instant::now();
    let mut arrivals = Arrivals::default();
    for n in 0..1_000u32 {
        let at = start + n * RESOLUTION / 4;
        arrivals.record(7, at, 0);
        assert_eq!(arrivals.of_last_consumed(0), Some(at));
    }
}

/// Guards against memory without a bound, and against a time that is later than the true one.
#[test]
fn many_parts_are_merged_to_earlier_times_and_the_last_stays_exact() {
    let start = Instant::now();
    let mut arrivals = Arrivals::default();
    let at = |n: usize| start + n as u32 * Duration::from_millis(2);
    for n in 0..10_000 {
        arrivals.record(1, at(n), n);
        assert!(arrivals.parts.len() <= MAX_PARTS);
        assert_eq!(arrivals.of_last_consumed(0), Some(at(n)));
    }
    for unconsumed in 0..9_999 {
        let told = arrivals.of_last_consumed(unconsumed).expect("a time");
        assert!(told <= at(9_999 - unconsumed), "{unconsumed} left");
    }
}
