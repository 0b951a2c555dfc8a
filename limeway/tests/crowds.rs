//! Many client connections at once, against the real program: idle ones use up its descriptors, and clients that send
//! requests must still be served.

mod common;
use common::*;
use std::io::Read;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Whether the limiter has ended a connection, or sent something on it.
fn has_ended(stream: &mut TcpStream) -> bool {
    stream.set_nonblocking(true).expect("stream is non-blocking");
    let read = stream.read(&mut [0; 64]);
    !matches!(read, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
}

fn open_idle_connections(limiter: &Limiter, count: usize) -> Vec<TcpStream> {
    (0..count).map(|_| TcpStream::connect(limiter.address).expect("a connection")).collect()
}

/// Sends requests until one is served by the named server.
fn wait_until_served_by(limiter: &Limiter, wanted: &str) {
    let end = Instant::now() + TIMEOUT;
    for n in 0.. {
        let mut client = limiter.client();
        client.write(&request("look", &format!("asks-{wanted}-{n}"), "team", 9000));
        // The limiter may evict a connection before it reads the request; a further request is served.
        let response = client.read_response();
        if response.as_ref().is_some_and(|a| a.status() == 200 && a.body == wanted) {
            return;
        }
        assert!(Instant::now() < end, "not served by {wanted}: {response:?}");
    }
}

/// Guards against a limiter that cannot open its own connections because clients hold all the descriptors.
#[test]
fn idle_clients_do_not_block_connections_to_discovery_counter_and_servers() {
    for sockets in [256, 1_024] {
        let named = |name: &'static str| stand_in(move |_, _, stream| write_response(stream, "200 OK", name));
        let (old, new, counter) = (named("old"), named("new"), counter_stand_in());
        // Discovery is down: nothing listens at its address yet.
        let discovery_address = unused_address();
        let mut setup = LimiterSetup::new(&[&old], &counter);
        setup.discovery = Some(discovery_address);
        setup.sockets = sockets;
        let limiter = setup.start();
        let mut idle = open_idle_connections(&limiter, sockets);
        // Half as many clients send one request and stay connected.
        let mut stayed = Vec::new();
        for n in 0..sockets / 2 {
            let mut client = limiter.client();
            client.write(&request("look", &format!("once-{n}"), "team", 9000));
            stayed.push(client);
        }
        idle.extend(open_idle_connections(&limiter, sockets / 4));
        wait_until_served_by(&limiter, "old");
        assert!(counter.requests.try_iter().count() > 0, "the counter was never called");
        // Discovery starts: its list takes effect although the idle connections are still open.
        let full_list = server_list(9, true, &[server_row("s-new", new.address, "SERVING")]);
        let _discovery = discovery_stand_in_at(discovery_address, full_list);
        wait_until_served_by(&limiter, "new");
        assert!(new.requests.try_iter().count() > 0);
        drop((idle, stayed));
        assert!(limiter.passes_health_check());
    }
}

/// Guards against evicting a connection in use, and against evicting a newer idle connection before an older one.
#[test]
fn idle_connections_are_evicted_oldest_first_and_busy_ones_never() {
    let (release, wait) = std::sync::mpsc::channel::<()>();
    let wait = std::sync::Mutex::new(wait);
    let server = stand_in(move |number, message, stream| {
        if message.header("req-id") == Some("busy") {
            let _ = wait.lock().expect("lock is not poisoned").recv_timeout(TIMEOUT);
        }
        serve_ok(number, message, stream);
    });
    let counter = counter_stand_in();
    let mut setup = LimiterSetup::new(&[&server], &counter);
    setup.sockets = 256;
    let limiter = setup.start();
    let mut busy = limiter.client();
    busy.write(&request("look", "busy", "team", 25_000));
    server.requests.recv_timeout(TIMEOUT).expect("an attempt");
    let mut used: Vec<Client> = (0..10).map(|_| limiter.client()).collect();
    for (n, client) in used.iter_mut().enumerate() {
        assert_eq!(client.exchange(&request("look", &format!("asked-{n}"), "team", 9000)).status(), 200);
    }
    // A connection that has carried a request is not evicted for 2 s; this sleep orders no events.
    std::thread::sleep(Duration::from_millis(2_200));
    let mut streams: Vec<TcpStream> = used.into_iter().map(|c| c.stream).collect();
    // Connections that have carried no request may be evicted, too, once there are too many.
    streams.extend(open_idle_connections(&limiter, 90));
    assert!(limiter.passes_health_check(), "the idle connections have been accepted");
    std::thread::sleep(Duration::from_millis(100));
    streams.extend(open_idle_connections(&limiter, 40));
    assert!(limiter.passes_health_check(), "all earlier connections have been accepted");
    // From the newest to the oldest, so that an eviction during the loop cannot look out of order.
    let mut newer_ended = false;
    for (n, stream) in streams.iter_mut().enumerate().rev() {
        let ended = has_ended(stream);
        assert!(ended || !newer_ended, "connection {n} is open, but a newer one was evicted");
        newer_ended |= ended;
    }
    assert!(newer_ended, "no connection was evicted");
    release.send(()).expect("stand-in is running");
    assert_eq!(
        busy.read_response().map(|a| a.status()),
        Some(200),
        "the oldest connection, with an open request"
    );
}

/// Guards against a connection table that fills with clients that send one request and stay connected. When more
/// connections are open than clients need for their requests, each is closed with its response, but not before all
/// requests received on it are answered.
#[test]
fn with_many_connections_open_one_is_closed_after_its_pipelined_requests_are_answered() {
    let (server, counter) = (stand_in(serve_ok), counter_stand_in());
    let mut setup = LimiterSetup::new(&[&server], &counter);
    setup.sockets = 256;
    let limiter = setup.start();
    let alone = limiter.client().exchange(&request("look", "alone", "team", 9000));
    assert_eq!(
        (alone.status(), alone.header("connection")),
        (200, None),
        "kept open while there are few connections"
    );
    let idle = open_idle_connections(&limiter, 100);
    let mut client = limiter.client();
    let both = ["first", "second"].map(|id| request("look", id, "team", 9000)).concat();
    let first = client.exchange(&both);
    assert_eq!(
        (first.status(), first.header("connection")),
        (200, None),
        "another request was received on the connection"
    );
    let second = client.read_response().expect("a response");
    assert_eq!((second.status(), second.header("connection")), (200, Some("close")));
    assert!(client.read_response().is_none(), "the connection is closed");
    drop(idle);
}

/// Guards against work for a client that disconnected while its connection waited to be accepted.
#[test]
fn a_request_whose_client_disconnected_before_accept_is_not_forwarded() {
    let ((server, release), counter) = (gated_server(), counter_stand_in());
    let mut setup = LimiterSetup::new(&[&server], &counter);
    setup.sockets = 64;
    let mut limiter = setup.start();
    // Requests that stay open occupy every connection that clients may have.
    let mut busy: Vec<Client> = Vec::new();
    for n in 0..64 {
        let mut client = limiter.client();
        client.write(&request("look", &format!("busy-{n}"), "team", 15_000));
        busy.push(client);
    }
    server.requests.recv_timeout(TIMEOUT).expect("an attempt");
    for n in 0..8 {
        let mut client = limiter.client();
        client.write(&request("look", &format!("left-{n}"), "team", 15_000));
        disconnect(&client, if n % 2 == 0 { Disconnect::Close } else { Disconnect::HalfClose });
    }
    for _ in 0..200 {
        let _ = release.send(());
    }
    for client in &mut busy {
        client.read_response();
    }
    drop(busy);
    limiter.terminate();
    assert!(limiter.wait_for_exit().success());
    let is_left = |r: &(usize, Message)| r.1.header("req-id").is_some_and(|id| id.starts_with("left"));
    let sent: Vec<_> = server.requests.try_iter().filter(is_left).collect();
    assert!(sent.is_empty(), "{sent:?}");
}
