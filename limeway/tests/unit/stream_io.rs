//! Tests of reads and writes with a connection that is interrupted again and again, and moves a byte at a time.

use super::*;
use std::io::{Error, ErrorKind};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::ReadBuf;

/// Every other call is interrupted; each of the rest moves one byte.
#[derive(Default)]
struct Interrupted {
    calls: usize,
    to_read: Vec<u8>,
    written: Vec<u8>,
}

impl Interrupted {
    fn next(&mut self) -> io::Result<()> {
        self.calls += 1;
        if self.calls % 2 == 1 {
            return Err(Error::from(ErrorKind::Interrupted));
        }
        Ok(())
    }
}

impl AsyncRead for Interrupted {
    fn poll_read(mut self: Pin<&mut Self>, _: &mut Context, to: &mut ReadBuf) -> Poll<io::Result<()>> {
        self.next()?;
        if !self.to_read.is_empty() {
            to.put_slice(&[self.to_read.remove(0)]);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Interrupted {
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
async fn a_read_that_is_interrupted_is_made_again() {
    let mut stream = Interrupted { to_read: TEXT.to_vec(), ..Interrupted::default() };
    let mut buffer = BytesMut::new();
    while read_some(&mut stream, &mut buffer).await.expect("an interruption is no end") > 0 {}
    assert_eq!(buffer, TEXT);
}

#[tokio::test]
async fn a_write_that_is_interrupted_goes_on_behind_what_was_written() {
    let mut stream = Interrupted::default();
    write_whole(&mut stream, TEXT).await.expect("an interruption is no end");
    assert_eq!(stream.written, TEXT);
}

#[test]
fn a_system_call_that_is_interrupted_is_made_again() {
    let mut stream = Interrupted::default();
    assert!(uninterrupted(|| stream.next()).is_ok());
}
