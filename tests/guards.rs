//! The five rules and the guards of servers and attempts, by scripts.

mod common;
use common::*;
use pondgw::*;

/// A request of a plan without quota is sent at once.
fn send_first_attempt(host: &mut Host, id: RequestId, class: usize) -> ServerId {
    host.request(id, class, 3, 4 * S);
    host.servers_tried(id)[0]
}

#[test]
fn every_request_is_answered_before_its_deadline_with_attempts_out() {
    let mut host = Host::new(settings(), 3);
    for class in 0..4 {
        send_first_attempt(&mut host, class as u64, class);
    }
    host.advance(4 * S);
    for id in 0..4 {
        assert!(host.was_failed(id), "request {id} may have run, so it fails");
        assert_eq!(host.final_answers.iter().filter(|a| a.0 == id).count(), 1);
    }
}

#[test]
fn unsafe_work_that_may_have_run_is_neither_repeated_nor_refused() {
    for status in [Status::Error, Status::Timeout, Status::Reset, Status::Cancelled] {
        let mut host = Host::new(settings(), 3);
        let server = send_first_attempt(&mut host, 1, 2);
        host.end_attempt(1, 0, server, status);
        assert_eq!(host.servers_tried(1).len(), 1, "{status:?}");
        assert!(host.was_failed(1), "{status:?}");
    }
}

#[test]
fn unsafe_work_that_never_ran_goes_elsewhere() {
    for status in [Status::Declined, Status::ConnectFailed] {
        let mut host = Host::new(settings(), 3);
        let server = send_first_attempt(&mut host, 1, 2);
        host.end_attempt(1, 0, server, status);
        assert_eq!(host.servers_tried(1).len(), 2, "{status:?}");
        assert_ne!(host.servers_tried(1)[1], server);
    }
}

#[test]
fn keyed_work_is_repeated_inside_its_zone_only() {
    let mut host = Host::new(settings(), 6);
    let server = send_first_attempt(&mut host, 1, 3);
    host.end_attempt(1, 0, server, Status::Error);
    let second = host.servers_tried(1)[1];
    assert_eq!(server % 2, second % 2);
}

#[test]
fn keyed_work_is_not_repeated_after_its_window() {
    let mut host = Host::new(settings(), 3);
    host.request(1, KEYED, UNLIMITED, 10 * S);
    let server = host.servers_tried(1)[0];
    host.advance(4 * S);
    host.end_attempt(1, 0, server, Status::Error);
    assert_eq!(host.servers_tried(1).len(), 1);
    assert!(host.was_failed(1));
}

#[test]
fn attempts_end_at_the_most_allowed() {
    let mut host = Host::new(settings(), 8);
    host.request(1, IDEMPOTENT, UNLIMITED, 4 * S);
    for attempt in 0..3 {
        let server = host.servers_tried(1)[attempt as usize];
        host.end_attempt(1, attempt, server, Status::Declined);
    }
    assert_eq!(host.servers_tried(1).len(), 3);
    assert!(host.was_refused(1), "none of them ran");
}

#[test]
fn where_copies_are_not_allowed_an_attempt_is_withdrawn_first() {
    let mut set = settings();
    set.permissions.parallel_attempts = false;
    let mut host = Host::new(set, 4);
    let hung = send_first_attempt(&mut host, 1, 0);
    // The others answer, the first stays silent.
    for id in 2..60 {
        host.request(id, IDEMPOTENT, UNLIMITED, 4 * S);
        host.advance(30 * MS);
        if host.servers_tried(id).first().is_some_and(|s| *s != hung) {
            host.end_attempt(id, 0, host.servers_tried(id)[0], Status::Ok);
        }
        if host.actions.contains(&Action::Cancel { id: 1, attempt: 0 }) {
            break;
        }
    }
    assert!(host.actions.contains(&Action::Cancel { id: 1, attempt: 0 }), "silence was noticed");
    assert_eq!(host.servers_tried(1).len(), 1, "no second attempt while the first is out");
    host.end_attempt(1, 0, hung, Status::Cancelled);
    assert_eq!(host.servers_tried(1).len(), 2);
}

