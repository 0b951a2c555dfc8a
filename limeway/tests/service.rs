//! The limiter as a service: its other protocols, its limits, its start and its end.

mod common;

use common::*;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::time::Duration;

fn serve_ok(_: usize, _: &Message, stream: &mut TcpStream) {
    write_response(stream, "200 OK", "hi");
}

#[test]
fn no_new_request_goes_to_a_server_that_discovery_lists_as_draining() {
    let (one, two, counter) = (stand_in(serve_ok), stand_in(serve_ok), counter_stand_in());
    let entries = [server_row("s-0", one.address, "SERVING"), server_row("s-1", two.address, "SERVING")];
    for word in ["DRAINING", "DELETED", "PONDERING"] {
        let (list_server, updates) = discovery_stand_in(server_list(1, true, &entries));
        let mut setup = LimiterSetup::new(&[&one, &two], &counter);
        setup.discovery = Some(list_server.address);
        let limiter = setup.start();
        updates.send(server_list(2, false, &[server_row("s-0", one.address, word)])).expect("a watch");
        // The next watch tells that the change has been taken in.
        while !list_server.requests.recv_timeout(TIMEOUT).expect("a watch").1.start_line.contains("from=2&") {
        }
        one.requests.try_iter().count();
        let mut client = limiter.client();
        for n in 0..6 {
            assert_eq!(client.exchange(&request("look", &n.to_string(), "team", 9000)).status(), 200);
        }
        assert_eq!(one.requests.try_iter().count(), 0, "{word}");
    }
}

#[test]
fn a_server_is_identified_by_its_host_and_followed_to_a_new_address() {
    let (old, new, counter) = (stand_in(serve_ok), stand_in(serve_ok), counter_stand_in());
    let (list_server, updates) =
        discovery_stand_in(server_list(1, true, &[server_row("s-0", old.address, "SERVING")]));
    let mut setup = LimiterSetup::new(&[&old], &counter);
    setup.discovery = Some(list_server.address);
    let limiter = setup.start();
    let mut client = limiter.client();
    assert_eq!(client.exchange(&request("look", "1", "team", 9000)).status(), 200);
    assert_eq!(old.requests.try_iter().count(), 1);
    updates.send(server_list(2, false, &[server_row("s-0", new.address, "SERVING")])).expect("a watch");
    while !list_server.requests.recv_timeout(TIMEOUT).expect("a watch").1.start_line.contains("from=2&") {}
    assert_eq!(client.exchange(&request("look", "2", "team", 9000)).status(), 200);
    assert_eq!((old.requests.try_iter().count(), new.requests.try_iter().count()), (0, 1));
}

