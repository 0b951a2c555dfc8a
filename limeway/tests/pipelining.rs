//! Clients with many requests on their way at once on one connection, against the real program.

mod common;
use common::*;
use std::io::Write;
use std::sync::mpsc::{channel, Receiver};
use std::thread;

/// Number of customers among whom the requests are divided, so that each stays inside its quota.
const CUSTOMERS: usize = 50;

/// Request number `n`, with a body of its own of the given length.
fn numbered_request(n: usize, body_length: usize) -> (String, String) {
    let mut body = String::with_capacity(body_length + 16);
    while body.len() < body_length {
        body.push_str(&format!("request {n:06}\n"));
    }
    body.truncate(body_length);
    let customer = format!("{:016x}", n % CUSTOMERS);
    let head = request("book", &format!("{n:06}"), "team", 30_000)
        .replace("00000000b4d65521", &customer)
        .replace("Content-Length: 5", &format!("Content-Length: {body_length}"));
    let text = head.strip_suffix("hello").expect("a request of class book has a body").to_owned() + &body;
    (text, body)
}

/// Starts a server stand-in that answers with the request's id and length of its body. It holds the first request
/// until a message is sent on the sender.
fn server_that_holds_the_first(release: Receiver<()>) -> StandIn {
    let release = std::sync::Mutex::new(Some(release));
    stand_in(move |_, message, stream| {
        if let Some(release) = release.lock().expect("lock is not poisoned").take() {
            let _ = release.recv_timeout(TIMEOUT);
        }
        let body = format!("{} {}", message.header("req-id").unwrap_or_default(), message.body.len());
        write_response_at_once(stream, "200 OK", &body);
    })
}

/// Sends `at_once` requests on one connection, and one more after each response. All of them have to be answered in
/// order, and to reach the server as they were sent.
fn check_pipelining(at_once: usize, body_length: usize) {
    let (open, release) = channel();
    let (server, counter) = (server_that_holds_the_first(release), prompt_counter_stand_in());
    let limiter = LimiterSetup::new(&[&server], &counter).start();
    let mut client = limiter.client();
    let mut stream = client.stream.try_clone().expect("stream is cloned");
    // What does not fit into the buffers on the way is written while responses are read.
    let (send, to_send) = channel::<String>();
    let writer = thread::spawn(move || {
        for text in to_send {
            let _ = stream.write_all(text.as_bytes());
        }
    });
    for n in 0..at_once {
        send.send(numbered_request(n, body_length).0).expect("the writer runs");
    }
    let (_, first) = server.requests.recv_timeout(TIMEOUT).expect("the first request is forwarded");
    wait_two_loop_iterations(&limiter);
    open.send(()).expect("the server waits");
    let total = 2 * at_once;
    for n in 0..total {
        let response = client.read_response();
        let response = response.unwrap_or_else(|| panic!("request {n} of {total} gets a response"));
        let expected = format!("{n:06} {body_length}");
        assert_eq!((response.status(), response.body), (200, expected), "request {n} of {total}");
        let further = at_once + n;
        if further < total {
            send.send(numbered_request(further, body_length).0).expect("the writer runs");
        }
    }
    let forwarded = std::iter::once(first).chain(server.requests.try_iter().map(|(_, message)| message));
    let mut count = 0;
    for (n, message) in forwarded.enumerate() {
        let (text, body) = numbered_request(n, body_length);
        let request_line = text.lines().next().expect("a request line");
        assert_eq!(message.start_line, request_line);
        assert!(message.body == body, "the body of request {n} of {total} is forwarded unchanged");
        count += 1;
    }
    assert_eq!(count, total, "every request is forwarded once");
    drop(send);
    writer.join().expect("the writer ends");
}

/// Guards against a gap in the input of a client that sends more ahead than is buffered: its requests were cut off, and
/// the head of one was forwarded with the body of another.
#[test]
fn many_pipelined_requests_are_all_forwarded_unchanged_and_answered_in_order() {
    for (at_once, body_length) in
        [(2, 0), (200, 0), (200, 4_000), (400, 300), (20, 64 * 1024), (60, 64 * 1024)]
    {
        check_pipelining(at_once, body_length);
    }
}

/// Guards against losing requests of a client that sends more ahead than may be held, and stays: each is answered in its
/// turn, served or refused.
#[test]
fn requests_beyond_what_may_be_held_are_served_or_refused_in_order() {
    const AT_ONCE: usize = 200;
    const BODY_LENGTH: usize = 64 * 1024;
    let respond = |_: usize, message: &Message, stream: &mut std::net::TcpStream| {
        write_response_at_once(stream, "200 OK", message.header("req-id").unwrap_or_default());
    };
    let (server, counter) = (stand_in(respond), prompt_counter_stand_in());
    let limiter = LimiterSetup { memory_mb: 32, ..LimiterSetup::new(&[&server], &counter) }.start();
    let mut client = limiter.client();
    let mut stream = client.stream.try_clone().expect("stream is cloned");
    let writer = thread::spawn(move || {
        for n in 0..AT_ONCE {
            let _ = stream.write_all(numbered_request(n, BODY_LENGTH).0.as_bytes());
        }
    });
    let mut served = 0;
    for n in 0..AT_ONCE {
        let response = client.read_response();
        let response = response.unwrap_or_else(|| panic!("request {n} of {AT_ONCE} gets a response"));
        if response.status() == 200 {
            assert_eq!(response.body, format!("{n:06}"), "the response to request {n}");
            served += 1;
        } else {
            let is_refusal = matches!(response.status(), 429 | 503);
            assert!(is_refusal && response.header("retry-after").is_some(), "request {n}: {response:?}");
        }
    }
    assert!(served > 0, "no request is served");
    writer.join().expect("the writer ends");
    let peak = limiter.peak_memory_mb();
    assert!(peak < 32, "{peak} MB");
}
