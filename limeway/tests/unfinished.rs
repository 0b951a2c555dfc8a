//! Messages that never come to an end, and more than may be asked for, against the real program: bounded in time,
//! memory and connections.

mod common;
use common::*;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time within which a client that stops in the middle gets its error or its close.
const BAD_CLIENT_MOST: Duration = Duration::from_secs(3);
/// Connections that the counter holds for a limiter.
const COUNTER_CONNECTIONS: usize = 32;

#[test]
fn a_client_that_stalls_mid_request_gets_an_error_or_close_in_time() {
    let (one, counter) = (stand_in(serve_ok), counter_stand_in());
    let limiter = LimiterSetup::new(&[&one], &counter).start();
    let plain = request("book", "part", "team", 9000);
    let chunked = plain.replace("Content-Length: 5", "Transfer-Encoding: chunked");
    let chunked = |body: &str| chunked.replace("hello", body);
    let parts = [
        plain[..1].to_owned(),
        plain[..plain.len() - 6].to_owned(),
        plain[..plain.len() - 1].to_owned(),
        chunked("5"),
        chunked("5\r\nhel"),
        chunked("5\r\nhello"),
        chunked("5\r\nhello\r\n0\r\nTrailer: 1"),
    ];
    let waiting: Vec<_> = parts
        .into_iter()
        .flat_map(|part| [(false, part.clone()), (true, part)])
        .map(|(kept, part)| {
            let mut client = limiter.client();
            std::thread::spawn(move || {
                assert!(!kept || client.health_check());
                let start = Instant::now();
                client.write(&part);
                let status = client.read_response().map(|answer| answer.status());
                (kept, part, start.elapsed(), status)
            })
        })
        .collect();
    for client in waiting {
        let (kept, part, took, status) = client.join().expect("it ends");
        assert!(took < BAD_CLIENT_MOST, "{took:?}, kept connection: {kept}, {part:?}");
        assert!(status.is_none_or(|status| status >= 400), "{status:?} {part:?}");
    }
    assert!(one.requests.try_recv().is_err(), "nothing is sent on");
}

#[test]
fn a_60_megabyte_body_is_rejected_within_bounded_memory() {
    let (one, counter) = (stand_in(serve_ok), counter_stand_in());
    let limiter = LimiterSetup::new(&[&one], &counter).start();
    let head = request("book", "huge", "team", 9000).replace("Content-Length: 5", "Content-Length: 60000000");
    let head = head.trim_end_matches("hello").to_owned();
    let clients: Vec<_> = (0..4)
        .map(|_| {
            let (mut stream, head) =
                (TcpStream::connect(limiter.address).expect("a connection"), head.clone());
            std::thread::spawn(move || {
                let _ = stream.write_all(head.as_bytes());
                let mut read = stream.try_clone().expect("a second handle");
                let writer = std::thread::spawn(move || {
                    let part = vec![b'x'; 64 * 1024];
                    for _ in 0..1_000 {
                        if stream.write_all(&part).is_err() {
                            break;
                        }
                    }
                });
                read.set_read_timeout(Some(TIMEOUT)).expect("a time-out");
                let mut text = String::new();
                let end = read.read_to_string(&mut text);
                writer.join().expect("it is cut off");
                // An error, or a close that may come as a reset.
                text.starts_with("HTTP/1.1 413") || end.is_err() || text.is_empty()
            })
        })
        .collect();
    assert!(clients.into_iter().all(|client| client.join().expect("it ends")));
    assert!(limiter.peak_memory_mb() < 32, "{} MB", limiter.peak_memory_mb());
    assert!(limiter.passes_health_check() && one.requests.try_recv().is_err());
}

/// Guards against an answer without a length that goes on for ever.
#[test]
fn an_endless_response_without_a_length_is_given_up() {
    let counter = counter_stand_in();
    let endless = |_: usize, _: &Message, stream: &mut TcpStream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n");
        while stream.write_all(&[b'x'; 16 * 1024]).is_ok() {}
    };
    let one = stand_in(endless);
    let limiter = LimiterSetup::new(&[&one], &counter).start();
    assert_eq!(limiter.client().exchange(&request("once", "endless", "team", 20_000)).status(), 502);
    assert!(limiter.peak_memory_mb() < 32, "{} MB", limiter.peak_memory_mb());
}

/// Guards against calls that the counter resets because it holds too many connections already.
#[test]
fn connections_to_the_counter_stay_within_its_limit() {
    let one = stand_in(serve_ok);
    let open = Arc::new(AtomicUsize::new(0));
    let ((go, wait), counted) = (channel::<()>(), open.clone());
    let wait = Mutex::new(wait);
    let counter = stand_in(move |number, _, stream| {
        counted.fetch_max(number + 1, Ordering::SeqCst);
        let _ = wait.lock().expect("no panic while it is held").recv_timeout(TIMEOUT);
        write_response(stream, "200 OK", "1");
    });
    let limiter = LimiterSetup::new(&[&one], &counter).start();
    let mut clients: Vec<Client> = (0..100)
        .map(|n| {
            let mut client = limiter.client();
            let text = request("look", &format!("many-{n}"), "team", 20_000);
            client.write(&text.replace("00000000b4d65521", &format!("{n:016x}")));
            client
        })
        .collect();
    wait_two_loop_iterations(&limiter);
    drop(go);
    for client in &mut clients {
        assert!(client.read_response().is_some(), "a final answer");
    }
    let most = open.load(Ordering::SeqCst);
    assert!((2..=COUNTER_CONNECTIONS).contains(&most), "{most} connections");
}

#[test]
fn a_limiter_listens_on_its_own_address_only() {
    let (one, counter) = (stand_in(serve_ok), counter_stand_in());
    let limiter = LimiterSetup::new(&[&one], &counter).start();
    for other in [Ipv4Addr::LOCALHOST, Ipv4Addr::new(127, 1, 2, 3)] {
        assert!(TcpStream::connect((other, limiter.address.port())).is_err(), "{other}");
    }
    assert!(limiter.passes_health_check());
}
