//! The limiter as a service: its protocols with discovery, the counter and other limiters, its limits, its start,
//! reload and shutdown.

mod common;

use common::*;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::time::Duration;

fn serve_hi(_: usize, _: &Message, stream: &mut TcpStream) {
    write_response(stream, "200 OK", "hi");
}

#[test]
fn no_new_request_goes_to_a_server_that_discovery_lists_as_draining() {
    let (server_0, server_1, counter) = (stand_in(serve_hi), stand_in(serve_hi), counter_stand_in());
    let rows =
        [server_row("s-0", server_0.address, "SERVING"), server_row("s-1", server_1.address, "SERVING")];
    // A health value that the limiter does not know counts as DRAINING.
    for health in ["DRAINING", "DELETED", "PONDERING"] {
        let (discovery, updates) = discovery_stand_in(server_list(1, true, &rows));
        let mut setup = LimiterSetup::new(&[&server_0, &server_1], &counter);
        setup.discovery = Some(discovery.address);
        let limiter = setup.start();
        updates
            .send(server_list(2, false, &[server_row("s-0", server_0.address, health)]))
            .expect("discovery stand-in is running");
        // The limiter starts its next watch only after it has applied the change.
        while !discovery.requests.recv_timeout(TIMEOUT).expect("a watch").1.start_line.contains("from=2&") {}
        // Discards the requests received so far.
        server_0.requests.try_iter().count();
        let mut client = limiter.client();
        for n in 0..6 {
            assert_eq!(client.exchange(&request("look", &n.to_string(), "team", 9000)).status(), 200);
        }
        assert_eq!(server_0.requests.try_iter().count(), 0, "{health}");
    }
}

#[test]
fn a_server_is_identified_by_its_host_and_followed_to_a_new_address() {
    let (old, new, counter) = (stand_in(serve_hi), stand_in(serve_hi), counter_stand_in());
    let (discovery, updates) =
        discovery_stand_in(server_list(1, true, &[server_row("s-0", old.address, "SERVING")]));
    let mut setup = LimiterSetup::new(&[&old], &counter);
    setup.discovery = Some(discovery.address);
    let limiter = setup.start();
    let mut client = limiter.client();
    assert_eq!(client.exchange(&request("look", "1", "team", 9000)).status(), 200);
    assert_eq!(old.requests.try_iter().count(), 1);
    updates
        .send(server_list(2, false, &[server_row("s-0", new.address, "SERVING")]))
        .expect("discovery stand-in is running");
    // Waits for the watch that shows that version 2 is applied.
    while !discovery.requests.recv_timeout(TIMEOUT).expect("a watch").1.start_line.contains("from=2&") {}
    assert_eq!(client.exchange(&request("look", "2", "team", 9000)).status(), 200);
    assert_eq!((old.requests.try_iter().count(), new.requests.try_iter().count()), (0, 1));
}

