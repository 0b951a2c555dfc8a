//! Reads and writes on connections: the one place for each, for clients, servers, the counter and discovery.

use bytes::BytesMut;
use std::io::{self, ErrorKind};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Reads what has come, and adds it to `to`; 0 bytes at the end of the connection. A read that is interrupted by a
/// signal is made again. Nothing is lost where the future is dropped.
pub async fn read_some<R: AsyncRead + Unpin>(from: &mut R, to: &mut BytesMut) -> io::Result<usize> {
    loop {
        match from.read_buf(to).await {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            read => return read,
        }
    }
}

/// Writes all bytes, in as many pieces as the system takes them. The library makes an interrupted write again.
pub async fn write_whole<W: AsyncWrite + Unpin>(to: &mut W, bytes: &[u8]) -> io::Result<()> {
    to.write_all(bytes).await
}

/// Makes a system call, again if it is interrupted by a signal.
pub fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            end => return end,
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/stream_io.rs"]
mod tests;
