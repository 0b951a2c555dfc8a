//! Unit tests of the load estimates from late and noisy reports.

use super::*;

fn report(mean: &mut MeanLoad, server: &mut ServerLoad, inflight: f64, qps: f64, util: f64) {
    let report =
        LoadReport { inflight: Some(inflight), util: Some(util), qps: Some(qps), ..LoadReport::default() };
    mean.record(server, &report, 1_000_000);
}

#[test]
fn a_server_with_high_utilization_and_low_throughput_counts_as_slow() {
    let (mut mean, mut slow, mut usual) = (MeanLoad::default(), ServerLoad::default(), ServerLoad::default());
    for _ in 0..20 {
        report(&mut mean, &mut usual, 4.0, 8.0, 0.8);
    }
    report(&mut mean, &mut slow, 4.0, 2.0, 1.0);
    let (slow, usual) = (slow.backlog(&mean, 1_000_000), usual.backlog(&mean, 1_000_000));
    assert!(slow > 1.8 * usual, "backlog of the slow server {slow}, of the usual one {usual}");
}

#[test]
fn a_backlog_decays_as_the_server_works_it_off() {
    let (mut mean, mut server) = (MeanLoad::default(), ServerLoad::default());
    for _ in 0..20 {
        report(&mut mean, &mut server, 40.0, 8.0, 1.0);
    }
    let at = |seconds: u64| server.backlog(&mean, 1_000_000 + seconds * 1_000_000);
    assert!(at(0) > 39.0 && at(4) > 15.0 && at(20) < 1.0, "{} {} {}", at(0), at(4), at(20));
}

#[test]
fn a_report_without_utilization_still_gives_the_backlog() {
    let (mut mean, mut server) = (MeanLoad::default(), ServerLoad::default());
    let report = LoadReport { inflight: Some(9.0), ..LoadReport::default() };
    mean.record(&mut server, &report, 0);
    assert!((server.backlog(&mean, 0) - 9.0).abs() < 1e-9);
    mean.record(&mut ServerLoad::default(), &LoadReport::default(), 0);
    assert_eq!(ServerLoad::default().backlog(&mean, 0), 0.0);
}
