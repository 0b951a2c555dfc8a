//! All that the protocol allows, at its limits, against the real program: forms and pieces of messages, little time,
//! and configurations in quick succession.

mod common;
use common::*;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

/// Longest body of a request, in bytes.
const BODY_MOST: usize = 64 * 1024;

/// Writes a message in pieces of so many bytes.
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
    let (one, counter) = (stand_in(serve_ok), counter_stand_in());
    let limiter = LimiterSetup::new(&[&one], &counter).start();
    let plain = request("book", "form", "team", 9000);
    let long = "b".repeat(BODY_MOST);
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
            let answer = client.read_response().expect("an answer");
            assert_eq!(
                (answer.status(), answer.body.as_str()),
                (200, "served"),
                "in pieces of {length}: {text}"
            );
            let (_, sent) = one.requests.recv_timeout(TIMEOUT).expect("an attempt");
            assert!(sent.start_line.starts_with("POST /book/00000000b4d65521?x=1 "), "{}", sent.start_line);
            assert_eq!((sent.header("req-id"), sent.header("idempotency-key")), (Some("form"), Some("5c0f")));
            assert!(sent.body == *body, "in pieces of {length}: {text}");
        }
    }
}

#[test]
fn a_response_in_any_valid_encoding_is_returned_whole() {
    let long = "a".repeat(BODY_MOST);
    let forms = [
        ("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved".to_owned(), "served"),
        ("HTTP/1.1 200\r\ncontent-length:6\r\n\r\nserved".to_owned(), "served"),
        ("HTTP/1.1 200 \r\nCONTENT-LENGTH: \t6 \r\n\r\nserved".to_owned(), "served"),
        ("HTTP/1.0 200 OK\r\nContent-Length: 6\r\n\r\nserved".to_owned(), "served"),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;e\r\nse\r\n04\r\nrved\r\n0\r\nT: 1\r\n\r\n".into(), "served"),
        ("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved".to_owned(), "served"),
        ("HTTP/1.1 200 OK\r\nSrv-Load: nonsense\r\nContent-Length: 0\r\n\r\n".to_owned(), ""),
        (format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY_MOST}\r\n\r\n{long}"), long.as_str()),
    ];
    for (text, body) in forms {
        for length in if body.len() > 100 { [text.len(), 4_096] } else { [text.len(), 1] } {
            let (answer, counter) = (text.clone(), counter_stand_in());
            let one = stand_in(move |_, _, stream| write_in_pieces(stream, &answer, length));
            let limiter = LimiterSetup::new(&[&one], &counter).start();
            let answer = limiter.client().exchange(&request("once", "form", "team", 9000));
            assert!((answer.status(), answer.body.as_str()) == (200, body), "in pieces of {length}: {text}");
        }
    }
}

/// Guards against a request that is too late for everything and gets no answer; servers may drop such a one unseen.
#[test]
fn a_request_with_a_very_short_deadline_gets_a_final_response() {
    let counter = counter_stand_in();
    let one = stand_in(|_, _, _| std::thread::park());
    let limiter = LimiterSetup::new(&[&one], &counter).start();
    for class in ["look", "book", "once"] {
        let mut client = limiter.client();
        for left_ms in [1, 2, 5, 10, 19, 20, 21, 25, 50, 100] {
            let answer = client.exchange(&request(class, &format!("{class}-{left_ms}"), "team", left_ms));
            let status = answer.status();
            assert!([429, 502, 503, 504].contains(&status), "{class}, {left_ms} ms: {status}");
            let ran = one.requests.try_iter().count() > 0;
            assert!(
                class != "once" || !ran || status == 502,
                "{class}, {left_ms} ms: may have run, {status}"
            );
        }
    }
}

/// Guards against a limiter that stays with an address that is given up, or ends by a file that cannot be used.
#[test]
fn after_several_reloads_the_last_valid_configuration_applies() {
    let (one, counter) = (stand_in(serve_ok), counter_stand_in());
    let agents: Vec<_> = ["SERVING", "SERVING", "DRAINING"]
        .iter()
        .zip(1..)
        .map(|(health, seq)| {
            discovery_stand_in(server_list(seq, true, &[server_row("s-0", one.address, health)]))
        })
        .collect();
    let mut setup = LimiterSetup::new(&[&one], &counter);
    setup.discovery = Some(agents[0].0.address);
    let mut limiter = setup.start();
    let first = limiter.config.clone();
    let to =
        |agent: usize| first.replace(&agents[0].0.address.to_string(), &agents[agent].0.address.to_string());
    // Signals may fall together; what the file says when the last one comes counts.
    for config in [to(1), String::new(), to(2), to(1), "{\"listen\":".to_owned(), to(2)] {
        limiter.reload(&config);
    }
    // Its next watch there shows that it has taken the list in.
    let watches = |message: &Message| message.start_line.contains("from=3");
    while !watches(&agents[2].0.requests.recv_timeout(TIMEOUT).expect("it asks where it was sent last").1) {}
    for bad in ["", "{", "[]", "{\"discovery\":7}"] {
        limiter.reload(bad);
    }
    std::fs::remove_file(&limiter.path).expect("it is there");
    limiter.send_sighup();
    wait_two_loop_iterations(&limiter);
    one.requests.try_iter().count();
    let answer = limiter.client().exchange(&request("look", "drained", "team", 500));
    assert_eq!(answer.status(), 429, "no server is in service by the last list");
    assert!(one.requests.try_recv().is_err(), "nothing goes to the server that drains");
    limiter.terminate();
    assert!(limiter.wait_for_exit().success());
}

#[test]
fn unknown_keys_are_ignored_everywhere() {
    let (one, two, counter) = (stand_in(serve_ok), stand_in(serve_ok), counter_stand_in());
    let strange = |row: String| row.replace("{", "{\"unknown\":{\"a\":[1,null]},");
    let rows = |server: &StandIn, host: &str| vec![strange(server_row(host, server.address, "SERVING"))];
    let lists = [(&one, "s-0", 1), (&two, "s-1", 2)]
        .map(|(server, host, seq)| discovery_stand_in(strange(server_list(seq, true, &rows(server, host)))));
    let mut setup = LimiterSetup::new(&[&one], &counter);
    setup.extra_permissions = r#","unknown":{"b":[true]}"#.to_owned();
    setup.known = KnownServers::Rows(rows(&one, "s-0"));
    setup.discovery = Some(lists[0].0.address);
    let limiter = setup.start();
    assert_eq!(limiter.client().exchange(&request("look", "first", "team", 9000)).status(), 200);
    let moved = limiter.config.replace(&lists[0].0.address.to_string(), &lists[1].0.address.to_string());
    let moved = moved.replace("\"settings\":{", "\"unknown\":[7],\"settings\":{\"unknown\":{\"c\":0.5},");
    limiter.reload(&moved);
    while !lists[1].0.requests.recv_timeout(TIMEOUT).expect("it follows").1.start_line.contains("from=2") {}
    assert_eq!(limiter.client().exchange(&request("look", "second", "team", 9000)).status(), 200);
    assert_eq!(two.requests.try_iter().count(), 1, "the server of the second list serves");
}
