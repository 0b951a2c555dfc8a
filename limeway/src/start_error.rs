//! Why the limiter cannot start, in words that say what an operator can do.

use crate::config::ConfigError;
use std::fmt;
use std::io;
use std::net::SocketAddr;

/// Why the limiter cannot start.
#[derive(Debug)]
pub enum StartError {
    /// The runtime cannot be built.
    Runtime(io::Error),
    /// Signals cannot be heard.
    Signals(io::Error),
    /// The configuration cannot be used.
    Config(ConfigError),
    /// Clients cannot be listened for.
    Listen(SocketAddr, io::Error),
    /// Other limiters cannot be listened for.
    ListenForPeers(SocketAddr, io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Runtime(e) => {
                write!(f, "runtime: {e}; allow the process the descriptors that `limits.sockets` names")
            }
            StartError::Signals(e) => {
                write!(f, "signals: {e}; allow the process the descriptors that `limits.sockets` names")
            }
            StartError::Config(e) => write!(f, "{e}"),
            StartError::Listen(address, e) => {
                write!(
                    f,
                    "listen: {address}: {e}; name an address of this machine that no process listens at"
                )
            }
            StartError::ListenForPeers(address, e) => {
                write!(
                    f,
                    "peer_listen: {address}: {e}; name an address of this machine that no process has bound"
                )
            }
        }
    }
}

impl std::error::Error for StartError {}

impl From<ConfigError> for StartError {
    fn from(e: ConfigError) -> Self {
        StartError::Config(e)
    }
}
