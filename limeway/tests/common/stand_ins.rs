//! Stand-ins for servers and the counter.

use super::*;
use socket2::{Domain, Socket, Type};
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Handles one request: gets the number of its connection (from 0), the request and the stream to respond on.
pub type Handler = dyn Fn(usize, &Message, &mut TcpStream) + Send + Sync;

/// A listening stand-in. `requests` receives each request that it reads, with the number of its connection.
pub struct StandIn {
    pub address: SocketAddr,
    pub requests: Receiver<(usize, Message)>,
}

/// Starts a stand-in that passes each request to `handler`, one thread for each connection.
pub fn stand_in(handler: impl Fn(usize, &Message, &mut TcpStream) + Send + Sync + 'static) -> StandIn {
    stand_in_at(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), handler)
}

/// Starts a stand-in at a given address.
pub fn stand_in_at(
    address: SocketAddr,
    handler: impl Fn(usize, &Message, &mut TcpStream) + Send + Sync + 'static,
) -> StandIn {
    let listener = TcpListener::bind(address).expect("address is bound");
    let address = listener.local_addr().expect("a local address");
    let (received, requests) = channel();
    let handler: Arc<Handler> = Arc::new(handler);
    thread::spawn(move || {
        for (number, stream) in listener.incoming().enumerate() {
            let Ok(stream) = stream else { return };
            let (received, handler) = (received.clone(), handler.clone());
            thread::spawn(move || serve_connection(number, stream, &received, &*handler));
        }
    });
    StandIn { address, requests }
}

fn serve_connection(
    number: usize,
    mut stream: TcpStream,
    received: &Sender<(usize, Message)>,
    handler: &Handler,
) {
    let mut reader = BufReader::new(stream.try_clone().expect("stream is cloned"));
    while let Some(message) = read_message(&mut reader) {
        let _ = received.send((number, message.clone()));
        handler(number, &message, &mut stream);
    }
}