#[test]
fn a_hung_server_gets_little_after_it_falls_silent() {
    let mut host = Host::new(settings(), 4);
    host.responsive_servers = vec![1, 2, 3];
    let mut late = 0;
    for id in 0..400 {
        host.request(id, IDEMPOTENT, UNLIMITED, 4 * S);
        host.advance(20 * MS);
        late += usize::from(id >= 200 && host.servers_tried(id).first() == Some(&0));
    }
    assert!(late <= 8, "{late} of 200 went to the silent server first");
}

#[test]
fn all_servers_silent_at_once_is_no_outlier() {
    let mut host = Host::new(settings(), 3);
    for id in 0..3 {
        send_first_attempt(&mut host, id, 0);
    }
    host.advance(3 * S);
    host.request(9, IDEMPOTENT, UNLIMITED, 4 * S);
    assert_eq!(host.servers_tried(9).len(), 1, "work still flows");
}

#[test]
fn nothing_goes_to_a_server_that_drains_or_is_gone() {
    let mut host = Host::new(settings(), 3);
    let draining = draining_entry(0);
    host.deliver_list(ListKind::Delta, vec![draining]);
    host.deliver_list(ListKind::Full, vec![server_entry(2)]);
    for id in 0..8 {
        host.request(id, IDEMPOTENT, UNLIMITED, 4 * S);
    }
    assert!(!host.sent_attempts.is_empty());
    assert!(host.sent_attempts.iter().all(|s| s.server == 2));
}

#[test]
fn an_empty_list_holds_requests_and_answers_them() {
    let mut host = Host::new(settings(), 0);
    host.request(1, IDEMPOTENT, UNLIMITED, 2 * S);
    host.advance(2 * S);
    assert!(host.was_refused(1));
    host.request(2, IDEMPOTENT, UNLIMITED, 0);
    host.advance(20 * MS);
    assert_eq!(host.final_answers.iter().filter(|a| a.0 == 2).count(), 1, "no time at all is answered too");
}

#[test]
fn a_restarted_server_is_fed_within_its_fall_budget() {
    let mut host = Host::new(settings(), 2);
    host.responsive_servers = vec![0, 1];
    for id in 0..300 {
        host.request(id, IDEMPOTENT, UNLIMITED, 4 * S);
        host.advance(20 * MS);
        if id == 150 {
            host.deliver_list(ListKind::Delta, vec![ServerEntry { started_at: host.now, ..server_entry(1) }]);
        }
    }
    let start = host.now - 149 * 20 * MS;
    // Fifty a second over two servers: a warm one gets 25. Twice a quarter of that, over one second.
    let first =
        host.sent_attempts.iter().filter(|s| s.server == 1 && s.at >= start && s.at < start + S).count();
    assert!(first <= 12, "{first} in the first second");
    let gets = host.sent_attempts.iter().filter(|s| s.server == 1 && s.at >= start).count();
    assert!(gets >= 1, "it is tried at all");
}

/// Guards against a refusal that does not say when to come back, where the settings allow that: nothing else keeps its
/// client from asking again at once.
#[test]
fn every_refusal_says_when_to_come_back_where_that_is_allowed() {
    for allowed in [true, false] {
        let mut set = settings();
        set.permissions.send_retry_after = allowed;
        let mut host = Host::new(set, 1);
        // One meets a server that turns it away, one finds no server, one has no time, the rest exceed the quota.
        host.request(1, IDEMPOTENT, UNLIMITED, 4 * S);
        host.advance(5 * MS);
        host.end_attempt(1, 0, 0, Status::Declined);
        host.deliver_list(ListKind::Delta, vec![draining_entry(0)]);
        host.request(2, IDEMPOTENT, UNLIMITED, 4 * S);
        host.request(3, IDEMPOTENT, UNLIMITED, 0);
        for id in 4..40 {
            host.request(id, IDEMPOTENT, RATE_LIMITED, 4 * S);
        }
        host.advance(5 * S);
        let mut refusals = 0;
        for (id, answer) in &host.final_answers {
            if let Action::Refuse { retry_after, .. } = answer {
                refusals += 1;
                assert_eq!(*retry_after > 0, allowed, "request {id}: {answer:?}");
                assert!(*retry_after <= host_most(), "request {id}: {answer:?}");
            }
        }
        assert_eq!(refusals, 39, "{:?}", host.final_answers);
    }
}

