//! Requests through the limiter: what is forwarded to servers, how each outcome is answered, and invalid input.

mod common;

use common::*;
use std::collections::HashSet;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

fn serve_hi_there(_: usize, _: &Message, stream: &mut TcpStream) {
    write_response(stream, "200 OK", "hi there");
}

#[test]
fn a_request_is_forwarded_unchanged_and_its_response_returned() {
    let (server, counter) = (stand_in(serve_hi_there), counter_stand_in());
    let limiter = LimiterSetup::new(&[&server], &counter).start();
    let response = limiter.client().exchange(&request("book", "9b1f", "team", 9000));
    assert_eq!((response.status(), response.body.as_str()), (200, "hi there"));
    let (_, sent) = server.requests.recv_timeout(TIMEOUT).expect("an attempt");
    assert_eq!(sent.start_line, "POST /book/00000000b4d65521?x=1 HTTP/1.1");
    assert_eq!(sent.body, "hello");
    assert_eq!(sent.header("req-id"), Some("9b1f"));
    assert_eq!(sent.header("idempotency-key"), Some("5c0f"));
    let left: u64 = sent.header("req-deadline-ms").and_then(|l| l.parse().ok()).expect("a deadline");
    assert!((1..=9000).contains(&left), "forwarded deadline: {left} ms");
}

#[test]
fn invalid_requests_get_their_status_and_reach_no_server() {
    let (server, counter) = (stand_in(serve_hi_there), counter_stand_in());
    let limiter = LimiterSetup::new(&[&server], &counter).start();
    let good = request("book", "1", "team", 9000);
    let look = request("look", "1", "team", 9000);
    let long = format!("X-Long: {}\r\nHost:", "y".repeat(20_000));
    let many = format!("{}Host:", "X-Many: 1\r\n".repeat(80));
    let cases: Vec<(u16, String)> = vec![
        (400, "NONSENSE\r\n\r\n".into()),
        (400, "\u{1}\u{2}\u{3}\r\n\r\n".into()),
        (400, good.replace("Content-Length: 5", "Content-Length: 5x")),
        (400, good.replace("Content-Length: 5", "Content-Length: -5")),
        (400, good.replace("Content-Length: 5", "Content-Length: 5\r\nContent-Length: 6")),
        (400, good.replace("Content-Length: 5", "Content-Length: 5\r\nTransfer-Encoding: chunked")),
        (501, good.replace("Content-Length: 5", "Transfer-Encoding: gzip")),
        (
            400,
            good.replace("Content-Length: 5", "Transfer-Encoding: chunked").replace("hello", "zz\r\nhello"),
        ),
        (413, good.replace("Content-Length: 5", "Content-Length: 65537")),
        (
            413,
            good.replace("Content-Length: 5", "Transfer-Encoding: chunked")
                .replace("hello", "10001\r\nhello"),
        ),
        (413, good.replace("Content-Length: 5", "Content-Length: 999999999999999999")),
        (431, good.replace("Host:", &long)),
        (431, good.replace("Host:", &many)),
        (404, good.replace("/book/", "/")),
        (404, good.replace("/book/", "/other/")),
        (404, good.replace("00000000b4d65521", "b4d65521")),
        (404, good.replace("00000000b4d65521", "00000000b4d6552g")),
        (404, good.replace("00000000b4d65521", "ffffffffffffffff")),
        (404, "GET / HTTP/1.1\r\nHost: x\r\n\r\n".into()),
        (405, good.replace("POST", "PUT")),
        (405, look.replace("GET", "POST")),
        (405, "POST /_health HTTP/1.1\r\nHost: x\r\n\r\n".into()),
        (400, good.replace("Req-Kind: book", "Req-Kind: look")),
        (400, good.replace("Req-Kind: book", "X-Other: book")),
        (400, good.replace("Idempotency-Key: 5c0f", "X-Other: 5c0f")),
        (400, good.replace("Req-Id: 1\r\n", "")),
        (400, good.replace("Plan: team", "Plan: gold")),
        (400, good.replace("Plan: team\r\n", "")),
        (400, good.replace("Req-Deadline-Ms: 9000\r\n", "")),
        (400, good.replace("Req-Deadline-Ms: 9000", "Req-Deadline-Ms: 0")),
        (400, good.replace("Req-Deadline-Ms: 9000", "Req-Deadline-Ms: soon")),
        (400, good.replace("Req-Deadline-Ms: 9000", "Req-Deadline-Ms: 99999999999999999999")),
        (400, good.replace("Quota-Info: units=1,spread=2,first=0\r\n", "")),
        (400, good.replace("units=1", "units=nan")),
        (400, good.replace("units=1", "units=-1")),
        (400, good.replace("units=1", "units=1e30")),
        (400, good.replace("units=1", "units=1,units=2")),
        (400, good.replace("units=1", "units=1.5")),
        (400, good.replace("units=1", "units=0.01")),
        (400, good.replace("units=1", "units=+1")),
        (400, good.replace("units=1", "units=inf")),
        (400, good.replace("Req-Deadline-Ms: 9000", "Req-Deadline-Ms: 900000000")),
        (400, good.replace("Req-Deadline-Ms: 9000", "Req-Deadline-Ms: 9e3")),
        (400, good.replace("Req-Id: 1", "Req-Id: 1\r\nReq-Id: 2")),
        (400, good.replace("Plan: team", "Plan: team\r\nPlan: tiny")),
        (400, good.replace("Req-Kind: book", "Req-Kind: book\r\nReq-Kind: book")),
        (400, good.replace("Idempotency-Key: 5c0f", "Idempotency-Key: 5c0f\r\nidempotency-key: 5c10")),
        (400, good.replace("Plan: team\r\n", "Plan: team\n")),
        (400, look.replace("\r\n\r\n", "\r\nContent-Length: 2\r\n\r\nhi")),
        (400, good.replace("spread=2", "spread=0")),
        (400, good.replace("spread=2", "spread=3")),
        (400, good.replace("first=0", "first=2")),
        (400, good.replace(",first=0", "")),
        (400, good.replace("units=1,spread=2,first=0", "units")),
    ];
    for (status, bytes) in cases {
        let response = limiter.client().exchange(&bytes);
        assert_eq!(response.status(), status, "{bytes:.300}");
    }
    assert_eq!(server.requests.recv_timeout(Duration::ZERO).err(), Some(RecvTimeoutError::Timeout));
    assert!(limiter.passes_health_check());
    assert_eq!(limiter.client().exchange(&good).status(), 200);
}

