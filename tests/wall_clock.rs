//! Gateways whose wall clocks differ, before one counter: a clock may be stepped by seconds or by an hour between the
//! starts of two gateways, and their quotas are still one.

mod common;
use common::*;
use pondgw::*;
use std::collections::BTreeMap;

/// Length of the day.
const DAY: Micros = 14 * S;
/// How much more than the quota may pass, as a share: leases cross the edges of windows.
const SLACK: f64 = 1.1;

/// A gateway whose clock is ahead by so much.
fn gateway(me: u32, ahead: Micros) -> Host {
    let set = Settings { gateway_index: me, ..settings() };
    let mut host = Host::seeded(set.clone(), 0, u64::from(me) * 97 + 3);
    host.now += 10_000 * S + ahead;
    host.gateway = Gateway::new(set, u64::from(me) * 97 + 3, host.now);
    host.list(ListKind::Cached, (0..4).map(entry).collect());
    host.serve = (0..4).collect();
    host
}

/// Requests that two gateways send on for a customer that asks each of them for four times its quota.
fn sent(ahead: Micros) -> f64 {
    let mut hosts = [gateway(0, 0), gateway(1, ahead)];
    let mut counts = BTreeMap::new();
    let step = 60 * MS;
    for id in 0..DAY / step {
        for host in &mut hosts {
            std::mem::swap(&mut host.counts, &mut counts);
            host.ask(id, 0, 0, S);
            host.wait(step);
            std::mem::swap(&mut host.counts, &mut counts);
        }
    }
    hosts.iter().map(|host| host.sends.iter().filter(|s| s.2 == 0).count() as f64).sum()
}

/// The quota over the day: a burst of eight, and four a second.
fn quota() -> f64 {
    8.0 + 4.0 * DAY as f64 / S as f64
}

#[test]
fn with_equal_clocks_two_gateways_keep_one_quota() {
    let sent = sent(0);
    assert!(sent <= quota() * SLACK, "{sent} sent on of {}", quota());
    assert!(sent >= quota() * 0.7, "{sent} sent on of {}", quota());
}

#[test]
fn with_clocks_that_differ_two_gateways_keep_one_quota() {
    for ahead in [5 * S, 3_600 * S] {
        let sent = sent(ahead);
        assert!(sent <= quota() * SLACK, "{sent} sent on of {}, one clock {ahead} us ahead", quota());
    }
}
