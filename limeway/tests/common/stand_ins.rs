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

/// What a server does with a request.
pub type Serve = dyn Fn(usize, &Message, &mut TcpStream) + Send + Sync;

/// A stand-in that listens; it passes on each request that it gets.
pub struct Server {
    pub address: SocketAddr,
    pub requests: Receiver<(usize, Message)>,
}

/// Starts a stand-in; `serve` gets the number of the connection, the request and the stream.
pub fn server(serve: impl Fn(usize, &Message, &mut TcpStream) + Send + Sync + 'static) -> Server {
    server_at(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), serve)
}

/// The same at an address.
pub fn server_at(
    at: SocketAddr,
    serve: impl Fn(usize, &Message, &mut TcpStream) + Send + Sync + 'static,
) -> Server {
    let listener = TcpListener::bind(at).expect("a port");
    let address = listener.local_addr().expect("its address");
    let (tell, requests) = channel();
    let serve: Arc<Serve> = Arc::new(serve);
    thread::spawn(move || {
        for (number, stream) in listener.incoming().enumerate() {
            let Ok(stream) = stream else { return };
            let (tell, serve) = (tell.clone(), serve.clone());
            thread::spawn(move || connection(number, stream, &tell, &*serve));
        }
    });
    Server { address, requests }
}

fn connection(number: usize, mut stream: TcpStream, tell: &Sender<(usize, Message)>, serve: &Serve) {
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    while let Some(message) = read(&mut reader) {
        let _ = tell.send((number, message.clone()));
        serve(number, &message, &mut stream);
    }
}

/// Writes an answer with a body.
pub fn reply(stream: &mut TcpStream, head: &str, body: &str) {
    let _ = write!(stream, "HTTP/1.1 {head}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
}

/// Ends a connection in both directions, for all handles to it.
pub fn hang_up(stream: &TcpStream) {
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

/// Resets a connection once the stand-in is done with it: its end of reading lets go of all handles to it, and with
/// nothing lingering the last close is a reset. An end of sending would be seen first, as an orderly end.
pub fn reset(stream: &TcpStream) {
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(std::net::Shutdown::Read);
}

/// A counter that adds up each name.
pub fn counter() -> Server {
    let totals = Mutex::new(std::collections::HashMap::<String, f64>::new());
    server(move |_, message, stream| {
        let target = message.line.split(' ').nth(1).expect("a target");
        let (name, query) = target.split_once('?').expect("a query");
        let add = query.split('&').find_map(|p| p.strip_prefix("add=")).expect("an amount");
        let total = {
            let mut totals = totals.lock().expect("no panic while it is held");
            let total = totals.entry(name.to_owned()).or_default();
            *total += add.parse::<f64>().expect("a number");
            *total
        };
        reply(stream, "200 OK", &total.to_string());
    })
}

/// Serves whatever comes.
pub fn ok(_: usize, _: &Message, stream: &mut TcpStream) {
    reply(stream, "200 OK", "served");
}

/// A server whose connections do not come up until it accepts: its backlog is full.
pub struct Withheld {
    listener: TcpListener,
    pub address: SocketAddr,
    fill: Vec<Socket>,
}

impl Withheld {
    /// Listens, with a backlog that is full.
    pub fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into()).expect("a port");
        // Above nought: with none, the system answers by cookies, and a connection may look up to one side only.
        socket.listen(4).expect("it listens");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("its address");
        let mut fill = Vec::new();
        // The system completes connections until the backlog is full; from then on none comes up.
        for _ in 0..16 {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
            if socket.connect_timeout(&address.into(), Duration::from_millis(300)).is_err() {
                return Withheld { listener, address, fill };
            }
            fill.push(socket);
        }
        panic!("the backlog does not fill up");
    }

    /// Waits until a connection to it is coming up, as the system's table of sockets shows.
    pub fn wait_for_connecting(&self) {
        const SYN_SENT: &str = "02";
        let port = format!("0100007F:{:04X}", self.address.port());
        let end = Instant::now() + LONG;
        loop {
            let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of sockets");
            let connecting = |line: &str| {
                let mut columns = line.split_whitespace().skip(2);
                columns.next() == Some(port.as_str()) && columns.next() == Some(SYN_SENT)
            };
            if table.lines().any(connecting) {
                return;
            }
            assert!(Instant::now() < end, "nobody connects");
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Accepts from now on; tells of each connection but those that filled the backlog.
    pub fn open(self) -> (Server, Receiver<()>) {
        let filled = self.fill.len();
        drop(self.fill);
        let (up, comes_up) = channel();
        let (tell, requests) = channel();
        let address = self.address;
        thread::spawn(move || {
            for (number, stream) in self.listener.incoming().enumerate() {
                let Ok(mut stream) = stream else { return };
                if number >= filled {
                    let _ = up.send(());
                }
                let tell = tell.clone();
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
                    while let Some(message) = read(&mut reader) {
                        let _ = tell.send((number, message));
                        reply(&mut stream, "200 OK", "served");
                    }
                });
            }
        });
        (Server { address, requests }, comes_up)
    }
}

/// A counter that tells of each answer once it is written: what a limiter does next is then up to the limiter.
pub fn telling_counter() -> (Server, Receiver<()>) {
    let (tell, answered) = channel();
    let total = AtomicU32::new(0);
    let counter = server(move |_, _, stream| {
        reply(stream, "200 OK", &(total.fetch_add(1, Ordering::SeqCst) + 1).to_string());
        let _ = tell.send(());
    });
    (counter, answered)
}

/// A server that holds each answer until it is let go.
pub fn holding() -> (Server, Sender<()>) {
    let (go, wait) = channel::<()>();
    let wait = Mutex::new(wait);
    let held = server(move |_, message, stream| {
        let _ = wait.lock().expect("no panic while it is held").recv_timeout(LONG);
        reply(stream, "200 OK", message.header("req-id").unwrap_or_default());
    });
    (held, go)
}
