//! What the protocol allows, up to its limits, against the real program: encodings of messages and how they are split
//! into writes, very short deadlines, and several reloads in quick succession.

mod common;
use common::*;
use std::collections::HashMap;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

/// Longest request body that the limiter accepts, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Writes a message in pieces of `length` bytes.
fn write_in_pieces(stream: &mut TcpStream, text: &str, length: usize) {
    for piece in text.as_bytes().chunks(length) {
        if stream.write_all(piece).is_err() {
            return;
        }
        std::thread::sleep(Duration::from_micros(200));
    }
}

#[test]
fn a_request_in_any_valid_encoding_is_forwarded_unchanged() {
    let (server, counter) = (stand_in(serve_ok), counter_stand_in());
    let limiter = LimiterSetup::new(&[&server], &counter).start();
    let plain = request("book", "form", "team", 9000);
    let long = "b".repeat(MAX_BODY_BYTES);
    let chunked = |body: &str| {
        plain.replace("Content-Length: 5", "transfer-encoding:  Chunked ").replace("\r\n\r\nhello", body)
    };
    let forms = [
        (plain.clone(), "hello"),
        (plain.replace(": ", ":"), "hello"),
        (plain.replace(": ", ":\t  ").replace("Idempotency-Key", "iDEMPOTENCY-kEY"), "hello"),
        (plain.to_owned().replace("Req-Id", "REQ-ID").replace("Content-Length", "content-length"), "hello"),
        (plain.replace("units=1,spread=2,first=0", "first=0, spread=2, units=1"), "hello"),
        (chunked("\r\n\r\n5;a=\"b\"\r\nhello\r\n000\r\nT: 1\r\n\r\n"), "hello"),
        (chunked("\r\n\r\n1\r\nh\r\n04\r\nello\r\n0;x\r\n\r\n"), "hello"),
        (plain.replace("Content-Length: 5", "Content-Length: 65536").replace("hello", &long), long.as_str()),
    ];
    let mut client = limiter.client();
    for (text, body) in &forms {
        let whole = text.len();
        for length in if body.len() > 100 { [whole, 4_096] } else { [whole, 1] } {
            write_in_pieces(&mut client.stream, text, length);
            let response = client.read_response().expect("a response");
            assert_eq!(
                (response.status(), response.body.as_str()),
                (200, "served"),
                "in pieces of {length}: {text}"
            );
            let (_, sent) = server.requests.recv_timeout(TIMEOUT).expect("an attempt");
            assert!(sent.start_line.starts_with("POST /book/00000000b4d65521?x=1 "), "{}", sent.start_line);
            assert_eq!((sent.header("req-id"), sent.header("idempotency-key")), (Some("form"), Some("5c0f")));
            assert!(sent.body == *body, "in pieces of {length}: {text}");
        }
    }
}

#[test]
fn a_response_in_any_valid_encoding_is_returned_whole() {
    let long = "a".repeat(MAX_BODY_BYTES);
    let forms = [
        ("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved".to_owned(), "served"),
        ("HTTP/1.1 200\r\ncontent-length:6\r\n\r\nserved".to_owned(), "served"),
        ("HTTP/1.1 200 \r\nCONTENT-LENGTH: \t6 \r\n\r\nserved".to_owned(), "served"),
        ("HTTP/1.0 200 OK\r\nContent-Length: 6\r\n\r\nserved".to_owned(), "served"),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;e\r\nse\r\n04\r\nrved\r\n0\r\nT: 1\r\n\r\n".into(), "served"),
        ("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved".to_owned(), "served"),
        ("HTTP/1.1 200 OK\r\nSrv-Load: nonsense\r\nContent-Length: 0\r\n\r\n".to_owned(), ""),
        (format!("HTTP/1.1 200 OK\r\nContent-Length: {MAX_BODY_BYTES}\r\n\r\n{long}"), long.as_str()),
    ];
    for (text, body) in forms {
        for length in if body.len() > 100 { [text.len(), 4_096] } else { [text.len(), 1] } {
            let (response, counter) = (text.clone(), counter_stand_in());
            let server = stand_in(move |_, _, stream| write_in_pieces(stream, &response, length));
            let limiter = LimiterSetup::new(&[&server], &counter).start();
            let response = limiter.client().exchange(&request("once", "form", "team", 9000));
            assert!(
                (response.status(), response.body.as_str()) == (200, body),
                "in pieces of {length}: {text}"
            );
        }
    }
}

