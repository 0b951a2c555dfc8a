//! How discovery is asked where it pushes nothing: many gateways share one that takes few calls.

mod common;
use common::*;
use pondgw::*;

/// When a gateway asks, if every call fails at once.
fn asked(gateways: u32, seed: u64, until: Micros) -> Vec<Micros> {
    let mut host = Host::seeded(Settings { watch_discovery: true, gateways, ..settings() }, 3, seed);
    let (start, mut seen, mut times) = (host.now, 0, Vec::new());
    while host.now < start + until {
        host.wait(10 * MS);
        let calls = host.all[seen..].iter().filter(|a| **a == Action::Watch).count();
        seen = host.all.len();
        for _ in 0..calls {
            times.push(host.now - start);
            host.list(ListKind::Failed, Vec::new());
        }
    }
    times
}

/// What discovery has counts as told after 6 s: 1.5 s of these for a call to prove late, and 1.5 s for the next
/// one's answer, are the host's. Guards against waits that grow with failures, or with the fleet, beyond the rest.
#[test]
fn whoever_is_turned_away_asks_again_in_time_however_many_gateways_there_are() {
    for gateways in [1, 2, 30, 300, 3_700, 100_000] {
        for me in 0..20 {
            let times = asked(gateways, me * 7_919 + 13, 40 * S);
            let starts = std::iter::once(0).chain(times.iter().copied());
            let longest = starts.zip(&times).map(|(from, to)| to - from).max().unwrap_or(Micros::MAX);
            // The steps of this test are 10 ms.
            assert!(longest <= 3 * S + 20 * MS, "{longest} us between two calls of one in {gateways}");
        }
    }
}

#[test]
fn gateways_that_are_turned_away_do_not_ask_in_step() {
    let all: Vec<Micros> = (0..100).flat_map(|me| asked(100, me * 7_919 + 13, 60 * S)).collect();
    let most = |from: Micros, to: Micros| {
        let calls = |at: Micros| all.iter().filter(|t| (at..at + 100 * MS).contains(*t)).count();
        (from / (100 * MS)..to / (100 * MS)).map(|n| calls(n * 100 * MS)).max().unwrap_or(0)
    };
    // A hundred that ask once in two seconds make five calls in a tenth of one, in the mean.
    assert!(most(0, 5 * S) <= 16, "{} in a tenth of a second at first", most(0, 5 * S));
    assert!(most(40 * S, 60 * S) <= 16, "{} in a tenth of a second later", most(40 * S, 60 * S));
    let calls = all.len() as f64 / 100.0 / 60.0;
    assert!((0.3..=0.7).contains(&calls), "{calls} calls a second of each");
}

/// Guards against a call that nobody wants: the answer to an earlier one came while the next was waited for.
#[test]
fn an_answer_ends_the_wait_for_the_next_call() {
    for kind in [ListKind::Delta, ListKind::Full] {
        let mut host = Host::new(Settings { watch_discovery: true, ..settings() }, 3);
        host.wait(S);
        host.list(ListKind::Failed, Vec::new());
        host.list(kind, (0..3).map(entry).collect());
        let before = host.all.len();
        host.wait(20 * S);
        assert!(!host.all[before..].contains(&Action::Watch), "{kind:?}");
    }
}

#[test]
fn a_small_fleet_asks_at_once_and_again_within_a_second() {
    let times = asked(2, 11, 2 * S);
    assert!(times.first().is_some_and(|at| *at <= 100 * MS), "{times:?}");
    assert!(times.get(1).is_some_and(|at| *at <= 900 * MS), "{times:?}");
}

#[test]
fn a_list_that_comes_sets_the_wait_back() {
    let mut host = Host::new(Settings { watch_discovery: true, ..settings() }, 3);
    for _ in 0..6 {
        host.list(ListKind::Failed, Vec::new());
    }
    host.list(ListKind::Delta, Vec::new());
    host.list(ListKind::Failed, Vec::new());
    let before = host.all.len();
    host.wait(1_200 * MS);
    assert!(host.all[before..].contains(&Action::Watch), "asked again within the first wait");
}
