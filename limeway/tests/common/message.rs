//! HTTP messages as the stand-ins and clients read them.

use std::io::{BufRead, Write};
use std::net::TcpStream;

/// A request or a response.
#[derive(Debug, Clone)]
pub struct Message {
    /// Request line or status line.
    pub start_line: String,
    /// Headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Message {
    /// Value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Status code of a response.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status code")
    }
}

/// Reads one message; `None` if the connection ends before it is complete.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut start_line = String::new();
    if reader.read_line(&mut start_line).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = header.trim_end().split_once(':') else { break };
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let mut message = Message { start_line: start_line.trim_end().to_owned(), headers, body: String::new() };
    let length = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    message.body = String::from_utf8_lossy(&body).into_owned();
    Some(message)
}