#[test]
fn chunked_requests_and_responses_are_decoded() {
    let (server, counter) = (
        stand_in(|_, _, stream| {
            let _ = stream.write_all(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhi \r\n5;x=1\r\nthere\r\n0\r\nT: 1\r\n\r\n",
            );
        }),
        counter_stand_in(),
    );
    let limiter = LimiterSetup::new(&[&server], &counter).start();
    let chunked = request("once", "1", "team", 9000)
        .replace("Content-Length: 5", "Transfer-Encoding: chunked")
        .replace("hello", "2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n");
    let mut client = limiter.client();
    for _ in 0..2 {
        let response = client.exchange(&chunked);
        assert_eq!((response.status(), response.body.as_str()), (200, "hi there"));
        assert_eq!(server.requests.recv_timeout(TIMEOUT).expect("an attempt").1.body, "hello");
    }
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let (server, counter) = (
        stand_in(|_, m, s| write_response(s, "200 OK", m.header("req-id").unwrap_or("-"))),
        counter_stand_in(),
    );
    let limiter = LimiterSetup::new(&[&server], &counter).start();
    let mut client = limiter.client();
    let all: String = (0..5).map(|n| request("look", &n.to_string(), "team", 9000)).collect();
    client.write(&all);
    for n in 0..5 {
        assert_eq!(client.read_response().expect("a response").body, n.to_string());
    }
}

#[test]
fn only_503_and_504_with_srv_declined_become_429() {
    let (server, counter) = (
        stand_in(|_, m, s| match m.header("req-id") {
            Some("a") => write_response(s, "503 Busy\r\nSrv-Declined: 1", ""),
            Some("b") => write_response(s, "504 Late\r\nSrv-Declined: 1", ""),
            Some("c") => write_response(s, "503 Busy", ""),
            Some("d") => write_response(s, "500 Broken\r\nSrv-Declined: 1", ""),
            _ => write_response(s, "418 Teapot", ""),
        }),
        counter_stand_in(),
    );
    let limiter = LimiterSetup::new(&[&server], &counter).start();
    let mut client = limiter.client();
    for (id, status) in [("a", 429), ("b", 429), ("c", 502), ("d", 502), ("e", 502)] {
        assert_eq!(client.exchange(&request("once", id, "team", 9000)).status(), status, "{id}");
    }
}