#[test]
fn discovery_is_called_again_after_bad_responses_while_known_servers_are_used() {
    let (server, counter) = (stand_in(serve_hi), counter_stand_in());
    let full_list = server_list(1, true, &[server_row("s-0", server.address, "SERVING")]);
    let bad_heads =
        ["200 OK\r\nX: {", "503 Busy", "404 None", "nonsense", "200 OK\r\nContent-Length: 99999999"];
    let discovery = stand_in(move |n, m, s| match bad_heads.get(n) {
        Some(head) => {
            write_response(s, head, r#"{"seq":"x"}"#);
            close(s);
        }
        None if m.start_line.contains("from=") => std::thread::park(),
        None => write_response(s, "200 OK", &full_list),
    });
    let mut setup = LimiterSetup::new(&[&server], &counter);
    setup.discovery = Some(discovery.address);
    let limiter = setup.start();
    assert_eq!(limiter.client().exchange(&request("look", "1", "team", 9000)).status(), 200);
}

#[test]
fn with_known_servers_a_limiter_starts_though_discovery_does_not_respond() {
    let (server, counter) = (stand_in(serve_hi), counter_stand_in());
    let unresponsive = stand_in(|_, _, _| std::thread::park());
    let mut setup = LimiterSetup::new(&[&server], &counter);
    setup.discovery = Some(unresponsive.address);
    let limiter = setup.start();
    assert_eq!(limiter.client().exchange(&request("look", "1", "team", 9000)).status(), 200);
}

#[test]
fn a_counter_call_carries_amount_and_ttl() {
    let (server, counter) = (stand_in(serve_hi), counter_stand_in());
    let limiter = LimiterSetup::new(&[&server], &counter).start();
    assert_eq!(limiter.client().exchange(&request("look", "1", "team", 9000)).status(), 200);
    let (_, call) = counter.requests.recv_timeout(TIMEOUT).expect("a counter call");
    let target =
        call.start_line.strip_prefix("POST /v1/count/").expect("a counter call").strip_suffix(" HTTP/1.1");
    let (name, query) = target.and_then(|t| t.split_once('?')).expect("a query");
    assert!(name.parse::<u64>().is_ok(), "{name}");
    let (add, ttl) = query.split_once('&').expect("two query parameters");
    let add: f64 = add.strip_prefix("add=").and_then(|a| a.parse().ok()).expect("an amount");
    let ttl: u64 = ttl.strip_prefix("ttl_ms=").and_then(|t| t.parse().ok()).expect("a TTL");
    assert!(add >= 1.0 && (1..=60_000).contains(&ttl), "add={add}, ttl_ms={ttl}");
}

#[test]
fn every_request_is_answered_whatever_the_counter_returns() {
    let heads = ["200 OK", "503 Busy", "404 None", "500 Broken", "nonsense", "200 OK\r\nContent-Length: x"];
    for head in heads {
        let (server, bad_counter) =
            (stand_in(serve_hi), stand_in(move |_, _, s| write_response(s, head, "nan")));
        let limiter = LimiterSetup::new(&[&server], &bad_counter).start();
        let mut client = limiter.client();
        for n in 0..3 {
            let status = client.exchange(&request("look", &n.to_string(), "team", 9000)).status();
            assert!([200, 429].contains(&status), "{head}: {status}");
        }
        assert!(bad_counter.requests.try_iter().count() >= 1, "{head}: the counter was never called");
    }
}

#[test]
fn requests_are_answered_when_the_counter_is_unresponsive_or_unreachable() {
    let (server, unresponsive) = (stand_in(serve_hi), stand_in(|_, _, _| std::thread::park()));
    let limiter = LimiterSetup::new(&[&server], &unresponsive).start();
    let status = limiter.client().exchange(&request("look", "1", "team", 30_000)).status();
    assert!([200, 429].contains(&status), "{status}");
    let mut setup = LimiterSetup::new(&[&server], &unresponsive);
    setup.counter = unused_address();
    let limiter = setup.start();
    let status = limiter.client().exchange(&request("look", "1", "team", 30_000)).status();
    assert!([200, 429].contains(&status), "{status}");
}

#[test]
fn invalid_datagrams_are_dropped() {
    let (server, counter) = (stand_in(serve_hi), counter_stand_in());
    let limiter = LimiterSetup::new(&[&server], &counter).start();
    let stranger = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    for data in [&[][..], &[0], &[255; 16], &[0; 16], &[1; 13], &[2; 256], &[0; 300]] {
        for from in [&limiter.peer_socket, &stranger] {
            from.send_to(data, limiter.peer_listen).expect("datagram is sent");
        }
    }
    assert!(limiter.passes_health_check());
    assert_eq!(limiter.client().exchange(&request("look", "1", "team", 9000)).status(), 200);
}

/// Limiters exchange units that they have leased for small quotas: one that asks another for some gets a grant.
#[test]
fn a_datagram_from_a_peer_is_answered() {
    let (server, counter) = (stand_in(serve_hi), counter_stand_in());
    let limiter = LimiterSetup::new(&[&server], &counter).start();
    // An `Ask` message: its kind, the customer, the units, the index of the plan and the number of gateways.
    let mut datagram = vec![0];
    datagram.extend(7_u64.to_le_bytes());
    datagram.extend(1_f32.to_le_bytes());
    datagram.push(1);
    datagram.extend(2_u16.to_le_bytes());
    limiter.peer_socket.send_to(&datagram, limiter.peer_listen).expect("datagram is sent");
    let mut response = [0; 300];
    let (len, _) = limiter.peer_socket.recv_from(&mut response).expect("a response");
    // A `Grant` message has kind 1 and names the customer.
    assert_eq!((len, response[0], &response[1..9]), (13, 1, &7_u64.to_le_bytes()[..]));
}

#[test]
fn after_sigterm_new_requests_are_served_until_a_clean_exit() {
    let (release, wait) = channel::<()>();
    let wait = Mutex::new(wait);
    let (server, counter) = (
        stand_in(move |_, m, s| {
            if m.header("req-id") == Some("held") {
                let _ = wait.lock().expect("lock is not poisoned").recv();
            }
            write_response(s, "200 OK", "hi");
        }),
        counter_stand_in(),
    );
    let mut limiter = LimiterSetup::new(&[&server], &counter).start();
    let (mut held, mut kept) = (limiter.client(), limiter.client());
    assert_eq!(kept.exchange(&request("look", "before", "team", 9000)).status(), 200);
    held.write(&request("look", "held", "team", 9000));
    // Waits until the server has received this request.
    while server.requests.recv_timeout(TIMEOUT).expect("an attempt").1.header("req-id") != Some("held") {}
    limiter.terminate();
    // A health check that fails on a new connection shows that the limiter has processed SIGTERM.
    let mut new = loop {
        let mut new = limiter.client();
        let response = new.exchange("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
        if response.status() == 503 {
            assert_eq!(response.header("connection"), Some("close"));
            break limiter.client();
        }
    };
    let response = new.exchange(&request("look", "after", "team", 9000));
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    release.send(()).expect("stand-in is running");
    let response = held.read_response().expect("a response");
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));
    assert!(limiter.wait_for_exit().success());
}

