//! The memory that servers' responses take, against the real program.

mod common;
use common::*;
use socket2::{Domain, Socket, Type};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Number of servers: enough to have many responses arrive at once.
const SERVERS: usize = 80;
/// Length of a large body that a server may well send, in bytes.
const LARGE_BODY: usize = 400_000;
/// Time for which a response that never ends goes on, unless its connection ends.
const ENDLESS_TIME: Duration = Duration::from_secs(5);

/// How a response goes on without an end.
#[derive(Debug, Clone, Copy)]
enum Endless {
    /// Its body has no length.
    UntilClose,
    /// Its body comes in chunks.
    Chunks,
    /// Its body has a length that it reaches only after a long time.
    Length,
    /// Its head never ends.
    Head,
    /// After good interim responses, its body has no length.
    AfterInterim,
}

impl Endless {
    fn start(self) -> &'static str {
        match self {
            Endless::UntilClose => "HTTP/1.1 200 OK\r\n\r\n",
            Endless::Chunks => "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            Endless::Length => "HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n",
            Endless::Head => "HTTP/1.1 200 OK\r\nX-Long: ",
            Endless::AfterInterim => "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
        }
    }

    /// Further bytes of about this length.
    fn piece(self, length: usize) -> Vec<u8> {
        let data = vec![b'x'; length];
        match self {
            Endless::Chunks => [format!("{length:x}\r\n").as_bytes(), &data[..], b"\r\n"].concat(),
            _ => data,
        }
    }
}

/// Pieces of this length, with this pause between them.
type Pace = (usize, Duration);

/// Responds to requests whose id begins with `endless` without an end, to others with a large or a small body.
fn respond(message: &Message, stream: &mut TcpStream, endless: Endless, pace: Pace, begun: &AtomicUsize) {
    let id = message.header("req-id").unwrap_or_default();
    if id.starts_with("large") {
        return write_response_at_once(stream, "200 OK", &"l".repeat(LARGE_BODY));
    }
    if !id.starts_with("endless") {
        return write_response_at_once(stream, "200 OK", "small");
    }
    let (piece, start) = (endless.piece(pace.0), Instant::now());
    let mut result = stream.write_all(endless.start().as_bytes());
    begun.fetch_add(1, Ordering::SeqCst);
    while result.is_ok() && start.elapsed() < ENDLESS_TIME {
        result = stream.write_all(&piece);
        thread::sleep(pace.1);
    }
    close(stream);
}

/// Deadline of requests whose responses never end, in milliseconds.
const ENDLESS_DEADLINE_MS: u64 = 3_000;
/// Deadline of other requests: they may have to wait for a server until those end.
const DEADLINE_MS: u64 = 9_000;

/// Request of class `look`, of a customer of its own.
fn request_of(number: usize, id: &str, deadline_ms: u64) -> String {
    request("look", id, "team", deadline_ms).replace("00000000b4d65521", &format!("{number:016x}"))
}

/// Sends requests with good responses, one large and one small in turn, until all of each kind are served. They may be
/// refused for want of a server, but their responses are not given up.
fn check_good_responses(limiter: SocketAddr, case: &str) {
    const SERVED: usize = 6;
    let (mut served, mut large, mut number) = ([0; 2], false, 0);
    let end = Instant::now() + TIMEOUT;
    while served.iter().any(|count| *count < SERVED) {
        assert!(Instant::now() < end, "{case}: served {served:?}");
        large = !large;
        number += 1;
        let id = format!("{}-{number}", if large { "large" } else { "small" });
        let mut client = Client::new(TcpStream::connect(limiter).expect("a connection"));
        let response = client.exchange(&request_of(50_000 + number, &id, DEADLINE_MS));
        match response.status() {
            200 => {
                let expected = if large { LARGE_BODY } else { "small".len() };
                assert_eq!(response.body.len(), expected, "{case}: {id}");
                served[usize::from(large)] += 1;
            }
            status => assert!(matches!(status, 429 | 503), "{case}: {id} is answered with {status}"),
        }
    }
}