#[test]
fn discovery_is_called_again_after_bad_responses_while_known_servers_are_used() {
    let (one, counter) = (stand_in(serve_ok), counter_stand_in());
    let whole = server_list(1, true, &[server_row("s-0", one.address, "SERVING")]);
    let bad = ["200 OK\r\nX: {", "503 Busy", "404 None", "nonsense", "200 OK\r\nContent-Length: 99999999"];
    let list_server = stand_in(move |n, m, s| match bad.get(n) {
        Some(head) => {
            write_response(s, head, r#"{"seq":"x"}"#);
            close(s);
        }
        None if m.start_line.contains("from=") => std::thread::park(),
        None => write_response(s, "200 OK", &whole),
    });
    let mut setup = LimiterSetup::new(&[&one], &counter);
    setup.discovery = Some(list_server.address);
    let limiter = setup.start();
    assert_eq!(limiter.client().exchange(&request("look", "1", "team", 9000)).status(), 200);
}

#[test]
fn with_known_servers_a_limiter_starts_though_discovery_does_not_respond() {
    let (one, counter) = (stand_in(serve_ok), counter_stand_in());
    let silent = stand_in(|_, _, _| std::thread::park());
    let mut setup = LimiterSetup::new(&[&one], &counter);
    setup.discovery = Some(silent.address);
    let limiter = setup.start();
    assert_eq!(limiter.client().exchange(&request("look", "1", "team", 9000)).status(), 200);
}

#[test]
fn a_counter_call_carries_amount_and_ttl() {
    let (one, counter) = (stand_in(serve_ok), counter_stand_in());
    let limiter = LimiterSetup::new(&[&one], &counter).start();
    assert_eq!(limiter.client().exchange(&request("look", "1", "team", 9000)).status(), 200);
    let (_, call) = counter.requests.recv_timeout(TIMEOUT).expect("a call");
    let target = call.start_line.strip_prefix("POST /v1/count/").expect("a call").strip_suffix(" HTTP/1.1");
    let (name, query) = target.and_then(|t| t.split_once('?')).expect("a query");
    assert!(name.parse::<u64>().is_ok(), "{name}");
    let (add, ttl) = query.split_once('&').expect("two values");
    let add: f64 = add.strip_prefix("add=").and_then(|a| a.parse().ok()).expect("an amount");
    let ttl: u64 = ttl.strip_prefix("ttl_ms=").and_then(|t| t.parse().ok()).expect("a life");
    assert!(add >= 1.0 && (1..=60_000).contains(&ttl), "{add} {ttl}");
}

#[test]
fn every_request_is_answered_whatever_the_counter_returns() {
    let heads = ["200 OK", "503 Busy", "404 None", "500 Broken", "nonsense", "200 OK\r\nContent-Length: x"];
    for head in heads {
        let (one, bad) = (stand_in(serve_ok), stand_in(move |_, _, s| write_response(s, head, "nan")));
        let limiter = LimiterSetup::new(&[&one], &bad).start();
        let mut client = limiter.client();
        for n in 0..3 {
            let status = client.exchange(&request("look", &n.to_string(), "team", 9000)).status();
            assert!([200, 429].contains(&status), "{head}: {status}");
        }
        assert!(bad.requests.try_iter().count() >= 1, "{head}: the counter was called");
    }
}

#[test]
fn requests_are_answered_when_the_counter_is_unresponsive_or_unreachable() {
    let (one, silent) = (stand_in(serve_ok), stand_in(|_, _, _| std::thread::park()));
    let limiter = LimiterSetup::new(&[&one], &silent).start();
    let status = limiter.client().exchange(&request("look", "1", "team", 30_000)).status();
    assert!([200, 429].contains(&status), "{status}");
    let mut setup = LimiterSetup::new(&[&one], &silent);
    setup.counter = unused_address();
    let limiter = setup.start();
    let status = limiter.client().exchange(&request("look", "1", "team", 30_000)).status();
    assert!([200, 429].contains(&status), "{status}");
}

#[test]
fn invalid_datagrams_are_dropped() {
    let (one, counter) = (stand_in(serve_ok), counter_stand_in());
    let limiter = LimiterSetup::new(&[&one], &counter).start();
    let stranger = UdpSocket::bind("127.0.0.1:0").expect("a port");
    for data in [&[][..], &[0], &[255; 16], &[0; 16], &[1; 13], &[2; 256], &[0; 300]] {
        for from in [&limiter.peer_socket, &stranger] {
            from.send_to(data, limiter.peer_listen).expect("sent");
        }
    }
    assert!(limiter.passes_health_check());
    assert_eq!(limiter.client().exchange(&request("look", "1", "team", 9000)).status(), 200);
}

/// What the module has leased for small quotas goes between limiters: the other's question gets an answer.
#[test]
fn a_datagram_from_a_peer_is_answered() {
    let (one, counter) = (stand_in(serve_ok), counter_stand_in());
    let limiter = LimiterSetup::new(&[&one], &counter).start();
    let mut ask = vec![0];
    ask.extend(7_u64.to_le_bytes());
    ask.extend(1_f32.to_le_bytes());
    ask.push(1);
    ask.extend(2_u16.to_le_bytes());
    limiter.peer_socket.send_to(&ask, limiter.peer_listen).expect("sent");
    let mut data = [0; 300];
    let (len, _) = limiter.peer_socket.recv_from(&mut data).expect("an answer");
    assert_eq!((len, data[0], &data[1..9]), (13, 1, &7_u64.to_le_bytes()[..]));
}

#[test]
fn after_sigterm_new_requests_are_served_until_a_clean_exit() {
    let (go, wait) = channel::<()>();
    let wait = Mutex::new(wait);
    let (one, counter) = (
        stand_in(move |_, m, s| {
            if m.header("req-id") == Some("held") {
                let _ = wait.lock().expect("no panic while it is held").recv();
            }
            write_response(s, "200 OK", "hi");
        }),
        counter_stand_in(),
    );
    let mut limiter = LimiterSetup::new(&[&one], &counter).start();
    let (mut held, mut kept) = (limiter.client(), limiter.client());
    assert_eq!(kept.exchange(&request("look", "before", "team", 9000)).status(), 200);
    held.write(&request("look", "held", "team", 9000));
    while one.requests.recv_timeout(TIMEOUT).expect("an attempt").1.header("req-id") != Some("held") {}
    limiter.terminate();
    // Not ready any more: that it knows of its end shows on a connection opened after it was told.
    let mut new = loop {
        let mut new = limiter.client();
        let answer = new.exchange("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
        if answer.status() == 503 {
            assert_eq!(answer.header("connection"), Some("close"));
            break limiter.client();
        }
    };
    let answer = new.exchange(&request("look", "after", "team", 9000));
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    go.send(()).expect("the server waits");
    let answer = held.read_response().expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert!(limiter.wait_for_exit().success());
}

#[test]
fn an_invalid_configuration_is_reported_in_one_line_that_names_the_key() {
    let (one, counter) = (stand_in(serve_ok), counter_stand_in());
    let addresses = [unused_address(), unused_address()];
    let good =
        LimiterSetup::new(&[&one], &counter).config_json(unused_address(), unused_address(), &addresses);
    let cases: Vec<(&str, String)> = vec![
        ("ROUTER_CONFIG", "{".into()),
        ("listen", good.replace("\"listen\":", "\"x\":")),
        ("listen", good.replace("\"listen\":\"127.", "\"listen\":\"nowhere.")),
        ("discovery", good.replacen("\"discovery\":", "\"x\":", 1)),
        ("counter", good.replace("\"counter\":", "\"x\":")),
        ("seed", good.replace("8c1f30d27a5be964", "green")),
        ("limits.sockets", good.replace("\"sockets\":1024", "\"sockets\":3")),
        ("peer_listen", good.replace("\"peer_listen\":", "\"x\":")),
        ("settings", good.replace("\"settings\":", "\"x\":")),
        ("settings.profiles", good.replace("\"profiles\":", "\"x\":")),
        ("settings.profiles", good.replace("\"pure\"", "\"holy\"")),
        ("settings.plans", good.replace("\"plans\":", "\"x\":")),
        ("settings.permissions.max-attempts", good.replace("\"max-attempts\":3", "\"max-attempts\":0")),
        ("settings.permissions.keepalive", good.replace("\"keepalive\":", "\"x\":")),
        ("settings.permissions.dial-timeout", good.replace("\"dial-timeout\":", "\"x\":")),
        ("settings.me", good.replace("\"me\":0", "\"me\":2")),
    ];
    for (key, config) in cases {
        assert_ne!(config, good, "{key}");
        let output = wait_for_output(spawn_with_config(&config));
        let text = String::from_utf8(output.stderr).expect("text");
        assert!(!output.status.success(), "{key}");
        assert_eq!(text.lines().count(), 1, "{text}");
        assert!(text.contains(key), "{key}: {text}");
    }
    let output = wait_for_output(spawn_exclusively(&mut limeway_command()));
    assert!(!output.status.success());
    assert!(
        String::from_utf8_lossy(&output.stderr).contains("ROUTER_CONFIG is not set")
            || String::from_utf8_lossy(&output.stderr).contains("ROUTER_CONFIG: is not set")
    );
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let taken = taken.local_addr().map(|a| (taken, a)).expect("its address");
    let config = LimiterSetup::new(&[&one], &counter).config_json(taken.1, unused_address(), &addresses);
    let output = wait_for_output(spawn_with_config(&config));
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).starts_with("limeway: listen: "));
}

