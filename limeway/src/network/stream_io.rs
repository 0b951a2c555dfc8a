//! Reads and writes that are repeated after an interruption by a signal, for all connections.

use bytes::BufMut;
use std::io::{self, ErrorKind};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Appends the input that has arrived to `to`, and returns its length; 0 at the end of input. A read that a signal
/// interrupts is repeated. Dropping the future loses no input.
pub async fn read_some<R: AsyncRead + Unpin>(from: &mut R, to: &mut impl BufMut) -> io::Result<usize> {
    loop {
        match from.read_buf(to).await {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Writes all bytes, in as many pieces as the system takes them in. The library repeats a write that a signal
/// interrupts.
pub async fn write_all<W: AsyncWrite + Unpin>(to: &mut W, bytes: &[u8]) -> io::Result<()> {
    to.write_all(bytes).await
}

/// Largest body that is copied behind its head to be written in one piece, in bytes.
const MAX_COPIED_BODY: usize = 4 * 1024;

/// Writes a head and its body. A small body is appended to the head, so that both are written in one piece; a large one
/// is written from where it is, as each copy would take memory.
pub async fn write_message<W: AsyncWrite + Unpin>(
    to: &mut W,
    head: &mut Vec<u8>,
    body: &[u8],
) -> io::Result<()> {
    if body.len() <= MAX_COPIED_BODY {
        head.extend_from_slice(body);
        return write_all(to, head).await;
    }
    write_all(to, head).await?;
    write_all(to, body).await
}

/// Makes a system call, and repeats it if a signal interrupts it.
pub fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/stream_io.rs"]
mod tests;
