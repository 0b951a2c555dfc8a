//! The memory that clients' requests and servers' responses take together, against the real program.

mod common;
use common::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Largest body of a request that the protocol allows.
const MAX_BODY: usize = 64 * 1024;
/// Time within which a client that stops in the middle of a request gets an error or a close.
const STOPPED_CLIENT_LIMIT: Duration = Duration::from_secs(3);

/// The head of a request of class `book` with these framing headers, of a customer of its own.
fn head(n: usize, framing: &str) -> String {
    let text = request("book", &format!("memory-{n}"), "team", 9_000)
        .replace("00000000b4d65521", &format!("{n:016x}"))
        .replace("Content-Length: 5", framing);
    text.strip_suffix("hello").expect("a request of class book has a body").to_owned()
}

/// How clients stop in the middle of a request, or behind one.
#[derive(Debug, Clone, Copy)]
enum Stop {
    /// Near the end of a body with a length.
    InBody,
    /// Near the end of a body in chunks.
    InChunks,
    /// In a long head.
    InHead,
    /// With a whole request, and a part of one with a large body behind it.
    BehindRequest,
}

impl Stop {
    fn message(self, n: usize) -> String {
        let part = "p".repeat(MAX_BODY - 512);
        let with_length = head(n, &format!("Content-Length: {MAX_BODY}"));
        match self {
            Stop::InBody => with_length + &part,
            Stop::InChunks => head(n, "Transfer-Encoding: chunked") + &format!("{MAX_BODY:x}\r\n") + &part,
            Stop::InHead => head(n, &format!("X-Long: {}", "x".repeat(15 * 1024))).trim_end().to_owned(),
            Stop::BehindRequest => {
                let whole = head(100_000 + n, &format!("Content-Length: {MAX_BODY}")) + &"w".repeat(MAX_BODY);
                whole + &with_length + &part
            }
        }
    }
}

/// Sends a message and waits until the limiter ends the connection. Returns all responses, and the time that it took since
/// the message was sent or, with a whole request in front of the part, since the response to that one.
fn send_and_wait(stream: &mut TcpStream, stop: Stop, number: usize) -> (String, Duration) {
    stream.set_read_timeout(Some(TIMEOUT)).expect("read time-out is set");
    let mut start = Instant::now();
    // The limiter may end the connection while it is written to.
    let _ = stream.write_all(stop.message(number).as_bytes());
    let (mut responses, mut part) = (Vec::new(), [0; 4_096]);
    while let Ok(length @ 1..) = stream.read(&mut part) {
        if responses.is_empty() && matches!(stop, Stop::BehindRequest) {
            start = Instant::now();
        }
        responses.extend_from_slice(&part[..length]);
    }
    (String::from_utf8_lossy(&responses).into_owned(), start.elapsed())
}

/// Sends small requests one after the other until `stop` is set. Each is served, or refused for want of a server or of a
/// place for its connection.
fn check_small_requests(limiter: SocketAddr, number: usize, stop: &AtomicBool) {
    let connect = || Client::new(TcpStream::connect(limiter).expect("a connection"));
    let mut client = connect();
    for round in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let text = request("look", &format!("small-{number}-{round}"), "team", 9_000)
            .replace("00000000b4d65521", &format!("{:016x}", 0x1000 + number));
        client.write(&text);
        let response = client.read_response().unwrap_or_else(|| {
            // The limiter may close a connection between two requests; the client then sends its request once more.
            client = connect();
            client.exchange(&text)
        });
        // The servers and the places for connections may be taken, but a small request needs no reserved memory.
        let status = response.status();
        let is_refusal = matches!(status, 429 | 503) && response.header("retry-after").is_some();
        let lacks_memory = response.body.contains("memory");
        assert!(status == 200 || is_refusal && !lacks_memory, "request {round}: {status} {}", response.body);
        if response.header("connection") == Some("close") {
            client = connect();
        }
        thread::sleep(Duration::from_millis(50));
    }
}

