//! Many gateways together: the sum of what they send, and the messages between them. Also the state of servers and
//! customers that must stay bounded or correct however long a gateway runs.

mod common;
use common::*;
use pondgw::*;

/// Gateways in the tests of lease owners.
const GATEWAYS: u32 = 40;

/// Settings of one of many gateways that may send each other messages.
fn peer_settings(gateway_index: u32, gateways: u32) -> Settings {
    let mut set = Settings { gateway_index, gateways, ..settings() };
    set.permissions.peer_messages = true;
    set
}

/// Delivers a request of a customer whose requests may arrive at any of the gateways.
fn request_of_spread_customer(host: &mut Host, id: RequestId) {
    host.request_from("choir", GATEWAYS, id, (IDEMPOTENT, RATE_LIMITED, 4 * S));
}

/// All messages that a gateway has sent, with the index of the gateway that each is for.
fn messages_sent(host: &Host) -> Vec<(u32, Vec<u8>)> {
    let message = |action: &Action| match action {
        Action::SendToPeer { peer, data } => Some((*peer, data.clone())),
        _ => None,
    };
    host.actions.iter().filter_map(message).collect()
}

/// Runs the gateways for this many steps of 10 ms, each after a call of `before_step`. Messages arrive one step later
/// if `deliver` is set, and are lost otherwise. Each host has a counter of its own.
fn run_fleet(hosts: &mut [Host], steps: u64, deliver: bool, mut before_step: impl FnMut(u64, &mut [Host])) {
    let mut seen = vec![0; hosts.len()];
    for step in 0..steps {
        before_step(step, hosts);
        let mut in_transit = Vec::new();
        for (from, host) in hosts.iter_mut().enumerate() {
            host.advance(10 * MS);
            let messages = messages_sent(host);
            in_transit.extend(messages[seen[from]..].iter().map(|m| (from as u32, m.clone())));
            seen[from] = messages.len();
        }
        for (from, (to, data)) in in_transit.into_iter().filter(|_| deliver) {
            hosts[to as usize].deliver(Event::PeerMessage { from, data });
        }
    }
}

fn fleet() -> Vec<Host> {
    let mut hosts: Vec<Host> =
        (0..GATEWAYS).map(|n| Host::with_seed(peer_settings(n, GATEWAYS), 4, 31 * u64::from(n))).collect();
    for host in &mut hosts {
        host.responsive_servers = (0..4).collect();
    }
    hosts
}

fn requests_sent(hosts: &[Host]) -> usize {
    hosts.iter().map(Host::requests_sent).sum()
}

#[test]
fn a_lease_owner_leases_for_all_gateways_and_keeps_their_sum_inside_the_quota() {
    let mut hosts = fleet();
    run_fleet(&mut hosts, 1_000, true, |step, hosts| {
        // Ten requests a second, over twice the quota, each to another gateway.
        if step % 10 == 0 {
            request_of_spread_customer(&mut hosts[(step / 10 * 7 % 40) as usize], step);
        }
    });
    let calls: usize = hosts.iter().map(|h| h.counter_calls.len()).sum();
    let callers = hosts.iter().filter(|h| !h.counter_calls.is_empty()).count();
    // A burst of eight, and four a second for ten seconds.
    assert!((35..=52).contains(&requests_sent(&hosts)), "{} sent", requests_sent(&hosts));
    assert_eq!(callers, 1, "only the lease owner calls the counter");
    assert!(calls <= 25, "{calls} calls for 100 requests");
}

#[test]
fn a_lease_owner_that_does_not_answer_is_bypassed() {
    let mut hosts = fleet();
    run_fleet(&mut hosts, 300, false, |step, hosts| {
        if step % 30 == 0 {
            request_of_spread_customer(&mut hosts[(step / 30 + 1) as usize], step);
        }
    });
    // Ten requests in three seconds are within the quota; no message arrives.
    assert!(requests_sent(&hosts) >= 9, "{} of 10", requests_sent(&hosts));
}

