//! Many clients at once, against the real program: idle ones fill its descriptors, and those that ask are served.

mod common;
use common::*;
use std::io::Read;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Whether the limiter has ended a connection.
fn ended(stream: &mut TcpStream) -> bool {
    stream.set_nonblocking(true).expect("it is set");
    let read = stream.read(&mut [0; 64]);
    !matches!(read, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
}

fn crowd(limiter: &Limiter, size: usize) -> Vec<TcpStream> {
    (0..size).map(|_| TcpStream::connect(limiter.address).expect("a connection")).collect()
}

/// Asks until a list that came meanwhile is in force: until the server is the one that it names.
fn served_by(limiter: &Limiter, wanted: &str) -> usize {
    let end = Instant::now() + TIMEOUT;
    for n in 0.. {
        let mut client = limiter.client();
        client.write(&request("look", &format!("asks-{wanted}-{n}"), "team", 9000));
        // A connection may be closed unread for room; whoever asks again is served.
        let answer = client.read_response();
        if answer.as_ref().is_some_and(|a| a.status() == 200 && a.body == wanted) {
            return n;
        }
        assert!(Instant::now() < end, "not served by {wanted}: {answer:?}");
    }
    unreachable!("it is asked without end")
}

/// Guards against a limiter that cannot open a connection of its own once clients hold all that it may have.
#[test]
fn idle_clients_do_not_block_connections_to_discovery_counter_and_servers() {
    for sockets in [256, 1_024] {
        let named = |name: &'static str| stand_in(move |_, _, stream| write_response(stream, "200 OK", name));
        let (old, new, counter) = (named("old"), named("new"), counter_stand_in());
        // Discovery is down: nobody listens there yet.
        let down = unused_address();
        let mut setup = LimiterSetup::new(&[&old], &counter);
        setup.discovery = Some(down);
        setup.sockets = sockets;
        let limiter = setup.start();
        let mut silent = crowd(&limiter, sockets);
        // As many ask once and stay.
        let mut stayed = Vec::new();
        for n in 0..sockets / 2 {
            let mut client = limiter.client();
            client.write(&request("look", &format!("once-{n}"), "team", 9000));
            stayed.push(client);
        }
        silent.extend(crowd(&limiter, sockets / 4));
        served_by(&limiter, "old");
        assert!(counter.requests.try_iter().count() > 0, "the counter is called");
        // It is back: what it tells is in force though the crowd is still there.
        let whole = server_list(9, true, &[server_row("s-new", new.address, "SERVING")]);
        let _agent = discovery_stand_in_at(down, whole);
        served_by(&limiter, "new");
        assert!(new.requests.try_iter().count() > 0);
        drop((silent, stayed));
        assert!(limiter.passes_health_check());
    }
}

/// Guards against closing what is in use, and against a newer connection that goes while an older one rests.
#[test]
fn idle_connections_are_evicted_oldest_first_and_busy_ones_never() {
    let (go, wait) = std::sync::mpsc::channel::<()>();
    let wait = std::sync::Mutex::new(wait);
    let held = stand_in(move |number, message, stream| {
        if message.header("req-id") == Some("busy") {
            let _ = wait.lock().expect("no panic while it is held").recv_timeout(TIMEOUT);
        }
        serve_ok(number, message, stream);
    });
    let counter = counter_stand_in();
    let mut setup = LimiterSetup::new(&[&held], &counter);
    setup.sockets = 256;
    let limiter = setup.start();
    let mut busy = limiter.client();
    busy.write(&request("look", "busy", "team", 25_000));
    held.requests.recv_timeout(TIMEOUT).expect("it is sent on");
    let mut asked: Vec<Client> = (0..10).map(|_| limiter.client()).collect();
    for (n, client) in asked.iter_mut().enumerate() {
        assert_eq!(client.exchange(&request("look", &format!("asked-{n}"), "team", 9000)).status(), 200);
    }
    // Not to order events: one that has asked is left alone for 2 s.
    std::thread::sleep(Duration::from_millis(2_200));
    let mut streams: Vec<TcpStream> = asked.into_iter().map(|c| c.stream).collect();
    // Those that never asked may go as well by the time when room is short.
    streams.extend(crowd(&limiter, 90));
    assert!(limiter.passes_health_check(), "they are accepted");
    std::thread::sleep(Duration::from_millis(100));
    streams.extend(crowd(&limiter, 40));
    assert!(limiter.passes_health_check(), "the crowd was accepted before this one");
    // From the newest on, so that what goes meanwhile cannot look out of turn.
    let mut newer_ended = false;
    for (n, stream) in streams.iter_mut().enumerate().rev() {
        let ended = ended(stream);
        assert!(ended || !newer_ended, "connection {n} stays, a newer one has gone");
        newer_ended |= ended;
    }
    assert!(newer_ended, "some went for room");
    go.send(()).expect("it waits");
    assert_eq!(busy.read_response().map(|a| a.status()), Some(200), "the oldest of all has a request in it");
}

/// Guards against a table that fills with clients that ask once and stay: beyond what clients need for their
/// requests a connection ends with its answer, and not before all that came on it is answered.
#[test]
fn with_many_connections_open_one_is_closed_after_its_pipelined_requests_are_answered() {
    let (one, counter) = (stand_in(serve_ok), counter_stand_in());
    let mut setup = LimiterSetup::new(&[&one], &counter);
    setup.sockets = 256;
    let limiter = setup.start();
    let few = limiter.client().exchange(&request("look", "alone", "team", 9000));
    assert_eq!((few.status(), few.header("connection")), (200, None), "it is kept while there is room");
    let crowd = crowd(&limiter, 100);
    let mut client = limiter.client();
    let both = ["first", "second"].map(|id| request("look", id, "team", 9000)).concat();
    let first = client.exchange(&both);
    assert_eq!((first.status(), first.header("connection")), (200, None), "another request has come");
    let second = client.read_response().expect("an answer");
    assert_eq!((second.status(), second.header("connection")), (200, Some("close")));
    assert!(client.read_response().is_none(), "it is closed");
    drop(crowd);
}

/// Guards against work for a client that left while its connection waited to be accepted.
#[test]
fn a_request_whose_client_disconnected_before_accept_is_not_forwarded() {
    let ((held, go), counter) = (gated_server(), counter_stand_in());
    let mut setup = LimiterSetup::new(&[&held], &counter);
    setup.sockets = 64;
    let mut limiter = setup.start();
    // Requests that stay open take every place that clients may have.
    let mut busy: Vec<Client> = Vec::new();
    for n in 0..64 {
        let mut client = limiter.client();
        client.write(&request("look", &format!("busy-{n}"), "team", 15_000));
        busy.push(client);
    }
    held.requests.recv_timeout(TIMEOUT).expect("it is sent on");
    for n in 0..8 {
        let mut client = limiter.client();
        client.write(&request("look", &format!("left-{n}"), "team", 15_000));
        disconnect(&client, if n % 2 == 0 { Disconnect::Close } else { Disconnect::HalfClose });
    }
    for _ in 0..200 {
        let _ = go.send(());
    }
    for client in &mut busy {
        client.read_response();
    }
    drop(busy);
    limiter.terminate();
    assert!(limiter.wait_for_exit().success());
    let left = |r: &(usize, Message)| r.1.header("req-id").is_some_and(|id| id.starts_with("left"));
    let sent: Vec<_> = held.requests.try_iter().filter(left).collect();
    assert!(sent.is_empty(), "{sent:?}");
}
