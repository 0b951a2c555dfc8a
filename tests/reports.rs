//! Decisions of one of many gateways that rest on load reports, on slow start, and on the choice among equal servers.

mod common;
use common::*;
use pondgw::*;

fn report(inflight: f64, qps: f64, util: f64) -> LoadReport {
    LoadReport { inflight: Some(inflight), util: Some(util), qps: Some(qps), ..LoadReport::default() }
}

fn many_gateways() -> Settings {
    Settings { gateways: 100, ..settings() }
}

/// Lets the server of a request's first attempt answer after 100 ms with a load report.
fn serve_with_report(host: &mut Host, id: RequestId, load: LoadReport) {
    host.advance(100 * MS);
    let server = host.servers_tried(id)[0];
    host.serve(SentAttempt { at: host.now, id, attempt: 0, server }, 100 * MS, load);
}

#[test]
fn a_server_that_reports_a_backlog_gets_nothing_until_it_has_worked_it_off() {
    let mut host = Host::new(many_gateways(), 1);
    host.request(1, IDEMPOTENT, UNLIMITED, 4 * S);
    serve_with_report(&mut host, 1, report(40.0, 8.0, 1.0));
    // 40 requests at 8 a second take 5 s.
    for id in 2..8 {
        host.request(id, IDEMPOTENT, UNLIMITED, 400 * MS);
        host.advance(500 * MS);
        assert!(
            host.servers_tried(id).is_empty() && host.was_refused(id),
            "request {id} was added to the backlog"
        );
    }
    host.advance(7 * S);
    host.request(9, IDEMPOTENT, UNLIMITED, 4 * S);
    assert_eq!(host.servers_tried(9).len(), 1, "the reported backlog decays");
    serve_with_report(&mut host, 9, report(1.0, 8.0, 0.7));
    host.request(10, IDEMPOTENT, UNLIMITED, 4 * S);
    assert_eq!(host.servers_tried(10).len(), 1, "a later report replaces it");
}

#[test]
fn invalid_and_extreme_load_reports_are_ignored() {
    let mut load = LoadReport::default();
    for (name, value) in
        [("busy_reqs", f64::NAN), ("cpu_share", -1.0), ("served_ps", f64::INFINITY), ("x", 1.0)]
    {
        load.set_metric(name, value);
    }
    assert_eq!(load, LoadReport::default());
    let mut host = Host::new(many_gateways(), 3);
    for id in 0..300 {
        host.request(id, IDEMPOTENT, UNLIMITED, 4 * S);
        let server = host.servers_tried(id)[0];
        let load = report([0.0, 0.5, 0.0][server], [0.0, 1e300, 1e-300][server], 1e300);
        serve_with_report(&mut host, id, load);
    }
    assert_eq!(host.sent_attempts.len(), 300, "requests are sent whatever the servers report");
}

/// Guards against an uneven first choice, by searching from a random index for the first server that can be used: the
/// server behind a run of unusable ones would get the requests of all of them.
#[test]
fn a_server_listed_after_a_run_of_draining_ones_gets_no_more_than_the_others() {
    let mut received = vec![0; 30];
    for seed in 0..180 {
        // New gateways that have no history, as after a release; ten consecutive servers drain.
        let mut host = Host::with_seed(many_gateways(), 30, seed * 7_919 + 1);
        host.deliver_list(ListKind::Delta, (10..20).map(draining_entry).collect());
        host.request(1, IDEMPOTENT, UNLIMITED, 4 * S);
        received[host.servers_tried(1)[0]] += 1;
    }
    // Nine each on average. The faulty search would send a third of all requests to server 20.
    assert!(received.iter().all(|n| *n <= 27), "{received:?}");
}

#[test]
fn cold_servers_get_the_share_that_slow_start_allows() {
    // Half of the servers are new. Over all gateways, each of these should get at least 0.42 of what a warm one gets.
    let (mut to_warm, mut to_cold) = (0, 0);
    for seed in 0..60 {
        let set = Settings { gateways: 60, server_rules: slow_start_rules(), ..settings() };
        let mut host = Host::with_seed(set, 20, seed * 131 + 7);
        host.responsive_servers = (0..20).collect();
        for id in 0..40 {
            host.request(id, IDEMPOTENT, UNLIMITED, 4 * S);
            host.advance(200 * MS);
        }
        let (started_at, before) = (host.now, host.sent_attempts.len());
        let restarted = (10..20).map(|n| ServerEntry { started_at, ..server_entry(n) }).collect();
        host.deliver_list(ListKind::Delta, restarted);
        for id in 100..130 {
            host.request(id, IDEMPOTENT, UNLIMITED, 4 * S);
            host.advance(200 * MS);
        }
        to_cold += host.sent_attempts[before..].iter().filter(|s| s.server >= 10).count();
        to_warm += host.sent_attempts[before..].iter().filter(|s| s.server < 10).count();
    }
    let share = to_cold as f64 / to_warm as f64;
    assert!(share > 0.4, "{to_cold} to ten cold servers, {to_warm} to ten warm ones");
    assert!(share < 1.0, "{to_cold} to ten cold servers, {to_warm} to ten warm ones");
}

#[test]
fn a_server_that_started_long_before_it_was_listed_is_warm() {
    // Ten servers replace those of the first list; returns how many of five requests are sent to them at once.
    let sent_to_servers_of_age = |age: Micros| {
        let mut host =
            Host::new(Settings { server_rules: slow_start_rules(), gateways: 1, ..settings() }, 10);
        let started_at = host.now - age;
        let entries = (10..20).map(|n| ServerEntry { started_at, ..server_entry(n) }).collect();
        host.deliver_list(ListKind::Full, entries);
        for id in 0..5 {
            host.request(id, IDEMPOTENT, UNLIMITED, 4 * S);
        }
        host.sent_attempts.len()
    };
    assert_eq!(sent_to_servers_of_age(18 * S), 5, "all servers are warm");
    assert!(sent_to_servers_of_age(S) < 5, "all servers are cold");
}

/// Delivers 60 requests that are answered with this latency, each with the report of a lightly loaded server, and then
/// 25 at once. Returns how many of the 25 are sent.
fn sent_at_once_after_answers_of(latency: Micros) -> usize {
    let mut host = Host::new(many_gateways(), 30);
    for id in 0..60 {
        host.request(id, IDEMPOTENT, UNLIMITED, 8 * S);
        host.advance(latency);
        let Some(&server) = host.servers_tried(id).first() else { continue };
        let sent = SentAttempt { at: host.now, id, attempt: 0, server };
        host.serve(sent, latency, report(3.0, 20.0, 0.7));
    }
    for id in 100..125 {
        host.request(id, IDEMPOTENT, UNLIMITED, 8 * S);
    }
    (100..125).filter(|id| !host.servers_tried(*id).is_empty()).count()
}

#[test]
fn slow_answers_of_all_servers_limit_total_concurrency_whatever_single_reports_say() {
    assert_eq!(sent_at_once_after_answers_of(100 * MS), 25, "after fast answers all are sent");
    let after_slow = sent_at_once_after_answers_of(800 * MS);
    assert!(after_slow <= 4, "{after_slow} of 25 are sent though answers take 0.8 of the objective");
}