#[test]
fn an_unsafe_request_is_not_retried_after_an_invalid_or_truncated_response() {
    let bad_responses: [&str; 5] = [
        "",
        "HTTP/1.1 200 OK\r\nContent-Le",
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\nabc",
        "garbage\r\n\r\n",
    ];
    let (server, counter) = (
        stand_in(move |_, m, s| {
            let number: usize = m.header("req-id").and_then(|id| id.parse().ok()).expect("a number");
            let _ = s.write_all(bad_responses[number].as_bytes());
            close(s);
        }),
        counter_stand_in(),
    );
    for number in 0..bad_responses.len() {
        // Listed as two servers, so that a retry at the other one would be possible.
        let limiter = LimiterSetup::new(&[&server, &server], &counter).start();
        let response = limiter.client().exchange(&request("once", &number.to_string(), "team", 9000));
        assert_eq!(response.status(), 502, "response {number}");
    }
    assert_eq!(server.requests.try_iter().count(), bad_responses.len());
}

#[test]
fn a_failed_keyed_request_is_retried_on_another_server() {
    let (bad, good) = (stand_in(|_, _, s| write_response(s, "500 Broken", "")), stand_in(serve_hi_there));
    let counter = counter_stand_in();
    // The first server is chosen at random, and a limiter prefers one that has worked: so each request gets a new
    // limiter.
    for n in 0..24 {
        let limiter = LimiterSetup::new(&[&bad, &good], &counter).seed(n * 7_919 + 1).start();
        assert_eq!(limiter.client().exchange(&request("book", &n.to_string(), "team", 9000)).status(), 200);
    }
    assert!(bad.requests.try_iter().count() >= 1, "the failing server was never tried");
}

#[test]
fn after_a_refused_connection_even_an_unsafe_request_is_retried() {
    let (good, counter) = (stand_in(serve_hi_there), counter_stand_in());
    let mut setup = LimiterSetup::new(&[&good], &counter);
    setup.servers.push(("s-dead".into(), unused_address()));
    let limiter = setup.start();
    let mut client = limiter.client();
    for n in 0..8 {
        assert_eq!(client.exchange(&request("once", &n.to_string(), "team", 9000)).status(), 200);
    }
}

/// Guards against writing to a connection that its server has closed while it was idle: the attempt would end with a
/// reset, and an unsafe request would fail needlessly.
#[test]
fn a_server_connection_closed_while_idle_is_not_reused() {
    let (notify_closed, closed) = channel();
    let notify_closed = Mutex::new(notify_closed);
    let (server, counter) = (
        stand_in(move |_, _, s| {
            write_response(s, "200 OK", "");
            close(s);
            let _ = notify_closed.lock().expect("lock is not poisoned").send(());
        }),
        counter_stand_in(),
    );
    let limiter = LimiterSetup::new(&[&server], &counter).start();
    let mut client = limiter.client();
    for n in 0..10 {
        assert_eq!(client.exchange(&request("once", &n.to_string(), "team", 9000)).status(), 200);
        closed.recv_timeout(TIMEOUT).expect("the server closes the connection");
    }
}

#[test]
fn server_connections_are_reused() {
    let (server, counter) = (stand_in(serve_hi_there), counter_stand_in());
    let limiter = LimiterSetup::new(&[&server], &counter).start();
    let mut client = limiter.client();
    for n in 0..5 {
        assert_eq!(client.exchange(&request("look", &n.to_string(), "team", 9000)).status(), 200);
    }
    let connections: Vec<usize> = server.requests.try_iter().map(|(connection, _)| connection).collect();
    assert_eq!(connections, [0; 5]);
}

/// A server that never responds. Once the connection of a request ends, the receiver gets `true`; if further bytes
/// arrive instead, it gets `false`.
fn unresponsive_server() -> (StandIn, Receiver<bool>) {
    let (notify_ended, ended) = channel();
    let notify_ended = Mutex::new(notify_ended);
    let server = stand_in(move |_, _, s| {
        let read = s.read(&mut [0; 1]);
        let _ = notify_ended.lock().expect("lock is not poisoned").send(matches!(read, Ok(0) | Err(_)));
    });
    (server, ended)
}

