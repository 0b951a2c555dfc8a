//! When the gateway calls discovery where discovery does not push changes: many gateways share one discovery
//! service that takes few calls.

mod common;
use common::*;
use pondgw::*;

/// The times, counted from the start, at which a gateway calls discovery if every call fails at once.
fn watch_times(gateways: u32, seed: u64, duration: Micros) -> Vec<Micros> {
    let mut host = Host::with_seed(Settings { watch_discovery: true, gateways, ..settings() }, 3, seed);
    let (start, mut seen, mut times) = (host.now, 0, Vec::new());
    while host.now < start + duration {
        host.advance(10 * MS);
        let calls = host.actions[seen..].iter().filter(|a| **a == Action::Watch).count();
        seen = host.actions.len();
        for _ in 0..calls {
            times.push(host.now - start);
            host.deliver_list(ListKind::Failed, Vec::new());
        }
    }
    times
}

/// The gateway counts as informed of a change 6 s after discovery had it. Of these, the host needs 1.5 s to find a call
/// overdue and 1.5 s for the answer to the next call. Guards against waits that exceed the remaining 3 s because they
/// grow with failures or with the number of gateways.
#[test]
fn after_a_failed_call_discovery_is_asked_again_in_time_with_any_number_of_gateways() {
    for gateways in [1, 2, 30, 300, 3_700, 100_000] {
        for me in 0..20 {
            let times = watch_times(gateways, me * 7_919 + 13, 40 * S);
            let starts = std::iter::once(0).chain(times.iter().copied());
            let longest = starts.zip(&times).map(|(from, to)| to - from).max().unwrap_or(Micros::MAX);
            // The clock of this test advances in steps of 10 ms.
            assert!(
                longest <= 3 * S + 20 * MS,
                "{longest} us between two calls of one of {gateways} gateways"
            );
        }
    }
}

#[test]
fn gateways_whose_calls_fail_do_not_retry_in_step() {
    let times: Vec<Micros> = (0..100).flat_map(|me| watch_times(100, me * 7_919 + 13, 60 * S)).collect();
    let busiest_tenth = |from: Micros, to: Micros| {
        let calls = |at: Micros| times.iter().filter(|t| (at..at + 100 * MS).contains(*t)).count();
        (from / (100 * MS)..to / (100 * MS)).map(|n| calls(n * 100 * MS)).max().unwrap_or(0)
    };
    // A hundred gateways that each ask once in two seconds make five calls in 100 ms on average.
    let (first, later) = (busiest_tenth(0, 5 * S), busiest_tenth(40 * S, 60 * S));
    assert!(first <= 16, "{first} calls within 100 ms at first");
    assert!(later <= 16, "{later} calls within 100 ms later");
    let rate = times.len() as f64 / 100.0 / 60.0;
    assert!((0.3..=0.7).contains(&rate), "{rate} calls a second by each gateway");
}

/// Guards against a redundant call: the answer to an earlier call arrives while the gateway waits to ask again.
#[test]
fn an_answer_cancels_the_pending_retry() {
    for kind in [ListKind::Delta, ListKind::Full] {
        let mut host = Host::new(Settings { watch_discovery: true, ..settings() }, 3);
        host.advance(S);
        host.deliver_list(ListKind::Failed, Vec::new());
        host.deliver_list(kind, (0..3).map(server_entry).collect());
        let before = host.actions.len();
        host.advance(20 * S);
        assert!(!host.actions[before..].contains(&Action::Watch), "{kind:?}");
    }
}

#[test]
fn with_few_gateways_discovery_is_asked_at_once_and_again_within_a_second() {
    let times = watch_times(2, 11, 2 * S);
    assert!(times.first().is_some_and(|at| *at <= 100 * MS), "{times:?}");
    assert!(times.get(1).is_some_and(|at| *at <= 900 * MS), "{times:?}");
}

#[test]
fn an_answer_resets_the_backoff() {
    let mut host = Host::new(Settings { watch_discovery: true, ..settings() }, 3);
    for _ in 0..6 {
        host.deliver_list(ListKind::Failed, Vec::new());
    }
    host.deliver_list(ListKind::Delta, Vec::new());
    host.deliver_list(ListKind::Failed, Vec::new());
    let before = host.actions.len();
    host.advance(1_200 * MS);
    assert!(host.actions[before..].contains(&Action::Watch), "not asked again within the shortest backoff");
}
