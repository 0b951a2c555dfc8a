//! Signals: the handler of each sets a flag and writes to a pipe, which wakes the runtime.
//!
//! The flags are what counts. A write to the pipe may fail and a read from it may be interrupted, so the flags are also
//! looked at from time to time.

use crate::network::stream_io::read_some;
use bytes::BytesMut;
use std::io;
use std::os::unix::net::UnixStream as Pipe;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UnixStream;
use tokio::time::timeout;

/// Time between two looks at the flags where the pipe tells of nothing.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// What a signal asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Request {
    /// SIGHUP: take in the configuration anew.
    Reload,
    /// SIGTERM or SIGINT: end once all is answered.
    End,
}

/// Signals that have come and have not been heeded.
pub struct Signals {
    reload: Arc<AtomicBool>,
    end: Arc<AtomicBool>,
    wake: UnixStream,
    read: BytesMut,
}

impl Signals {
    /// Listens for signals from now on. To be called within the runtime.
    ///
    /// # Errors
    /// Where the system gives no pipe or takes no handler.
    pub fn listen() -> io::Result<Self> {
        let (reader, writer) = Pipe::pair()?;
        reader.set_nonblocking(true)?;
        let (reload, end) = (Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default());
        for (signal, flag) in [(libc::SIGHUP, &reload), (libc::SIGTERM, &end), (libc::SIGINT, &end)] {
            signal_hook::flag::register(signal, flag.clone())?;
            signal_hook::low_level::pipe::register(signal, writer.try_clone()?)?;
        }
        Ok(Self::over(reload, end, UnixStream::from_std(reader)?))
    }

    fn over(reload: Arc<AtomicBool>, end: Arc<AtomicBool>, wake: UnixStream) -> Self {
        Signals { reload, end, wake, read: BytesMut::new() }
    }

    /// Waits for the next signal. Signals of one kind that come together are one.
    pub async fn next(&mut self) -> Request {
        loop {
            if self.reload.swap(false, Ordering::SeqCst) {
                return Request::Reload;
            }
            if self.end.swap(false, Ordering::SeqCst) {
                return Request::End;
            }
            self.read.clear();
            // However the wait ends, the flags tell what came.
            let _ = timeout(LOOK_EVERY, read_some(&mut self.wake, &mut self.read)).await;
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/signals.rs"]
mod tests;
