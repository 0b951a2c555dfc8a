//! Tests of the estimates: what a gateway makes of late and noisy reports.

use super::*;

fn told(fleet: &mut Fleet, server: &mut Reports, held: f64, qps: f64, util: f64) {
    let load = LoadReport { inflight: Some(held), util: Some(util), qps: Some(qps), ..LoadReport::default() };
    fleet.take(server, &load, 1_000_000);
}

#[test]
fn a_server_that_does_little_with_all_its_processors_counts_as_slow() {
    let (mut fleet, mut slow, mut even) = (Fleet::default(), Reports::default(), Reports::default());
    for _ in 0..20 {
        told(&mut fleet, &mut even, 4.0, 8.0, 0.8);
    }
    told(&mut fleet, &mut slow, 4.0, 2.0, 1.0);
    let (slow, even) = (slow.backlog(&fleet, 1_000_000), even.backlog(&fleet, 1_000_000));
    assert!(slow > 1.8 * even, "{slow} beside {even}");
}

#[test]
fn a_backlog_fades_as_the_server_works_it_off() {
    let (mut fleet, mut server) = (Fleet::default(), Reports::default());
    for _ in 0..20 {
        told(&mut fleet, &mut server, 40.0, 8.0, 1.0);
    }
    let at = |seconds: u64| server.backlog(&fleet, 1_000_000 + seconds * 1_000_000);
    assert!(at(0) > 39.0 && at(4) > 15.0 && at(20) < 1.0, "{} {} {}", at(0), at(4), at(20));
}

#[test]
fn a_report_without_use_still_tells_what_is_held() {
    let (mut fleet, mut server) = (Fleet::default(), Reports::default());
    let load = LoadReport { inflight: Some(9.0), ..LoadReport::default() };
    fleet.take(&mut server, &load, 0);
    assert!((server.backlog(&fleet, 0) - 9.0).abs() < 1e-9);
    fleet.take(&mut Reports::default(), &LoadReport::default(), 0);
    assert_eq!(Reports::default().backlog(&fleet, 0), 0.0);
}