#[test]
fn after_one_lost_message_the_lease_owner_is_asked_again() {
    let mut host = Host::with_seed(peer_settings(0, GATEWAYS), 4, 5);
    let id = (0..40).find(|id| {
        request_of_spread_customer(&mut host, *id);
        !messages_sent(&host).is_empty()
    });
    let messages = messages_sent(&host).len();
    host.advance(200 * MS);
    assert!(messages_sent(&host).len() > messages, "not asked again after the first message was lost");
    assert!(id.is_some());
}

#[test]
fn invalid_messages_of_peers_are_ignored() {
    let mut host = Host::new(peer_settings(0, GATEWAYS), 4);
    // Byte 0 is the kind (0 asks for units, 1 grants them, 2 denies them), bytes 1 to 8 are the customer, 9 to 12 the
    // units as a float. In a message that asks, byte 13 is the plan.
    let mut unknown_plan = vec![0; 16];
    unknown_plan[9..13].copy_from_slice(&1.0f32.to_le_bytes());
    unknown_plan[13] = 200;
    let mut infinite_units = vec![1; 13];
    infinite_units[9..13].copy_from_slice(&f32::INFINITY.to_le_bytes());
    let mut negative_units = infinite_units.clone();
    negative_units[9..13].copy_from_slice(&(-4.0f32).to_le_bytes());
    let unknown_customer = vec![2; 13];
    for data in [
        vec![],
        vec![9; 16],
        vec![0; 7],
        vec![2; 300],
        unknown_plan,
        infinite_units,
        negative_units,
        unknown_customer,
    ] {
        for from in [0, 3, 4_000_000_000] {
            host.deliver(Event::PeerMessage { from, data: data.clone() });
        }
    }
    host.advance(S);
    assert!(host.actions.iter().all(|a| matches!(a, Action::Timer { .. })), "{:?}", host.actions);
    // Where gateways may not send messages, a valid one is ignored too.
    let mut without_peers = Host::new(settings(), 4);
    let mut ask = vec![0; 16];
    ask[9..13].copy_from_slice(&1.0f32.to_le_bytes());
    without_peers.deliver(Event::PeerMessage { from: 1, data: ask });
    without_peers.advance(S);
    assert!(without_peers.counter_calls.is_empty() && messages_sent(&without_peers).is_empty());
}

#[test]
fn hundreds_of_gateways_together_do_not_overload_a_cold_server() {
    let (gateways, servers) = (300, 20);
    let set = Settings { gateways, ..settings() };
    let mut hosts: Vec<Host> = (0..gateways)
        .map(|n| Host::with_seed(set.clone(), servers, u64::from(n).wrapping_mul(0x9e37_79b9_7f4a_7c15)))
        .collect();
    let (mut start, mut last_id) = (0, 0);
    for step in 0..600u64 {
        for (n, host) in hosts.iter_mut().enumerate() {
            host.responsive_servers = (0..servers).collect();
            // Two requests a second at each gateway: 600 a second for 20 servers.
            if (step + n as u64 * 17) % 25 == 0 {
                last_id += 1;
                host.request(last_id, IDEMPOTENT, UNLIMITED, 4 * S);
            }
            host.advance(20 * MS);
            if step == 300 {
                start = host.now;
                let restarted =
                    (0..6).map(|s| ServerEntry { started_at: start, ..server_entry(s) }).collect();
                host.deliver_list(ListKind::Delta, restarted);
            }
        }
    }
    for server in 0..6 {
        let in_first_second = |s: &&SentAttempt| s.server == server && s.at >= start && s.at < start + S;
        let sent: usize = hosts.iter().map(|h| h.sent_attempts.iter().filter(in_first_second).count()).sum();
        // A warm server gets 30 a second. A cold one has a quarter of that capacity, and is overloaded by twice its
        // capacity for a second.
        assert!(sent <= 15, "{sent} attempts to cold server {server} in its first second");
    }
    let later: usize = hosts
        .iter()
        .map(|h| h.sent_attempts.iter().filter(|s| s.server < 6 && s.at >= start + S).count())
        .sum();
    assert!(later >= 10, "only {later} attempts to cold servers after their first second");
}