/// Guards against work for a client that has disconnected, and against an attempt that outlives its request.
#[test]
fn a_client_disconnect_cancels_its_attempt() {
    let ((server, ended), counter) = (unresponsive_server(), counter_stand_in());
    let limiter = LimiterSetup::new(&[&server], &counter).start();
    let mut client = limiter.client();
    client.write(&request("look", "1", "team", 30_000));
    server.requests.recv_timeout(TIMEOUT).expect("an attempt");
    drop(client);
    assert_eq!(ended.recv_timeout(TIMEOUT), Ok(true));
    assert!(limiter.passes_health_check());
}

#[test]
fn an_attempt_at_an_unresponsive_server_ends_at_the_deadline() {
    let ((server, ended), counter) = (unresponsive_server(), counter_stand_in());
    let limiter = LimiterSetup::new(&[&server], &counter).start();
    let mut client = limiter.client();
    assert_eq!(client.exchange(&request("once", "1", "team", 400)).status(), 502);
    assert_eq!(ended.recv_timeout(TIMEOUT), Ok(true));
    // The first request gets no second response: the next one on the connection is that of the next request.
    assert_eq!(client.exchange("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n").status(), 200);
    assert_eq!(server.requests.try_iter().count(), 1);
}

#[test]
fn a_customer_over_quota_gets_429_with_retry_after() {
    let (server, counter) = (stand_in(serve_hi_there), counter_stand_in());
    let limiter = LimiterSetup::new(&[&server], &counter).start();
    let mut client = limiter.client();
    let responses: Vec<Message> =
        (0..6).map(|n| client.exchange(&request("look", &n.to_string(), "tiny", 9000))).collect();
    assert_eq!(responses[0].status(), 200);
    let refused = responses.last().expect("six responses");
    assert_eq!(refused.status(), 429);
    let retry_after: f64 =
        refused.header("retry-after").and_then(|w| w.parse().ok()).expect("a retry-after header");
    assert!(retry_after > 0.0 && retry_after <= 1.0, "{retry_after}");
}

/// Guards against a server that crashed or restarted unnoticed: once a connection to it is reset, the limiter must
/// not use its older connections to that server either.
#[test]
fn after_a_reset_older_connections_to_the_server_are_not_reused() {
    let (release, wait) = channel::<()>();
    let wait = Mutex::new(wait);
    let (server, counter) = (
        stand_in(move |_, m, s| match m.header("req-id") {
            Some("held") => {
                let _ = wait.lock().expect("lock is not poisoned").recv();
                write_response(s, "200 OK", "");
            }
            Some("broken") => close(s),
            _ => write_response(s, "200 OK", ""),
        }),
        counter_stand_in(),
    );
    let limiter = LimiterSetup::new(&[&server], &counter).start();
    let (mut first, mut second) = (limiter.client(), limiter.client());
    first.write(&request("look", "held", "team", 9000));
    assert_eq!(server.requests.recv_timeout(TIMEOUT).expect("an attempt").0, 0);
    assert_eq!(second.exchange(&request("look", "second", "team", 9000)).status(), 200);
    assert_eq!(server.requests.recv_timeout(TIMEOUT).expect("an attempt").0, 1);
    release.send(()).expect("stand-in is running");
    assert_eq!(first.read_response().expect("a response").status(), 200);
    assert_eq!(second.exchange(&request("once", "broken", "team", 9000)).status(), 502);
    assert_eq!(server.requests.recv_timeout(TIMEOUT).expect("an attempt").0, 0);
    let mut third = limiter.client();
    third.write(&request("book", "after", "team", 9000));
    assert_eq!(server.requests.recv_timeout(TIMEOUT).expect("an attempt").0, 2);
    assert_eq!(third.read_response().expect("a response").status(), 200);
}

/// Malformed responses, after which the server leaves the connection open.
const MALFORMED: [&str; 8] = [
    "\u{1}\u{2}noise\r\n\r\n",
    "noise without an end",
    "HTTP/1.1 200 OK\r\nX-Pad: ",
    "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nabcd",
    "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\nabcd",
    "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabcd",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n",
    "HTTP/1.1 200 OK\r\n\r\nabcd",
];

