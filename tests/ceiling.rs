//! The ceiling where the counter is shared: leased units need no even split, and the rule still holds.

mod common;
use common::*;
use pondgw::*;
use std::collections::BTreeMap;

/// Gateways that share one counter: whoever has the turn holds the counts.
struct Fleet {
    hosts: Vec<Host>,
    counts: BTreeMap<u64, f64>,
    next: RequestId,
}

impl Fleet {
    fn new(size: u32) -> Self {
        let fresh = |me: u32| {
            let set = Settings { gateways: size, gateway_index: me, ..settings() };
            let mut host = Host::seeded(set, 4, u64::from(me) * 97 + 3);
            host.serve = (0..4).collect();
            host
        };
        Fleet { hosts: (0..size).map(fresh).collect(), counts: BTreeMap::new(), next: 0 }
    }

    fn ask(&mut self, at: usize, customer: &str) {
        self.next += 1;
        let spread = self.hosts.len() as u32;
        let (id, customer) = (self.next, customer.to_owned());
        let demand = ClientRequest {
            id,
            class: 0,
            plan: 1,
            customer,
            time_left: S,
            units: 1.0,
            gateways: spread,
            first_gateway: 0,
        };
        self.turn(at, |host| host.give(Event::Request(demand)));
    }

    fn turn(&mut self, at: usize, act: impl FnOnce(&mut Host)) {
        std::mem::swap(&mut self.hosts[at].counts, &mut self.counts);
        act(&mut self.hosts[at]);
        std::mem::swap(&mut self.hosts[at].counts, &mut self.counts);
    }

    fn wait(&mut self, time: Micros) {
        for at in 0..self.hosts.len() {
            self.turn(at, |host| host.wait(time));
        }
    }

    fn sent(&self) -> usize {
        self.hosts.iter().map(|h| h.sends.iter().filter(|s| s.2 == 0).count()).sum()
    }
}

#[test]
fn a_customer_that_comes_to_one_of_its_gateways_has_its_whole_quota() {
    let mut fleet = Fleet::new(8);
    // Another customer comes in at all gateways by turns: its totals show that the counter is shared.
    for second in 0..20 {
        for at in [1 + second % 7, 0] {
            fleet.ask(at, "band");
            fleet.wait(20 * MS);
        }
        for _ in 0..4 {
            fleet.ask(0, "choir");
            fleet.wait(240 * MS);
        }
    }
    let busy = fleet.hosts[0].sends.len();
    // Four a second, its quota, for 20 s, and the other's 20; an even split of the ceiling is one a second.
    assert!(busy >= 90, "{busy} of 100 were sent on at the busy door");
}

#[test]
fn with_a_shared_counter_all_gateways_together_stay_under_the_ceiling() {
    let mut fleet = Fleet::new(8);
    let start = fleet.hosts[0].now;
    for step in 0..1_500u64 {
        for at in 0..8 {
            fleet.ask(at, "choir");
        }
        fleet.wait(10 * MS);
        if step == 700 {
            fleet.counts.clear();
        }
        let passed = (fleet.hosts[0].now - start) as f64 / S as f64;
        let sent = fleet.sent() as f64;
        assert!(sent <= 16.0 + 8.0 * passed, "{sent} in {passed} s");
    }
    assert!(fleet.sent() >= 45, "{} in 15 s at four a second", fleet.sent());
}

#[test]
fn requests_held_over_window_edges_do_not_come_on_top_of_the_next_windows() {
    let mut set = settings();
    set.classes[0].slo = 8 * S;
    let mut host = Host::new(set, 1);
    // Three windows go by while no server takes anything.
    host.list(ListKind::Delta, vec![ServerEntry { lifecycle: Lifecycle::Draining, ..entry(0) }]);
    for id in 0..60 {
        host.ask(id, 0, 1, 8 * S);
        host.wait(50 * MS);
    }
    let fleet = (0..30).map(|n| ServerEntry { started_at: 1, ..entry(n) }).collect();
    host.list(ListKind::Full, fleet);
    host.wait(20 * MS);
    let at_once = host.sends.len();
    // This gateway's half of the ceiling's burst of sixteen, and a request.
    assert!(at_once <= 9, "{at_once} at once");
}
