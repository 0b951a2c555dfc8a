//! Tests of what only the inside of `discovery` shows.

use super::*;

fn setup(ask: bool, grace_us: u64) -> Setup {
    let mode = if ask { "ask" } else { "push" };
    let text = format!(r#"{{"discovery":"{mode}","rules":{{"drain-grace":{grace_us}}}}}"#);
    Setup::read(&serde_json::from_str(&text).expect("an object")).expect("settings")
}

/// Guards both ways: a list that the agent has, which counts as told, must not find the call given up long
/// before; and a silent call must be opened anew before what it misses counts as told.
#[test]
fn a_call_is_waited_for_until_just_before_what_it_misses_counts_as_told() {
    let second = Duration::from_secs(1);
    for (hold, told) in [(None, 6 * second), (Some(FIRST_HOLD_MS), 6 * second), (Some(HOLD_MS), 12 * second)]
    {
        for failures in [0, DOUBLED_MOST] {
            let most = patience(&setup(true, 1_000_000), hold, failures);
            assert!(most < told && most >= told - REOPEN, "asked, {hold:?}: {most:?}");
        }
    }
    let most = patience(&setup(false, 1_000_000), Some(HOLD_MS), 0);
    assert!(most < 12 * second && most >= 12 * second - REOPEN, "pushed: {most:?}");
}

/// Guards against a new process that goes on by its old list for longer than the time of grace.
#[test]
fn a_first_call_that_is_not_heard_leaves_time_for_another_within_the_grace() {
    for grace in [200_000, 500_000, 1_000_000] {
        let most = patience(&setup(false, grace), Some(FIRST_HOLD_MS), 0);
        assert!(most + BACKOFF.0 < Duration::from_micros(grace), "{most:?} of {grace} us");
    }
    assert_eq!(patience(&setup(false, 0), None, 3), CALL_MOST, "where no grace is told");
    assert_eq!(patience(&setup(false, 500_000), None, DOUBLED_MOST), CALL_MOST, "a slow machine gets there");
}
