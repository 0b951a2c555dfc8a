//! Counts and shapes of the hollow fleet: never how long anything took.

use scale::hollow::{play, Day, Fault};
use scale::report::Run;
use scale::settings::Deployment;
use std::collections::BTreeMap;

fn day(limiters: u32, servers: usize) -> Day {
    Day {
        deployment: Deployment { limiters, servers, regions: 2, zones: 2, ask: true },
        tenants: 20 * u64::from(limiters),
        rate: 5.0 * f64::from(limiters),
        changes: 0.25,
        seconds: 12,
        fault: Fault::None,
        seed: 7,
    }
}

/// What was counted; the figures of time and memory are this machine's.
fn counts(day: Day) -> BTreeMap<String, f64> {
    let mut run = Run::new("", 0.0, "");
    play(day, &mut run);
    run.figures.into_iter().filter(|(name, _)| !name.contains("_us_") && !name.contains("_kb_")).collect()
}

#[test]
fn equal_seeds_give_equal_counts() {
    assert_eq!(counts(day(20, 24)), counts(day(20, 24)));
    assert_ne!(counts(day(20, 24)), counts(Day { seed: 8, ..day(20, 24) }));
}

#[test]
fn a_request_costs_the_same_calls_at_any_size_of_the_fleet() {
    for (limiters, servers) in [(10, 24), (40, 24), (120, 24), (20, 60)] {
        let counts = counts(day(limiters, servers));
        let seen = format!("{limiters} limiters, {servers} servers: {counts:?}");
        assert!(counts["served_share"] > 0.97, "{seen}");
        assert!(counts["attempts_a_request"] < 1.1, "{seen}");
        assert!(counts["counter_calls_a_request"] < 1.1, "{seen}");
        assert!(counts["events_a_request"] < 40.0, "{seen}");
    }
}

/// What each does alone adds up: calls of all limiters while discovery is down, in the worst second.
#[test]
fn limiters_that_discovery_does_not_answer_call_once_in_two_seconds_each_and_not_in_step() {
    for limiters in [120, 240] {
        let counts = counts(Day { fault: Fault::Discovery, ..day(limiters, 24) });
        let worst = counts["list_calls_worst_s"] / f64::from(limiters);
        assert!(
            (0.2..0.8).contains(&worst),
            "{limiters} limiters: {worst} calls of each in the worst second"
        );
        assert!(counts["served_share"] > 0.95, "{limiters} limiters: {counts:?}");
    }
}

#[test]
fn each_fault_is_lived_through() {
    // Least share served over the day: a zone is a quarter here, and regions apart have no counter on one side.
    for (fault, least) in [
        (Fault::Restart, 0.9),
        (Fault::Zone, 0.8),
        (Fault::Rack, 0.95),
        (Fault::Regions, 0.5),
        (Fault::Counter, 0.6),
    ] {
        let counts = counts(Day { fault, ..day(40, 40) });
        assert!(counts["served_share"] >= least, "{fault:?}: {counts:?}");
    }
}
