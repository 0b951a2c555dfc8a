//! Client connections to the limiter, and the requests that they send.

use super::*;
use std::io::{BufReader, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    /// Wraps an open connection.
    pub fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(TIMEOUT)).expect("read time-out is set");
        stream.set_nodelay(true).expect("TCP_NODELAY is set");
        let reader = BufReader::new(stream.try_clone().expect("stream is cloned"));
        Client { stream, reader }
    }

    /// Writes text as it is; errors are ignored, as the limiter may have closed the connection.
    pub fn write(&mut self, text: &str) {
        let _ = self.stream.write_all(text.as_bytes());
    }

    /// Sends a health check; true if the limiter reports that it is ready.
    pub fn health_check(&mut self) -> bool {
        self.write("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
        self.read_response().is_some_and(|response| response.status() == 200)
    }

    /// Reads a response; `None` if the connection ends before one is complete.
    pub fn read_response(&mut self) -> Option<Message> {
        read_message(&mut self.reader)
    }

    /// Sends a request and reads its response.
    pub fn exchange(&mut self, request: &str) -> Message {
        self.write(request);
        self.read_response().expect("a response")
    }
}

/// A request of the given class for customer 0xb4d65521, as a client sends it. Class `look` is safe to repeat, `book`
/// is safe to repeat under its idempotency key, and `once` is unsafe to repeat. Plan `team` allows 50 requests per
/// second; plan `tiny` allows two, and then hardly any. The request uses one unit, and its customer's quota is shared
/// by the two gateways of the default setup.
pub fn request(class: &str, id: &str, plan: &str, deadline_ms: u64) -> String {
    let (method, more) = match class {
        "look" => ("GET", ""),
        "book" => ("POST", "Idempotency-Key: 5c0f\r\nContent-Length: 5\r\n"),
        _ => ("POST", "Content-Length: 5\r\n"),
    };
    let body = if more.is_empty() { "" } else { "hello" };
    format!(
        "{method} /{class}/00000000b4d65521?x=1 HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\n\
         Plan: {plan}\r\nReq-Deadline-Ms: {deadline_ms}\r\nQuota-Info: units=1,spread=2,first=0\r\n{more}\r\n{body}"
    )
}

/// How a client disconnects.
#[derive(Debug, Clone, Copy)]
pub enum Disconnect {
    Close,
    /// Ends only the client's sending; it could still read.
    HalfClose,
    Reset,
}

/// Disconnects a client. A reset is sent only once the client is dropped.
pub fn disconnect(client: &Client, how: Disconnect) {
    match how {
        Disconnect::Close => client.stream.shutdown(Shutdown::Both).expect("connection is shut down"),
        Disconnect::HalfClose => client.stream.shutdown(Shutdown::Write).expect("sending is shut down"),
        Disconnect::Reset => {
            // With a linger time of zero, closing the last handle to the socket (the reader has one, too) sends a
            // reset.
            let socket = socket2::SockRef::from(&client.stream);
            socket.set_linger(Some(Duration::ZERO)).expect("SO_LINGER is set");
        }
    }
}