/// Has `connections` clients stop, beside clients with small requests.
fn check_stopping_clients(stop: Stop, memory_mb: u32, sockets: usize, connections: usize) {
    let slow = |_: usize, _: &Message, stream: &mut TcpStream| {
        thread::sleep(Duration::from_millis(100));
        write_response(stream, "200 OK", "served");
    };
    let (server, counter) = (stand_in(slow), prompt_counter_stand_in());
    let limiter = LimiterSetup { memory_mb, sockets, ..LimiterSetup::new(&[&server], &counter) }.start();
    let finished = AtomicBool::new(false);
    let case = format!("{connections} clients stop {stop:?}, {memory_mb} MB, {sockets} descriptors");
    thread::scope(|scope| {
        let small: Vec<_> = (0..6)
            .map(|number| {
                let (address, finished) = (limiter.address, &finished);
                scope.spawn(move || check_small_requests(address, number, finished))
            })
            .collect();
        let stopped: Vec<_> = (0..connections)
            .map(|n| {
                let mut stream = TcpStream::connect(limiter.address).expect("a connection");
                scope.spawn(move || send_and_wait(&mut stream, stop, n))
            })
            .collect();
        let responses: Vec<_> = stopped.into_iter().map(|client| client.join()).collect();
        finished.store(true, Ordering::SeqCst);
        for client in responses {
            let (response, took) = client.expect("thread does not panic");
            // What is whole may be served; what is not gets an error or a close.
            let last = response.rfind("HTTP/1.1 ").map(|at| &response[at..]);
            let is_error = last.is_none_or(|last| !last.starts_with("HTTP/1.1 2") || last.contains("close"));
            assert!(is_error, "{case}: {response}");
            assert!(took < STOPPED_CLIENT_LIMIT + Duration::from_millis(500), "{case}: {took:?}");
        }
        for client in small {
            assert!(client.join().is_ok(), "{case}: a small request is not answered as it should be");
        }
    });
    let peak = limiter.peak_memory_mb();
    assert!(peak < u64::from(memory_mb), "{case}: {peak} MB");
}

/// Guards against a limiter that needs more memory than it may, as each of many connections holds a part of a request.
#[test]
fn clients_that_stop_mid_request_do_not_use_up_the_memory() {
    for stop in [Stop::InBody, Stop::InChunks, Stop::InHead, Stop::BehindRequest] {
        for (memory_mb, sockets, connections) in [(48, 544, 425), (32, 1_024, 800)] {
            check_stopping_clients(stop, memory_mb, sockets, connections);
        }
    }
}

/// Guards against a limiter that needs more memory than it may, as many large requests are complete and wait for
/// servers. What it cannot hold is refused.
#[test]
fn many_large_requests_at_once_are_served_or_refused_within_the_memory_limit() {
    for (memory_mb, sockets, clients) in [(32, 1_024, 340), (48, 544, 180), (192, 1_024, 340)] {
        let slow = |_: usize, _: &Message, stream: &mut TcpStream| {
            thread::sleep(Duration::from_millis(400));
            write_response(stream, "200 OK", "served");
        };
        let servers: Vec<StandIn> = (0..4).map(|_| stand_in(slow)).collect();
        let counter = prompt_counter_stand_in();
        let setup = LimiterSetup::new(&servers.iter().collect::<Vec<_>>(), &counter);
        let limiter = LimiterSetup { memory_mb, sockets, ..setup }.start();
        let text = |n: usize| head(n, &format!("Content-Length: {MAX_BODY}")) + &"b".repeat(MAX_BODY);
        let statuses: Vec<(u16, bool)> = thread::scope(|scope| {
            let clients: Vec<_> = (0..clients)
                .map(|n| {
                    let mut client = limiter.client();
                    scope.spawn(move || {
                        client.write(&text(n));
                        let response = client.read_response().expect("every request gets a response");
                        (response.status(), response.header("retry-after").is_some())
                    })
                })
                .collect();
            clients.into_iter().map(|client| client.join().expect("a response")).collect()
        });
        let served = statuses.iter().filter(|(status, _)| *status == 200).count();
        let refused = statuses.iter().filter(|(status, wait)| matches!(status, 429 | 503) && *wait).count();
        assert_eq!(served + refused, clients, "{statuses:?}");
        assert!(served > 0, "{memory_mb} MB");
        let peak = limiter.peak_memory_mb();
        assert!(peak < u64::from(memory_mb), "{peak} of {memory_mb} MB");
    }
}