/// Writes a response with a body; `head` is its status and reason, and may go on with header lines.
pub fn write_response(stream: &mut TcpStream, head: &str, body: &str) {
    let _ = write!(stream, "HTTP/1.1 {head}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
}

/// The same in one piece: the system holds back a second small one until the first is acknowledged.
pub fn write_response_at_once(stream: &mut TcpStream, head: &str, body: &str) {
    let response = format!("HTTP/1.1 {head}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let _ = stream.write_all(response.as_bytes());
}

/// Shuts down a connection in both directions, for all handles to it.
pub fn close(stream: &TcpStream) {
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

/// Resets a connection as soon as the handler returns: shutting down the receiving side makes the stand-in drop its
/// handles, and with a linger time of zero the last close sends a reset. Shutting down the sending side instead would
/// send an orderly end first.
pub fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(std::net::Shutdown::Read);
}

/// Starts a counter stand-in that keeps a total for each name.
pub fn counter_stand_in() -> StandIn {
    counter_stand_in_with(write_response)
}

/// The same for tests with many calls: it does not delay them by writing responses in pieces.
pub fn prompt_counter_stand_in() -> StandIn {
    counter_stand_in_with(write_response_at_once)
}

fn counter_stand_in_with(write: fn(&mut TcpStream, &str, &str)) -> StandIn {
    let totals = Mutex::new(std::collections::HashMap::<String, f64>::new());
    stand_in(move |_, message, stream| {
        let target = message.start_line.split(' ').nth(1).expect("a request target");
        let (name, query) = target.split_once('?').expect("a query");
        let add = query.split('&').find_map(|p| p.strip_prefix("add=")).expect("an amount");
        let total = {
            let mut totals = totals.lock().expect("lock is not poisoned");
            let total = totals.entry(name.to_owned()).or_default();
            *total += add.parse::<f64>().expect("a number");
            *total
        };
        write(stream, "200 OK", &total.to_string());
    })
}

/// Handler that responds to every request with 200.
pub fn serve_ok(_: usize, _: &Message, stream: &mut TcpStream) {
    write_response(stream, "200 OK", "served");
}

/// A listener whose accept queue is full: connections to it stay in the handshake until it starts to accept.
pub struct FullAcceptQueue {
    listener: TcpListener,
    pub address: SocketAddr,
    /// The connections that fill the accept queue.
    fill: Vec<Socket>,
}

impl FullAcceptQueue {
    /// Listens and fills the accept queue.
    pub fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).expect("a free port");
        // With a backlog of 0 the system uses SYN cookies, and a connection may look established to one side only.
        socket.listen(4).expect("socket listens");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("a local address");
        let mut fill = Vec::new();
        // The system completes handshakes until the queue is full; the first connect that times out shows that it is.
        for _ in 0..16 {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
            if socket.connect_timeout(&address.into(), Duration::from_millis(300)).is_err() {
                return FullAcceptQueue { listener, address, fill };
            }
            fill.push(socket);
        }
        panic!("the accept queue is not full after 16 connections");
    }

    /// A stand-in with this listener's address, to be listed in a [`LimiterSetup`]; its `requests` receives none.
    pub fn listed(&self) -> StandIn {
        StandIn { address: self.address, requests: channel().1 }
    }

    /// Waits until a connection to this listener is in the handshake, by the system's socket table.
    pub fn wait_for_pending_connect(&self) {
        const SYN_SENT: &str = "02";
        let port = format!("0100007F:{:04X}", self.address.port());
        let end = Instant::now() + TIMEOUT;
        loop {
            let table = std::fs::read_to_string("/proc/net/tcp").expect("the socket table");
            let connecting = |line: &str| {
                let mut columns = line.split_whitespace().skip(2);
                columns.next() == Some(port.as_str()) && columns.next() == Some(SYN_SENT)
            };
            if table.lines().any(connecting) {
                return;
            }
            assert!(Instant::now() < end, "no connection to the listener is in the handshake");
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Starts to accept, and serves requests with 200. The receiver gets a message for each connection, except those
    /// that filled the accept queue.
    pub fn start_accepting(self) -> (StandIn, Receiver<()>) {
        let filled = self.fill.len();
        drop(self.fill);
        let (notify_accepted, accepted) = channel();
        let (received, requests) = channel();
        let address = self.address;
        thread::spawn(move || {
            for (number, stream) in self.listener.incoming().enumerate() {
                let Ok(mut stream) = stream else { return };
                if number >= filled {
                    let _ = notify_accepted.send(());
                }
                let received = received.clone();
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().expect("stream is cloned"));
                    while let Some(message) = read_message(&mut reader) {
                        let _ = received.send((number, message));
                        write_response(&mut stream, "200 OK", "served");
                    }
                });
            }
        });
        (StandIn { address, requests }, accepted)
    }
}

/// Starts a counter stand-in that sends a message on the receiver after each response that it has written.
pub fn notifying_counter() -> (StandIn, Receiver<()>) {
    let (notify_answered, answered) = channel();
    let total = AtomicU32::new(0);
    let counter = stand_in(move |_, _, stream| {
        write_response(stream, "200 OK", &(total.fetch_add(1, Ordering::SeqCst) + 1).to_string());
        let _ = notify_answered.send(());
    });
    (counter, answered)
}

/// Starts a server stand-in that holds each response until a message is sent on the sender, or until the sender is
/// dropped. The response body is the request's `Req-Id`.
pub fn gated_server() -> (StandIn, Sender<()>) {
    let (release, wait) = channel::<()>();
    let wait = Mutex::new(wait);
    let server = stand_in(move |_, message, stream| {
        let _ = wait.lock().expect("lock is not poisoned").recv_timeout(TIMEOUT);
        write_response(stream, "200 OK", message.header("req-id").unwrap_or_default());
    });
    (server, release)
}
