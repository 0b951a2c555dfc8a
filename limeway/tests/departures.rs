//! Clients that leave, against the real program: nothing is sent on for a client that has gone, whatever its request
//! waits for. What waits for a connection or the counter is in `crossings.rs`.

mod common;
use common::*;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};

/// Two servers that hold the request named `left` until they are let go, and then turn it away or break off; others
/// they serve.
fn failing(declined: bool) -> (Server, Server, std::sync::mpsc::Sender<()>) {
    let (go, wait) = channel::<()>();
    let wait = Arc::new(Mutex::new(wait));
    let one = || {
        let wait = wait.clone();
        server(move |number, message, stream| {
            if message.header("req-id") != Some("left") {
                ok(number, message, stream);
            } else if wait.lock().expect("no panic while it is held").recv_timeout(LONG).is_ok() && declined {
                reply(stream, "503 Service Unavailable\r\nSrv-Declined: 1", "");
            } else {
                hang_up(stream);
            }
        })
    };
    (one(), one(), go)
}

#[test]
fn a_request_whose_client_left_is_not_sent_again_after_its_attempt_failed() {
    for (cancel, declined) in [(true, true), (true, false), (false, true), (false, false)] {
        for how in [Leaving::Closes, Leaving::HalfCloses, Leaving::Resets] {
            let ((one, two, go), counter) = (failing(declined), counter());
            let mut setup = Setup::new(&[&one, &two], &counter);
            setup.permissions = format!(r#","cancel":{cancel}"#);
            let mut limiter = setup.start();
            let mut client = limiter.client();
            client.write(&request("look", "left", "team", 20_000));
            let end = std::time::Instant::now() + LONG;
            while one.requests.try_recv().is_err() && two.requests.try_recv().is_err() {
                assert!(std::time::Instant::now() < end, "no attempt");
                std::thread::yield_now();
            }
            leave(&client, how);
            drop(client);
            turns(&limiter);
            go.send(()).expect("it waits");
            assert_eq!(limiter.client().ask(&request("look", "stays", "team", 20_000)).status(), 200);
            // It does not end before each request that it holds is answered.
            limiter.terminate();
            assert!(limiter.wait().success());
            let further = one.requests.try_iter().chain(two.requests.try_iter());
            let further: Vec<_> = further.filter(|r| r.1.header("req-id") == Some("left")).collect();
            assert!(further.is_empty(), "cancel {cancel}, declined {declined}, {how:?}: {further:?}");
        }
    }
}

#[test]
fn a_request_whose_client_left_while_no_server_could_take_it_is_not_sent_on() {
    for how in [Leaving::Closes, Leaving::HalfCloses, Leaving::Resets] {
        for several in [false, true] {
            let (one, (counter, answered)) = (server(ok), telling_counter());
            let (agent, news) = discovery(list(1, true, &[entry("s-0", one.address, "DRAINING")]));
            let mut setup = Setup::new(&[&one], &counter);
            setup.discovery = Some(agent.address);
            let mut limiter = setup.start();
            let mut client = limiter.client();
            let ids: &[&str] = if several { &["left", "second", "third"] } else { &["left"] };
            client.write(&ids.iter().map(|id| request("look", id, "team", 20_000)).collect::<String>());
            answered.recv_timeout(LONG).expect("a call to the counter");
            turns(&limiter);
            leave(&client, how);
            drop(client);
            turns(&limiter);
            news.send(list(2, false, &[entry("s-0", one.address, "SERVING")])).expect("it is told");
            assert_eq!(limiter.client().ask(&request("look", "stays", "team", 20_000)).status(), 200);
            limiter.terminate();
            assert!(limiter.wait().success());
            let sent: Vec<_> =
                one.requests.try_iter().map(|r| r.1.header("req-id").map(str::to_owned)).collect();
            assert_eq!(sent, [Some("stays".to_owned())], "{how:?}, several {several}");
        }
    }
}

/// Guards against a request that was read and whose connection is closed with no answer: the end of a client's sending
/// looks the same whether it has gone or still reads.
#[test]
fn a_client_that_only_ends_its_sending_gets_a_final_answer() {
    let silent = || server(|_, _, _| std::thread::park());
    for (waits_for, status) in [("counter", 429), ("server", 502), ("limiter", 503)] {
        let (one, _go) = holding();
        let counter = if waits_for == "counter" { silent() } else { counter() };
        let limiter = Setup::new(&[&one], &counter).start();
        if waits_for == "limiter" {
            limiter.pause();
        }
        let mut client = limiter.client();
        client.write(&request("look", "half", "team", 20_000));
        match waits_for {
            "counter" => drop(counter.requests.recv_timeout(LONG).expect("a call")),
            "server" => drop(one.requests.recv_timeout(LONG).expect("an attempt")),
            _ => {}
        }
        leave(&client, Leaving::HalfCloses);
        limiter.resume();
        assert_eq!(client.read().map(|answer| answer.status()), Some(status), "it waits for the {waits_for}");
        assert!(client.read().is_none(), "the connection ends");
        assert!(one.requests.try_recv().is_err(), "nothing further is sent on");
    }
}

/// Guards against a request that is sent on by an event that came just before its client left, where a process that is
/// held up finds both at once.
#[test]
fn a_request_whose_client_left_while_the_limiter_was_held_up_is_not_sent_on() {
    for how in [Leaving::Closes, Leaving::HalfCloses, Leaving::Resets] {
        for round in 0..4 {
            let (one, (go, wait)) = (server(ok), channel::<()>());
            let (wait, (tell, answered)) = (Mutex::new(wait), channel());
            let counter = server(move |_, _, stream| {
                let _ = wait.lock().expect("no panic while it is held").recv_timeout(LONG);
                reply(stream, "200 OK", "1");
                let _ = tell.send(());
            });
            let limiter = Setup::new(&[&one], &counter).start();
            let mut client = limiter.client();
            client.write(&request("look", "left", "team", 20_000));
            counter.requests.recv_timeout(LONG).expect("a call");
            limiter.pause();
            go.send(()).expect("it waits");
            answered.recv_timeout(LONG).expect("the counter's answer");
            leave(&client, how);
            drop(client);
            // Not to order events: an attempt may begin up to 0.1 s after its client has left.
            std::thread::sleep(std::time::Duration::from_millis(120));
            limiter.resume();
            turns(&limiter);
            go.send(()).expect("it waits");
            assert_eq!(limiter.client().ask(&request("look", "stays", "team", 20_000)).status(), 200);
            let (_, first) = one.requests.recv_timeout(LONG).expect("a request");
            assert_eq!(first.header("req-id"), Some("stays"), "{how:?}, round {round}");
        }
    }
}

/// The same where its connection to a server came up just before.
#[test]
fn a_request_whose_client_left_just_after_its_connection_came_up_is_not_sent_on() {
    for how in [Leaving::Closes, Leaving::HalfCloses, Leaving::Resets] {
        let (withheld, (counter, _answered)) = (Withheld::new(), telling_counter());
        let stand_in = Server { address: withheld.address, requests: channel().1 };
        let mut setup = Setup::new(&[&stand_in], &counter);
        setup.permissions = r#","dial-timeout":15000000"#.to_owned();
        let mut limiter = setup.start();
        let mut client = limiter.client();
        client.write(&request("look", "left", "team", 20_000));
        withheld.wait_for_connecting();
        limiter.pause();
        let (one, comes_up) = withheld.open();
        comes_up.recv_timeout(LONG).expect("its connection");
        leave(&client, how);
        drop(client);
        // Not to order events: an attempt may begin up to 0.1 s after its client has left.
        std::thread::sleep(std::time::Duration::from_millis(120));
        limiter.resume();
        turns(&limiter);
        assert_eq!(limiter.client().ask(&request("look", "stays", "team", 20_000)).status(), 200);
        limiter.terminate();
        assert!(limiter.wait().success());
        let sent: Vec<_> = one.requests.try_iter().map(|r| r.1.header("req-id").map(str::to_owned)).collect();
        assert_eq!(sent, [Some("stays".to_owned())], "{how:?}");
    }
}
