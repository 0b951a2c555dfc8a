//! HTTP/1.1 messages over TCP, as far as the clients and stand-ins of these tests need them: bodies have a
//! `Content-Length`, and the bytes read beyond a message stay in the connection's buffer.

use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longest message head that is accepted, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Reads the head of a message, up to and including the empty line; `None` at the end of the connection.
///
/// # Errors
/// If reading fails or the head is too long.
pub async fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<String>> {
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end + 4]).into_owned();
            buffer.drain(..end + 4);
            return Ok(Some(head));
        }
        if buffer.len() > MAX_HEAD_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
}

/// Reads the body of a message; its length is the `Content-Length` of the head, or 0 without one.
///
/// # Errors
/// If the connection ends before the body is complete.
pub async fn read_body(stream: &mut TcpStream, buffer: &mut Vec<u8>, head: &str) -> io::Result<String> {
    let length = header(head, "content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    while buffer.len() < length {
        if stream.read_buf(buffer).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(String::from_utf8_lossy(&buffer.drain(..length).collect::<Vec<u8>>()).into_owned())
}

/// Reads a response: its head and its body.
///
/// # Errors
/// If the connection ends before the response is complete.
pub async fn read_response(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<(String, String)> {
    let Some(head) = read_head(stream, buffer).await? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let body = read_body(stream, buffer, &head).await?;
    Ok((head, body))
}

/// Writes a request and reads the status of the response.
///
/// # Errors
/// If the connection ends before the response is complete.
pub async fn exchange(stream: &mut TcpStream, buffer: &mut Vec<u8>, request: &str) -> io::Result<u16> {
    stream.write_all(request.as_bytes()).await?;
    read_response(stream, buffer).await.map(|(head, _)| status(&head))
}

/// The status code in the head of a response, or 0 if it has none.
pub fn status(head: &str) -> u16 {
    head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
}

/// The value of a header, by its name.
pub fn header(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
    })
}

/// A response with status 200, further header lines and a body. Each header line ends in `\r\n`.
pub fn ok_response(header_lines: &str, body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\n{header_lines}Content-Length: {}\r\n\r\n{body}", body.len())
}
