//! Clients that leave, against the real program: nothing is sent on for a client that has gone, whatever its request
//! waits for. What waits for a connection or the counter is in `crossings.rs`.

mod common;
use common::*;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};

/// Two servers that hold the request named `left` until they are let go, and then turn it away or break off; others
/// they serve.
fn failing(declined: bool) -> (StandIn, StandIn, std::sync::mpsc::Sender<()>) {
    let (go, wait) = channel::<()>();
    let wait = Arc::new(Mutex::new(wait));
    let one = || {
        let wait = wait.clone();
        stand_in(move |number, message, stream| {
            if message.header("req-id") != Some("left") {
                serve_ok(number, message, stream);
            } else if wait.lock().expect("no panic while it is held").recv_timeout(TIMEOUT).is_ok()
                && declined
            {
                write_response(stream, "503 Service Unavailable\r\nSrv-Declined: 1", "");
            } else {
                close(stream);
            }
        })
    };
    (one(), one(), go)
}

#[test]
fn a_request_whose_client_disconnected_is_not_retried() {
    for (cancel, declined) in [(true, true), (true, false), (false, true), (false, false)] {
        for how in [Disconnect::Close, Disconnect::HalfClose, Disconnect::Reset] {
            let ((one, two, go), counter) = (failing(declined), counter_stand_in());
            let mut setup = LimiterSetup::new(&[&one, &two], &counter);
            setup.extra_permissions = format!(r#","cancel":{cancel}"#);
            let mut limiter = setup.start();
            let mut client = limiter.client();
            client.write(&request("look", "left", "team", 20_000));
            let end = std::time::Instant::now() + TIMEOUT;
            while one.requests.try_recv().is_err() && two.requests.try_recv().is_err() {
                assert!(std::time::Instant::now() < end, "no attempt");
                std::thread::yield_now();
            }
            disconnect(&client, how);
            drop(client);
            wait_two_loop_iterations(&limiter);
            go.send(()).expect("it waits");
            assert_eq!(limiter.client().exchange(&request("look", "stays", "team", 20_000)).status(), 200);
            // It does not end before each request that it holds is answered.
            limiter.terminate();
            assert!(limiter.wait_for_exit().success());
            let further = one.requests.try_iter().chain(two.requests.try_iter());
            let further: Vec<_> = further.filter(|r| r.1.header("req-id") == Some("left")).collect();
            assert!(further.is_empty(), "cancel {cancel}, declined {declined}, {how:?}: {further:?}");
        }
    }
}

#[test]
fn a_request_whose_client_disconnected_while_no_server_was_available_is_not_forwarded() {
    for how in [Disconnect::Close, Disconnect::HalfClose, Disconnect::Reset] {
        for several in [false, true] {
            let (one, (counter, answered)) = (stand_in(serve_ok), notifying_counter());
            let (agent, updates) =
                discovery_stand_in(server_list(1, true, &[server_row("s-0", one.address, "DRAINING")]));
            let mut setup = LimiterSetup::new(&[&one], &counter);
            setup.discovery = Some(agent.address);
            let mut limiter = setup.start();
            let mut client = limiter.client();
            let ids: &[&str] = if several { &["left", "second", "third"] } else { &["left"] };
            client.write(&ids.iter().map(|id| request("look", id, "team", 20_000)).collect::<String>());
            answered.recv_timeout(TIMEOUT).expect("a call to the counter");
            wait_two_loop_iterations(&limiter);
            disconnect(&client, how);
            drop(client);
            wait_two_loop_iterations(&limiter);
            updates
                .send(server_list(2, false, &[server_row("s-0", one.address, "SERVING")]))
                .expect("it is told");
            assert_eq!(limiter.client().exchange(&request("look", "stays", "team", 20_000)).status(), 200);
            limiter.terminate();
            assert!(limiter.wait_for_exit().success());
            let sent: Vec<_> =
                one.requests.try_iter().map(|r| r.1.header("req-id").map(str::to_owned)).collect();
            assert_eq!(sent, [Some("stays".to_owned())], "{how:?}, several {several}");
        }
    }
}

/// Guards against a request that was read and whose connection is closed with no answer: the end of a client's sending
/// looks the same whether it has gone or still reads.
#[test]
fn a_half_closed_client_gets_a_final_response() {
    let silent = || stand_in(|_, _, _| std::thread::park());
    for (waits_for, status) in [("counter", 429), ("server", 502), ("limiter", 503)] {
        let (one, _go) = gated_server();
        let counter = if waits_for == "counter" { silent() } else { counter_stand_in() };
        let limiter = LimiterSetup::new(&[&one], &counter).start();
        if waits_for == "limiter" {
            limiter.pause();
        }
        let mut client = limiter.client();
        client.write(&request("look", "half", "team", 20_000));
        match waits_for {
            "counter" => drop(counter.requests.recv_timeout(TIMEOUT).expect("a call")),
            "server" => drop(one.requests.recv_timeout(TIMEOUT).expect("an attempt")),
            _ => {}
        }
        disconnect(&client, Disconnect::HalfClose);
        limiter.resume();
        assert_eq!(
            client.read_response().map(|answer| answer.status()),
            Some(status),
            "it waits for the {waits_for}"
        );
        assert!(client.read_response().is_none(), "the connection ends");
        assert!(one.requests.try_recv().is_err(), "nothing further is sent on");
    }
}

/// Guards against a request that is sent on by an event that came just before its client left, where a process that is
/// held up finds both at once.
#[test]
fn a_request_whose_client_disconnected_while_the_limiter_was_stopped_is_not_forwarded() {
    for how in [Disconnect::Close, Disconnect::HalfClose, Disconnect::Reset] {
        for round in 0..4 {
            let (one, (go, wait)) = (stand_in(serve_ok), channel::<()>());
            let (wait, (tell, answered)) = (Mutex::new(wait), channel());
            let counter = stand_in(move |_, _, stream| {
                let _ = wait.lock().expect("no panic while it is held").recv_timeout(TIMEOUT);
                write_response(stream, "200 OK", "1");
                let _ = tell.send(());
            });
            let limiter = LimiterSetup::new(&[&one], &counter).start();
            let mut client = limiter.client();
            client.write(&request("look", "left", "team", 20_000));
            counter.requests.recv_timeout(TIMEOUT).expect("a call");
            limiter.pause();
            go.send(()).expect("it waits");
            answered.recv_timeout(TIMEOUT).expect("the counter's answer");
            disconnect(&client, how);
            drop(client);
            // Not to order events: an attempt may begin up to 0.1 s after its client has left.
            std::thread::sleep(std::time::Duration::from_millis(120));
            limiter.resume();
            wait_two_loop_iterations(&limiter);
            go.send(()).expect("it waits");
            assert_eq!(limiter.client().exchange(&request("look", "stays", "team", 20_000)).status(), 200);
            let (_, first) = one.requests.recv_timeout(TIMEOUT).expect("a request");
            assert_eq!(first.header("req-id"), Some("stays"), "{how:?}, round {round}");
        }
    }
}

/// The same where its connection to a server came up just before.
#[test]
fn a_request_whose_client_disconnected_just_after_its_server_connection_opened_is_not_forwarded() {
    for how in [Disconnect::Close, Disconnect::HalfClose, Disconnect::Reset] {
        let (withheld, (counter, _answered)) = (FullBacklog::new(), notifying_counter());
        let stand_in = StandIn { address: withheld.address, requests: channel().1 };
        let mut setup = LimiterSetup::new(&[&stand_in], &counter);
        setup.extra_permissions = r#","dial-timeout":15000000"#.to_owned();
        let mut limiter = setup.start();
        let mut client = limiter.client();
        client.write(&request("look", "left", "team", 20_000));
        withheld.wait_for_pending_connect();
        limiter.pause();
        let (one, comes_up) = withheld.start_accepting();
        comes_up.recv_timeout(TIMEOUT).expect("its connection");
        disconnect(&client, how);
        drop(client);
        // Not to order events: an attempt may begin up to 0.1 s after its client has left.
        std::thread::sleep(std::time::Duration::from_millis(120));
        limiter.resume();
        wait_two_loop_iterations(&limiter);
        assert_eq!(limiter.client().exchange(&request("look", "stays", "team", 20_000)).status(), 200);
        limiter.terminate();
        assert!(limiter.wait_for_exit().success());
        let sent: Vec<_> = one.requests.try_iter().map(|r| r.1.header("req-id").map(str::to_owned)).collect();
        assert_eq!(sent, [Some("stays".to_owned())], "{how:?}");
    }
}
