//! Unit tests of `discovery::follower`.

use super::*;

fn host_settings(ask: bool, grace_us: u64) -> HostSettings {
    let mode = if ask { "ask" } else { "push" };
    let text = format!(r#"{{"discovery":"{mode}","rules":{{"drain-grace":{grace_us}}}}}"#);
    HostSettings::from_json(&serde_json::from_str(&text).expect("an object")).expect("settings")
}

/// After a silent call, the next one must have time for its response before the limiter counts as informed of what the
/// first call missed. A call that waits in discovery's queue must not be aborted before then either.
#[test]
fn after_a_silent_call_the_next_has_time_for_its_answer_before_the_limiter_counts_as_informed() {
    for ask in [true, false] {
        for grace in [0, 200_000, 1_000_000, 9_000_000] {
            for hold in [None, Some(FIRST_HOLD_MS), Some(HOLD_MS)] {
                let overdue = overdue_after(&host_settings(ask, grace), hold);
                assert!(
                    overdue + OVERDUE_AFTER <= INFORMED_AFTER,
                    "ask {ask}, {hold:?}, grace {grace} us: {overdue:?}"
                );
            }
        }
    }
    // With the largest number of concurrent calls, each can wait for a response this long.
    assert!(OVERDUE_AFTER * MAX_CALLS as u32 >= INFORMED_AFTER);
}

/// Guards against a new process that uses its old list for longer than the drain grace.
#[test]
fn a_first_call_that_is_lost_leaves_time_for_another_within_the_drain_grace() {
    for grace in [200_000, 500_000, 1_000_000] {
        for hold in [None, Some(FIRST_HOLD_MS)] {
            let overdue = overdue_after(&host_settings(false, grace), hold);
            assert!(overdue + MIN_BACKOFF < Duration::from_micros(grace), "{overdue:?} of {grace} us");
        }
    }
    assert_eq!(overdue_after(&host_settings(false, 0), None), OVERDUE_AFTER, "where no grace is configured");
}
