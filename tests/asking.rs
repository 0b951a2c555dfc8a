//! How discovery is asked where it pushes nothing: many gateways share one that takes few calls.

mod common;
use common::*;
use pondgw::*;

/// When a gateway asks, if every call fails at once.
fn asked(gateways: u32, seed: u64, until: Micros) -> Vec<Micros> {
    let mut host = Host::seeded(Settings { ask: true, gateways, ..settings() }, 3, seed);
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

#[test]
fn a_hundred_gateways_that_are_turned_away_do_not_ask_in_step_and_ask_ever_less() {
    let all: Vec<Micros> = (0..100).flat_map(|me| asked(100, me * 7_919 + 13, 60 * S)).collect();
    let most = |from: Micros, to: Micros| {
        let calls = |at: Micros| all.iter().filter(|t| (at..at + 100 * MS).contains(*t)).count();
        (from / (100 * MS)..to / (100 * MS)).map(|n| calls(n * 100 * MS)).max().unwrap_or(0)
    };
    // A hundred that asked twice a second made 200 calls a second, 20 in each tenth of one.
    assert!(most(0, 5 * S) <= 14, "{} in a tenth of a second at first", most(0, 5 * S));
    assert!(most(40 * S, 60 * S) <= 6, "{} in a tenth of a second later", most(40 * S, 60 * S));
    assert!(all.len() >= 700, "{} calls in a minute: none gives up", all.len());
}

#[test]
fn a_small_fleet_asks_at_once_and_again_within_a_second() {
    let times = asked(2, 11, 2 * S);
    assert!(times.first().is_some_and(|at| *at <= 100 * MS), "{times:?}");
    assert!(times.get(1).is_some_and(|at| *at <= 900 * MS), "{times:?}");
}

#[test]
fn a_list_that_comes_sets_the_wait_back() {
    let mut host = Host::new(Settings { ask: true, ..settings() }, 3);
    for _ in 0..6 {
        host.list(ListKind::Failed, Vec::new());
    }
    host.list(ListKind::Delta, Vec::new());
    host.list(ListKind::Failed, Vec::new());
    let before = host.all.len();
    host.wait(1_200 * MS);
    assert!(host.all[before..].contains(&Action::Watch), "asked again within the first wait");
}
