//! Bytes that arrive while a connection is being shut down or closed, against the real program.

mod common;
use common::*;
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

/// Reads to the end of a connection; an error if it was reset.
fn read_to_end(mut stream: TcpStream) -> std::io::Result<String> {
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text)
}

/// Guards against closing a connection with unread bytes: the system then resets it, and a response in flight is
/// lost.
#[test]
fn bytes_after_the_last_request_do_not_reset_the_connection() {
    let (server, counter) = (stand_in(serve_ok), counter_stand_in());
    let limiter = LimiterSetup::new(&[&server], &counter).start();
    let plain = request("look", "last", "team", 9000);
    let last = plain.replacen("Host:", "Connection: close\r\nHost:", 1);
    let bad = "NONSENSE\r\n\r\n".to_owned();
    // This one is answered at once, while the bytes behind it are still arriving.
    let health = "GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".to_owned();
    for (first, status) in [(last, "200 "), (bad, "400 "), (health, "200 ")] {
        for behind in [1, 1_000, 100_000] {
            let client = limiter.client();
            let mut stream = client.stream.try_clone().expect("stream is cloned");
            let bytes = [first.as_bytes(), &vec![b'x'; behind]].concat();
            // Writing may fail once the limiter closes the connection; the response must have arrived by then.
            let writer = thread::spawn(move || drop(stream.write_all(&bytes)));
            let text = read_to_end(client.stream.try_clone().expect("stream is cloned"));
            let case = format!("{status}, {behind} bytes behind: {text:?}");
            assert!(text.is_ok_and(|t| t.starts_with(&format!("HTTP/1.1 {status}"))), "{case}");
            writer.join().expect("thread does not panic");
        }
    }
}

/// Guards against a request that is read after the limiter has shut down its connection, and forwarded although it
/// can no longer be answered: clients send requests throughout, also at the moment in which their connections are
/// closed.
#[test]
fn every_request_forwarded_during_shutdown_is_answered() {
    for round in 0..3 {
        let (server, counter) = (stand_in(serve_ok), counter_stand_in());
        let mut limiter = LimiterSetup::new(&[&server], &counter).start();
        let clients: Vec<_> = (0..16)
            .map(|number| {
                let mut client = limiter.client();
                thread::spawn(move || {
                    let mut answered = Vec::new();
                    for n in 0.. {
                        let id = format!("{number}-{n}");
                        client.write(&request("look", &id, "team", 9000));
                        match client.read_response() {
                            Some(_) => answered.push(id),
                            None => break,
                        }
                        // With pauses of 450 ms, requests arrive just when the limiter closes idle connections.
                        thread::sleep(Duration::from_millis([0, 5, 40, 450][number % 4]));
                    }
                    answered
                })
            })
            .collect();
        // Waits until the server has received this request.
        while server.requests.recv_timeout(TIMEOUT).expect("a request").1.header("req-id") != Some("1-1") {}
        limiter.terminate();
        assert!(limiter.wait_for_exit().success());
        let answered: BTreeSet<String> =
            clients.into_iter().flat_map(|c| c.join().expect("thread does not panic")).collect();
        let sent = server.requests.try_iter().filter_map(|r| r.1.header("req-id").map(str::to_owned));
        let unanswered: Vec<String> = sent.filter(|id| !answered.contains(id)).collect();
        assert!(unanswered.is_empty(), "round {round}: no response to {unanswered:?}");
    }
}

/// Guards against taking a reset for the end of a response without a length.
#[test]
fn a_reset_does_not_complete_a_response_without_a_length() {
    for class in ["once", "look"] {
        let counter = counter_stand_in();
        let cut = |_: usize, _: &Message, s: &mut TcpStream| {
            let _ = s.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhalf of it");
            reset(s);
        };
        let (server_0, server_1) = (stand_in(cut), stand_in(cut));
        let limiter = LimiterSetup::new(&[&server_0, &server_1], &counter).start();
        assert_eq!(limiter.client().exchange(&request(class, "1", "team", 9000)).status(), 502, "{class}");
        let attempts = server_0.requests.try_iter().count() + server_1.requests.try_iter().count();
        assert_eq!(attempts > 1, class == "look", "{class}: {attempts} attempts");
    }
}

/// Writes a response without a length, with its body in these pieces, and shuts down the sending side of the
/// connection.
fn respond_without_length(stream: &mut TcpStream, pieces: &[&str]) {
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n");
    for piece in pieces {
        let _ = stream.write_all(piece.as_bytes());
        thread::sleep(Duration::from_millis(2));
    }
    let _ = stream.shutdown(Shutdown::Write);
}