fn check_endless_responses(endless: Endless, pace: Pace, memory_mb: u32, count: usize) {
    let case = format!("{count} responses go on {endless:?}, {pace:?}, {memory_mb} MB");
    let begun = Arc::new(AtomicUsize::new(0));
    let servers: Vec<StandIn> = (0..SERVERS)
        .map(|_| {
            let begun = begun.clone();
            stand_in(move |_, message, stream| respond(message, stream, endless, pace, &begun))
        })
        .collect();
    let counter = prompt_counter_stand_in();
    let setup = LimiterSetup::new(&servers.iter().collect::<Vec<_>>(), &counter);
    let limiter = LimiterSetup { memory_mb, ..setup }.start();
    thread::scope(|scope| {
        let clients: Vec<_> = (0..count)
            .map(|number| {
                let mut client = limiter.client();
                client.write(&request_of(number, &format!("endless-{number}"), ENDLESS_DEADLINE_MS));
                scope.spawn(move || client.read_response().expect("a final response").status())
            })
            .collect();
        // Some may be refused: all that matters is that many have begun.
        let end = Instant::now() + TIMEOUT;
        while begun.load(Ordering::SeqCst) < count / 2 {
            assert!(Instant::now() < end, "{case}: {} have begun", begun.load(Ordering::SeqCst));
            thread::sleep(Duration::from_millis(5));
        }
        check_good_responses(limiter.address, &case);
        for client in clients {
            let status = client.join().expect("a final response");
            assert!(matches!(status, 429 | 502 | 503), "{case}: {status}");
        }
    });
    let peak = limiter.peak_memory_mb();
    assert!(peak < u64::from(memory_mb), "{case}: {peak} MB");
}

/// Guards against a limiter that needs more memory than it may, as servers send responses that never end, and against
/// giving up good responses for these.
#[test]
fn responses_that_never_end_do_not_use_up_the_memory() {
    let slow = (64 * 1024, Duration::from_millis(150));
    let steady = (8 * 1024, Duration::from_millis(20));
    let cases = [
        (Endless::UntilClose, slow, 32),
        (Endless::UntilClose, steady, 48),
        (Endless::Chunks, slow, 32),
        (Endless::Length, (4 * 1024, Duration::from_millis(20)), 32),
        (Endless::Head, (512, Duration::from_millis(100)), 32),
        (Endless::AfterInterim, slow, 32),
    ];
    for (endless, pace, memory_mb) in cases {
        check_endless_responses(endless, pace, memory_mb, 240);
    }
}

/// A client connection that takes in little before it is read from.
fn connect_with_small_buffer(limiter: SocketAddr) -> Client {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4 * 1024).expect("SO_RCVBUF is set");
    socket.connect(&limiter.into()).expect("a connection");
    Client::new(socket.into())
}

/// Guards against a limiter that needs more memory than it may, as clients do not take large responses. Once they do,
/// each gets a whole one or an error.
#[test]
fn large_responses_that_clients_do_not_take_do_not_use_up_the_memory() {
    const MEMORY_MB: u32 = 32;
    const CLIENTS: usize = 160;
    let respond = |_: usize, _: &Message, stream: &mut TcpStream| {
        write_response_at_once(stream, "200 OK", &"l".repeat(LARGE_BODY));
    };
    let servers: Vec<StandIn> = (0..SERVERS).map(|_| stand_in(respond)).collect();
    let counter = prompt_counter_stand_in();
    let setup = LimiterSetup::new(&servers.iter().collect::<Vec<_>>(), &counter);
    let limiter = LimiterSetup { memory_mb: MEMORY_MB, ..setup }.start();
    let mut clients: Vec<Client> = (0..CLIENTS)
        .map(|number| {
            let mut client = connect_with_small_buffer(limiter.address);
            client.write(&request_of(number, &format!("large-{number}"), DEADLINE_MS));
            client
        })
        .collect();
    let end = Instant::now() + TIMEOUT;
    let mut asked = 0;
    while asked < CLIENTS / 2 {
        assert!(Instant::now() < end, "{asked} requests were sent to servers");
        asked += servers.iter().map(|server| server.requests.try_iter().count()).sum::<usize>();
        thread::sleep(Duration::from_millis(5));
    }
    wait_two_loop_iterations(&limiter);
    let mut whole = 0;
    for client in &mut clients {
        let response = client.read_response().expect("a final response");
        match response.status() {
            200 => {
                assert_eq!(response.body.len(), LARGE_BODY);
                whole += 1;
            }
            status => assert!(matches!(status, 429 | 502 | 503), "{status}"),
        }
    }
    assert!(whole > 0, "no client was served");
    let peak = limiter.peak_memory_mb();
    assert!(peak < u64::from(MEMORY_MB), "{peak} MB, {whole} were served");
}
