//! Responses whose framing does not fit their body, and good ones with more behind them, against the real program.

mod common;
use common::*;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Lengths of bodies, in bytes.
const BODY_LENGTHS: [usize; 4] = [60, 5_000, 66_000, 400_000];

/// How a response ends before its body does.
#[derive(Debug, Clone, Copy)]
enum Truncation {
    /// By a length that is so many bytes too short.
    Length(usize),
    /// By a length of 0.
    NoLength,
    /// By a last chunk before the last so many bytes.
    LastChunk(usize),
    /// By a last chunk that is followed by the last so many bytes as if they were trailers.
    Trailers(usize),
}

const TRUNCATIONS: [Truncation; 7] = [
    Truncation::Length(1),
    Truncation::Length(3),
    Truncation::Length(59),
    Truncation::NoLength,
    Truncation::LastChunk(1),
    Truncation::LastChunk(40),
    Truncation::Trailers(40),
];

/// The body that a server makes for a request.
fn body_for(id: &str, length: usize) -> String {
    let mut body = String::with_capacity(length + 32);
    while body.len() < length {
        body.push_str(&format!("{id};net=540246;"));
    }
    body.truncate(length);
    body
}

impl Truncation {
    fn response(self, body: &str) -> String {
        let with_length =
            |length: usize| format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
        let in_chunk = |rest: usize, last: &str| {
            let (first, rest) = body.split_at(body.len() - rest);
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            format!("{head}{:x}\r\n{first}\r\n{last}{rest}\r\n\r\n", first.len())
        };
        match self {
            Truncation::Length(missing) => with_length(body.len() - missing),
            Truncation::NoLength => with_length(0),
            Truncation::LastChunk(missing) => in_chunk(missing, "0\r\n\r\n"),
            Truncation::Trailers(missing) => in_chunk(missing, "0\r\n"),
        }
    }
}

/// Starts a server stand-in that sends what `respond` makes of each id, in one write, and counts its requests.
fn server_that_sends(
    respond: impl Fn(&str) -> String + Send + Sync + 'static,
) -> (StandIn, Arc<AtomicUsize>) {
    let count = Arc::new(AtomicUsize::new(0));
    let counted = count.clone();
    let server = stand_in(move |_, message: &Message, stream: &mut TcpStream| {
        counted.fetch_add(1, Ordering::SeqCst);
        let _ = stream.write_all(respond(message.header("req-id").unwrap_or_default()).as_bytes());
    });
    (server, count)
}

/// Guards against a 200 with a truncated body, where a server's response has a length that is too short: the client
/// cannot tell. A request that may not be repeated fails, with a single attempt.
#[test]
fn a_response_longer_than_its_framing_says_is_a_failed_attempt() {
    for length in BODY_LENGTHS {
        for truncation in TRUNCATIONS {
            let case = format!("{truncation:?} of {length} bytes");
            let (server, count) = server_that_sends(move |id| truncation.response(&body_for(id, length)));
            let counter = counter_stand_in();
            let limiter = LimiterSetup::new(&[&server], &counter).start();
            let response = limiter.client().exchange(&request("once", "cut", "team", 20_000));
            assert_eq!(response.status(), 502, "{case}");
            assert_eq!(count.load(Ordering::SeqCst), 1, "{case}");
        }
    }
}

/// The same, where what has been read ends with the body: the rest of it is still in the system.
#[test]
fn the_rest_of_a_response_that_has_not_been_read_yet_is_seen() {
    for truncated_length in [256, 512, 1_024, 2_048, 4_096, 5_120, 8_192, 9_216, 13_312, 16_384] {
        let (server, _) = server_that_sends(move |_| {
            let head = "HTTP/1.1 200 OK\r\nContent-Length: 00000\r\n\r\n";
            let length = truncated_length - head.len();
            head.replace("00000", &format!("{length:05}")) + &"b".repeat(length + 3)
        });
        let counter = counter_stand_in();
        let limiter = LimiterSetup::new(&[&server], &counter).start();
        let response = limiter.client().exchange(&request("once", "cut", "team", 20_000));
        assert_eq!(response.status(), 502, "the response is truncated after {truncated_length} bytes");
    }
}

/// Guards against losing such a request where another server can still serve it.
#[test]
fn after_a_response_longer_than_its_framing_says_a_safe_request_is_served_by_another_server() {
    for (round, length) in (0..).zip(BODY_LENGTHS) {
        let truncation = Truncation::Length(3);
        let (bad, bad_count) = server_that_sends(move |id| truncation.response(&body_for(id, length)));
        let (good, _) = server_that_sends(move |id| Truncation::Length(0).response(&body_for(id, length)));
        let counter = counter_stand_in();
        // Which server comes first depends on the seed.
        for seed in 0..6 {
            let setup = LimiterSetup::new(&[&bad, &good], &counter).seed(seed * 7_919 + round);
            let response = setup.start().client().exchange(&request("look", "whole", "team", 20_000));
            assert_eq!(response.status(), 200, "{length} bytes, seed {seed}");
            assert!(response.body == body_for("whole", length), "{length} bytes, seed {seed}");
        }
        assert!(bad_count.load(Ordering::SeqCst) > 0, "the failing server was never tried");
    }
}

/// Guards against taking a good response for a truncated one because a second one is right behind it.
#[test]
fn a_response_with_a_second_copy_behind_it_is_served_whole() {
    for length in BODY_LENGTHS {
        for chunked in [false, true] {
            let respond = move |id: &str| {
                let body = body_for(id, length);
                let response = if chunked {
                    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                    format!("{head}{length:x}\r\n{body}\r\n0\r\nX-Checksum: 1\r\n\r\n")
                } else {
                    Truncation::Length(0).response(&body)
                };
                response.repeat(2)
            };
            let (server, _) = server_that_sends(respond);
            let counter = counter_stand_in();
            let limiter = LimiterSetup::new(&[&server], &counter).start();
            let mut client = limiter.client();
            for round in 0..5 {
                let id = format!("copy-{round}");
                let response = client.exchange(&request("once", &id, "team", 20_000));
                assert_eq!(response.status(), 200, "{length} bytes, chunked: {chunked}");
                assert!(response.body == body_for(&id, length), "{length} bytes, chunked: {chunked}");
            }
        }
    }
}