fn host_most() -> Micros {
    settings().permissions.max_retry_after
}

/// Guards against a cold server that looks old: clocks may be stepped back, so that its start seems to lie in the past,
/// by seconds or by an hour, and before its earlier start; or in the future.
#[test]
fn a_server_that_has_just_started_is_cold_whatever_its_clock_says() {
    for restarted in [true, false] {
        for (back, ahead) in [(0, 0), (5 * S, 0), (3_600 * S, 0), (0, 3_600 * S)] {
            let mut host = Host::new(settings(), 2);
            host.now += 10_000 * S;
            host.responsive_servers = (0..3).collect();
            let (mut start, server) = (0, if restarted { 1 } else { 2 });
            if restarted {
                host.deliver_list(
                    ListKind::Delta,
                    vec![ServerEntry { started_at: host.now - 50 * S, ..server_entry(1) }],
                );
            }
            for id in 0..300 {
                host.request(id, IDEMPOTENT, UNLIMITED, 4 * S);
                host.advance(20 * MS);
                if id % 50 == 0 {
                    // Discovery answers in time, with nothing new.
                    host.deliver_list(ListKind::Delta, Vec::new());
                }
                if id == 160 {
                    start = host.now;
                    let started = start + ahead - back;
                    host.deliver_list(
                        ListKind::Delta,
                        vec![ServerEntry { started_at: started, ..server_entry(server) }],
                    );
                }
            }
            // Fifty a second: a warm one gets a half or a third. Twice a quarter of that, over one second.
            let first = host
                .sent_attempts
                .iter()
                .filter(|s| s.server == server && s.at >= start && s.at < start + S)
                .count();
            assert!(first <= 12, "restarted {restarted}, {back} us back, {ahead} ahead: {first} at first");
            assert!(first >= 1, "restarted {restarted}, {back} us back, {ahead} ahead: it is tried at all");
        }
    }
}

#[test]
fn the_ceiling_holds_over_gateways_that_restart_and_a_counter_that_forgets() {
    let mut sent = 0;
    let mut gateways: Vec<Host> = (0..2).map(|_| Host::new(settings(), 4)).collect();
    let start = gateways[0].now;
    for id in 0..1_000 {
        for host in &mut gateways {
            host.request(id, IDEMPOTENT, WITH_CEILING, S);
            host.advance(10 * MS);
            host.counter_totals.clear();
        }
        if id == 500 {
            sent += gateways[0].sent_attempts.len();
            let now = gateways[0].now;
            let mut fresh = Host::new(settings(), 0);
            fresh.now = now;
            fresh.gateway = Gateway::new(settings(), 5, now);
            fresh.deliver_list(ListKind::Cached, (0..4).map(server_entry).collect());
            gateways[0] = fresh;
        }
    }
    sent += gateways.iter().map(|h| h.sent_attempts.iter().filter(|s| s.attempt == 0).count()).sum::<usize>();
    let passed = (gateways[1].now - start) as f64 / S as f64;
    assert!(sent as f64 <= 16.0 + 8.0 * passed, "{sent} in {passed} s");
    assert!(sent > 20);
}

#[test]
fn a_quota_on_requests_open_at_once_is_split_over_the_gateways() {
    let mut host = Host::new(settings(), 4);
    for id in 0..3 {
        host.request(id, IDEMPOTENT, CONCURRENCY_LIMITED, 4 * S);
    }
    assert_eq!(host.sent_attempts.len(), 1);
    host.end_attempt(0, 0, host.servers_tried(0)[0], Status::Ok);
    host.request(9, IDEMPOTENT, CONCURRENCY_LIMITED, 4 * S);
    assert_eq!(host.servers_tried(9).len(), 1);
}