/// Guards against ejecting servers for a stall of the gateway's own process: the answers were there, but not read.
#[test]
fn a_stall_of_the_gateway_is_not_taken_for_silence_of_servers() {
    let mut host = Host::new(Settings { gateways: 1, ..settings() }, 4);
    host.responsive_servers = (0..4).collect();
    for id in 0..100 {
        host.request(id, IDEMPOTENT, UNLIMITED, 4 * S);
        host.advance(20 * MS);
    }
    // Attempts are sent, then the gateway does not run for two seconds.
    host.responsive_servers.clear();
    for id in 100..108 {
        host.request(id, IDEMPOTENT, UNLIMITED, 6 * S);
    }
    let in_progress: Vec<_> = host.sent_attempts[100..].to_vec();
    host.now += 2 * S;
    host.timers.retain(|t| *t > host.now);
    host.deliver(Event::Timer { token: 0 });
    for &SentAttempt { id, attempt, server, .. } in &in_progress {
        host.end_attempt(id, attempt, server, Status::Ok);
    }
    host.advance(50 * MS);
    let second_attempts = host.sent_attempts.iter().filter(|s| s.attempt > 0).count();
    assert_eq!(second_attempts, 0, "requests were sent to a second server");
}

#[test]
fn declined_requests_do_not_lower_the_concurrency_limit_of_a_server() {
    let mut host = Host::new(Settings { gateways: 1, ..settings() }, 1);
    for id in 0..50 {
        host.request(id, IDEMPOTENT, UNLIMITED, 4 * S);
        if !host.servers_tried(id).is_empty() {
            host.end_attempt(id, 0, 0, Status::Declined);
        }
    }
    // A server may decline one class or plan and have room for others.
    for id in 100..108 {
        host.request(id, KEYED, UNLIMITED, 4 * S);
    }
    let sent = (100..108).filter(|id| !host.servers_tried(*id).is_empty()).count();
    assert_eq!(sent, 8, "the initial limit of eight still applies");
}

/// Guards against overload by many gateways that each hear too little of any single server to limit it.
#[test]
fn slow_answers_limit_the_total_concurrency_of_one_of_many_gateways() {
    let mut host = Host::new(Settings { gateways: 300, ..settings() }, 100);
    let (mut in_progress, mut seen, mut most) = (Vec::new(), 0, 0);
    for id in 0..3_000u64 {
        host.request(id, IDEMPOTENT, UNLIMITED, 4 * S);
        host.advance(10 * MS);
        in_progress.extend_from_slice(&host.sent_attempts[seen..]);
        seen = host.sent_attempts.len();
        most = if id >= 1_000 { most.max(in_progress.len()) } else { 0 };
        // Every answer takes 0.9 of the objective, each from a different server than the last.
        while in_progress.first().is_some_and(|sent: &SentAttempt| sent.at + 900 * MS <= host.now) {
            host.serve(in_progress.remove(0), 900 * MS, LoadReport::default());
        }
    }
    assert!(most <= 3, "{most} in progress at one of 300 gateways; its share of the initial limits is 2.7");
}

#[test]
fn idle_customers_cause_no_calls_and_no_extra_timers() {
    let mut host = Host::new(Settings { gateways: 1, ..settings() }, 4);
    host.responsive_servers = (0..4).collect();
    for id in 0..5_000 {
        host.request_from(&format!("club{id}"), 2, id, (IDEMPOTENT, RATE_LIMITED, S));
        host.advance(2 * MS);
    }
    host.advance(5 * S);
    let (actions, calls) = (host.actions.len(), host.counter_calls.len());
    host.advance(S);
    assert_eq!(host.counter_calls.len(), calls, "idle customers make no calls");
    let actions = host.actions.len() - actions;
    assert!(actions <= 101, "{actions} actions in an idle second, which needs 100 timers for sweeps");
    host.advance(120 * S);
    assert!(host.timers.is_empty(), "customers are still remembered");
}

