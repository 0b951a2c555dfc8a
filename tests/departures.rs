//! Once a client has left, no attempt is sent for its request, whatever the request was waiting for.

mod common;
use common::*;
use pondgw::*;

/// The client of a request leaves, then all its attempts end with this status, and much time passes. Returns the number
/// of attempts sent after the client left.
fn attempts_after_client_left(host: &mut Host, id: RequestId, status: Status) -> usize {
    let before = host.servers_tried(id).len();
    host.deliver(Event::ClientGone { id });
    host.advance(100 * MS);
    for (attempt, server) in host.servers_tried(id).into_iter().enumerate() {
        let (attempt, load) = (attempt as u32, LoadReport::default());
        host.deliver(Event::Outcome(Outcome {
            id,
            attempt,
            server,
            status,
            latency: S,
            request_done: true,
            load,
        }));
    }
    host.counter_mode = CounterMode::Answers;
    host.deliver_list(ListKind::Delta, (0..3).map(server_entry).collect());
    host.advance(10 * S);
    host.servers_tried(id).len() - before
}

/// What the request is waiting for when its client leaves.
#[derive(Debug, Clone, Copy, PartialEq)]
enum WaitingFor {
    Counter,
    Server,
    Attempt,
    SecondAttempt,
}

#[test]
fn no_attempt_is_sent_for_a_client_that_has_left() {
    let statuses = [
        Status::Declined,
        Status::ConnectFailed,
        Status::Reset,
        Status::Error,
        Status::Timeout,
        Status::NotSent,
    ];
    for cancel in [true, false] {
        for status in statuses {
            for class in [IDEMPOTENT, KEYED, NON_IDEMPOTENT] {
                for waiting_for in
                    [WaitingFor::Counter, WaitingFor::Server, WaitingFor::Attempt, WaitingFor::SecondAttempt]
                {
                    let mut set = settings();
                    set.permissions.cancel = cancel;
                    let mut host = Host::new(set, 3);
                    if waiting_for == WaitingFor::Counter {
                        host.counter_mode = CounterMode::TimesOut;
                    }
                    if waiting_for == WaitingFor::Server {
                        host.deliver_list(ListKind::Delta, (0..3).map(draining_entry).collect());
                    }
                    host.request(7, class, RATE_LIMITED, 8 * S);
                    if matches!(waiting_for, WaitingFor::Attempt | WaitingFor::SecondAttempt) {
                        host.advance(10 * MS);
                        assert_eq!(host.servers_tried(7).len(), 1, "{waiting_for:?}");
                    }
                    if waiting_for == WaitingFor::SecondAttempt {
                        // The other servers answer, so this request's server is ejected for its silence.
                        host.responsive_servers = (0..3).filter(|n| *n != host.servers_tried(7)[0]).collect();
                        for id in 100..180 {
                            host.request(id, IDEMPOTENT, UNLIMITED, 2 * S);
                            host.advance(20 * MS);
                        }
                    }
                    let sent = attempts_after_client_left(&mut host, 7, status);
                    assert_eq!(sent, 0, "cancel {cancel}, {status:?}, class {class}, {waiting_for:?}");
                }
            }
        }
    }
}
