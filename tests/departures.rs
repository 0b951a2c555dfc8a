//! A client that has left is owed nothing: from then on nothing is sent for it, whatever its request waited for.

mod common;
use common::*;
use pondgw::*;

/// Sends for a request after its client has left and much time has passed, in which all its attempts end.
fn sent_after(host: &mut Host, id: RequestId, ends: Status) -> usize {
    let before = host.sent(id).len();
    host.give(Event::ClientGone { id });
    host.wait(100 * MS);
    for (attempt, server) in host.sent(id).into_iter().enumerate() {
        let (attempt, load) = (attempt as u32, LoadReport::default());
        let status = ends;
        host.give(Event::Outcome(Outcome {
            id,
            attempt,
            server,
            status,
            latency: S,
            request_done: true,
            load,
        }));
    }
    host.mode = CounterMode::Answers;
    let back = ServerEntry { lifecycle: Lifecycle::Ready, ..entry(0) };
    host.list(ListKind::Delta, vec![back, entry(1), entry(2)]);
    host.wait(10 * S);
    host.sent(id).len() - before
}

#[test]
fn nothing_is_sent_for_a_client_that_has_left() {
    let ends = [
        Status::Declined,
        Status::ConnectFailed,
        Status::Reset,
        Status::Error,
        Status::Timeout,
        Status::NotSent,
    ];
    for cancel in [true, false] {
        for ends in ends {
            for class in 0..3 {
                for held in ["counter", "server", "attempt", "copy"] {
                    let mut set = settings();
                    set.permissions.cancel = cancel;
                    let mut host = Host::new(set, 3);
                    host.mode = if held == "counter" { CounterMode::Silent } else { CounterMode::Answers };
                    if held == "server" {
                        let drains = |n| ServerEntry { lifecycle: Lifecycle::Draining, ..entry(n) };
                        host.list(ListKind::Delta, (0..3).map(drains).collect());
                    }
                    host.ask(7, class, 0, 8 * S);
                    if held == "attempt" || held == "copy" {
                        host.wait(10 * MS);
                        assert_eq!(host.sent(7).len(), 1, "{held}");
                    }
                    if held == "copy" {
                        // Others are answered, so the silence of this one's server ejects it.
                        host.serve = (0..3).filter(|n| *n != host.sent(7)[0]).collect();
                        for id in 100..180 {
                            host.ask(id, 0, 3, 2 * S);
                            host.wait(20 * MS);
                        }
                    }
                    let sent = sent_after(&mut host, 7, ends);
                    assert_eq!(sent, 0, "cancel {cancel}, {ends:?}, class {class}, held for a {held}");
                }
            }
        }
    }
}
