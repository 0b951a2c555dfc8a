//! Quotas of one gateway: leases from the counter, local spending of leased units, and operation without the counter.

mod common;
use common::*;
use pondgw::*;

#[test]
fn a_request_is_sent_only_after_its_lease() {
    let mut host = Host::new(settings(), 4);
    host.request(1, IDEMPOTENT, RATE_LIMITED, 4 * S);
    assert!(host.servers_tried(1).is_empty());
    assert_eq!(host.counter_calls.len(), 1);
    host.advance(5 * MS);
    assert_eq!(host.servers_tried(1).len(), 1);
}

#[test]
fn a_customer_has_one_lease_call_in_progress() {
    let mut host = Host::new(settings(), 4);
    for id in 0..4 {
        host.request(id, IDEMPOTENT, RATE_LIMITED, 4 * S);
    }
    assert_eq!(host.counter_calls.len(), 1);
    host.advance(5 * MS);
    assert_eq!(host.counter_calls.len(), 2, "one more call leases for all requests that wait");
    assert_eq!(host.counter_calls[1].amount, 3.0);
}

#[test]
fn a_request_is_refused_at_once_when_other_gateways_have_taken_the_budget() {
    let mut host = Host::new(settings(), 4);
    host.request(1, IDEMPOTENT, RATE_LIMITED, 4 * S);
    let name = host.counter_calls[0].name;
    *host.counter_totals.get_mut(&name).expect("a count") += 100.0;
    host.deliver(Event::Counted { name, status: Status::Ok, total: 101.0, latency: MS });
    assert!(host.was_refused(1));
    assert!(host.servers_tried(1).is_empty());
}

#[test]
fn usage_stays_within_the_quota_over_a_long_run() {
    let mut host = Host::new(settings(), 4);
    host.responsive_servers = (0..4).collect();
    let start = host.now;
    for id in 0..800 {
        host.request(id, IDEMPOTENT, RATE_LIMITED, 4 * S);
        host.advance(25 * MS);
    }
    let seconds = (host.now - start) as f64 / S as f64;
    let allowed = 8.0 + 4.0 * seconds;
    assert!(host.requests_sent() as f64 <= allowed + 1.0, "{} of {allowed}", host.requests_sent());
    assert!(host.requests_sent() as f64 >= 0.7 * allowed, "{} of {allowed}", host.requests_sent());
}

#[test]
fn while_the_counter_is_silent_the_even_share_is_spent_and_the_rest_is_refused() {
    let mut host = Host::new(settings(), 4);
    host.counter_mode = CounterMode::TimesOut;
    for id in 0..10 {
        host.request(id, IDEMPOTENT, RATE_LIMITED, 4 * S);
    }
    host.advance(S);
    // Half of a burst of eight, and two units a second for the 0.4 s that a request waits.
    assert!((4..=5).contains(&host.requests_sent()), "{}", host.requests_sent());
    assert_eq!((0..10).filter(|id| host.was_refused(*id)).count(), 10 - host.requests_sent());
}

#[test]
fn a_long_outage_of_the_counter_is_bridged_with_the_even_share() {
    let mut host = Host::new(settings(), 4);
    host.responsive_servers = (0..4).collect();
    host.request(1, IDEMPOTENT, RATE_LIMITED, 4 * S);
    host.advance(S);
    for mode in [CounterMode::TimesOut, CounterMode::Unreachable] {
        host.counter_mode = mode;
        let before = host.requests_sent();
        let start = host.now;
        for id in 0..200 {
            host.request(1_000 + start + id, IDEMPOTENT, RATE_LIMITED, 4 * S);
            host.advance(50 * MS);
        }
        // Ten seconds, over several windows, at two units a second, which is the even share between two gateways, and
        // that share's burst of four.
        let sent = host.requests_sent() - before;
        assert!(sent >= 8, "{sent} sent from the even share");
        assert!(sent <= 25, "{sent} sent, more than the even share");
    }
}

#[test]
fn all_gateways_use_the_same_count_names() {
    let mut first = Host::new(settings(), 2);
    let mut second = Host::new(Settings { gateways: 5, ..settings() }, 3);
    first.request(1, IDEMPOTENT, RATE_LIMITED, 4 * S);
    second.request(9, KEYED, RATE_LIMITED, 4 * S);
    assert_eq!(first.counter_calls[0].name, second.counter_calls[0].name);
    assert!(first.counter_calls[0].name < 1 << 63);
}

