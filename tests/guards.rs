//! Rules for attempts and servers, one scripted case each: retries, deadlines, ejection, slow start and concurrency
//! limits.

mod common;
use common::*;
use pondgw::*;

/// Delivers a request without a quota, which is sent at once, and returns its server.
fn send_unlimited(host: &mut Host, id: RequestId, class: usize) -> ServerId {
    host.request(id, class, UNLIMITED, 4 * S);
    host.servers_tried(id)[0]
}

#[test]
fn every_request_is_answered_by_its_deadline_while_attempts_are_in_progress() {
    let mut host = Host::new(settings(), 3);
    for class in [IDEMPOTENT, KEYED, NON_IDEMPOTENT, KEYED_PER_ZONE] {
        send_unlimited(&mut host, class as u64, class);
    }
    host.advance(4 * S);
    for id in 0..4 {
        assert!(host.was_failed(id), "request {id} may have been executed, so it must fail");
        assert_eq!(host.final_answers.iter().filter(|a| a.0 == id).count(), 1);
    }
}

#[test]
fn non_idempotent_requests_that_may_have_been_executed_are_neither_repeated_nor_refused() {
    for status in [Status::Error, Status::Timeout, Status::Reset, Status::Cancelled] {
        let mut host = Host::new(settings(), 3);
        let server = send_unlimited(&mut host, 1, NON_IDEMPOTENT);
        host.end_attempt(1, 0, server, status);
        assert_eq!(host.servers_tried(1).len(), 1, "{status:?}");
        assert!(host.was_failed(1), "{status:?}");
    }
}

#[test]
fn non_idempotent_requests_that_were_not_executed_are_sent_to_another_server() {
    for status in [Status::Declined, Status::ConnectFailed] {
        let mut host = Host::new(settings(), 3);
        let server = send_unlimited(&mut host, 1, NON_IDEMPOTENT);
        host.end_attempt(1, 0, server, status);
        assert_eq!(host.servers_tried(1).len(), 2, "{status:?}");
        assert_ne!(host.servers_tried(1)[1], server);
    }
}

#[test]
fn keyed_requests_are_repeated_within_their_zone_only() {
    let mut host = Host::new(settings(), 6);
    let first = send_unlimited(&mut host, 1, KEYED_PER_ZONE);
    host.end_attempt(1, 0, first, Status::Error);
    let second = host.servers_tried(1)[1];
    // The zone of a server is its id modulo 2.
    assert_eq!(first % 2, second % 2);
}

#[test]
fn keyed_requests_are_not_repeated_after_the_dedup_window() {
    let mut host = Host::new(settings(), 3);
    host.request(1, KEYED, UNLIMITED, 10 * S);
    let server = host.servers_tried(1)[0];
    host.advance(4 * S);
    host.end_attempt(1, 0, server, Status::Error);
    assert_eq!(host.servers_tried(1).len(), 1);
    assert!(host.was_failed(1));
}

#[test]
fn a_request_makes_no_more_attempts_than_allowed() {
    let mut host = Host::new(settings(), 8);
    host.request(1, IDEMPOTENT, UNLIMITED, 4 * S);
    for attempt in 0..3 {
        let server = host.servers_tried(1)[attempt as usize];
        host.end_attempt(1, attempt, server, Status::Declined);
    }
    assert_eq!(host.servers_tried(1).len(), 3);
    assert!(host.was_refused(1), "none of the attempts was executed");
}

#[test]
fn without_parallel_attempts_the_first_is_cancelled_before_a_second_is_sent() {
    let mut set = settings();
    set.permissions.parallel_attempts = false;
    let mut host = Host::new(set, 4);
    let hung = send_unlimited(&mut host, 1, IDEMPOTENT);
    // The other servers answer, this one is silent.
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
    assert!(host.actions.contains(&Action::Cancel { id: 1, attempt: 0 }), "the silence was not noticed");
    assert_eq!(host.servers_tried(1).len(), 1, "no second attempt while the first is in progress");
    host.end_attempt(1, 0, hung, Status::Cancelled);
    assert_eq!(host.servers_tried(1).len(), 2);
}

#[test]
fn a_hung_server_gets_few_requests() {
    let mut host = Host::new(settings(), 4);
    host.responsive_servers = vec![1, 2, 3];
    let mut to_hung = 0;
    for id in 0..400 {
        host.request(id, IDEMPOTENT, UNLIMITED, 4 * S);
        host.advance(20 * MS);
        to_hung += usize::from(id >= 200 && host.servers_tried(id).first() == Some(&0));
    }
    assert!(to_hung <= 8, "{to_hung} of 200 requests went to the hung server first");
}