#[test]
fn the_ceiling_holds_over_all_gateways_under_counter_faults_and_restarts() {
    for seed in [3u64, 58, 901] {
        let new_host = |n: u64| {
            let mut host = Host::with_seed(Settings { gateways: 300, ..settings() }, 4, seed * 97 + n);
            host.responsive_servers = (0..4).collect();
            host
        };
        let mut hosts: Vec<Host> = (0..8).map(new_host).collect();
        let (start, mut sent_before_restarts) = (hosts[0].now, 0);
        for step in 0..1_500u64 {
            for (n, host) in hosts.iter_mut().enumerate() {
                let mode = (step / 90 + seed + n as u64) % 3;
                host.counter_mode =
                    [CounterMode::Answers, CounterMode::TimesOut, CounterMode::Unreachable][mode as usize];
                if step % 200 == 0 {
                    host.counter_totals.clear();
                }
                host.request_from("choir", 8, step, (IDEMPOTENT, WITH_CEILING, S));
                host.advance(10 * MS);
            }
            if step % 170 == 169 {
                // One gateway restarts.
                let n = (step * 7 + seed) as usize % 8;
                sent_before_restarts += requests_sent(&hosts[n..=n]);
                let now = hosts[n].now;
                let mut host = new_host(step);
                host.now = now;
                host.timers.clear();
                host.gateway = Gateway::new(Settings { gateways: 300, ..settings() }, step, now);
                host.sent_attempts.clear();
                host.deliver_list(ListKind::Cached, (0..4).map(server_entry).collect());
                hosts[n] = host;
            }
            let seconds = (hosts[0].now - start) as f64 / S as f64;
            let sent = (sent_before_restarts + requests_sent(&hosts)) as f64;
            assert!(sent <= 16.0 + 8.0 * seconds, "{sent} in {seconds} s with seed {seed}");
        }
        let sent = sent_before_restarts + requests_sent(&hosts);
        assert!(sent >= 40, "{sent} sent in 15 s");
    }
}

#[test]
fn every_request_ends_with_unusual_settings_and_jumps_of_the_clock() {
    for (gateways, gateway_index) in [(0, 0), (1, 0), (1, 7), (1_000, 999)] {
        for servers in [0, 1, 4] {
            let mut host = Host::new(peer_settings(gateway_index, gateways), servers);
            host.responsive_servers = (0..servers).collect();
            for id in 0..40u64 {
                // Customers with no gateway, with more than there are, and with a first gateway that does not exist.
                host.deliver(Event::Request(ClientRequest {
                    id,
                    class: (id % 3) as usize,
                    plan: (id % 4) as usize,
                    customer: format!("club{}", id % 5),
                    time_left: S,
                    units: 1.0,
                    gateways: [0, 1, 3, 70_000][id as usize % 4],
                    first_gateway: id as u32 * 1_000,
                }));
                if id == 20 {
                    host.now += 3_600 * S;
                }
                host.advance(20 * MS);
            }
            host.advance(5 * S);
            let ended = host.final_answers.len() + host.requests_sent();
            assert!(ended >= 40, "{ended} of 40 with {gateways} gateways and {servers} servers");
        }
    }
}

#[test]
fn without_lease_owners_and_counter_customers_get_the_even_share_as_credit() {
    let mut hosts = fleet();
    for host in &mut hosts {
        host.counter_mode = CounterMode::TimesOut;
    }
    run_fleet(&mut hosts, 1_000, false, |step, hosts| {
        if step % 5 == 0 {
            request_of_spread_customer(&mut hosts[(step / 5 * 7 % 40) as usize], step);
        }
    });
    // At least one request at each of 40 gateways, and four a second over all of them for ten seconds.
    assert!((30..=80).contains(&requests_sent(&hosts)), "{} of 200", requests_sent(&hosts));
}

