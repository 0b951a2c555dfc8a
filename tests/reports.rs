//! What servers report of their load, cold servers' shares, and ties, as one of many gateways decides on them.

mod common;
use common::*;
use pondgw::*;

fn report(held: f64, qps: f64, util: f64) -> LoadReport {
    LoadReport { inflight: Some(held), util: Some(util), qps: Some(qps), ..LoadReport::default() }
}

fn many() -> Settings {
    Settings { gateways: 100, ..settings() }
}

/// Answers a request after 100 ms with a report.
fn answer(host: &mut Host, id: RequestId, load: LoadReport) {
    host.wait(100 * MS);
    let (server, attempt, status, latency, closed) = (host.sent(id)[0], 0, Status::Ok, 100 * MS, true);
    host.give(Event::Outcome(Outcome { id, attempt, server, status, latency, request_done: closed, load }));
}

#[test]
fn a_server_that_reports_a_backlog_is_left_alone_while_it_works_it_off() {
    let mut host = Host::new(many(), 1);
    host.ask(1, 0, 3, 4 * S);
    answer(&mut host, 1, report(40.0, 8.0, 1.0));
    // Forty at eight a second are worked off in five seconds.
    for id in 2..8 {
        host.ask(id, 0, 3, 400 * MS);
        host.wait(500 * MS);
        assert!(host.sent(id).is_empty() && host.refused(id), "request {id} is not added to the backlog");
    }
    host.wait(7 * S);
    host.ask(9, 0, 3, 4 * S);
    assert_eq!(host.sent(9).len(), 1, "what it said fades");
    answer(&mut host, 9, report(1.0, 8.0, 0.7));
    host.ask(10, 0, 3, 4 * S);
    assert_eq!(host.sent(10).len(), 1, "a later report stands for it");
}

#[test]
fn odd_reports_are_taken_for_none() {
    let mut load = LoadReport::default();
    for (name, value) in
        [("busy_reqs", f64::NAN), ("cpu_share", -1.0), ("served_ps", f64::INFINITY), ("x", 1.0)]
    {
        load.set_metric(name, value);
    }
    assert_eq!(load, LoadReport::default());
    let mut host = Host::new(many(), 3);
    for id in 0..300 {
        host.ask(id, 0, 3, 4 * S);
        let server = host.sent(id)[0];
        answer(&mut host, id, report([0.0, 0.5, 0.0][server], [0.0, 1e300, 1e-300][server], 1e300));
    }
    assert_eq!(host.sends.len(), 300, "work flows on whatever they say");
}

#[test]
fn a_server_behind_a_row_of_absent_ones_gets_no_more_than_the_others() {
    let mut got = vec![0; 30];
    for seed in 0..180 {
        // Fresh gateways that know nothing of their own, as after a release; ten servers in a row drain.
        let mut host = Host::seeded(many(), 30, seed * 7_919 + 1);
        let entries = (10..20).map(|n| ServerEntry { lifecycle: Lifecycle::Draining, ..entry(n) }).collect();
        host.list(ListKind::Delta, entries);
        host.ask(1, 0, 3, 4 * S);
        got[host.sent(1)[0]] += 1;
    }
    // Nine each in the mean; a walk from a random place to the first that is free gives a third to number 20.
    assert!(got.iter().all(|n| *n <= 27), "{got:?}");
}

#[test]
fn cold_servers_get_the_share_that_their_budget_allows() {
    // Half of the fleet is new: over all gateways each cold server should get 0.42 of a warm one's part or more.
    let (mut warm, mut cold) = (0, 0);
    for seed in 0..60 {
        let mut host =
            Host::seeded(Settings { gateways: 60, server_rules: rules(), ..settings() }, 20, seed * 131 + 7);
        host.serve = (0..20).collect();
        for id in 0..40 {
            host.ask(id, 0, 3, 4 * S);
            host.wait(200 * MS);
        }
        let (start, sent) = (host.now, host.sends.len());
        host.list(ListKind::Delta, (10..20).map(|n| ServerEntry { started_at: start, ..entry(n) }).collect());
        for id in 100..130 {
            host.ask(id, 0, 3, 4 * S);
            host.wait(200 * MS);
        }
        cold += host.sends[sent..].iter().filter(|s| s.3 >= 10).count();
        warm += host.sends[sent..].iter().filter(|s| s.3 < 10).count();
    }
    let share = cold as f64 / warm as f64;
    assert!(share > 0.4, "{cold} to ten cold servers, {warm} to ten warm ones");
    assert!(share < 1.0, "{cold} to ten cold servers, {warm} to ten warm ones");
}

fn rules() -> ServerRules {
    ServerRules {
        slow_start_duration: 17 * S,
        initial_capacity: 0.28,
        overload_duration: 2 * S,
        overload_factor: 3.0,
        max_watch_interval: 0,
    }
}

#[test]
fn a_server_that_started_long_before_its_list_came_is_warm() {
    let news = |age: Micros| {
        let mut host = Host::new(Settings { server_rules: rules(), gateways: 1, ..settings() }, 10);
        let start = host.now;
        let entries = (10..20).map(|n| ServerEntry { started_at: start - age, ..entry(n) }).collect();
        host.list(ListKind::Full, entries);
        for id in 0..5 {
            host.ask(id, 0, 3, 4 * S);
        }
        host.sends.len()
    };
    assert_eq!(news(18 * S), 5, "all are warm by now");
    assert!(news(S) < 5, "they are cold");
}

/// Asks for many at once after answers that took so long, each with a report of a server at ease; how many go out.
fn out_after(latency: Micros) -> usize {
    let mut host = Host::new(many(), 30);
    for id in 0..60 {
        host.ask(id, 0, 3, 8 * S);
        host.wait(latency);
        let Some(&server) = host.sent(id).first() else { continue };
        let (attempt, status, closed, load) = (0, Status::Ok, true, report(3.0, 20.0, 0.7));
        host.give(Event::Outcome(Outcome {
            id,
            attempt,
            server,
            status,
            latency,
            request_done: closed,
            load,
        }));
    }
    for id in 100..125 {
        host.ask(id, 0, 3, 8 * S);
    }
    (100..125).filter(|id| !host.sent(*id).is_empty()).count()
}

#[test]
fn slow_answers_of_all_servers_bound_what_is_out_whatever_single_reports_say() {
    assert_eq!(out_after(100 * MS), 25, "fast answers: each finds a server");
    let slow = out_after(800 * MS);
    assert!(slow <= 4, "{slow} of 25 go out to servers that take eight tenths of the objective in the mean");
}