#[test]
fn an_invalid_configuration_is_reported_in_one_line_that_names_the_key() {
    let (server, counter) = (stand_in(serve_hi), counter_stand_in());
    let addresses = [unused_address(), unused_address()];
    let good =
        LimiterSetup::new(&[&server], &counter).config_json(unused_address(), unused_address(), &addresses);
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
        let text = String::from_utf8(output.stderr).expect("UTF-8 output");
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
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let in_use = listener.local_addr().expect("a local address");
    let config = LimiterSetup::new(&[&server], &counter).config_json(in_use, unused_address(), &addresses);
    let output = wait_for_output(spawn_with_config(&config));
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).starts_with("limeway: listen: "));
}

/// Guards against connections beyond the descriptor limit that stop service: they must wait or be rejected, and
/// requests be served again once they are closed.
#[test]
fn connections_beyond_the_descriptor_limit_do_not_stop_service() {
    let (server, counter) = (stand_in(serve_hi), counter_stand_in());
    let mut setup = LimiterSetup::new(&[&server], &counter);
    setup.sockets = 100;
    let limiter = setup.start();
    let mut many: Vec<TcpStream> =
        (0..120).map(|_| TcpStream::connect(limiter.address).expect("a connection")).collect();
    // The limiter evicts idle connections: a request on a new one is answered while the clients keep the others open.
    let status = limiter.client().exchange(&request("look", "1", "team", 9000)).status();
    assert!([200, 429, 503].contains(&status), "{status}");
    // A partial request occupies its connection until the request times out or the client disconnects.
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
    let (server, counter) = (stand_in(serve_hi), counter_stand_in());
    let limiter = LimiterSetup::new(&[&server], &counter).start();
    let text = request("book", "1", "team", 9000);
    for length in [1, 20, text.len() / 2, text.len() - 1] {
        let mut client = limiter.client();
        client.write(&text[..length]);
        client.stream.shutdown(std::net::Shutdown::Write).expect("sending is shut down");
        assert_eq!(client.stream.read(&mut [0; 1]).ok(), Some(0), "after {length} bytes");
    }
    assert_eq!(server.requests.recv_timeout(Duration::ZERO).ok().map(|_| ()), None);
    assert!(limiter.passes_health_check());
}

