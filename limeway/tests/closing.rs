//! Bytes that arrive in the very moment in which a connection is shut or closed, against the real program.

mod common;
use common::*;
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

/// Reads to the end of a connection; an error where it was reset.
fn to_the_end(mut stream: TcpStream) -> std::io::Result<String> {
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text)
}

/// Guards against a close over bytes that are unread: that resets the connection, and what was on its way with it.
#[test]
fn bytes_after_the_last_request_do_not_reset_the_connection() {
    let (one, counter) = (stand_in(serve_ok), counter_stand_in());
    let limiter = LimiterSetup::new(&[&one], &counter).start();
    let asks = request("look", "last", "team", 9000);
    let last = asks.replacen("Host:", "Connection: close\r\nHost:", 1);
    let bad = "NONSENSE\r\n\r\n".to_owned();
    // Answered at once, with what is behind it still to come.
    let health = "GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".to_owned();
    for (first, status) in [(last, "200 "), (bad, "400 "), (health, "200 ")] {
        for behind in [1, 1_000, 100_000] {
            let client = limiter.client();
            let mut stream = client.stream.try_clone().expect("a second handle");
            let bytes = [first.as_bytes(), &vec![b'x'; behind]].concat();
            // It may be cut off while it writes, but not before it has its answer.
            let writer = thread::spawn(move || drop(stream.write_all(&bytes)));
            let text = to_the_end(client.stream.try_clone().expect("a second handle"));
            let seen = format!("{status}, {behind} bytes behind: {text:?}");
            assert!(text.is_ok_and(|t| t.starts_with(&format!("HTTP/1.1 {status}"))), "{seen}");
            writer.join().expect("it ends");
        }
    }
}

/// Guards against a request that is read after the limiter has ended its connection, and sent on though nobody can
/// be answered: clients ask without a pause, also in the moment in which their connections are closed.
#[test]
fn every_request_forwarded_during_shutdown_is_answered() {
    for round in 0..3 {
        let (one, counter) = (stand_in(serve_ok), counter_stand_in());
        let mut limiter = LimiterSetup::new(&[&one], &counter).start();
        let clients: Vec<_> = (0..16)
            .map(|me| {
                let mut client = limiter.client();
                thread::spawn(move || {
                    let mut answered = Vec::new();
                    for n in 0.. {
                        let id = format!("{me}-{n}");
                        client.write(&request("look", &id, "team", 9000));
                        match client.read_response() {
                            Some(_) => answered.push(id),
                            None => break,
                        }
                        // Some rest until the limiter ends them, and ask just then.
                        thread::sleep(Duration::from_millis([0, 5, 40, 450][me % 4]));
                    }
                    answered
                })
            })
            .collect();
        while one.requests.recv_timeout(TIMEOUT).expect("a request").1.header("req-id") != Some("1-1") {}
        limiter.terminate();
        assert!(limiter.wait_for_exit().success());
        let answered: BTreeSet<String> =
            clients.into_iter().flat_map(|c| c.join().expect("it ends")).collect();
        let sent = one.requests.try_iter().filter_map(|r| r.1.header("req-id").map(str::to_owned));
        let lost: Vec<String> = sent.filter(|id| !answered.contains(id)).collect();
        assert!(lost.is_empty(), "round {round}: {lost:?}");
    }
}

/// Guards against an answer without a length that is taken to end where its connection was reset.
#[test]
fn a_reset_does_not_complete_a_response_without_a_length() {
    for class in ["once", "look"] {
        let counter = counter_stand_in();
        let cut = |_: usize, _: &Message, s: &mut TcpStream| {
            let _ = s.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhalf of it");
            reset(s);
        };
        let (one, two) = (stand_in(cut), stand_in(cut));
        let limiter = LimiterSetup::new(&[&one, &two], &counter).start();
        assert_eq!(limiter.client().exchange(&request(class, "1", "team", 9000)).status(), 502, "{class}");
        let attempts = one.requests.try_iter().count() + two.requests.try_iter().count();
        assert_eq!(attempts > 1, class == "look", "{class}: {attempts} attempts");
    }
}

