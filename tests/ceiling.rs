//! The ceiling where all gateways share one counter: leased units are not limited to this gateway's even share of the
//! ceiling, and the gateways together still stay under it.

mod common;
use common::*;
use pondgw::*;
use std::collections::BTreeMap;

/// Gateways that share one counter: its totals are swapped into a host while that host runs.
struct Fleet {
    hosts: Vec<Host>,
    counter_totals: BTreeMap<u64, f64>,
    last_id: RequestId,
}

impl Fleet {
    fn new(size: u32) -> Self {
        let new_host = |me: u32| {
            let set = Settings { gateways: size, gateway_index: me, ..settings() };
            let mut host = Host::with_seed(set, 4, u64::from(me) * 97 + 3);
            host.responsive_servers = (0..4).collect();
            host
        };
        Fleet { hosts: (0..size).map(new_host).collect(), counter_totals: BTreeMap::new(), last_id: 0 }
    }

    /// Delivers a request of a customer that may use all gateways to one of them.
    fn request(&mut self, gateway: usize, customer: &str) {
        self.last_id += 1;
        let (id, spread) = (self.last_id, self.hosts.len() as u32);
        self.with_counter(gateway, |host| {
            host.request_from(customer, spread, id, (IDEMPOTENT, WITH_CEILING, S))
        });
    }

    fn with_counter(&mut self, gateway: usize, run: impl FnOnce(&mut Host)) {
        std::mem::swap(&mut self.hosts[gateway].counter_totals, &mut self.counter_totals);
        run(&mut self.hosts[gateway]);
        std::mem::swap(&mut self.hosts[gateway].counter_totals, &mut self.counter_totals);
    }

    fn advance(&mut self, time: Micros) {
        for gateway in 0..self.hosts.len() {
            self.with_counter(gateway, |host| host.advance(time));
        }
    }

    fn requests_sent(&self) -> usize {
        self.hosts.iter().map(Host::requests_sent).sum()
    }
}

#[test]
fn a_customer_that_uses_one_of_its_gateways_gets_its_whole_quota() {
    let mut fleet = Fleet::new(8);
    // Another customer sends to all gateways in turn: the totals of its counts show that the counter is shared.
    for second in 0..20 {
        for gateway in [1 + second % 7, 0] {
            fleet.request(gateway, "band");
            fleet.advance(20 * MS);
        }
        for _ in 0..4 {
            fleet.request(0, "choir");
            fleet.advance(240 * MS);
        }
    }
    let sent = fleet.hosts[0].sent_attempts.len();
    // The customer's quota of four a second for 20 s, and 20 requests of the other customer. An even share of the
    // ceiling would be one a second.
    assert!(sent >= 90, "{sent} of 100 requests were sent by the busy gateway");
}

#[test]
fn with_a_shared_counter_all_gateways_together_stay_under_the_ceiling() {
    let mut fleet = Fleet::new(8);
    let start = fleet.hosts[0].now;
    for step in 0..1_500u64 {
        for gateway in 0..8 {
            fleet.request(gateway, "choir");
        }
        fleet.advance(10 * MS);
        if step == 700 {
            // The counter loses its state.
            fleet.counter_totals.clear();
        }
        let seconds = (fleet.hosts[0].now - start) as f64 / S as f64;
        let sent = fleet.requests_sent() as f64;
        assert!(sent <= 16.0 + 8.0 * seconds, "{sent} sent in {seconds} s");
    }
    assert!(fleet.requests_sent() >= 45, "{} in 15 s at four a second", fleet.requests_sent());
}

/// Guards against bursts above the ceiling: requests that were admitted in earlier windows and found no server must
/// not be sent in addition to what the current window allows.
#[test]
fn admitted_requests_that_wait_for_a_server_count_against_the_window_they_are_sent_in() {
    let mut set = settings();
    set.classes[IDEMPOTENT].slo = 8 * S;
    let mut host = Host::new(set, 1);
    // No server takes requests for three windows.
    host.deliver_list(ListKind::Delta, vec![draining_entry(0)]);
    for id in 0..60 {
        host.request(id, IDEMPOTENT, WITH_CEILING, 8 * S);
        host.advance(50 * MS);
    }
    let servers = (0..30).map(|n| ServerEntry { started_at: 1, ..server_entry(n) }).collect();
    host.deliver_list(ListKind::Full, servers);
    host.advance(20 * MS);
    let sent = host.sent_attempts.len();
    // This gateway's half of the ceiling's burst of 16, and one request.
    assert!(sent <= 9, "{sent} sent at once");
}