#[test]
fn without_a_counter_no_calls_are_made_and_the_even_share_is_spent() {
    let mut host = Host::new(Settings { counter: None, ..settings() }, 4);
    for id in 0..100 {
        host.request(id, IDEMPOTENT, RATE_LIMITED, 4 * S);
    }
    host.advance(S);
    assert!(host.counter_calls.is_empty());
    assert!((1..=8).contains(&host.requests_sent()), "{}", host.requests_sent());
}

#[test]
fn idle_customers_are_forgotten() {
    let mut host = Host::new(settings(), 2);
    host.request(1, IDEMPOTENT, RATE_LIMITED, 2 * S);
    host.advance(10 * MS);
    host.end_attempt(1, 0, host.servers_tried(1)[0], Status::Ok);
    host.advance(120 * S);
    assert!(host.timers.is_empty(), "a timer is still set though no state is left");
}

#[test]
fn hundreds_of_gateways_pace_their_calls_to_the_capacity_of_a_small_counter() {
    let set = Settings { gateways: 200, ..settings() };
    let mut hosts: Vec<Host> = (0..200).map(|n| Host::with_seed(set.clone(), 4, n * 77)).collect();
    let (mut calls_made, mut calls_answered) = (0, 0);
    for step in 0..2_000u64 {
        // The counter answers three calls in 10 ms; calls beyond that are lost.
        let mut capacity = 3;
        for n in 0..200 {
            let host = &mut hosts[(n + step as usize * 7) % 200];
            if (step + n as u64).is_multiple_of(20) {
                host.request_from(&format!("club{}", step % 90), 50, step, (IDEMPOTENT, RATE_LIMITED, S));
            }
            let before = host.counter_calls.len();
            host.counter_mode = if capacity > 0 { CounterMode::Answers } else { CounterMode::TimesOut };
            host.advance(10 * MS);
            let calls = host.counter_calls.len() - before;
            capacity -= calls.min(capacity);
            if step >= 500 {
                calls_made += calls;
                calls_answered += if host.counter_mode == CounterMode::Answers { calls } else { 0 };
            }
        }
    }
    // 15 s with a thousand requests a second, and a counter that takes 300 calls a second.
    assert!(calls_made <= 15 * 450, "{calls_made} calls");
    assert!(calls_answered >= 15 * 120, "{calls_answered} of {calls_made} calls answered");
}

/// Guards against units that are missing from the count: what was spent while the counter was silent is added with the
/// next call, and that part of the call gives no escrow.
#[test]
fn units_spent_without_a_lease_are_added_to_the_count_later() {
    let mut host = Host::new(settings(), 4);
    host.counter_mode = CounterMode::TimesOut;
    host.request(1, IDEMPOTENT, RATE_LIMITED, 4 * S);
    host.advance(60 * MS);
    assert_eq!(host.servers_tried(1).len(), 1, "the even share is spent without the counter");
    host.counter_mode = CounterMode::Answers;
    for id in 2..12 {
        host.request(id, IDEMPOTENT, RATE_LIMITED, 4 * S);
        host.advance(20 * MS);
    }
    let calls = &host.counter_calls;
    let name = calls.last().expect("a call").name;
    let with_credit = calls.iter().find(|c| c.name == name && c.amount > 1.0).expect("credit is added");
    assert!(with_credit.amount >= 2.0, "{calls:?}");
    assert_eq!(host.counter_totals[&name], host.requests_sent() as f64, "the count holds all units spent");
}

/// Guards against a minimum pace of calls above the capacity of a very small counter, with less than one call for three
/// requests: most calls would be lost, and each lost call still takes up the counter's time.
#[test]
fn calls_slow_down_while_the_counter_loses_them() {
    let mut host = Host::new(settings(), 4);
    (host.counter_mode, host.responsive_servers) = (CounterMode::TimesOut, (0..4).collect());
    for id in 0..2_000 {
        host.request_from(&format!("choir {}", id % 29), 2, id, (IDEMPOTENT, RATE_LIMITED, 4 * S));
        host.advance(10 * MS);
    }
    let recent = host.now - 10 * S;
    let calls = host.counter_calls.iter().filter(|c| c.at > recent).count();
    assert!((20..=150).contains(&calls), "{calls} calls in 10 s");
}