#[test]
fn when_all_servers_are_silent_none_is_ejected() {
    let mut host = Host::new(settings(), 3);
    for id in 0..3 {
        send_unlimited(&mut host, id, IDEMPOTENT);
    }
    host.advance(3 * S);
    host.request(9, IDEMPOTENT, UNLIMITED, 4 * S);
    assert_eq!(host.servers_tried(9).len(), 1, "requests are still sent");
}

#[test]
fn no_attempt_goes_to_a_draining_or_unlisted_server() {
    let mut host = Host::new(settings(), 3);
    host.deliver_list(ListKind::Delta, vec![draining_entry(0)]);
    host.deliver_list(ListKind::Full, vec![server_entry(2)]);
    for id in 0..8 {
        host.request(id, IDEMPOTENT, UNLIMITED, 4 * S);
    }
    assert!(!host.sent_attempts.is_empty());
    assert!(host.sent_attempts.iter().all(|s| s.server == 2));
}

#[test]
fn with_an_empty_list_requests_wait_and_are_refused() {
    let mut host = Host::new(settings(), 0);
    host.request(1, IDEMPOTENT, UNLIMITED, 2 * S);
    host.advance(2 * S);
    assert!(host.was_refused(1));
    host.request(2, IDEMPOTENT, UNLIMITED, 0);
    host.advance(20 * MS);
    let answers = host.final_answers.iter().filter(|a| a.0 == 2).count();
    assert_eq!(answers, 1, "a request with no time left is answered too");
}

#[test]
fn a_restarted_server_gets_no_more_than_slow_start_allows() {
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
    let since_start = || host.sent_attempts.iter().filter(|s| s.server == 1 && s.at >= start);
    // 50 requests a second for two servers: a warm one gets 25. A cold one has a quarter of that capacity, and is
    // overloaded by twice its capacity for a second.
    let in_first_second = since_start().filter(|s| s.at < start + S).count();
    assert!(in_first_second <= 12, "{in_first_second} attempts in the first second");
    assert!(since_start().count() >= 1, "the restarted server is not tried at all");
}

/// Guards against refusals without a retry-after time where the settings allow one: without it, nothing keeps the
/// client from retrying at once.
#[test]
fn every_refusal_has_a_retry_after_time_where_that_is_allowed() {
    for allowed in [true, false] {
        let mut set = settings();
        set.permissions.send_retry_after = allowed;
        let max_retry_after = set.permissions.max_retry_after;
        let mut host = Host::new(set, 1);
        // One request is declined by its server, one finds no server, one has no time left, the rest exceed the quota.
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
                assert!(*retry_after <= max_retry_after, "request {id}: {answer:?}");
            }
        }
        assert_eq!(refusals, 39, "{:?}", host.final_answers);
    }
}

/// Guards against a cold server that is taken for a warm one. Where clocks are stepped back, a server's start time can
/// lie seconds or an hour in the past, even before its previous start; or it can lie in the future.
#[test]
fn a_server_that_has_just_started_is_cold_whatever_start_time_is_listed() {
    for restarted in [true, false] {
        for (back, ahead) in [(0, 0), (5 * S, 0), (3_600 * S, 0), (0, 3_600 * S)] {
            let mut host = Host::new(settings(), 2);
            host.now += 10_000 * S;
            host.responsive_servers = (0..3).collect();
            let (mut start, server) = (0, if restarted { 1 } else { 2 });
            if restarted {
                let started_at = host.now - 50 * S;
                host.deliver_list(ListKind::Delta, vec![ServerEntry { started_at, ..server_entry(1) }]);
            }
            for id in 0..300 {
                host.request(id, IDEMPOTENT, UNLIMITED, 4 * S);
                host.advance(20 * MS);
                if id % 50 == 0 {
                    // Discovery answers in time, without changes.
                    host.deliver_list(ListKind::Delta, Vec::new());
                }
                if id == 160 {
                    start = host.now;
                    let started_at = start + ahead - back;
                    host.deliver_list(
                        ListKind::Delta,
                        vec![ServerEntry { started_at, ..server_entry(server) }],
                    );
                }
            }
            // 50 requests a second: a warm server gets a half or a third of them. A cold one has a quarter of that
            // capacity, and is overloaded by twice its capacity for a second.
            let in_first_second = |s: &&SentAttempt| s.server == server && s.at >= start && s.at < start + S;
            let first = host.sent_attempts.iter().filter(in_first_second).count();
            let case = format!("restarted {restarted}, {back} us back, {ahead} us ahead");
            assert!(first <= 12, "{case}: {first} attempts in the first second");
            assert!(first >= 1, "{case}: not tried at all");
        }
    }
}