/// Guards against the default action of SIGHUP (the process ends), a watch that keeps waiting at the old discovery
/// address, and calls that still go to the old counter address. Requests are sent all the while, and each is
/// answered.
#[test]
fn after_sighup_new_addresses_of_discovery_and_counter_are_used() {
    let (servers, counters) =
        ([stand_in(serve_hi), stand_in(serve_hi)], [counter_stand_in(), counter_stand_in()]);
    let discoveries: Vec<_> = servers
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
    setup.discovery = Some(discoveries[0].0.address);
    let mut limiter = setup.start();
    let moved_config = limiter
        .config
        .replace(&discoveries[0].0.address.to_string(), &discoveries[1].0.address.to_string())
        .replace(&counters[0].address.to_string(), &counters[1].address.to_string());
    let first_config = limiter.config.clone();
    let mut client = limiter.client();
    let request_until_used = |client: &mut Client, to: usize| {
        let end = std::time::Instant::now() + TIMEOUT;
        for n in 0.. {
            let status = client.exchange(&request("look", &format!("{to}-{n}"), "team", 9000)).status();
            assert!([200, 429].contains(&status), "{status}");
            let (served, counted) =
                (servers[to].requests.try_iter().count(), counters[to].requests.try_iter().count());
            if served > 0 && counted > 0 {
                return;
            }
            assert!(std::time::Instant::now() < end, "server {to} and counter {to} are not used");
            std::thread::sleep(Duration::from_millis(10));
        }
    };
    request_until_used(&mut client, 0);
    for (config, to) in [(&moved_config, 1), (&first_config, 0), (&moved_config, 1)] {
        limiter.reload(config);
        request_until_used(&mut client, to);
        // Earlier attempts at the other server have ended by now: discards them and checks that there are no new ones.
        servers[1 - to].requests.try_iter().count();
        request_until_used(&mut client, to);
        assert_eq!(servers[1 - to].requests.try_iter().count(), 0);
    }
    limiter.reload("{");
    limiter.reload(&first_config.replace("\"seed\":", "\"x\":"));
    request_until_used(&mut client, 1);
    limiter.terminate();
    assert!(limiter.wait_for_exit().success());
}

/// Guards against taking an unreadable total for a counter that is unreachable: a call that adds 0 returns the total
/// again. The connection on which the unreadable total came is not reused.
#[test]
fn an_unreadable_counter_total_is_requested_again() {
    for unreadable in ["1x7", "--3", "inf", ""] {
        let (server, counter) = (
            stand_in(serve_hi),
            stand_in(move |_, m, s| {
                write_response(s, "200 OK", if m.start_line.contains("add=0&") { "1" } else { unreadable })
            }),
        );
        let limiter = LimiterSetup::new(&[&server], &counter).start();
        assert_eq!(limiter.client().exchange(&request("look", "1", "team", 9000)).status(), 200);
        // If a quota window ends meanwhile, units are leased again from the count of the next window.
        let mut calls_by_count = HashMap::<String, Vec<(usize, Message)>>::new();
        for call in counter.requests.try_iter() {
            let (name, _) = call.1.start_line.split_once('?').expect("a query");
            calls_by_count.entry(name.to_owned()).or_default().push(call);
        }
        assert!(!calls_by_count.is_empty(), "{unreadable}: the counter was never called");
        for calls in calls_by_count.values() {
            assert!(calls.len() == 2 && calls[1].1.start_line.contains("add=0&"), "{unreadable}: {calls:?}");
            assert_ne!(calls[0].0, calls[1].0, "{unreadable}: the connection was reused");
        }
    }
}

/// Guards against clients that connect and send nothing, or never finish a request: each gets an error response or is
/// closed within 3 s (the tests allow more, as CI may be slow), and other clients are served meanwhile.
#[test]
fn silent_connections_are_closed_and_other_clients_served() {
    let (server, counter) = (stand_in(serve_hi), counter_stand_in());
    let mut setup = LimiterSetup::new(&[&server], &counter);
    setup.sockets = 128;
    let limiter = setup.start();
    let mut silent: Vec<TcpStream> =
        (0..300).map(|_| TcpStream::connect(limiter.address).expect("a connection")).collect();
    for n in 0..5 {
        let response = limiter.client().exchange(&request("look", &n.to_string(), "team", 9000));
        assert_eq!(response.status(), 200, "while silent connections are open");
    }
    for stream in &mut silent {
        stream.set_read_timeout(Some(Duration::from_secs(9))).expect("read time-out is set");
        let ended = stream.read(&mut [0; 1]);
        assert!(
            !matches!(&ended, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock),
            "a silent connection is still open"
        );
    }
}

#[test]
fn an_incomplete_request_head_gets_408_in_time() {
    let (server, counter) = (stand_in(serve_hi), counter_stand_in());
    let limiter = LimiterSetup::new(&[&server], &counter).start();
    for part in ["GET /look", "GET /look/1 HTTP/1.1\r\nX: y\r\n"] {
        let mut client = limiter.client();
        client.stream.set_read_timeout(Some(Duration::from_secs(9))).expect("read time-out is set");
        client.write(part);
        assert_eq!(client.read_response().map(|a| a.status()), Some(408), "{part}");
    }
}

