//! Incomplete, endless and oversized messages, against the real program, and limits on time, memory and connections.

mod common;
use common::*;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time within which a client that stalls in the middle of a request gets an error response, or its connection is
/// closed.
const STALLED_CLIENT_LIMIT: Duration = Duration::from_secs(3);
/// Connections that the counter accepts from one limiter.
const COUNTER_CONNECTION_LIMIT: usize = 32;

#[test]
fn a_client_that_stalls_mid_request_gets_an_error_or_close_in_time() {
    let (server, counter) = (stand_in(serve_ok), counter_stand_in());
    let limiter = LimiterSetup::new(&[&server], &counter).start();
    let plain = request("book", "part", "team", 9000);
    let chunked = plain.replace("Content-Length: 5", "Transfer-Encoding: chunked");
    let with_body = |body: &str| chunked.replace("hello", body);
    let parts = [
        plain[..1].to_owned(),
        plain[..plain.len() - 6].to_owned(),
        plain[..plain.len() - 1].to_owned(),
        with_body("5"),
        with_body("5\r\nhel"),
        with_body("5\r\nhello"),
        with_body("5\r\nhello\r\n0\r\nTrailer: 1"),
    ];
    let clients: Vec<_> = parts
        .into_iter()
        .flat_map(|part| [(false, part.clone()), (true, part)])
        .map(|(reused, part)| {
            let mut client = limiter.client();
            std::thread::spawn(move || {
                assert!(!reused || client.health_check());
                let start = Instant::now();
                client.write(&part);
                let status = client.read_response().map(|response| response.status());
                (reused, part, start.elapsed(), status)
            })
        })
        .collect();
    for client in clients {
        let (reused, part, took, status) = client.join().expect("thread does not panic");
        assert!(took < STALLED_CLIENT_LIMIT, "{took:?}, reused connection: {reused}, {part:?}");
        assert!(status.is_none_or(|status| status >= 400), "{status:?} {part:?}");
    }
    assert!(server.requests.try_recv().is_err(), "a partial request was forwarded");
}

#[test]
fn a_60_megabyte_body_is_rejected_within_bounded_memory() {
    let (server, counter) = (stand_in(serve_ok), counter_stand_in());
    let limiter = LimiterSetup::new(&[&server], &counter).start();
    let head = request("book", "huge", "team", 9000).replace("Content-Length: 5", "Content-Length: 60000000");
    let head = head.trim_end_matches("hello").to_owned();
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let (mut stream, head) =
                (TcpStream::connect(limiter.address).expect("a connection"), head.clone());
            std::thread::spawn(move || {
                let _ = stream.write_all(head.as_bytes());
                let mut reader = stream.try_clone().expect("stream is cloned");
                let writer = std::thread::spawn(move || {
                    let part = vec![b'x'; 64 * 1024];
                    for _ in 0..1_000 {
                        if stream.write_all(&part).is_err() {
                            break;
                        }
                    }
                });
                reader.set_read_timeout(Some(TIMEOUT)).expect("read time-out is set");
                let mut text = String::new();
                let result = reader.read_to_string(&mut text);
                writer.join().expect("thread does not panic");
                // An error response, or a closed connection; the client may see the close as a reset.
                text.starts_with("HTTP/1.1 413") || result.is_err() || text.is_empty()
            })
        })
        .collect();
    assert!(clients.into_iter().all(|client| client.join().expect("thread does not panic")));
    assert!(limiter.peak_memory_mb() < 32, "{} MB", limiter.peak_memory_mb());
    assert!(limiter.passes_health_check() && server.requests.try_recv().is_err());
}

/// Guards against reading for ever when a response without a length never ends.
#[test]
fn an_endless_response_without_a_length_is_given_up() {
    let counter = counter_stand_in();
    let endless = |_: usize, _: &Message, stream: &mut TcpStream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n");
        while stream.write_all(&[b'x'; 16 * 1024]).is_ok() {}
    };
    let server = stand_in(endless);
    let limiter = LimiterSetup::new(&[&server], &counter).start();
    assert_eq!(limiter.client().exchange(&request("once", "endless", "team", 20_000)).status(), 502);
    assert!(limiter.peak_memory_mb() < 32, "{} MB", limiter.peak_memory_mb());
}

/// Guards against calls that the counter resets because the limiter has too many connections to it.
#[test]
fn connections_to_the_counter_stay_within_its_limit() {
    let server = stand_in(serve_ok);
    let opened = Arc::new(AtomicUsize::new(0));
    let ((release, wait), counted) = (channel::<()>(), opened.clone());
    let wait = Mutex::new(wait);
    let counter = stand_in(move |number, _, stream| {
        counted.fetch_max(number + 1, Ordering::SeqCst);
        let _ = wait.lock().expect("lock is not poisoned").recv_timeout(TIMEOUT);
        write_response(stream, "200 OK", "1");
    });
    let limiter = LimiterSetup::new(&[&server], &counter).start();
    let mut clients: Vec<Client> = (0..100)
        .map(|n| {
            let mut client = limiter.client();
            let text = request("look", &format!("many-{n}"), "team", 20_000);
            client.write(&text.replace("00000000b4d65521", &format!("{n:016x}")));
            client
        })
        .collect();
    wait_two_loop_iterations(&limiter);
    drop(release);
    for client in &mut clients {
        assert!(client.read_response().is_some(), "no final response");
    }
    let connections = opened.load(Ordering::SeqCst);
    assert!((2..=COUNTER_CONNECTION_LIMIT).contains(&connections), "{connections} connections");
}

#[test]
fn a_limiter_listens_on_its_own_address_only() {
    let (server, counter) = (stand_in(serve_ok), counter_stand_in());
    let limiter = LimiterSetup::new(&[&server], &counter).start();
    for other in [Ipv4Addr::LOCALHOST, Ipv4Addr::new(127, 1, 2, 3)] {
        assert!(TcpStream::connect((other, limiter.address.port())).is_err(), "{other}");
    }
    assert!(limiter.passes_health_check());
}