#[test]
fn the_ceiling_holds_when_a_gateway_restarts_and_the_counter_loses_its_state() {
    let mut sent = 0;
    let mut hosts: Vec<Host> = (0..2).map(|_| Host::new(settings(), 4)).collect();
    let start = hosts[0].now;
    for id in 0..1_000 {
        for host in &mut hosts {
            host.request(id, IDEMPOTENT, WITH_CEILING, S);
            host.advance(10 * MS);
            host.counter_totals.clear();
        }
        if id == 500 {
            sent += hosts[0].sent_attempts.len();
            let now = hosts[0].now;
            let mut restarted = Host::new(settings(), 0);
            restarted.now = now;
            restarted.gateway = Gateway::new(settings(), 5, now);
            restarted.deliver_list(ListKind::Cached, (0..4).map(server_entry).collect());
            hosts[0] = restarted;
        }
    }
    sent += hosts.iter().map(Host::requests_sent).sum::<usize>();
    let seconds = (hosts[1].now - start) as f64 / S as f64;
    assert!(sent as f64 <= 16.0 + 8.0 * seconds, "{sent} in {seconds} s");
    assert!(sent > 20);
}

#[test]
fn a_quota_on_concurrent_requests_is_split_over_the_gateways() {
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
    host.deliver(Event::Request(ClientRequest {
        id: 1,
        class: IDEMPOTENT,
        plan: RATE_LIMITED,
        customer: "large".to_owned(),
        time_left: 2 * S,
        units: 900.0,
        gateways: 2,
        first_gateway: 0,
    }));
    host.advance(2 * S);
    assert!(host.was_refused(1));
    assert!(host.sent_attempts.is_empty());
}

#[test]
fn unknown_and_repeated_events_are_ignored() {
    let mut host = Host::new(settings(), 2);
    host.deliver(Event::ClientGone { id: 77 });
    host.deliver(Event::StreamStarted { id: 77, attempt: 0 });
    host.deliver(Event::Counted { name: 5, status: Status::Ok, total: 1.0, latency: 1 });
    host.end_attempt(77, 3, 99, Status::Ok);
    let server = send_unlimited(&mut host, 1, NON_IDEMPOTENT);
    host.end_attempt(1, 0, server, Status::Error);
    host.end_attempt(1, 0, server, Status::Error);
    host.end_attempt(1, 5, server, Status::Ok);
    host.advance(5 * S);
    assert_eq!(host.final_answers.len(), 1);
}

#[test]
fn a_started_stream_has_no_deadline() {
    let mut host = Host::new(settings(), 2);
    send_unlimited(&mut host, 1, IDEMPOTENT);
    host.deliver(Event::StreamStarted { id: 1, attempt: 0 });
    host.advance(10 * S);
    assert!(host.final_answers.is_empty());
    assert!(!host.actions.contains(&Action::Cancel { id: 1, attempt: 0 }));
}

#[test]
fn a_half_open_attempt_that_was_cancelled_does_not_exclude_its_server_for_good() {
    let mut host = Host::new(settings(), 1);
    let server = send_unlimited(&mut host, 1, IDEMPOTENT);
    host.end_attempt(1, 0, server, Status::Reset);
    host.advance(S + 100 * MS);
    host.request(2, IDEMPOTENT, UNLIMITED, 4 * S);
    assert_eq!(host.servers_tried(2), vec![0], "one request tests the server");
    host.deliver(Event::ClientGone { id: 2 });
    host.end_attempt(2, 0, 0, Status::Cancelled);
    host.advance(3 * S);
    host.request(3, IDEMPOTENT, UNLIMITED, 4 * S);
    assert_eq!(host.servers_tried(3), vec![0], "another request tests it later");
}

#[test]
fn many_gateways_together_do_not_overload_a_few_servers() {
    let mut host = Host::new(Settings { gateways: 24, ..settings() }, 10);
    for id in 0..500 {
        host.request(id, IDEMPOTENT, UNLIMITED, 4 * S);
    }
    let sent = host.sent_attempts.len();
    assert!(sent <= 12, "{sent} in progress at one of 24 gateways");
}

