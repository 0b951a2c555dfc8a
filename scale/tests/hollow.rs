//! Counts of simulations, which the subcommand `hollow` runs. Figures of real time are not tested.

use scale::deployment::Deployment;
use scale::report::Run;
use scale::simulation::{simulate, Fault, Scenario};
use std::collections::BTreeMap;

fn scenario(limiters: u32, servers: usize) -> Scenario {
    Scenario {
        deployment: Deployment { limiters, servers, regions: 2, zones_per_region: 2, watch_discovery: true },
        customers: 20 * u64::from(limiters),
        requests_per_second: 5.0 * f64::from(limiters),
        list_changes_per_second: 0.25,
        seconds: 12,
        fault: Fault::None,
        seed: 7,
    }
}

/// Figures of a simulation, without those of real time and memory, which vary between runs.
fn counts(scenario: Scenario) -> BTreeMap<String, f64> {
    let mut run = Run::new("", 0.0, "");
    simulate(scenario, &mut run);
    run.figures.into_iter().filter(|(name, _)| !name.contains("_us_") && !name.contains("_kb_")).collect()
}

#[test]
fn equal_seeds_give_equal_counts() {
    assert_eq!(counts(scenario(20, 24)), counts(scenario(20, 24)));
    assert_ne!(counts(scenario(20, 24)), counts(Scenario { seed: 8, ..scenario(20, 24) }));
}

#[test]
fn calls_per_request_stay_low_for_any_number_of_limiters_and_servers() {
    for (limiters, servers) in [(10, 24), (40, 24), (120, 24), (20, 60)] {
        let counts = counts(scenario(limiters, servers));
        let message = format!("{limiters} limiters, {servers} servers: {counts:?}");
        assert!(counts["served_share"] > 0.97, "{message}");
        assert!(counts["attempts_a_request"] < 1.1, "{message}");
        assert!(counts["counter_calls_a_request"] < 1.1, "{message}");
        assert!(counts["events_a_request"] < 40.0, "{message}");
    }
}

/// Guards against limiters that retry in step while discovery is down: their calls add up, and many in one second could
/// overload it. Each limiter retries about every two seconds.
#[test]
fn limiters_retry_discovery_every_two_seconds_and_not_in_step_while_it_is_down() {
    for limiters in [120, 240] {
        let counts = counts(Scenario { fault: Fault::Discovery, ..scenario(limiters, 24) });
        let worst = counts["list_calls_worst_s"] / f64::from(limiters);
        assert!(
            (0.2..0.8).contains(&worst),
            "{limiters} limiters: {worst} calls per limiter in the worst second"
        );
        assert!(counts["served_share"] > 0.95, "{limiters} limiters: {counts:?}");
    }
}

#[test]
fn the_required_share_of_requests_is_served_during_each_fault() {
    // Least share served over the whole time. A zone holds a quarter of the servers here, and when the regions are
    // separated, one of the two cannot reach the counter.
    for (fault, min_share) in [
        (Fault::Restart, 0.9),
        (Fault::Zone, 0.8),
        (Fault::Rack, 0.95),
        (Fault::Regions, 0.5),
        (Fault::Counter, 0.6),
    ] {
        let counts = counts(Scenario { fault, ..scenario(40, 40) });
        assert!(counts["served_share"] >= min_share, "{fault:?}: {counts:?}");
    }
}