/// Guards against connections beyond what the process may hold: they wait or are turned away, and service is
/// back once they are gone.
#[test]
fn connections_beyond_the_descriptor_limit_do_not_stop_service() {
    let (one, counter) = (stand_in(serve_ok), counter_stand_in());
    let mut setup = LimiterSetup::new(&[&one], &counter);
    setup.sockets = 100;
    let limiter = setup.start();
    let mut many: Vec<TcpStream> =
        (0..120).map(|_| TcpStream::connect(limiter.address).expect("a connection")).collect();
    // Idle ones make room: a request on a new connection is answered while all the others stay.
    let status = limiter.client().exchange(&request("look", "1", "team", 9000)).status();
    assert!([200, 429, 503].contains(&status), "{status}");
    // Half a request holds its connection; it is cut off in time, or goes with its client.
    for stream in &mut many {
        let _ = stream.write_all(b"GET /look");
    }
    drop(many);
    let status = limiter.client().exchange(&request("look", "2", "team", 9000)).status();
    assert!([200, 503].contains(&status), "{status}");
    assert!(limiter.passes_health_check());
}

#[test]
fn a_request_cut_short_by_its_client_is_not_forwarded() {
    let (one, counter) = (stand_in(serve_ok), counter_stand_in());
    let limiter = LimiterSetup::new(&[&one], &counter).start();
    let whole = request("book", "1", "team", 9000);
    for end in [1, 20, whole.len() / 2, whole.len() - 1] {
        let mut client = limiter.client();
        client.write(&whole[..end]);
        client.stream.shutdown(std::net::Shutdown::Write).expect("an end");
        assert_eq!(client.stream.read(&mut [0; 1]).ok(), Some(0), "{end}");
    }
    assert_eq!(one.requests.recv_timeout(Duration::ZERO).ok().map(|_| ()), None);
    assert!(limiter.passes_health_check());
}