/// Guards against an invalid request that gets no error response because it arrived whole, and its client half-closed
/// the connection, before the limiter accepted the connection.
#[test]
fn a_message_received_whole_before_accept_gets_its_response() {
    let (server, counter) = (stand_in(serve_hi), counter_stand_in());
    let limiter = LimiterSetup::new(&[&server], &counter).start();
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
        let response = client.read_response();
        assert_eq!(response.map(|a| a.status()), Some(*status), "{}", &text[..10.min(text.len())]);
    }
}

/// Guards against evicting a connection in use to make room for new ones.
#[test]
fn a_connection_in_use_is_not_evicted_by_new_ones() {
    let (server, counter) = (stand_in(serve_hi), counter_stand_in());
    let mut setup = LimiterSetup::new(&[&server], &counter);
    setup.sockets = 128;
    let limiter = setup.start();
    let mut kept = limiter.client();
    assert_eq!(kept.exchange(&request("look", "before", "team", 9000)).status(), 200);
    // Idle connections are evicted oldest first; the connection in use is never idle for long.
    let mut idle = Vec::new();
    for n in 0..15 {
        idle.extend((0..10).map(|_| TcpStream::connect(limiter.address).expect("a connection")));
        assert_eq!(kept.exchange(&request("look", &format!("{n}"), "team", 9000)).status(), 200);
    }
    assert!(limiter.passes_health_check(), "all earlier connections have been accepted");
    assert_eq!(kept.exchange(&request("look", "after", "team", 9000)).status(), 200);
    drop(idle);
}

/// Guards against discarding a whole list because of one malformed row, and against taking a list of malformed rows
/// for an empty fleet: the valid rows are applied, and servers that a list with malformed rows does not name stay in
/// service.
#[test]
fn a_malformed_row_does_not_affect_other_servers() {
    let (server, counter) = (stand_in(serve_hi), counter_stand_in());
    let malformed =
        ["7".to_owned(), r#"{"host":5}"#.to_owned(), r#"{"host":"s-0","health":"SERVING"}"#.to_owned()];
    let mut rows = malformed.to_vec();
    rows.push(server_row("s-0", server.address, "SERVING"));
    let (discovery, _updates) = discovery_stand_in(server_list(1, true, &rows));
    let mut setup = LimiterSetup::new(&[], &counter);
    setup.discovery = Some(discovery.address);
    let limiter = setup.start();
    assert_eq!(limiter.client().exchange(&request("look", "1", "team", 9000)).status(), 200);

    let (discovery, updates) =
        discovery_stand_in(server_list(1, true, &[server_row("s-0", server.address, "SERVING")]));
    setup.discovery = Some(discovery.address);
    let limiter = setup.start();
    updates.send(server_list(2, true, &malformed)).expect("discovery stand-in is running");
    // The list with malformed rows has been applied once the call after it arrives.
    while !discovery.requests.recv_timeout(TIMEOUT).expect("a call").1.start_line.contains("from=1&") {}
    discovery.requests.recv_timeout(TIMEOUT).expect("a call");
    assert_eq!(limiter.client().exchange(&request("look", "2", "team", 9000)).status(), 200);
}

/// Guards against tables that grow with every new host name: 200 servers come and go at one address, and their
/// ids are reused. Requests still go only to listed servers.
#[test]
fn servers_that_keep_changing_their_host_name_are_followed() {
    let (replaced, stays, counter) = (stand_in(serve_hi), stand_in(serve_hi), counter_stand_in());
    let first =
        [server_row("s-0", replaced.address, "SERVING"), server_row("stays", stays.address, "SERVING")];
    let (discovery, updates) = discovery_stand_in(server_list(1, true, &first));
    let mut setup = LimiterSetup::new(&[], &counter);
    setup.discovery = Some(discovery.address);
    let limiter = setup.start();
    for n in 1..200 {
        let rows = [
            server_row(&format!("s-{}", n - 1), replaced.address, "DELETED"),
            server_row(&format!("s-{n}"), replaced.address, "SERVING"),
        ];
        updates.send(server_list(n + 1, false, &rows)).expect("discovery stand-in is running");
    }
    // Waits for the watch that shows that version 200 is applied.
    while !discovery.requests.recv_timeout(TIMEOUT).expect("a watch").1.start_line.contains("from=200&") {}
    // The last one is new and in slow start, so most requests go to the other server.
    let mut client = limiter.client();
    for n in 0..20 {
        assert_eq!(client.exchange(&request("look", &n.to_string(), "team", 30_000)).status(), 200);
    }
    assert_eq!(replaced.requests.try_iter().count() + stays.requests.try_iter().count(), 20);
}
