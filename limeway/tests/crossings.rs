//! Races between two events, against the real program. Each test orders the events by what its clients and stand-ins do
//! (accept, read, hold back, reset), and learns what the limiter has processed from its responses, not from the time
//! that has passed. `docs/crossings.md` has the table of these pairs of events.

mod common;
use common::*;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Bytes sent after a request: none, a second request, and more than the limiter buffers.
fn bytes_behind() -> [String; 3] {
    [String::new(), request("look", "behind", "team", 20_000), "x".repeat(300_000)]
}

#[test]
fn a_request_whose_client_disconnected_while_its_server_connection_was_opening_is_not_forwarded() {
    for cancel in [true, false] {
        for how in [Disconnect::Close, Disconnect::HalfClose, Disconnect::Reset] {
            for behind in bytes_behind() {
                let (listener, (counter, answered)) = (FullAcceptQueue::new(), notifying_counter());
                let server = listener.listed();
                let mut setup = LimiterSetup::new(&[&server], &counter);
                setup.extra_permissions = format!(r#","cancel":{cancel},"dial-timeout":15000000"#);
                let mut limiter = setup.start();
                let mut client = limiter.client();
                client.write(&request("look", "left", "team", 20_000));
                // Once its units are leased, an attempt is started and opens a connection.
                answered.recv_timeout(TIMEOUT).expect("a counter call");
                wait_two_loop_iterations(&limiter);
                client.write(&behind);
                disconnect(&client, how);
                drop(client);
                wait_two_loop_iterations(&limiter);
                let (server, accepted) = listener.start_accepting();
                if !cancel {
                    // The attempt is not cancelled, so its connection opens, and the limiter then finds that the
                    // client has gone. The outcome is the same if only the limiter's side takes the connection for
                    // open.
                    let _ = accepted.recv_timeout(Duration::from_secs(4));
                }
                let mut other = limiter.client();
                assert_eq!(other.exchange(&request("look", "stays", "team", 20_000)).status(), 200);
                let (_, first) = server.requests.recv_timeout(TIMEOUT).expect("a request");
                let case = format!("cancel {cancel}, {how:?}, {} bytes behind", behind.len());
                assert_eq!(first.header("req-id"), Some("stays"), "{case}");
                // The limiter does not exit before it has answered every request.
                limiter.terminate();
                assert!(limiter.wait_for_exit().success());
                assert!(server.requests.try_recv().is_err(), "a further request is forwarded: {case}");
            }
        }
    }
}

#[test]
fn a_request_whose_client_disconnected_during_its_counter_call_is_not_forwarded() {
    for how in [Disconnect::Close, Disconnect::HalfClose, Disconnect::Reset] {
        for behind in bytes_behind() {
            let (release, wait) = std::sync::mpsc::channel::<()>();
            let wait = std::sync::Mutex::new(wait);
            let counter = stand_in(move |_, _, stream| {
                let _ = wait.lock().expect("lock is not poisoned").recv_timeout(TIMEOUT);
                write_response(stream, "200 OK", "1");
            });
            let server = stand_in(serve_ok);
            let mut limiter = LimiterSetup::new(&[&server], &counter).start();
            let mut client = limiter.client();
            client.write(&request("look", "left", "team", 20_000));
            counter.requests.recv_timeout(TIMEOUT).expect("a counter call");
            client.write(&behind);
            disconnect(&client, how);
            drop(client);
            wait_two_loop_iterations(&limiter);
            release.send(()).expect("stand-in is running");
            let mut other = limiter.client();
            let _ = release.send(());
            assert_eq!(other.exchange(&request("look", "stays", "team", 20_000)).status(), 200);
            let (_, first) = server.requests.recv_timeout(TIMEOUT).expect("a request");
            assert_eq!(first.header("req-id"), Some("stays"), "{how:?}, {} bytes behind", behind.len());
            limiter.terminate();
            assert!(limiter.wait_for_exit().success());
            assert!(server.requests.try_recv().is_err(), "{how:?}, {} bytes behind", behind.len());
        }
    }
}

/// Guards against forwarding the time that was left when the connection to the server began to open.
#[test]
fn the_forwarded_deadline_is_computed_when_the_attempt_is_written() {
    for class in ["look", "once"] {
        let (listener, (counter, answered)) = (FullAcceptQueue::new(), notifying_counter());
        let server = listener.listed();
        let mut setup = LimiterSetup::new(&[&server], &counter);
        setup.extra_permissions = r#","dial-timeout":15000000"#.to_owned();
        let limiter = setup.start();
        let mut client = limiter.client();
        client.write(&request(class, "waits", "team", 20_000));
        let written = std::time::Instant::now();
        answered.recv_timeout(TIMEOUT).expect("a counter call");
        wait_two_loop_iterations(&limiter);
        // This sleep is the time that the connection takes to open; it orders no events.
        std::thread::sleep(Duration::from_millis(700));
        let waited = written.elapsed().as_millis() as u64;
        let (server, _accepted) = listener.start_accepting();
        assert_eq!(client.read_response().expect("a response").status(), 200);
        let (_, sent) = server.requests.recv_timeout(TIMEOUT).expect("a request");
        let left: u64 = sent.header("req-deadline-ms").and_then(|t| t.parse().ok()).expect("a deadline");
        assert!(left <= 20_000 - waited, "{class}: deadline {left} ms, {waited} ms after the request");
    }
}

#[test]
fn nothing_is_sent_to_a_server_drained_while_its_connection_was_opening() {
    let (server_0, server_1, (counter, answered)) =
        (FullAcceptQueue::new(), FullAcceptQueue::new(), notifying_counter());
    let all =
        [server_row("s-0", server_0.address, "SERVING"), server_row("s-1", server_1.address, "SERVING")];
    let (discovery, updates) = discovery_stand_in(server_list(1, true, &all));
    let mut setup = LimiterSetup::new(&[&server_0.listed(), &server_1.listed()], &counter);
    setup.extra_permissions = r#","dial-timeout":15000000"#.to_owned();
    setup.discovery = Some(discovery.address);
    let limiter = setup.start();
    // Each server gets two of the four requests: the one with fewer outstanding is chosen first.
    let mut clients: Vec<Client> = (0..4).map(|_| limiter.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.write(&request("once", &format!("moves-{n}"), "team", 20_000));
        answered.recv_timeout(TIMEOUT).expect("a counter call");
        wait_two_loop_iterations(&limiter);
    }
    updates
        .send(server_list(2, false, &[server_row("s-0", server_0.address, "DRAINING")]))
        .expect("discovery stand-in is running");
    // Waits for the watch that shows that version 2 is applied.
    let has_update = |m: &Message| m.start_line.contains("from=2");
    while !has_update(&discovery.requests.recv_timeout(TIMEOUT).expect("the next watch").1) {}
    let ((server_0, _), (server_1, _)) = (server_0.start_accepting(), server_1.start_accepting());
    for client in &mut clients {
        assert_eq!(
            client.read_response().expect("a response").status(),
            200,
            "the first attempt was never sent, so even an unsafe request is retried"
        );
    }
    let served = server_1.requests.try_iter().count();
    assert_eq!(
        (server_0.requests.try_iter().count(), served),
        (0, 4),
        "requests at the draining and the serving server"
    );
}

/// Guards against a retry that is sent so late that servers have forgotten its idempotency key, because the process
/// was stopped while the connection for the retry was opening.
#[test]
fn a_keyed_retry_is_not_sent_once_servers_may_have_forgotten_its_key() {
    let fails = |_: usize, _: &Message, stream: &mut TcpStream| write_response(stream, "500 Broken", "");
    let (server_0, server_1, (counter, _answered)) =
        (stand_in(fails), FullAcceptQueue::new(), notifying_counter());
    let mut setup = LimiterSetup::new(&[&server_0, &server_1.listed()], &counter);
    // The server with the larger share is chosen first.
    let small = server_row("s-1", server_1.address, "SERVING").replace("\"share\":1.0", "\"share\":0.1");
    setup.known = KnownServers::Rows(vec![server_row("s-0", server_0.address, "SERVING"), small]);
    setup.key_window_us = 2_000_000;
    let mut limiter = setup.start();
    let mut client = limiter.client();
    client.write(&request("book", "repeated", "team", 20_000));
    server_0.requests.recv_timeout(TIMEOUT).expect("the first attempt");
    server_1.wait_for_pending_connect();
    limiter.pause();
    // The key window ends during this sleep; it orders no events.
    std::thread::sleep(Duration::from_millis(2_200));
    let (server_1, accepted) = server_1.start_accepting();
    accepted.recv_timeout(TIMEOUT).expect("the connection for the retry");
    limiter.resume();
    assert_eq!(client.read_response().expect("a response").status(), 502);
    limiter.terminate();
    assert!(limiter.wait_for_exit().success());
    assert!(server_1.requests.try_recv().is_err(), "the retry was sent");
}

/// Sends SIGTERM and waits until the limiter reports that it is not ready.
fn begin_shutdown(limiter: &Limiter) {
    limiter.terminate();
    let end = std::time::Instant::now() + TIMEOUT;
    while limiter.passes_health_check() {
        assert!(std::time::Instant::now() < end, "still ready after SIGTERM");
    }
}

#[test]
fn pipelined_requests_received_before_shutdown_are_all_answered() {
    let ((server, release), counter) = (gated_server(), counter_stand_in());
    let mut limiter = LimiterSetup::new(&[&server], &counter).start();
    let mut client = limiter.client();
    let both = ["first", "second"].map(|id| request("look", id, "team", 20_000)).concat();
    client.write(&both);
    server.requests.recv_timeout(TIMEOUT).expect("the first attempt");
    begin_shutdown(&limiter);
    release.send(()).expect("stand-in is running");
    release.send(()).expect("stand-in is running");
    assert_eq!(client.read_response().expect("a response").body, "first");
    let second = client.read_response().expect("a response to the pipelined request");
    assert_eq!((second.body.as_str(), second.header("connection")), ("second", Some("close")));
    assert!(limiter.wait_for_exit().success());
}

#[test]
fn shutdown_waits_for_a_long_request() {
    let ((server, release), counter) = (gated_server(), counter_stand_in());
    let mut limiter = LimiterSetup::new(&[&server], &counter).start();
    let mut client = limiter.client();
    client.write(&request("once", "long", "team", 19_000));
    server.requests.recv_timeout(TIMEOUT).expect("an attempt");
    limiter.terminate();
    // The limiter once exited 9 s after SIGTERM even with requests open; this sleep orders no events.
    std::thread::sleep(Duration::from_millis(9_500));
    release.send(()).expect("stand-in is running");
    assert_eq!(client.read_response().expect("a response").body, "long");
    assert!(limiter.wait_for_exit().success());
}

#[test]
fn a_configuration_is_reloaded_during_shutdown() {
    let ((server, release), counter) = (gated_server(), counter_stand_in());
    let (old, _old_updates) =
        discovery_stand_in(server_list(1, true, &[server_row("s-0", server.address, "SERVING")]));
    let (new, _updates) =
        discovery_stand_in(server_list(2, true, &[server_row("s-0", server.address, "SERVING")]));
    let mut setup = LimiterSetup::new(&[&server], &counter);
    setup.discovery = Some(old.address);
    let mut limiter = setup.start();
    let mut client = limiter.client();
    client.write(&request("look", "held", "team", 19_000));
    server.requests.recv_timeout(TIMEOUT).expect("an attempt");
    begin_shutdown(&limiter);
    let moved = limiter.config.replace(&old.address.to_string(), &new.address.to_string());
    limiter.reload(&moved);
    new.requests.recv_timeout(TIMEOUT).expect("a call to the new discovery");
    release.send(()).expect("stand-in is running");
    assert_eq!(client.read_response().expect("a response").status(), 200);
    assert!(limiter.wait_for_exit().success());
}

#[test]
fn an_unanswered_watch_is_replaced_by_a_call_that_does_not_wait() {
    for mode in ["push", "ask"] {
        let (server_0, server_1, counter) = (stand_in(serve_ok), stand_in(serve_ok), counter_stand_in());
        let all =
            [server_row("s-0", server_0.address, "SERVING"), server_row("s-1", server_1.address, "SERVING")];
        let full_list = server_list(1, true, &all);
        let change = server_list(2, false, &[server_row("s-0", server_0.address, "DRAINING")]);
        // Neither the first watch nor any from version 2 is answered; every other call after the first watch gets the
        // change at once.
        let watch_seen = std::sync::atomic::AtomicBool::new(false);
        let discovery = stand_in(move |_, message, stream| {
            let is_watch = message.start_line.contains("hold_ms=3000 ");
            if is_watch && (message.start_line.contains("from=2") || !watch_seen.swap(true, Ordering::SeqCst))
            {
                std::thread::park();
            }
            let changed = watch_seen.load(Ordering::SeqCst);
            write_response(stream, "200 OK", if changed { &change } else { &full_list });
        });
        let mut setup = LimiterSetup::new(&[&server_0, &server_1], &counter);
        setup.discovery = Some(discovery.address);
        setup.ask_mode = mode == "ask";
        let limiter = setup.start();
        let wait_for_call = |part: &str| {
            let end = std::time::Instant::now() + 2 * TIMEOUT;
            while !discovery.requests.recv_timeout(TIMEOUT).expect("a call").1.start_line.contains(part) {
                assert!(std::time::Instant::now() < end, "{mode}: no call with {part}");
            }
            std::time::Instant::now()
        };
        let unanswered = wait_for_call("hold_ms=3000 ");
        let replaced = wait_for_call("hold_ms=1 ");
        let took = replaced - unanswered;
        // After 6 s the limiter counts as informed of a change, even if the response to its call was lost.
        assert!(took < Duration::from_secs(6), "{mode}: replaced after {took:?}");
        wait_for_call("from=2");
        for n in 0..6 {
            let response =
                limiter.client().exchange(&request("look", &format!("{mode}-{n}"), "team", 20_000));
            assert_eq!(response.status(), 200);
        }
        assert_eq!(
            (server_0.requests.try_iter().count(), server_1.requests.try_iter().count()),
            (0, 6),
            "{mode}"
        );
    }
}