/// Guards against SIGHUP's default action, a watch that hangs at the old agent, and calls that go on to the old
/// counter. Requests go on all the while, and none is lost.
#[test]
fn after_sighup_new_addresses_of_discovery_and_counter_are_used() {
    let (servers, counters) =
        ([stand_in(serve_ok), stand_in(serve_ok)], [counter_stand_in(), counter_stand_in()]);
    let lists: Vec<_> = servers
        .iter()
        .enumerate()
        .map(|(n, s)| {
            discovery_stand_in(server_list(
                n as u64 + 1,
                true,
                &[server_row(&format!("s-{n}"), s.address, "SERVING")],
            ))
        })
        .collect();
    let mut setup = LimiterSetup::new(&[&servers[0]], &counters[0]);
    setup.discovery = Some(lists[0].0.address);
    let mut limiter = setup.start();
    let moved = limiter
        .config
        .replace(&lists[0].0.address.to_string(), &lists[1].0.address.to_string())
        .replace(&counters[0].address.to_string(), &counters[1].address.to_string());
    let first = limiter.config.clone();
    let mut client = limiter.client();
    let serve = |client: &mut Client, to: usize| {
        let end = std::time::Instant::now() + TIMEOUT;
        for n in 0.. {
            let status = client.exchange(&request("look", &format!("{to}-{n}"), "team", 9000)).status();
            assert!([200, 429].contains(&status), "{status}");
            let (here, called) =
                (servers[to].requests.try_iter().count(), counters[to].requests.try_iter().count());
            if here > 0 && called > 0 {
                return;
            }
            assert!(std::time::Instant::now() < end, "server and counter {to} are not used");
            std::thread::sleep(Duration::from_millis(10));
        }
    };
    serve(&mut client, 0);
    for (config, to) in [(&moved, 1), (&first, 0), (&moved, 1)] {
        limiter.reload(config);
        serve(&mut client, to);
        // What had begun elsewhere is over by now, and nothing new goes there.
        servers[1 - to].requests.try_iter().count();
        serve(&mut client, to);
        assert_eq!(servers[1 - to].requests.try_iter().count(), 0);
    }
    limiter.reload("{");
    limiter.reload(&first.replace("\"seed\":", "\"x\":"));
    serve(&mut client, 1);
    limiter.terminate();
    assert!(limiter.wait_for_exit().success());
}