/// Guards against taking a server out of service for one malformed response, and against waiting for the rest of such
/// a response until the client's deadline.
#[test]
fn a_malformed_response_fails_the_attempt_but_the_server_stays_in_service() {
    for malformed in MALFORMED {
        let counter = counter_stand_in();
        let server = stand_in(move |_, m, s| match m.header("req-id") {
            Some("first") => drop(s.write_all(malformed.as_bytes())),
            _ => write_response(s, "200 OK", "hi"),
        });
        let limiter = LimiterSetup::new(&[&server], &counter).start();
        let (mut client, start) = (limiter.client(), Instant::now());
        let response = client.exchange(&request("once", "first", "team", 30_000));
        assert_eq!(response.status(), 502, "{malformed}");
        let response = client.exchange(&request("once", "second", "team", 30_000));
        assert_eq!((response.status(), response.body.as_str()), (200, "hi"), "{malformed}");
        assert!(start.elapsed() < Duration::from_secs(15), "{malformed}: waited too long for its rest");
    }
}

#[test]
fn a_safe_request_is_retried_after_a_malformed_response() {
    let (send_noise, counter) =
        (|_: usize, _: &Message, s: &mut TcpStream| drop(s.write_all(b"noise\n\n")), counter_stand_in());
    let (server_0, server_1) = (stand_in(send_noise), stand_in(serve_hi_there));
    for n in 0..24 {
        let limiter = LimiterSetup::new(&[&server_0, &server_1], &counter).seed(n * 7_919 + 1).start();
        assert_eq!(limiter.client().exchange(&request("look", &n.to_string(), "team", 30_000)).status(), 200);
    }
    assert!(server_0.requests.try_iter().count() > 0, "the failing server was never tried");
}

/// Guards against taking a second response, sent right after the first or a little later, for that of the next
/// request.
#[test]
fn a_surplus_response_is_not_taken_for_that_of_the_next_request() {
    for delay in [Duration::ZERO, Duration::from_millis(2), Duration::from_millis(8)] {
        let counter = counter_stand_in();
        let server = stand_in(move |_, m, s| {
            let id = m.header("req-id").expect("an id").to_owned();
            write_response(s, "200 OK", &id);
            std::thread::sleep(delay);
            write_response(s, "200 OK\r\nX: copy", &id);
        });
        let limiter = LimiterSetup::new(&[&server], &counter).start();
        let mut client = limiter.client();
        for n in 0..20 {
            let id = n.to_string();
            let response = client.exchange(&request("look", &id, "team", 30_000));
            assert_eq!(
                (response.status(), response.body.as_str()),
                (200, id.as_str()),
                "second response after {delay:?}"
            );
        }
    }
}

/// Starts a server stand-in that sends one response in ten twice, in a write each and without `TCP_NODELAY`: its system
/// holds the second one back until the first is acknowledged. It declines these requests if `declines`. Returns the
/// ids of the requests that it ran.
fn server_that_repeats_responses(declines: bool) -> (StandIn, Arc<Mutex<Vec<String>>>) {
    const REPEAT_ONE_IN: usize = 10;
    let executed = Arc::new(Mutex::new(Vec::new()));
    let (shared, count) = (executed.clone(), AtomicUsize::new(0));
    let server = stand_in(move |_, message, stream| {
        let id = message.header("req-id").expect("an id").to_owned();
        // Longer than a connection rests, so that a response taken from the one before would go unnoticed.
        std::thread::sleep(Duration::from_millis(50));
        let repeat = count.fetch_add(1, Ordering::SeqCst) % REPEAT_ONE_IN == REPEAT_ONE_IN - 1;
        let declined = repeat && declines;
        let head = if declined { "503 Busy\r\nSrv-Declined: 1" } else { "200 OK" };
        if !declined {
            shared.lock().expect("lock is not poisoned").push(id.clone());
        }
        write_response_at_once(stream, head, &id);
        if repeat {
            write_response_at_once(stream, head, &id);
        }
    });
    (server, executed)
}