/// Writes an answer that tells no length, its body in these pieces, and ends the connection in an orderly way.
fn answer_without_length(stream: &mut TcpStream, pieces: &[&str]) {
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n");
    for piece in pieces {
        let _ = stream.write_all(piece.as_bytes());
        thread::sleep(Duration::from_millis(2));
    }
    let _ = stream.shutdown(Shutdown::Write);
}

/// Guards against good work that is thrown away: an orderly end is the end of an answer that tells no length.
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
        let one = stand_in(move |_, _, stream| {
            let pieces: Vec<&str> = sent.iter().map(String::as_str).collect();
            answer_without_length(stream, &pieces);
        });
        let counter = counter_stand_in();
        let limiter = LimiterSetup::new(&[&one], &counter).start();
        for n in 0..10 {
            let answer = limiter.client().exchange(&request(class, &n.to_string(), "team", 9000));
            assert_eq!((answer.status(), answer.body == text), (200, true), "{class}, request {n}");
        }
        assert_eq!(one.requests.try_iter().count(), 10, "{class}: one attempt each");
    }
}

/// Guards against a cut answer that is served: a body that is empty, one that holds a second answer, and one whose
/// server went down as it came, so that all its connections ended with it.
#[test]
fn a_response_without_a_length_that_may_be_truncated_is_not_returned() {
    let second = "served\r\nHTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved";
    for (body, goes_down) in [("", false), (second, false), ("half of it", true)] {
        let counter = counter_stand_in();
        let (go, held) = channel::<()>();
        let (connections, held) = (Mutex::new(Vec::<TcpStream>::new()), Mutex::new(held));
        let one = stand_in(move |_, message, stream| {
            if message.header("req-id") != Some("last") {
                connections.lock().expect("no panic").push(stream.try_clone().expect("a second handle"));
                // Two are open at once, so that one of them is idle later.
                let _ = held.lock().expect("no panic").recv_timeout(TIMEOUT);
                return write_response(stream, "200 OK", "served");
            }
            let open = connections.lock().expect("no panic");
            for connection in open.iter().filter(|_| goes_down) {
                if connection.peer_addr().ok() != stream.peer_addr().ok() {
                    let _ = connection.shutdown(Shutdown::Write);
                }
            }
            answer_without_length(stream, &[body]);
        });
        let limiter = LimiterSetup::new(&[&one], &counter).start();
        let mut clients: Vec<Client> = (0..2).map(|_| limiter.client()).collect();
        for (n, client) in clients.iter_mut().enumerate() {
            client.write(&request("once", &n.to_string(), "team", 9000));
            one.requests.recv_timeout(TIMEOUT).expect("it is sent on");
        }
        for client in &mut clients {
            go.send(()).expect("it is awaited");
            assert_eq!(client.read_response().map(|answer| answer.status()), Some(200));
        }
        let answer = clients[0].exchange(&request("once", "last", "team", 9000));
        assert_eq!(answer.status(), 502, "{body:?}, goes down: {goes_down}");
        assert_eq!(one.requests.try_iter().count(), 1, "what may have run is not sent again");
    }
}

/// Guards against the end of the process in the middle of a request, whose last byte may just be on its way.
#[test]
fn a_partly_received_request_gets_503_at_shutdown() {
    let (one, counter) = (stand_in(serve_ok), counter_stand_in());
    let mut limiter = LimiterSetup::new(&[&one], &counter).start();
    let text = request("book", "in-part", "team", 9000);
    let mut clients: Vec<Client> = [1, text.len() / 2, text.len() - 1]
        .map(|written| {
            let mut client = limiter.client();
            client.write(&text[..written]);
            client
        })
        .into();
    wait_two_loop_iterations(&limiter);
    limiter.terminate();
    for client in &mut clients {
        let answer = client.read_response().expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), (503, Some("close")));
    }
    assert!(limiter.wait_for_exit().success());
    assert!(one.requests.try_recv().is_err(), "nothing is sent on");
}