/// Guards against discarding a complete response: one without a length ends when the server shuts down the
/// connection.
#[test]
fn a_complete_response_without_a_length_is_returned() {
    let long = "x".repeat(100_000);
    for (class, pieces) in [
        ("look", vec!["whole"]),
        ("book", vec!["in ", "three ", "pieces"]),
        ("once", vec!["o", "n", "c", "e"]),
        ("look", vec![long.as_str(), "and its end"]),
    ] {
        let text = pieces.concat();
        let sent: Vec<String> = pieces.iter().map(|piece| (*piece).to_owned()).collect();
        let server = stand_in(move |_, _, stream| {
            let pieces: Vec<&str> = sent.iter().map(String::as_str).collect();
            respond_without_length(stream, &pieces);
        });
        let counter = counter_stand_in();
        let limiter = LimiterSetup::new(&[&server], &counter).start();
        for n in 0..10 {
            let response = limiter.client().exchange(&request(class, &n.to_string(), "team", 9000));
            assert_eq!((response.status(), response.body == text), (200, true), "{class}, request {n}");
        }
        assert_eq!(server.requests.try_iter().count(), 10, "{class}: one attempt each");
    }
}

/// Guards against returning a truncated response. Three responses without a length are not trusted: one with an empty
/// body, one whose body contains a second response, and one whose server ended all its connections at the same time,
/// as a server that is shutting down does.
#[test]
fn a_response_without_a_length_that_may_be_truncated_is_not_returned() {
    let two_responses = "served\r\nHTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved";
    for (body, shuts_down) in [("", false), (two_responses, false), ("half of it", true)] {
        let counter = counter_stand_in();
        let (release, wait) = channel::<()>();
        let (connections, wait) = (Mutex::new(Vec::<TcpStream>::new()), Mutex::new(wait));
        let server = stand_in(move |_, message, stream| {
            if message.header("req-id") != Some("last") {
                connections
                    .lock()
                    .expect("lock is not poisoned")
                    .push(stream.try_clone().expect("stream is cloned"));
                // Both requests are held, so that each has a connection of its own, and one of these is idle later.
                let _ = wait.lock().expect("lock is not poisoned").recv_timeout(TIMEOUT);
                return write_response(stream, "200 OK", "served");
            }
            let open = connections.lock().expect("lock is not poisoned");
            for connection in open.iter().filter(|_| shuts_down) {
                if connection.peer_addr().ok() != stream.peer_addr().ok() {
                    let _ = connection.shutdown(Shutdown::Write);
                }
            }
            respond_without_length(stream, &[body]);
        });
        let limiter = LimiterSetup::new(&[&server], &counter).start();
        let mut clients: Vec<Client> = (0..2).map(|_| limiter.client()).collect();
        for (n, client) in clients.iter_mut().enumerate() {
            client.write(&request("once", &n.to_string(), "team", 9000));
            server.requests.recv_timeout(TIMEOUT).expect("an attempt");
        }
        for client in &mut clients {
            release.send(()).expect("stand-in is running");
            assert_eq!(client.read_response().map(|response| response.status()), Some(200));
        }
        let response = clients[0].exchange(&request("once", "last", "team", 9000));
        assert_eq!(response.status(), 502, "{body:?}, shuts down: {shuts_down}");
        assert_eq!(
            server.requests.try_iter().count(),
            1,
            "an unsafe request that may have run is not retried"
        );
    }
}

/// Guards against exiting while a request is partly received: its last bytes may be in flight.
#[test]
fn a_partly_received_request_gets_503_at_shutdown() {
    let (server, counter) = (stand_in(serve_ok), counter_stand_in());
    let mut limiter = LimiterSetup::new(&[&server], &counter).start();
    let text = request("book", "in-part", "team", 9000);
    let mut clients: Vec<Client> = [1, text.len() / 2, text.len() - 1]
        .map(|length| {
            let mut client = limiter.client();
            client.write(&text[..length]);
            client
        })
        .into();
    wait_two_loop_iterations(&limiter);
    limiter.terminate();
    for client in &mut clients {
        let response = client.read_response().expect("a response");
        assert_eq!((response.status(), response.header("connection")), (503, Some("close")));
    }
    assert!(limiter.wait_for_exit().success());
    assert!(server.requests.try_recv().is_err(), "a partial request was forwarded");
}