/// Guards against a foreign response with 200, and against running an unsafe request twice: a second copy that the
/// server's system holds back passed for the response to the next request on that connection.
#[test]
fn a_second_response_held_back_until_acknowledged_is_not_taken_for_that_of_the_next_request() {
    let check = |class: &str, declines: bool| {
        let (server, executed) = server_that_repeats_responses(declines);
        let counter = prompt_counter_stand_in();
        let limiter = LimiterSetup::new(&[&server], &counter).start();
        let mut client = limiter.client();
        for round in 0..60 {
            let id = round.to_string();
            let response = client.exchange(&request(class, &id, "team", 30_000));
            assert!(response.status() != 200 || response.body == id, "{id} got {}", response.body);
            // Longer than a connection rests, and shorter than systems delay acknowledgements.
            std::thread::sleep(Duration::from_millis(22 + round % 12));
        }
        let executed = executed.lock().expect("lock is not poisoned");
        let distinct: HashSet<&String> = executed.iter().collect();
        assert!(distinct.len() > 50, "{} requests have run", distinct.len());
        assert_eq!(distinct.len(), executed.len(), "a request of class {class} has run twice");
    };
    std::thread::scope(|scope| {
        scope.spawn(|| check("look", false));
        scope.spawn(|| check("once", true));
    });
}

#[test]
fn interim_responses_are_skipped_up_to_a_limit() {
    let counter = counter_stand_in();
    let server = stand_in(|_, m, s| {
        let interim = "HTTP/1.1 102 Processing\r\nX: y\r\n\r\n";
        let times = if m.header("req-id") == Some("few") { 3 } else { 1_000 };
        let _ = s.write_all(interim.repeat(times).as_bytes());
        write_response(s, "200 OK", "hi");
    });
    let limiter = LimiterSetup::new(&[&server], &counter).start();
    let response = limiter.client().exchange(&request("once", "few", "team", 30_000));
    assert_eq!((response.status(), response.body.as_str()), (200, "hi"));
    assert_eq!(limiter.client().exchange(&request("once", "many", "team", 30_000)).status(), 502);
}

/// Guards against forwarding hop-by-hop headers, and headers that a server may interpret differently from the
/// limiter.
#[test]
fn only_known_headers_are_forwarded_and_the_client_cannot_remove_any() {
    let (server, counter) = (stand_in(serve_hi_there), counter_stand_in());
    let limiter = LimiterSetup::new(&[&server], &counter).start();
    let added = "Connection: Req-Id, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\nSrv-Declined: 1\r\nHost:";
    let text = request("book", "kept", "team", 9000).replace("Host:", added);
    assert_eq!(limiter.client().exchange(&text).status(), 200);
    let (_, sent) = server.requests.recv_timeout(TIMEOUT).expect("a request");
    assert_eq!((sent.header("req-id"), sent.header("idempotency-key")), (Some("kept"), Some("5c0f")));
    for name in ["connection", "x-hop", "te", "srv-declined"] {
        assert_eq!(sent.header(name), None, "{name}");
    }
}

/// Guards against mixing up the responses of two requests with the same id. Once the first is answered, or its client
/// has disconnected, the id can be used again.
#[test]
fn a_request_with_the_id_of_an_open_request_gets_409() {
    let (release, wait) = channel::<()>();
    let wait = Mutex::new(wait);
    let server = stand_in(move |_, _, s| {
        let _ = wait.lock().expect("lock is not poisoned").recv();
        write_response(s, "200 OK", "hi");
    });
    let counter = counter_stand_in();
    let limiter = LimiterSetup::new(&[&server], &counter).start();
    let (mut first, mut second) = (limiter.client(), limiter.client());
    first.write(&request("look", "same", "team", 30_000));
    server.requests.recv_timeout(TIMEOUT).expect("an attempt");
    assert_eq!(second.exchange(&request("look", "same", "team", 30_000)).status(), 409);
    release.send(()).expect("stand-in is running");
    assert_eq!(first.read_response().map(|a| a.status()), Some(200));
    release.send(()).expect("stand-in is running");
    assert_eq!(second.exchange(&request("look", "same", "team", 30_000)).status(), 200);
}

/// Guards against taking a large response for a malformed one: every attempt would run the request, and none would be
/// served.
#[test]
fn a_large_response_is_returned_whole() {
    let (server, counter) =
        (stand_in(|_, _, s| write_response(s, "200 OK", &"large ".repeat(70_000))), counter_stand_in());
    let limiter = LimiterSetup::new(&[&server], &counter).start();
    let response = limiter.client().exchange(&request("look", "1", "team", 30_000));
    assert_eq!((response.status(), response.body.len()), (200, 420_000));
}