/// Guards against state that grows with every new server, and against a new server that inherits the state of a removed
/// one with the same id: a removed server is forgotten once it has no attempts in progress.
#[test]
fn a_reused_server_id_is_a_new_server() {
    let mut host = Host::new(settings(), 2);
    host.request(1, IDEMPOTENT, UNLIMITED, 4 * S);
    host.advance(5 * MS);
    let server = host.servers_tried(1)[0];
    host.deliver_list(ListKind::Delta, vec![removed_entry(server)]);
    // The outcome of its attempt still counts: the request goes on.
    host.end_attempt(1, 0, server, Status::ConnectFailed);
    assert_eq!(host.servers_tried(1).len(), 2, "the other server is tried");
    for n in 0..50 {
        host.deliver_list(ListKind::Delta, vec![server_entry(server)]);
        host.deliver_list(ListKind::Delta, vec![removed_entry(server)]);
        host.request(100 + n, IDEMPOTENT, UNLIMITED, 4 * S);
        host.advance(5 * MS);
        assert!(host.servers_tried(100 + n).iter().all(|s| *s != server), "sent to a removed server");
    }
}

/// Guards against a feedback loop: servers that had been ejected because single connections were silent went through
/// slow start, took almost nothing, and in the end nearly all requests were refused. Only a server that refused
/// connections may have restarted.
#[test]
fn after_half_open_only_a_server_that_refused_connections_is_cold() {
    for (refused_connections, least, most) in [(false, 2, 8), (true, 0, 1)] {
        let mut host = Host::new(settings(), 2);
        // The attempt of this request is never answered, which ejects its server.
        host.request(1, IDEMPOTENT, UNLIMITED, 60 * S);
        host.advance(5 * MS);
        let silent = host.servers_tried(1)[0];
        // Connections are refused three times in a row; attempts at the other server are answered afterwards.
        let (mut requested, mut refused) = (Vec::new(), 0);
        for id in (2..10).take_while(|_| refused_connections) {
            if refused == 3 {
                break;
            }
            host.request(id, IDEMPOTENT, UNLIMITED, 4 * S);
            if host.servers_tried(id) == [silent] {
                host.end_attempt(id, 0, silent, Status::ConnectFailed);
                refused += 1;
            }
            requested.push(id);
        }
        for id in requested {
            let SentAttempt { attempt, server, .. } = host.latest_attempt(id).expect("an attempt");
            // A request whose connection was refused and that found no other server has ended already.
            if server != silent {
                host.end_attempt(id, attempt, server, Status::Ok);
            }
        }
        let half_open = (10..600).find(|&id| {
            host.request(id, IDEMPOTENT, UNLIMITED, 4 * S);
            let server = host.servers_tried(id)[0];
            host.end_attempt(id, 0, server, Status::Ok);
            host.advance(20 * MS);
            server == silent
        });
        assert!(half_open.is_some(), "the ejected server is tried again");
        host.end_attempt(1, 0, silent, Status::Timeout);
        for id in 1_000..1_008 {
            host.request(id, IDEMPOTENT, UNLIMITED, 4 * S);
        }
        let sent = (1_000..1_008).filter(|id| host.servers_tried(*id) == [silent]).count();
        assert!((least..=most).contains(&sent), "{sent} of 8; refused connections: {refused_connections}");
    }
}

/// Guards against ejecting a healthy server, and then treating it as cold, because of one stale connection.
#[test]
fn one_reset_does_not_eject_a_server() {
    let mut host = Host::new(settings(), 1);
    for id in 0..20 {
        host.request(id, IDEMPOTENT, UNLIMITED, 4 * S);
        host.advance(5 * MS);
        assert_eq!(host.servers_tried(id), [0], "request {id}");
        host.end_attempt(id, 0, 0, if id % 2 == 0 { Status::Reset } else { Status::Ok });
    }
}