/// Guards against a request that gets no response because its deadline is too short for any attempt (a server may drop
/// such a request silently), and against an unsafe request that a server has received but that does not get 502.
#[test]
fn a_request_with_a_very_short_deadline_gets_a_final_response() {
    let counter = counter_stand_in();
    let server = stand_in(|_, _, _| std::thread::park());
    let limiter = LimiterSetup::new(&[&server], &counter).start();
    let mut statuses = HashMap::new();
    for class in ["look", "book", "once"] {
        let mut client = limiter.client();
        for left_ms in [1, 2, 5, 10, 19, 20, 21, 25, 50, 100] {
            let id = format!("{class}-{left_ms}");
            let status = client.exchange(&request(class, &id, "team", left_ms)).status();
            assert!([429, 502, 503, 504].contains(&status), "{id}: {status}");
            statuses.insert(id, status);
        }
    }
    // An attempt may reach the server only after a later request has been sent.
    while let Ok((_, message)) = server.requests.recv_timeout(Duration::from_millis(500)) {
        let id = message.header("req-id").expect("a request id");
        let status = statuses[id];
        assert!(
            !id.starts_with("once-") || status == 502,
            "{id}: the request may have run, but got {status}"
        );
    }
}

/// Guards against a limiter that keeps using an old discovery address, or exits because of an invalid configuration
/// file.
#[test]
fn after_several_reloads_the_last_valid_configuration_applies() {
    let (server, counter) = (stand_in(serve_ok), counter_stand_in());
    let discoveries: Vec<_> = ["SERVING", "SERVING", "DRAINING"]
        .iter()
        .zip(1..)
        .map(|(health, seq)| {
            discovery_stand_in(server_list(seq, true, &[server_row("s-0", server.address, health)]))
        })
        .collect();
    let mut setup = LimiterSetup::new(&[&server], &counter);
    setup.discovery = Some(discoveries[0].0.address);
    let mut limiter = setup.start();
    let first_config = limiter.config.clone();
    let config_for = |number: usize| {
        first_config
            .replace(&discoveries[0].0.address.to_string(), &discoveries[number].0.address.to_string())
    };
    // Several signals may be delivered as one; the contents of the file at the last signal apply.
    for config in
        [config_for(1), String::new(), config_for(2), config_for(1), "{\"listen\":".to_owned(), config_for(2)]
    {
        limiter.reload(&config);
    }
    // The next watch at that address shows that its list has been applied.
    let has_list = |message: &Message| message.start_line.contains("from=3");
    while !has_list(
        &discoveries[2].0.requests.recv_timeout(TIMEOUT).expect("a call to the last discovery address").1,
    ) {}
    for bad in ["", "{", "[]", "{\"discovery\":7}"] {
        limiter.reload(bad);
    }
    std::fs::remove_file(&limiter.path).expect("configuration file is removed");
    limiter.send_sighup();
    wait_two_loop_iterations(&limiter);
    // Discards the requests received so far.
    server.requests.try_iter().count();
    let response = limiter.client().exchange(&request("look", "drained", "team", 500));
    assert_eq!(response.status(), 429, "the last list has no server in service");
    assert!(server.requests.try_recv().is_err(), "a request was sent to the draining server");
    limiter.terminate();
    assert!(limiter.wait_for_exit().success());
}

#[test]
fn unknown_keys_are_ignored_everywhere() {
    let (server_0, server_1, counter) = (stand_in(serve_ok), stand_in(serve_ok), counter_stand_in());
    let with_unknown_key = |row: String| row.replace("{", "{\"unknown\":{\"a\":[1,null]},");
    let rows =
        |server: &StandIn, host: &str| vec![with_unknown_key(server_row(host, server.address, "SERVING"))];
    let discoveries = [(&server_0, "s-0", 1), (&server_1, "s-1", 2)].map(|(server, host, seq)| {
        discovery_stand_in(with_unknown_key(server_list(seq, true, &rows(server, host))))
    });
    let mut setup = LimiterSetup::new(&[&server_0], &counter);
    setup.extra_permissions = r#","unknown":{"b":[true]}"#.to_owned();
    setup.known = KnownServers::Rows(rows(&server_0, "s-0"));
    setup.discovery = Some(discoveries[0].0.address);
    let limiter = setup.start();
    assert_eq!(limiter.client().exchange(&request("look", "first", "team", 9000)).status(), 200);
    let moved =
        limiter.config.replace(&discoveries[0].0.address.to_string(), &discoveries[1].0.address.to_string());
    let moved = moved.replace("\"settings\":{", "\"unknown\":[7],\"settings\":{\"unknown\":{\"c\":0.5},");
    limiter.reload(&moved);
    // Waits for the watch that shows that the list of the new discovery is applied.
    while !discoveries[1]
        .0
        .requests
        .recv_timeout(TIMEOUT)
        .expect("a call to the new discovery")
        .1
        .start_line
        .contains("from=2")
    {}
    assert_eq!(limiter.client().exchange(&request("look", "second", "team", 9000)).status(), 200);
    assert_eq!(server_1.requests.try_iter().count(), 1, "requests at the server of the second list");
}