/// Guards against taking a total that cannot be read for a counter that is lost: what was added is known after a
/// call that adds nothing. The connection that brought it is not used again.
#[test]
fn an_unreadable_counter_total_is_requested_again() {
    for spoilt in ["1x7", "--3", "inf", ""] {
        let (one, counter) = (
            stand_in(serve_ok),
            stand_in(move |_, m, s| {
                write_response(s, "200 OK", if m.start_line.contains("add=0&") { "1" } else { spoilt })
            }),
        );
        let limiter = LimiterSetup::new(&[&one], &counter).start();
        assert_eq!(limiter.client().exchange(&request("look", "1", "team", 9000)).status(), 200);
        let calls: Vec<_> = counter.requests.try_iter().collect();
        assert!(calls.len() == 2 && calls[1].1.start_line.contains("add=0&"), "{spoilt}: {calls:?}");
        assert_ne!(calls[0].0, calls[1].0, "{spoilt}: the connection was used again");
    }
}

/// Guards against clients that connect and say nothing, or never come to an end: each is told so or closed within
/// 3 s (told by a wide margin here, as CI may be slow), and one that asks meanwhile is served.
#[test]
fn silent_connections_are_closed_and_other_clients_served() {
    let (one, counter) = (stand_in(serve_ok), counter_stand_in());
    let mut setup = LimiterSetup::new(&[&one], &counter);
    setup.sockets = 128;
    let limiter = setup.start();
    let mut crowd: Vec<TcpStream> =
        (0..300).map(|_| TcpStream::connect(limiter.address).expect("a connection")).collect();
    for n in 0..5 {
        let answer = limiter.client().exchange(&request("look", &n.to_string(), "team", 9000));
        assert_eq!(answer.status(), 200, "while a crowd stands by");
    }
    for stream in &mut crowd {
        stream.set_read_timeout(Some(Duration::from_secs(9))).expect("a time-out");
        let ended = stream.read(&mut [0; 1]);
        assert!(!matches!(&ended, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock), "still open");
    }
}

#[test]
fn an_incomplete_request_head_gets_408_in_time() {
    let (one, counter) = (stand_in(serve_ok), counter_stand_in());
    let limiter = LimiterSetup::new(&[&one], &counter).start();
    for part in ["GET /look", "GET /look/1 HTTP/1.1\r\nX: y\r\n"] {
        let mut client = limiter.client();
        client.stream.set_read_timeout(Some(Duration::from_secs(9))).expect("a time-out");
        client.write(part);
        assert_eq!(client.read_response().map(|a| a.status()), Some(408), "{part}");
    }
}

/// Guards against a wrong request that gets no error because its client is ahead of the limiter: it was all there,
/// and the client's sending over, before its connection was accepted.
#[test]
fn a_message_received_whole_before_accept_gets_its_response() {
    let (one, counter) = (stand_in(serve_ok), counter_stand_in());
    let limiter = LimiterSetup::new(&[&one], &counter).start();
    limiter.pause();
    let too_long = format!(
        "POST /once/00000000b4d65521 HTTP/1.1\r\nHost: x\r\nContent-Length: 60000000\r\n\r\n{}",
        "x".repeat(200_000)
    );
    let cases =
        [("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n", 200), ("x y\r\n\r\n", 400), (too_long.as_str(), 413)];
    let mut clients: Vec<Client> = Vec::new();
    for (text, _) in &cases {
        let mut client = limiter.client();
        client.write(text);
        disconnect(&client, Disconnect::HalfClose);
        clients.push(client);
    }
    limiter.resume();
    for ((text, status), client) in cases.iter().zip(&mut clients) {
        let answer = client.read_response();
        assert_eq!(answer.map(|a| a.status()), Some(*status), "{}", &text[..10.min(text.len())]);
    }
}

