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
