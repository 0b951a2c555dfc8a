//! Unit tests of the load estimates from late and noisy reports.

use super::*;

fn report(fleet: &mut FleetLoad, server: &mut ServerLoad, inflight: f64, qps: f64, util: f64) {
    let report =
        LoadReport { inflight: Some(inflight), util: Some(util), qps: Some(qps), ..LoadReport::default() };
    fleet.record(server, &report, 1_000_000);
}

#[test]
fn a_server_with_high_utilization_and_low_throughput_counts_as_slow() {
    let (mut fleet, mut slow, mut usual) =
        (FleetLoad::default(), ServerLoad::default(), ServerLoad::default());
    for _ in 0..20 {
        report(&mut fleet, &mut usual, 4.0, 8.0, 0.8);
    }
    report(&mut fleet, &mut slow, 4.0, 2.0, 1.0);
    let (slow, usual) = (slow.backlog(&fleet, 1_000_000), usual.backlog(&fleet, 1_000_000));
    assert!(slow > 1.8 * usual, "backlog of the slow server {slow}, of the usual one {usual}");
}

#[test]
fn a_backlog_decays_as_the_server_works_it_off() {
    let (mut fleet, mut server) = (FleetLoad::default(), ServerLoad::default());
    for _ in 0..20 {
        report(&mut fleet, &mut server, 40.0, 8.0, 1.0);
    }
    let at = |seconds: u64| server.backlog(&fleet, 1_000_000 + seconds * 1_000_000);
    assert!(at(0) > 39.0 && at(4) > 15.0 && at(20) < 1.0, "{} {} {}", at(0), at(4), at(20));
}

#[test]
fn a_report_without_utilization_still_gives_the_backlog() {
    let (mut fleet, mut server) = (FleetLoad::default(), ServerLoad::default());
    let report = LoadReport { inflight: Some(9.0), ..LoadReport::default() };
    fleet.record(&mut server, &report, 0);
    assert!((server.backlog(&fleet, 0) - 9.0).abs() < 1e-9);
    fleet.record(&mut ServerLoad::default(), &LoadReport::default(), 0);
    assert_eq!(ServerLoad::default().backlog(&fleet, 0), 0.0);
}