#[test]
fn servers_that_are_slow_at_any_load_are_neither_starved_nor_given_more() {
    let mut host = Host::new(settings(), 4);
    let mut in_progress: Vec<SentAttempt> = Vec::new();
    let (mut seen, mut most, mut answered) = (0, 0, 0);
    for id in 0..2_000 {
        host.request(id, IDEMPOTENT, UNLIMITED, 4 * S);
        host.advance(10 * MS);
        in_progress.extend_from_slice(&host.sent_attempts[seen..]);
        seen = host.sent_attempts.len();
        most = most.max(in_progress.len());
        // Every answer takes 0.6 of the objective, however many attempts are in progress.
        while in_progress.first().is_some_and(|sent| sent.at + 600 * MS <= host.now) {
            host.serve(in_progress.remove(0), 600 * MS, LoadReport::default());
            answered += 1;
        }
    }
    assert!(most <= 20, "{most} in progress at four servers from one of two gateways");
    assert!(answered >= 150, "{answered} answered in 20 s, although two for each server are always allowed");
}

#[test]
fn concurrency_limits_do_not_grow_without_fast_answers() {
    let mut host = Host::new(Settings { gateways: 24, ..settings() }, 10);
    let (mut in_progress, mut seen, mut most) = (Vec::new(), 0, 0);
    for id in 0..400 {
        host.request(id, IDEMPOTENT, UNLIMITED, 4 * S);
        host.advance(10 * MS);
        in_progress.extend_from_slice(&host.sent_attempts[seen..]);
        seen = host.sent_attempts.len();
        most = most.max(in_progress.len());
        while in_progress.first().is_some_and(|sent: &SentAttempt| sent.at + 800 * MS <= host.now) {
            host.serve(in_progress.remove(0), 800 * MS, LoadReport::default());
        }
    }
    assert!(most <= 4, "{most} in progress at one of 24 gateways; its share of the initial limits is 3.3");
}

#[test]
fn attempts_that_stay_unanswered_lower_the_concurrency_limits_before_any_answer() {
    let mut host = Host::new(Settings { gateways: 1, ..settings() }, 4);
    for id in 0..32 {
        host.request(id, IDEMPOTENT, UNLIMITED, 4 * S);
    }
    assert_eq!(host.sent_attempts.len(), 32, "the initial limit of eight at each of four servers");
    // No answer for a second, then all at once.
    host.advance(S);
    for &SentAttempt { id, attempt, server, .. } in &host.sent_attempts.clone() {
        host.end_attempt(id, attempt, server, Status::Ok);
    }
    let before = host.sent_attempts.len();
    for id in 100..140 {
        host.request(id, KEYED, UNLIMITED, 4 * S);
    }
    let sent = host.sent_attempts.len() - before;
    assert!(sent <= 30, "{sent} sent after a second without answers");
}

#[test]
fn a_half_open_attempt_that_was_not_sent_does_not_exclude_its_server_for_good() {
    let mut host = Host::new(Settings { gateways: 1, ..settings() }, 1);
    // Three failures eject the only server; a second later one request tests it.
    for id in 0..3 {
        host.request(id, NON_IDEMPOTENT, UNLIMITED, 4 * S);
        host.end_attempt(id, 0, 0, Status::Error);
    }
    host.advance(1_100 * MS);
    host.request(10, IDEMPOTENT, UNLIMITED, 4 * S);
    assert_eq!(host.servers_tried(10), [0], "one request tests the server");
    host.end_attempt(10, 0, 0, Status::NotSent);
    host.advance(9 * S);
    host.request(11, IDEMPOTENT, UNLIMITED, 4 * S);
    assert_eq!(host.servers_tried(11), [0], "the first test proved nothing, so another request tests it");
}

#[test]
fn a_keyed_request_stays_in_its_zone_after_its_first_server_was_removed() {
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
            "the other server is in a zone that does not know the key"
        );
        assert!(host.was_failed(1), "the request may have been executed, so it must fail");
    }
}

#[test]
fn a_keyed_request_is_repeated_only_if_it_is_sure_to_be_written_within_the_dedup_window() {
    // Keys are known for 4 s, a connection takes up to 1 s, and the process may stall for 0.15 s before it writes.
    for (after, repeated) in [(2_500 * MS, true), (2_900 * MS, false), (3_500 * MS, false)] {
        let mut set = settings();
        set.permissions.connect_timeout = S;
        let mut host = Host::new(set, 4);
        host.request(1, KEYED, UNLIMITED, 8 * S);
        let first = host.servers_tried(1)[0];
        host.advance(after);
        // Further attempts may have been sent meanwhile; all end now.
        for (attempt, server) in (0..).zip(host.servers_tried(1)) {
            host.end_attempt(1, attempt, server, Status::Error);
        }
        let sent_now = host.sent_attempts.iter().filter(|s| s.id == 1 && s.at == host.now).count();
        assert_eq!(sent_now > 0, repeated, "after {after} us, first at {first}: {:?}", host.sent_attempts);
    }
}
