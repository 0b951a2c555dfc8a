//! Unit tests with a stream on which every other call is interrupted and each of the rest transfers one byte.

use super::*;
use bytes::BytesMut;
use std::io::{Error, ErrorKind};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::ReadBuf;

/// Every other call fails with `ErrorKind::Interrupted`; each of the rest transfers one byte.
#[derive(Default)]
struct InterruptedStream {
    calls: usize,
    to_read: Vec<u8>,
    written: Vec<u8>,
}

impl InterruptedStream {
    fn next(&mut self) -> io::Result<()> {
        self.calls += 1;
        if self.calls % 2 == 1 {
            return Err(Error::from(ErrorKind::Interrupted));
        }
        Ok(())
    }
}

impl AsyncRead for InterruptedStream {
    fn poll_read(mut self: Pin<&mut Self>, _: &mut Context, to: &mut ReadBuf) -> Poll<io::Result<()>> {
        self.next()?;
        if !self.to_read.is_empty() {
            to.put_slice(&[self.to_read.remove(0)]);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for InterruptedStream {
    fn poll_write(mut self: Pin<&mut Self>, _: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.next()?;
        self.written.push(bytes[0]);
        Poll::Ready(Ok(1))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

const TEXT: &[u8] = b"GET / HTTP/1.1\r\n\r\n";

#[tokio::test]
async fn an_interrupted_read_is_repeated() {
    let mut stream = InterruptedStream { to_read: TEXT.to_vec(), ..InterruptedStream::default() };
    let mut buffer = BytesMut::new();
    while read_some(&mut stream, &mut buffer).await.expect("an interruption is not an error") > 0 {}
    assert_eq!(buffer, TEXT);
}

#[tokio::test]
async fn an_interrupted_write_continues_after_the_bytes_already_written() {
    let mut stream = InterruptedStream::default();
    write_all(&mut stream, TEXT).await.expect("an interruption is not an error");
    assert_eq!(stream.written, TEXT);
}

#[test]
fn an_interrupted_system_call_is_repeated() {
    let mut stream = InterruptedStream::default();
    assert!(retry_interrupted(|| stream.next()).is_ok());
}
