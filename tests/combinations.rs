//! Several faults at the same time.

mod common;
use common::*;
use pondgw::*;

/// While the counter does not answer, another customer far above its quota must not use up the share of a customer
/// within its own.
#[test]
fn a_flooding_customer_takes_nothing_from_others_while_the_counter_is_silent() {
    let mut host = Host::new(settings(), 6);
    host.responsive_servers = (0..6).collect();
    host.request(1, IDEMPOTENT, RATE_LIMITED, 4 * S);
    host.advance(2 * S);
    host.counter_mode = CounterMode::TimesOut;
    let mut sent = 0;
    for second in 0..10 {
        for n in 0..100 {
            let id = 1_000 + second * 100 + n;
            host.request_from("flood", 2, id, (IDEMPOTENT, RATE_LIMITED, 4 * S));
        }
        host.request(10 + second, IDEMPOTENT, RATE_LIMITED, 4 * S);
        host.advance(S);
        sent += usize::from(!host.servers_tried(10 + second).is_empty());
    }
    assert!(sent >= 9, "{sent} of 10 requests of the customer within its quota were sent");
}

#[test]
fn with_a_stale_list_a_hung_server_and_no_counter_at_start_no_rule_is_broken() {
    let mut host = Host::new(settings(), 4);
    // Server 0 hangs; server 3 of the cached list is no longer listed.
    host.responsive_servers = vec![1, 2];
    host.counter_mode = CounterMode::Unreachable;
    host.deliver_list(ListKind::Full, vec![server_entry(0), server_entry(1), server_entry(2)]);
    for id in 0..300 {
        host.request(id, (id % 3) as usize, (id % 4) as usize, 3 * S);
        host.advance(20 * MS);
    }
    host.advance(4 * S);
    assert!(host.sent_attempts.iter().all(|s| s.server != 3), "an attempt went to the unlisted server");
    let late = host.sent_attempts.iter().filter(|s| s.server == 0 && s.at > 103 * S).count();
    assert!(late <= 6, "{late} attempts went to the hung server in the second half");
    let non_idempotent_attempts =
        host.attempt_counts.iter().filter(|(id, _)| *id % 3 == NON_IDEMPOTENT as u64).map(|(_, n)| *n).max();
    assert_eq!(non_idempotent_attempts, Some(1), "a non-idempotent request was repeated");
}

#[test]
fn cold_servers_that_return_under_overload_get_no_more_than_slow_start_allows() {
    let mut host = Host::new(settings(), 4);
    host.responsive_servers = (0..4).collect();
    for id in 0..500 {
        host.request(id, IDEMPOTENT, UNLIMITED, 4 * S);
        host.advance(10 * MS);
    }
    let start = host.now;
    let restarted = |n| ServerEntry { started_at: start, ..server_entry(n) };
    host.deliver_list(ListKind::Delta, vec![restarted(2), restarted(3)]);
    for id in 500..600 {
        for n in 0..4 {
            host.request(id * 10 + n, IDEMPOTENT, UNLIMITED, 4 * S);
        }
        host.advance(10 * MS);
    }
    for server in [2, 3] {
        let sent = host.sent_attempts.iter().filter(|s| s.server == server && s.at >= start).count();
        // A warm server got 25 a second. A cold one has a quarter of that capacity, and is overloaded by twice its
        // capacity for a second, over all gateways.
        assert!(sent <= 13, "{sent} attempts to a cold server in its first second");
    }
}

/// The gateway gets no processor time for 1.5 s, several times, while a customer exceeds its quota: each request still
/// ends exactly once, and the quota holds.
#[test]
fn stalls_of_the_gateway_during_a_flood_lose_no_request_and_keep_the_quota() {
    let mut host = Host::new(settings(), 4);
    host.responsive_servers = (0..4).collect();
    let start = host.now;
    let mut last_id = 0;
    for round in 0..6 {
        for _ in 0..100 {
            last_id += 1;
            host.request(last_id, IDEMPOTENT, RATE_LIMITED, 3 * S);
            host.advance(10 * MS);
        }
        // Nothing is delivered for 1.5 s; then the requests that arrived meanwhile, all at once.
        host.now += 3 * S / 2;
        for _ in 0..50 {
            last_id += 1;
            host.request(last_id, (round % 2) as usize, RATE_LIMITED, S);
        }
    }
    host.advance(5 * S);
    let sent: std::collections::BTreeSet<RequestId> = host.sent_attempts.iter().map(|s| s.id).collect();
    let seconds = (host.now - start) as f64 / S as f64;
    assert!(sent.len() as f64 <= 9.0 + 4.0 * seconds, "{} in {seconds} s", sent.len());
    assert!(sent.len() >= 30, "{} of {last_id}", sent.len());
    let refused = host.final_answers.iter().filter(|a| matches!(a.1, Action::Refuse { .. })).count();
    assert_eq!(refused + sent.len(), last_id as usize, "each request is either sent or refused");
}

/// Hung servers must be noticed even while all others take half of the objective, and requests must still be answered.
#[test]
fn hung_servers_get_few_requests_while_all_others_are_slow() {
    let mut host = Host::new(Settings { gateways: 1, ..settings() }, 6);
    let mut in_progress: Vec<SentAttempt> = Vec::new();
    let (mut seen, mut answered) = (0, 0);
    for id in 0..1_000 {
        host.request(id, IDEMPOTENT, UNLIMITED, 4 * S);
        host.advance(20 * MS);
        in_progress.extend(host.sent_attempts[seen..].iter().filter(|s| s.server >= 2));
        seen = host.sent_attempts.len();
        // Servers 0 and 1 accept requests and never answer; the other four answer after half of the objective.
        while in_progress.first().is_some_and(|sent| sent.at + 500 * MS <= host.now) {
            host.serve(in_progress.remove(0), 500 * MS, LoadReport::default());
            answered += 1;
        }
    }
    let hung = host.sent_attempts.iter().filter(|s| s.server < 2 && s.at > 105 * S).count();
    assert!(hung <= 30, "{hung} attempts to two hung servers in 15 s");
    assert!(answered >= 400, "{answered} answered in 20 s");
}
