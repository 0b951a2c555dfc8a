//! HTTP/1.1 messages as the stand-ins and clients need them.

use std::io::{self, Read};
use std::net::TcpStream;

/// A message that was read whole.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Target of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// A parameter in the query of a request's target.
    pub fn parameter(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }
}

/// Reads a message with a length; `None` at the end of the input. What follows it stays in `buffer`.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        if !read_more(stream, buffer)? {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let mut message = Message { start: lines.next().unwrap_or_default().to_owned(), ..Message::default() };
    for line in lines.filter(|l| !l.is_empty()) {
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    let length: usize = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    while buffer.len() < end + length {
        if !read_more(stream, buffer)? {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    message.body = buffer[end..end + length].to_vec();
    buffer.drain(..end + length);
    Ok(Some(message))
}

fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<bool> {
    let mut part = [0; 16 * 1024];
    loop {
        match stream.read(&mut part) {
            Ok(length) => {
                buffer.extend_from_slice(&part[..length]);
                return Ok(length > 0);
            }
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
}

/// A response with a length, as one piece of bytes.
pub fn response(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes =
        format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
