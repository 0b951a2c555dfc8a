//! Pairs of events that cross, against the real program. Each test orders them by the peers' own steps (accept,
//! read, withhold, reset); what the limiter has taken in is known from its answers, not from time that has passed.
//! `docs/crossings.md` has the table.

mod common;
use common::*;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Bytes behind a request: none, a second request, and more than a limiter keeps.
fn further() -> [String; 3] {
    [String::new(), request("look", "behind", "team", 20_000), "x".repeat(300_000)]
}

#[test]
fn a_request_whose_client_disconnected_while_its_server_connection_was_opening_is_not_forwarded() {
    for cancel in [true, false] {
        for how in [Disconnect::Close, Disconnect::HalfClose, Disconnect::Reset] {
            for behind in further() {
                let (withheld, (counter, answered)) = (FullBacklog::new(), notifying_counter());
                let stand_in = StandIn { address: withheld.address, requests: std::sync::mpsc::channel().1 };
                let mut setup = LimiterSetup::new(&[&stand_in], &counter);
                setup.extra_permissions = format!(r#","cancel":{cancel},"dial-timeout":15000000"#);
                let mut limiter = setup.start();
                let mut client = limiter.client();
                client.write(&request("look", "left", "team", 20_000));
                // Its units are leased, so it has been handed to a connection.
                answered.recv_timeout(TIMEOUT).expect("a call to the counter");
                wait_two_loop_iterations(&limiter);
                client.write(&behind);
                disconnect(&client, how);
                drop(client);
                wait_two_loop_iterations(&limiter);
                let (server, comes_up) = withheld.start_accepting();
                if !cancel {
                    // Nothing takes the attempt back, so its connection comes up, and then finds nobody waiting.
                    // One that its own side alone takes for up leads to the same end.
                    let _ = comes_up.recv_timeout(Duration::from_secs(4));
                }
                let mut other = limiter.client();
                assert_eq!(other.exchange(&request("look", "stays", "team", 20_000)).status(), 200);
                let (_, first) = server.requests.recv_timeout(TIMEOUT).expect("a request");
                let seen = format!("cancel {cancel}, {how:?}, {} bytes behind", behind.len());
                assert_eq!(first.header("req-id"), Some("stays"), "{seen}");
                // It does not end before each request that it holds is answered.
                limiter.terminate();
                assert!(limiter.wait_for_exit().success());
                assert!(server.requests.try_recv().is_err(), "nothing else is sent on: {seen}");
            }
        }
    }
}

#[test]
fn a_request_whose_client_disconnected_during_its_counter_call_is_not_forwarded() {
    for how in [Disconnect::Close, Disconnect::HalfClose, Disconnect::Reset] {
        for behind in further() {
            let (hold, go) = std::sync::mpsc::channel::<()>();
            let go = std::sync::Mutex::new(go);
            let counter = stand_in(move |_, _, stream| {
                let _ = go.lock().expect("no panic while it is held").recv_timeout(TIMEOUT);
                write_response(stream, "200 OK", "1");
            });
            let one = stand_in(serve_ok);
            let mut limiter = LimiterSetup::new(&[&one], &counter).start();
            let mut client = limiter.client();
            client.write(&request("look", "left", "team", 20_000));
            counter.requests.recv_timeout(TIMEOUT).expect("a call to the counter");
            client.write(&behind);
            disconnect(&client, how);
            drop(client);
            wait_two_loop_iterations(&limiter);
            hold.send(()).expect("the counter goes on");
            let mut other = limiter.client();
            let _ = hold.send(());
            assert_eq!(other.exchange(&request("look", "stays", "team", 20_000)).status(), 200);
            let (_, first) = one.requests.recv_timeout(TIMEOUT).expect("a request");
            assert_eq!(first.header("req-id"), Some("stays"), "{how:?}, {} bytes behind", behind.len());
            limiter.terminate();
            assert!(limiter.wait_for_exit().success());
            assert!(one.requests.try_recv().is_err(), "{how:?}, {} bytes behind", behind.len());
        }
    }
}

/// Guards against telling a server the time that was left when its connection was begun.
#[test]
fn the_forwarded_deadline_is_computed_when_the_attempt_is_written() {
    for class in ["look", "once"] {
        let (withheld, (counter, answered)) = (FullBacklog::new(), notifying_counter());
        let stand_in = StandIn { address: withheld.address, requests: std::sync::mpsc::channel().1 };
        let mut setup = LimiterSetup::new(&[&stand_in], &counter);
        setup.extra_permissions = r#","dial-timeout":15000000"#.to_owned();
        let limiter = setup.start();
        let mut client = limiter.client();
        client.write(&request(class, "waits", "team", 20_000));
        let written = std::time::Instant::now();
        answered.recv_timeout(TIMEOUT).expect("a call to the counter");
        wait_two_loop_iterations(&limiter);
        // Not to order events: the connection takes so long to come up.
        std::thread::sleep(Duration::from_millis(700));
        let waited = written.elapsed().as_millis() as u64;
        let (server, _comes_up) = withheld.start_accepting();
        assert_eq!(client.read_response().expect("an answer").status(), 200);
        let (_, sent) = server.requests.recv_timeout(TIMEOUT).expect("a request");
        let told: u64 = sent.header("req-deadline-ms").and_then(|t| t.parse().ok()).expect("a time");
        assert!(told <= 20_000 - waited, "{class}: told {told} ms, {waited} ms after it was asked");
    }
}

#[test]
fn nothing_is_sent_to_a_server_drained_while_its_connection_was_opening() {
    let (one, two, (counter, answered)) = (FullBacklog::new(), FullBacklog::new(), notifying_counter());
    let all = [server_row("s-0", one.address, "SERVING"), server_row("s-1", two.address, "SERVING")];
    let (agent, updates) = discovery_stand_in(server_list(1, true, &all));
    let stand_in = |address| StandIn { address, requests: std::sync::mpsc::channel().1 };
    let mut setup = LimiterSetup::new(&[&stand_in(one.address), &stand_in(two.address)], &counter);
    setup.extra_permissions = r#","dial-timeout":15000000"#.to_owned();
    setup.discovery = Some(agent.address);
    let limiter = setup.start();
    // Each server gets two of four: the one with less outstanding comes first.
    let mut clients: Vec<Client> = (0..4).map(|_| limiter.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.write(&request("once", &format!("moves-{n}"), "team", 20_000));
        answered.recv_timeout(TIMEOUT).expect("a call to the counter");
        wait_two_loop_iterations(&limiter);
    }
    updates.send(server_list(2, false, &[server_row("s-0", one.address, "DRAINING")])).expect("it is told");
    let told = |m: &Message| m.start_line.contains("from=2");
    while !told(&agent.requests.recv_timeout(TIMEOUT).expect("the next watch").1) {}
    let ((one, _), (two, _)) = (one.start_accepting(), two.start_accepting());
    for client in &mut clients {
        assert_eq!(
            client.read_response().expect("an answer").status(),
            200,
            "it never ran, so even this class moves on"
        );
    }
    let served = two.requests.try_iter().count();
    assert_eq!((one.requests.try_iter().count(), served), (0, 4), "nothing is sent to the one that drains");
}

/// Guards against a repeat that comes up so late that servers have forgotten its key: the process stands still while
/// the repeat's connection is coming up.
#[test]
fn a_keyed_retry_is_not_sent_once_servers_may_have_forgotten_its_key() {
    let refuses = |_: usize, _: &Message, stream: &mut TcpStream| write_response(stream, "500 Broken", "");
    let (one, two, (counter, _answered)) = (stand_in(refuses), FullBacklog::new(), notifying_counter());
    let stand_in = StandIn { address: two.address, requests: std::sync::mpsc::channel().1 };
    let mut setup = LimiterSetup::new(&[&one, &stand_in], &counter);
    // The larger server comes first.
    let small = server_row("s-1", two.address, "SERVING").replace("\"share\":1.0", "\"share\":0.1");
    setup.known = KnownServers::Rows(vec![server_row("s-0", one.address, "SERVING"), small]);
    setup.key_window_us = 2_000_000;
    let mut limiter = setup.start();
    let mut client = limiter.client();
    client.write(&request("book", "repeated", "team", 20_000));
    one.requests.recv_timeout(TIMEOUT).expect("the first attempt");
    two.wait_for_pending_connect();
    limiter.pause();
    // Not to order events: the key is forgotten by then.
    std::thread::sleep(Duration::from_millis(2_200));
    let (two, comes_up) = two.start_accepting();
    comes_up.recv_timeout(TIMEOUT).expect("the repeat's connection");
    limiter.resume();
    assert_eq!(client.read_response().expect("an answer").status(), 502);
    limiter.terminate();
    assert!(limiter.wait_for_exit().success());
    assert!(two.requests.try_recv().is_err(), "no repeat is written");
}

/// The limiter has been told to end, and knows.
fn ending(limiter: &Limiter) {
    limiter.terminate();
    let end = std::time::Instant::now() + TIMEOUT;
    while limiter.passes_health_check() {
        assert!(std::time::Instant::now() < end, "it has not heard");
    }
}

#[test]
fn pipelined_requests_received_before_shutdown_are_all_answered() {
    let ((held, go), counter) = (gated_server(), counter_stand_in());
    let mut limiter = LimiterSetup::new(&[&held], &counter).start();
    let mut client = limiter.client();
    let both = ["first", "second"].map(|id| request("look", id, "team", 20_000)).concat();
    client.write(&both);
    held.requests.recv_timeout(TIMEOUT).expect("the first is sent on");
    ending(&limiter);
    go.send(()).expect("it waits");
    go.send(()).expect("it waits");
    assert_eq!(client.read_response().expect("an answer").body, "first");
    let second = client.read_response().expect("what came before the end is taken, and owed an answer");
    assert_eq!((second.body.as_str(), second.header("connection")), ("second", Some("close")));
    assert!(limiter.wait_for_exit().success());
}

#[test]
fn shutdown_waits_for_a_long_request() {
    let ((held, go), counter) = (gated_server(), counter_stand_in());
    let mut limiter = LimiterSetup::new(&[&held], &counter).start();
    let mut client = limiter.client();
    client.write(&request("once", "long", "team", 19_000));
    held.requests.recv_timeout(TIMEOUT).expect("it is sent on");
    limiter.terminate();
    // Not to order events: the limiter used to end by itself after 9 s, whatever was open.
    std::thread::sleep(Duration::from_millis(9_500));
    go.send(()).expect("it waits");
    assert_eq!(client.read_response().expect("an answer").body, "long");
    assert!(limiter.wait_for_exit().success());
}

#[test]
fn a_configuration_is_reloaded_during_shutdown() {
    let ((held, go), counter) = (gated_server(), counter_stand_in());
    let (old, _keep) =
        discovery_stand_in(server_list(1, true, &[server_row("s-0", held.address, "SERVING")]));
    let (new, _news) =
        discovery_stand_in(server_list(2, true, &[server_row("s-0", held.address, "SERVING")]));
    let mut setup = LimiterSetup::new(&[&held], &counter);
    setup.discovery = Some(old.address);
    let mut limiter = setup.start();
    let mut client = limiter.client();
    client.write(&request("look", "held", "team", 19_000));
    held.requests.recv_timeout(TIMEOUT).expect("it is sent on");
    ending(&limiter);
    let moved = limiter.config.replace(&old.address.to_string(), &new.address.to_string());
    limiter.reload(&moved);
    new.requests.recv_timeout(TIMEOUT).expect("the new discovery is asked");
    go.send(()).expect("it waits");
    assert_eq!(client.read_response().expect("an answer").status(), 200);
    assert!(limiter.wait_for_exit().success());
}

#[test]
fn an_unanswered_watch_is_replaced_by_a_call_that_does_not_wait() {
    for mode in ["push", "ask"] {
        let (one, two, counter) = (stand_in(serve_ok), stand_in(serve_ok), counter_stand_in());
        let all = [server_row("s-0", one.address, "SERVING"), server_row("s-1", two.address, "SERVING")];
        let whole = server_list(1, true, &all);
        let change = server_list(2, false, &[server_row("s-0", one.address, "DRAINING")]);
        // The first watch that waits is never answered; whoever asks anew is told at once.
        let silent = std::sync::atomic::AtomicBool::new(false);
        let agent = stand_in(move |_, message, stream| {
            let waits = message.start_line.contains("hold_ms=3000 ");
            if waits && (message.start_line.contains("from=2") || !silent.swap(true, Ordering::SeqCst)) {
                std::thread::park();
            }
            let told = silent.load(Ordering::SeqCst);
            write_response(stream, "200 OK", if told { &change } else { &whole });
        });
        let mut setup = LimiterSetup::new(&[&one, &two], &counter);
        setup.discovery = Some(agent.address);
        setup.ask_mode = mode == "ask";
        let limiter = setup.start();
        let next = |part: &str| {
            let end = std::time::Instant::now() + 2 * TIMEOUT;
            while !agent.requests.recv_timeout(TIMEOUT).expect("a call").1.start_line.contains(part) {
                assert!(std::time::Instant::now() < end, "{mode}: no call with {part}");
            }
            std::time::Instant::now()
        };
        let fell_silent = next("hold_ms=3000 ");
        let anew = next("hold_ms=1 ");
        let took = anew - fell_silent;
        // What a silent call misses counts as told after 6 s.
        assert!(took < Duration::from_secs(6), "{mode}: opened anew after {took:?}");
        next("from=2");
        for n in 0..6 {
            let answer = limiter.client().exchange(&request("look", &format!("{mode}-{n}"), "team", 20_000));
            assert_eq!(answer.status(), 200);
        }
        assert_eq!((one.requests.try_iter().count(), two.requests.try_iter().count()), (0, 6), "{mode}");
    }
}
