//! Tests of what only the inside of `discovery` shows.

use super::*;

fn setup(ask: bool, grace_us: u64) -> HostSettings {
    let mode = if ask { "ask" } else { "push" };
    let text = format!(r#"{{"discovery":"{mode}","rules":{{"drain-grace":{grace_us}}}}}"#);
    HostSettings::from_json(&serde_json::from_str(&text).expect("an object")).expect("settings")
}

/// Guards both ways: a silent call must be followed by one that is answered before what the first one missed counts
/// as told; and one that waits in discovery's line must not be given up before.
#[test]
fn from_any_call_on_another_has_time_for_its_answer_before_what_the_first_missed_counts_as_told() {
    for ask in [true, false] {
        for grace in [0, 200_000, 1_000_000, 9_000_000] {
            for hold in [None, Some(FIRST_HOLD_MS), Some(HOLD_MS)] {
                let late = late_after(&setup(ask, grace), hold);
                assert!(late + LATE <= NOTIFIED_AFTER, "asked {ask}, {hold:?}, grace {grace} us: {late:?}");
            }
        }
    }
    // Each of those under way has that long, too.
    assert!(LATE * CALLS_MOST as u32 >= NOTIFIED_AFTER);
}

/// Guards against a new process that goes on by its old list for longer than the time of grace.
#[test]
fn a_first_call_that_is_not_heard_leaves_time_for_another_within_the_grace() {
    for grace in [200_000, 500_000, 1_000_000] {
        for hold in [None, Some(FIRST_HOLD_MS)] {
            let late = late_after(&setup(false, grace), hold);
            assert!(late + BACKOFF.0 < Duration::from_micros(grace), "{late:?} of {grace} us");
        }
    }
    assert_eq!(late_after(&setup(false, 0), None), LATE, "where no grace is told");
}
