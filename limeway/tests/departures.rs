//! Clients that disconnect, against the real program: nothing is forwarded for a client that has gone, whatever its
//! request was waiting for. Requests that wait for a server connection or the counter are in `crossings.rs`.

mod common;
use common::*;
use std::io::Write;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};

/// Two servers that hold the request with id `left` until a message is sent on the sender, and then decline it or
/// close the connection. They serve all other requests.
fn failing_servers(declined: bool) -> (StandIn, StandIn, std::sync::mpsc::Sender<()>) {
    let (release, wait) = channel::<()>();
    let wait = Arc::new(Mutex::new(wait));
    let failing_server = || {
        let wait = wait.clone();
        stand_in(move |number, message, stream| {
            if message.header("req-id") != Some("left") {
                serve_ok(number, message, stream);
            } else if wait.lock().expect("lock is not poisoned").recv_timeout(TIMEOUT).is_ok() && declined {
                write_response(stream, "503 Service Unavailable\r\nSrv-Declined: 1", "");
            } else {
                close(stream);
            }
        })
    };
    (failing_server(), failing_server(), release)
}

#[test]
fn a_request_whose_client_disconnected_is_not_retried() {
    for (cancel, declined) in [(true, true), (true, false), (false, true), (false, false)] {
        for how in [Disconnect::Close, Disconnect::HalfClose, Disconnect::Reset] {
            let ((server_0, server_1, release), counter) = (failing_servers(declined), counter_stand_in());
            let mut setup = LimiterSetup::new(&[&server_0, &server_1], &counter);
            setup.extra_permissions = format!(r#","cancel":{cancel}"#);
            let mut limiter = setup.start();
            let mut client = limiter.client();
            client.write(&request("look", "left", "team", 20_000));
            let end = std::time::Instant::now() + TIMEOUT;
            while server_0.requests.try_recv().is_err() && server_1.requests.try_recv().is_err() {
                assert!(std::time::Instant::now() < end, "no attempt");
                std::thread::yield_now();
            }
            disconnect(&client, how);
            drop(client);
            wait_two_loop_iterations(&limiter);
            release.send(()).expect("stand-in is running");
            assert_eq!(limiter.client().exchange(&request("look", "stays", "team", 20_000)).status(), 200);
            // The limiter does not exit before it has answered every request.
            limiter.terminate();
            assert!(limiter.wait_for_exit().success());
            let retries = server_0.requests.try_iter().chain(server_1.requests.try_iter());
            let retries: Vec<_> = retries.filter(|r| r.1.header("req-id") == Some("left")).collect();
            assert!(retries.is_empty(), "cancel {cancel}, declined {declined}, {how:?}: {retries:?}");
        }
    }
}

#[test]
fn a_request_whose_client_disconnected_while_no_server_was_available_is_not_forwarded() {
    for how in [Disconnect::Close, Disconnect::HalfClose, Disconnect::Reset] {
        for several in [false, true] {
            let (server, (counter, answered)) = (stand_in(serve_ok), notifying_counter());
            let (discovery, updates) =
                discovery_stand_in(server_list(1, true, &[server_row("s-0", server.address, "DRAINING")]));
            let mut setup = LimiterSetup::new(&[&server], &counter);
            setup.discovery = Some(discovery.address);
            let mut limiter = setup.start();
            let mut client = limiter.client();
            let ids: &[&str] = if several { &["left", "second", "third"] } else { &["left"] };
            client.write(&ids.iter().map(|id| request("look", id, "team", 20_000)).collect::<String>());
            answered.recv_timeout(TIMEOUT).expect("a counter call");
            wait_two_loop_iterations(&limiter);
            disconnect(&client, how);
            drop(client);
            wait_two_loop_iterations(&limiter);
            updates
                .send(server_list(2, false, &[server_row("s-0", server.address, "SERVING")]))
                .expect("discovery stand-in is running");
            assert_eq!(limiter.client().exchange(&request("look", "stays", "team", 20_000)).status(), 200);
            limiter.terminate();
            assert!(limiter.wait_for_exit().success());
            let sent: Vec<_> =
                server.requests.try_iter().map(|r| r.1.header("req-id").map(str::to_owned)).collect();
            assert_eq!(sent, [Some("stays".to_owned())], "{how:?}, several {several}");
        }
    }
}

/// Guards against closing the connection of a received request without a response: when a client half-closes its
/// connection, the limiter cannot tell whether it has gone or still reads.
#[test]
fn a_half_closed_client_gets_a_final_response() {
    let unresponsive = || stand_in(|_, _, _| std::thread::park());
    for (waits_for, status) in [("counter", 429), ("server", 502), ("limiter", 503)] {
        let (server, _release) = gated_server();
        let counter = if waits_for == "counter" { unresponsive() } else { counter_stand_in() };
        let limiter = LimiterSetup::new(&[&server], &counter).start();
        if waits_for == "limiter" {
            limiter.pause();
        }
        let mut client = limiter.client();
        client.write(&request("look", "half", "team", 20_000));
        match waits_for {
            "counter" => drop(counter.requests.recv_timeout(TIMEOUT).expect("a counter call")),
            "server" => drop(server.requests.recv_timeout(TIMEOUT).expect("an attempt")),
            _ => {}
        }
        disconnect(&client, Disconnect::HalfClose);
        limiter.resume();
        assert_eq!(
            client.read_response().map(|response| response.status()),
            Some(status),
            "waiting for the {waits_for}"
        );
        assert!(client.read_response().is_none(), "the connection ends");
        assert!(server.requests.try_recv().is_err(), "a further request was forwarded");
    }
}

/// Guards against forwarding a request because of an event just before its client disconnected, when a process that
/// was stopped sees both at once.
#[test]
fn a_request_whose_client_disconnected_while_the_limiter_was_stopped_is_not_forwarded() {
    for how in [Disconnect::Close, Disconnect::HalfClose, Disconnect::Reset] {
        for round in 0..4 {
            let (server, (release, wait)) = (stand_in(serve_ok), channel::<()>());
            let (wait, (notify_answered, answered)) = (Mutex::new(wait), channel());
            let counter = stand_in(move |_, _, stream| {
                let _ = wait.lock().expect("lock is not poisoned").recv_timeout(TIMEOUT);
                write_response(stream, "200 OK", "1");
                let _ = notify_answered.send(());
            });
            let limiter = LimiterSetup::new(&[&server], &counter).start();
            let mut client = limiter.client();
            client.write(&request("look", "left", "team", 20_000));
            counter.requests.recv_timeout(TIMEOUT).expect("a counter call");
            limiter.pause();
            release.send(()).expect("stand-in is running");
            answered.recv_timeout(TIMEOUT).expect("the counter's response");
            disconnect(&client, how);
            drop(client);
            // An attempt may still begin up to 0.1 s after its client has disconnected; this sleep orders no events.
            std::thread::sleep(std::time::Duration::from_millis(120));
            limiter.resume();
            wait_two_loop_iterations(&limiter);
            release.send(()).expect("stand-in is running");
            assert_eq!(limiter.client().exchange(&request("look", "stays", "team", 20_000)).status(), 200);
            let (_, first) = server.requests.recv_timeout(TIMEOUT).expect("a request");
            assert_eq!(first.header("req-id"), Some("stays"), "{how:?}, round {round}");
        }
    }
}

/// The same if the event is that the connection to a server has opened.
#[test]
fn a_request_whose_client_disconnected_just_after_its_server_connection_opened_is_not_forwarded() {
    for how in [Disconnect::Close, Disconnect::HalfClose, Disconnect::Reset] {
        let (listener, (counter, _answered)) = (FullAcceptQueue::new(), notifying_counter());
        let mut setup = LimiterSetup::new(&[&listener.listed()], &counter);
        setup.extra_permissions = r#","dial-timeout":15000000"#.to_owned();
        let mut limiter = setup.start();
        let mut client = limiter.client();
        client.write(&request("look", "left", "team", 20_000));
        listener.wait_for_pending_connect();
        limiter.pause();
        let (server, accepted) = listener.start_accepting();
        accepted.recv_timeout(TIMEOUT).expect("the connection for the attempt");
        disconnect(&client, how);
        drop(client);
        // An attempt may still begin up to 0.1 s after its client has disconnected; this sleep orders no events.
        std::thread::sleep(std::time::Duration::from_millis(120));
        limiter.resume();
        wait_two_loop_iterations(&limiter);
        assert_eq!(limiter.client().exchange(&request("look", "stays", "team", 20_000)).status(), 200);
        limiter.terminate();
        assert!(limiter.wait_for_exit().success());
        let sent: Vec<_> =
            server.requests.try_iter().map(|r| r.1.header("req-id").map(str::to_owned)).collect();
        assert_eq!(sent, [Some("stays".to_owned())], "{how:?}");
    }
}

/// A keyed request with a body of this length.
fn keyed_request(id: &str, body_length: usize) -> String {
    let text = request("book", id, "team", 20_000)
        .replace("Content-Length: 5", &format!("Content-Length: {body_length}"));
    text.strip_suffix("hello").expect("a request of class book has a body").to_owned()
        + &"b".repeat(body_length)
}

/// Sends requests until neither the limiter nor the systems on the way take in more, so that a disconnect is behind
/// input that the limiter has not read.
fn fill_with_requests(limiter: &Limiter, client: &Client, body_length: usize) {
    let mut stream = &client.stream;
    stream.set_nonblocking(true).expect("it is set");
    let (mut number, mut unsent, mut at) = (0, Vec::new(), 0);
    let mut refused = false;
    loop {
        if at == unsent.len() {
            (unsent, at) = (keyed_request(&format!("ahead-{number}"), body_length).into_bytes(), 0);
            number += 1;
        }
        match stream.write(&unsent[at..]) {
            Ok(length) => (at, refused) = (at + length, false),
            Err(_) if refused => break,
            Err(_) => {
                wait_two_loop_iterations(limiter);
                refused = true;
            }
        }
    }
    stream.set_nonblocking(false).expect("it is set");
}

/// Guards against forwarding requests of a client that sent much at once and left: the end of its input is behind what
/// the limiter may hold, and does not show. The server becomes available only after the client has left.
#[test]
fn a_request_whose_client_disconnected_behind_unread_input_is_not_forwarded() {
    for (memory_mb, body_length) in [(32, 64 * 1024), (32, 300), (192, 64 * 1024), (192, 4_000)] {
        for how in [Disconnect::Close, Disconnect::HalfClose, Disconnect::Reset] {
            let (server, counter) = (stand_in(serve_ok), prompt_counter_stand_in());
            let (discovery, updates) =
                discovery_stand_in(server_list(1, true, &[server_row("s-0", server.address, "DRAINING")]));
            let setup = LimiterSetup::new(&[&server], &counter);
            let mut limiter = LimiterSetup { memory_mb, discovery: Some(discovery.address), ..setup }.start();
            let client = limiter.client();
            fill_with_requests(&limiter, &client, body_length);
            disconnect(&client, how);
            drop(client);
            // An attempt may still begin up to 0.1 s after its client has disconnected; this sleep orders no events.
            std::thread::sleep(std::time::Duration::from_millis(120));
            updates
                .send(server_list(2, false, &[server_row("s-0", server.address, "SERVING")]))
                .expect("discovery stand-in is running");
            assert_eq!(limiter.client().exchange(&request("look", "stays", "team", 20_000)).status(), 200);
            limiter.terminate();
            assert!(limiter.wait_for_exit().success());
            let sent: Vec<_> =
                server.requests.try_iter().map(|r| r.1.header("req-id").map(str::to_owned)).collect();
            assert_eq!(
                sent,
                [Some("stays".to_owned())],
                "{how:?}, bodies of {body_length} bytes, {memory_mb} MB"
            );
        }
    }
}

/// Appends the ids of the requests that a server has received.
fn take_ids(server: &StandIn, ids: &mut Vec<String>) {
    ids.extend(
        server.requests.try_iter().filter_map(|(_, message)| message.header("req-id").map(str::to_owned)),
    );
}

/// Guards against a further attempt for such a client: its first attempt was held by a server and then declined.
#[test]
fn a_request_whose_client_disconnected_behind_unread_input_is_not_retried() {
    for how in [Disconnect::Close, Disconnect::HalfClose] {
        let (release, wait) = channel::<()>();
        let wait = Arc::new(Mutex::new(wait));
        let declining_server = || {
            let wait = wait.clone();
            stand_in(move |number, message, stream| {
                if message.header("req-id") == Some("stays") {
                    return serve_ok(number, message, stream);
                }
                let _ = wait.lock().expect("lock is not poisoned").recv_timeout(TIMEOUT);
                write_response(stream, "503 Service Unavailable\r\nSrv-Declined: 1", "");
            })
        };
        let (server_0, server_1, counter) =
            (declining_server(), declining_server(), prompt_counter_stand_in());
        let setup = LimiterSetup::new(&[&server_0, &server_1], &counter);
        let mut limiter = LimiterSetup { memory_mb: 32, ..setup }.start();
        let mut client = limiter.client();
        client.write(&request("look", "left", "team", 20_000));
        let mut ids = Vec::new();
        let end = std::time::Instant::now() + TIMEOUT;
        while ids.is_empty() {
            assert!(std::time::Instant::now() < end, "no attempt");
            std::thread::yield_now();
            take_ids(&server_0, &mut ids);
            take_ids(&server_1, &mut ids);
        }
        fill_with_requests(&limiter, &client, 64 * 1024);
        disconnect(&client, how);
        drop(client);
        // An attempt may still begin up to 0.1 s after its client has disconnected; this sleep orders no events.
        std::thread::sleep(std::time::Duration::from_millis(120));
        release.send(()).expect("stand-in is running");
        drop(release);
        wait_two_loop_iterations(&limiter);
        assert_eq!(limiter.client().exchange(&request("look", "stays", "team", 20_000)).status(), 200);
        limiter.terminate();
        assert!(limiter.wait_for_exit().success());
        take_ids(&server_0, &mut ids);
        take_ids(&server_1, &mut ids);
        assert_eq!(ids, ["left", "stays"], "{how:?}");
    }
}
