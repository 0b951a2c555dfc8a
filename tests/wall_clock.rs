//! Two gateways whose wall clocks differ, with one counter. A clock may be stepped by seconds or by an hour between the
//! starts of two gateways; their customers' quotas must still hold for both together.

mod common;
use common::*;
use pondgw::*;
use std::collections::BTreeMap;

/// Length of the simulation.
const DURATION: Micros = 14 * S;
/// Factor on the quota that may pass, as leases can be spent on both sides of a window edge.
const SLACK: f64 = 1.1;

/// A gateway whose clock is ahead by this time.
fn gateway(gateway_index: u32, ahead: Micros) -> Host {
    let set = Settings { gateway_index, ..settings() };
    let seed = u64::from(gateway_index) * 97 + 3;
    let mut host = Host::with_seed(set.clone(), 0, seed);
    host.now += 10_000 * S + ahead;
    host.gateway = Gateway::new(set, seed, host.now);
    host.deliver_list(ListKind::Cached, (0..4).map(server_entry).collect());
    host.responsive_servers = (0..4).collect();
    host
}

/// Number of requests that two gateways send for a customer that requests four times its quota at each of them. The
/// clock of the second gateway is ahead by this time.
fn requests_sent(ahead: Micros) -> f64 {
    let mut hosts = [gateway(0, 0), gateway(1, ahead)];
    let mut counter_totals = BTreeMap::new();
    let step = 60 * MS;
    for id in 0..DURATION / step {
        for host in &mut hosts {
            std::mem::swap(&mut host.counter_totals, &mut counter_totals);
            host.request(id, IDEMPOTENT, RATE_LIMITED, S);
            host.advance(step);
            std::mem::swap(&mut host.counter_totals, &mut counter_totals);
        }
    }
    hosts.iter().map(|host| host.requests_sent() as f64).sum()
}

/// The quota over the whole duration: a burst of eight, and four a second.
fn quota() -> f64 {
    8.0 + 4.0 * DURATION as f64 / S as f64
}

#[test]
fn with_equal_clocks_two_gateways_keep_one_quota() {
    let sent = requests_sent(0);
    assert!(sent <= quota() * SLACK, "{sent} sent, the quota is {}", quota());
    assert!(sent >= quota() * 0.7, "{sent} sent, the quota is {}", quota());
}

#[test]
fn with_clocks_that_differ_two_gateways_keep_one_quota() {
    for ahead in [5 * S, 3_600 * S] {
        let sent = requests_sent(ahead);
        assert!(sent <= quota() * SLACK, "{sent} sent, the quota is {}, one clock {ahead} us ahead", quota());
    }
}
