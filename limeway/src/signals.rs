//! Signals. The handler of each sets a flag, and writes to a pipe to wake the runtime.
//!
//! The flags alone decide which signals have arrived. As the write to the pipe may fail and a read from it may be
//! interrupted, the flags are also checked at an interval.

use crate::network::stream_io::read_some;
use bytes::BytesMut;
use std::io;
use std::os::unix::net::UnixStream as Pipe;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UnixStream;
use tokio::time::timeout;

/// Interval between checks of the flags while nothing arrives through the pipe.
const FLAG_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// What a signal asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SignalRequest {
    /// SIGHUP: read the configuration file again.
    Reload,
    /// SIGTERM or SIGINT: exit once all requests are answered.
    Shutdown,
}

/// Signals that have arrived and are not handled yet.
pub struct Signals {
    reload: Arc<AtomicBool>,
    shutdown: Arc<AtomicBool>,
    pipe: UnixStream,
    buffer: BytesMut,
}

impl Signals {
    /// Installs the signal handlers. To be called within the runtime.
    ///
    /// # Errors
    /// If the pipe cannot be created or a handler cannot be installed.
    pub fn listen() -> io::Result<Self> {
        let (reader, writer) = Pipe::pair()?;
        reader.set_nonblocking(true)?;
        let (reload, shutdown) = (Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default());
        for (signal, flag) in [(libc::SIGHUP, &reload), (libc::SIGTERM, &shutdown), (libc::SIGINT, &shutdown)]
        {
            signal_hook::flag::register(signal, flag.clone())?;
            signal_hook::low_level::pipe::register(signal, writer.try_clone()?)?;
        }
        Ok(Self::from_parts(reload, shutdown, UnixStream::from_std(reader)?))
    }

    fn from_parts(reload: Arc<AtomicBool>, shutdown: Arc<AtomicBool>, pipe: UnixStream) -> Self {
        Signals { reload, shutdown, pipe, buffer: BytesMut::new() }
    }

    /// Waits for the next signal. Several signals of one kind that arrive together count as one.
    pub async fn next(&mut self) -> SignalRequest {
        loop {
            if self.reload.swap(false, Ordering::SeqCst) {
                return SignalRequest::Reload;
            }
            if self.shutdown.swap(false, Ordering::SeqCst) {
                return SignalRequest::Shutdown;
            }
            self.buffer.clear();
            // Whether a read succeeds, fails or times out, the flags are checked next.
            let _ = timeout(FLAG_CHECK_INTERVAL, read_some(&mut self.pipe, &mut self.buffer)).await;
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/signals.rs"]
mod tests;