/// Guards against closing a useful connection to make room: one that has asked and is used goes on.
#[test]
fn a_connection_in_use_is_not_evicted_by_new_ones() {
    let (one, counter) = (stand_in(serve_ok), counter_stand_in());
    let mut setup = LimiterSetup::new(&[&one], &counter);
    setup.sockets = 128;
    let limiter = setup.start();
    let mut kept = limiter.client();
    assert_eq!(kept.exchange(&request("look", "before", "team", 9000)).status(), 200);
    // Idle connections go oldest first, so it is used all the while: none of its pauses is long.
    let mut crowd = Vec::new();
    for n in 0..15 {
        crowd.extend((0..10).map(|_| TcpStream::connect(limiter.address).expect("a connection")));
        assert_eq!(kept.exchange(&request("look", &format!("{n}"), "team", 9000)).status(), 200);
    }
    assert!(limiter.passes_health_check(), "the crowd was accepted before this one");
    assert_eq!(kept.exchange(&request("look", "after", "team", 9000)).status(), 200);
    drop(crowd);
}

/// Guards against one row that takes the whole list with it, and against a spoilt list that is taken for an empty
/// fleet: the rows that can be read count, and servers that are not named stay.
#[test]
fn a_malformed_row_does_not_affect_other_servers() {
    let (one, counter) = (stand_in(serve_ok), counter_stand_in());
    let bad = ["7".to_owned(), r#"{"host":5}"#.to_owned(), r#"{"host":"s-0","health":"SERVING"}"#.to_owned()];
    let mut rows = bad.to_vec();
    rows.push(server_row("s-0", one.address, "SERVING"));
    let (list_server, _news) = discovery_stand_in(server_list(1, true, &rows));
    let mut setup = LimiterSetup::new(&[], &counter);
    setup.discovery = Some(list_server.address);
    let limiter = setup.start();
    assert_eq!(limiter.client().exchange(&request("look", "1", "team", 9000)).status(), 200);

    let (list_server, updates) =
        discovery_stand_in(server_list(1, true, &[server_row("s-0", one.address, "SERVING")]));
    setup.discovery = Some(list_server.address);
    let limiter = setup.start();
    updates.send(server_list(2, true, &bad)).expect("a watch");
    // Taken in once the next call comes.
    while !list_server.requests.recv_timeout(TIMEOUT).expect("a call").1.start_line.contains("from=1&") {}
    list_server.requests.recv_timeout(TIMEOUT).expect("a call");
    assert_eq!(limiter.client().exchange(&request("look", "2", "team", 9000)).status(), 200);
}

/// Guards against tables that grow with every new id: hundreds of servers come and go at one address, and numbers
/// are given again; requests go on and reach only what is listed.
#[test]
fn servers_that_keep_changing_their_host_name_are_followed() {
    let (one, stays, counter) = (stand_in(serve_ok), stand_in(serve_ok), counter_stand_in());
    let first = [server_row("s-0", one.address, "SERVING"), server_row("stays", stays.address, "SERVING")];
    let (list_server, updates) = discovery_stand_in(server_list(1, true, &first));
    let mut setup = LimiterSetup::new(&[], &counter);
    setup.discovery = Some(list_server.address);
    let limiter = setup.start();
    for n in 1..200 {
        let rows = [
            server_row(&format!("s-{}", n - 1), one.address, "DELETED"),
            server_row(&format!("s-{n}"), one.address, "SERVING"),
        ];
        updates.send(server_list(n + 1, false, &rows)).expect("a watch");
    }
    while !list_server.requests.recv_timeout(TIMEOUT).expect("a watch").1.start_line.contains("from=200&") {}
    // The last one is new and so cold: most of what is asked goes to the other.
    let mut client = limiter.client();
    for n in 0..20 {
        assert_eq!(client.exchange(&request("look", &n.to_string(), "team", 30_000)).status(), 200);
    }
    assert_eq!(one.requests.try_iter().count() + stays.requests.try_iter().count(), 20);
}