#[test]
fn a_request_larger_than_its_quota_is_refused() {
    let mut host = Host::new(settings(), 2);
    let customer = "large".to_owned();
    let left = 2 * S;
    host.deliver(Event::Request(ClientRequest {
        id: 1,
        class: 0,
        plan: 0,
        customer,
        time_left: left,
        units: 900.0,
        gateways: 2,
        first_gateway: 0,
    }));
    host.advance(2 * S);
    assert!(host.was_refused(1));
    assert!(host.sent_attempts.is_empty());
}

#[test]
fn unknown_and_repeated_events_are_passed_over() {
    let mut host = Host::new(settings(), 2);
    host.deliver(Event::ClientGone { id: 77 });
    host.deliver(Event::StreamStarted { id: 77, attempt: 0 });
    host.deliver(Event::Counted { name: 5, status: Status::Ok, total: 1.0, latency: 1 });
    host.end_attempt(77, 3, 99, Status::Ok);
    let server = send_first_attempt(&mut host, 1, 2);
    host.end_attempt(1, 0, server, Status::Error);
    host.end_attempt(1, 0, server, Status::Error);
    host.end_attempt(1, 5, server, Status::Ok);
    host.advance(5 * S);
    assert_eq!(host.final_answers.len(), 1);
}

#[test]
fn a_started_stream_has_no_deadline() {
    let mut host = Host::new(settings(), 2);
    send_first_attempt(&mut host, 1, 0);
    host.deliver(Event::StreamStarted { id: 1, attempt: 0 });
    host.advance(10 * S);
    assert!(host.final_answers.is_empty());
    assert!(!host.actions.contains(&Action::Cancel { id: 1, attempt: 0 }));
}

#[test]
fn a_trial_that_ends_without_an_answer_does_not_lock_the_server_out() {
    let mut host = Host::new(settings(), 1);
    let server = send_first_attempt(&mut host, 1, 0);
    host.end_attempt(1, 0, server, Status::Reset);
    host.advance(S + 100 * MS);
    host.request(2, IDEMPOTENT, UNLIMITED, 4 * S);
    assert_eq!(host.servers_tried(2), vec![0], "one request tries it out");
    host.deliver(Event::ClientGone { id: 2 });
    host.end_attempt(2, 0, 0, Status::Cancelled);
    host.advance(3 * S);
    host.request(3, IDEMPOTENT, UNLIMITED, 4 * S);
    assert_eq!(host.servers_tried(3), vec![0], "and another one later");
}

#[test]
fn many_gateways_share_a_small_fleet_without_a_jam() {
    let mut host = Host::new(Settings { gateways: 24, ..settings() }, 10);
    for id in 0..500 {
        host.request(id, IDEMPOTENT, UNLIMITED, 4 * S);
    }
    assert!(host.sent_attempts.len() <= 12, "{} out from one of 24 gateways", host.sent_attempts.len());
}

#[test]
fn a_fleet_that_is_slow_at_any_load_is_not_starved_and_not_driven_harder() {
    let mut host = Host::new(settings(), 4);
    let mut out: Vec<SentAttempt> = Vec::new();
    let (mut seen, mut most, mut answered) = (0, 0, 0);
    for id in 0..2_000 {
        host.request(id, IDEMPOTENT, UNLIMITED, 4 * S);
        host.advance(10 * MS);
        out.extend_from_slice(&host.sent_attempts[seen..]);
        seen = host.sent_attempts.len();
        most = most.max(out.len());
        // Every answer takes 0.6 of the objective, whatever is out.
        while out.first().is_some_and(|sent| sent.at + 600 * MS <= host.now) {
            host.serve(out.remove(0), 600 * MS, LoadReport::default());
            answered += 1;
        }
    }
    assert!(most <= 20, "{most} out at four servers from one of two gateways");
    assert!(answered >= 150, "{answered} answered in 20 s: two a server stay allowed");
}

