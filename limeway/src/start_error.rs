//! Errors that prevent the limiter from starting, with what the operator can do about them.

use crate::config::ConfigError;
use std::fmt;
use std::io;
use std::net::SocketAddr;

/// An error that prevents the limiter from starting.
#[derive(Debug)]
pub enum StartError {
    /// The runtime cannot be created.
    Runtime(io::Error),
    /// The signal handlers cannot be installed.
    Signals(io::Error),
    /// The configuration is invalid.
    Config(ConfigError),
    /// The listening socket for clients cannot be opened.
    Listen(SocketAddr, io::Error),
    /// The socket for datagrams of other limiters cannot be opened.
    ListenForPeers(SocketAddr, io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Runtime(e) => {
                write!(
                    f,
                    "runtime: {e}; allow the process as many open descriptors as `limits.sockets` states"
                )
            }
            StartError::Signals(e) => {
                write!(
                    f,
                    "signals: {e}; allow the process as many open descriptors as `limits.sockets` states"
                )
            }
            StartError::Config(e) => write!(f, "{e}"),
            StartError::Listen(address, e) => {
                write!(
                    f,
                    "listen: {address}: {e}; choose an address of this machine on which no other process listens"
                )
            }
            StartError::ListenForPeers(address, e) => {
                write!(
                    f,
                    "peer_listen: {address}: {e}; choose an address of this machine that no other process has bound"
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