#[test]
fn bounds_do_not_grow_before_fast_answers_were_seen() {
    let mut host = Host::new(Settings { gateways: 24, ..settings() }, 10);
    let (mut out, mut seen, mut most) = (Vec::new(), 0, 0);
    for id in 0..400 {
        host.request(id, IDEMPOTENT, UNLIMITED, 4 * S);
        host.advance(10 * MS);
        out.extend_from_slice(&host.sent_attempts[seen..]);
        seen = host.sent_attempts.len();
        most = most.max(out.len());
        while out.first().is_some_and(|sent: &SentAttempt| sent.at + 800 * MS <= host.now) {
            host.serve(out.remove(0), 800 * MS, LoadReport::default());
        }
    }
    assert!(most <= 4, "{most} out from one of 24 gateways, whose share of the first bound is 3.3");
}

#[test]
fn work_that_grows_old_lowers_the_bounds_before_any_answer() {
    let mut host = Host::new(Settings { gateways: 1, ..settings() }, 4);
    for id in 0..32 {
        host.request(id, IDEMPOTENT, UNLIMITED, 4 * S);
    }
    assert_eq!(host.sent_attempts.len(), 32, "the first bound of eight at each of four servers");
    // No answer for a second, then all at once: less room is left for what comes next.
    host.advance(S);
    for &SentAttempt { id, attempt, server, .. } in &host.sent_attempts.clone() {
        host.end_attempt(id, attempt, server, Status::Ok);
    }
    let before = host.sent_attempts.len();
    for id in 100..140 {
        host.request(id, KEYED, UNLIMITED, 4 * S);
    }
    let out = host.sent_attempts.len() - before;
    assert!(out <= 30, "{out} sent after a second of silence");
}

#[test]
fn a_half_open_test_that_was_never_made_does_not_bar_its_server_for_good() {
    let mut host = Host::new(Settings { gateways: 1, ..settings() }, 1);
    // Three failures eject the only server; a second later one request tries it out.
    for id in 0..3 {
        host.request(id, NON_IDEMPOTENT, UNLIMITED, 4 * S);
        host.end_attempt(id, 0, 0, Status::Error);
    }
    host.advance(1_100 * MS);
    host.request(10, IDEMPOTENT, UNLIMITED, 4 * S);
    assert_eq!(host.servers_tried(10), [0], "it is tried out");
    host.end_attempt(10, 0, 0, Status::NotSent);
    host.advance(9 * S);
    host.request(11, IDEMPOTENT, UNLIMITED, 4 * S);
    assert_eq!(host.servers_tried(11), [0], "nothing was learnt, so it is tried out again");
}

#[test]
fn a_keyed_request_keeps_to_its_group_though_its_first_server_is_gone() {
    for seed in 0..8 {
        let mut host = Host::with_seed(settings(), 2, seed);
        host.request(1, KEYED_PER_ZONE, UNLIMITED, 4 * S);
        let first = host.servers_tried(1)[0];
        host.deliver_list(ListKind::Delta, vec![removed_entry(first)]);
        host.end_attempt(1, 0, first, Status::Reset);
        host.advance(S);
        assert_eq!(
            host.servers_tried(1),
            [first],
            "the other server stands in another zone and does not know the key"
        );
        assert!(host.was_failed(1), "it may have run");
    }
}

#[test]
fn a_keyed_request_goes_out_again_only_if_its_connection_surely_is_up_before_the_key_is_forgotten() {
    // A key is known for 4 s, a connection takes 1 s at most, and the process may be held up for 0.15 s on the way.
    for (after, again) in [(2_500 * MS, true), (2_900 * MS, false), (3_500 * MS, false)] {
        let mut set = settings();
        set.permissions.connect_timeout = S;
        let mut host = Host::new(set, 4);
        host.request(1, KEYED, UNLIMITED, 8 * S);
        let first = host.servers_tried(1)[0];
        host.advance(after);
        // Copies may have gone out meanwhile; all of them end now.
        for (attempt, server) in (0..).zip(host.servers_tried(1)) {
            host.end_attempt(1, attempt, server, Status::Error);
        }
        let late = host.sent_attempts.iter().filter(|s| s.id == 1 && s.at == host.now).count();
        assert_eq!(late > 0, again, "after {after} us, first at {first}: {:?}", host.sent_attempts);
    }
}
