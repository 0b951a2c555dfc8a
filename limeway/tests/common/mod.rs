//! Support for tests that run the limiter as a process on loopback sockets, with stand-ins for servers, the counter
//! and discovery. Every wait is for an event and has a generous time-out; every port is assigned by the system.
#![allow(dead_code, unused_imports)] // Each test file uses only some of these items.

mod client;
mod discovery;
mod limiter;
mod message;
mod ports;
mod stand_ins;

pub use client::*;
pub use discovery::*;
pub use limiter::*;
pub use message::*;
pub use ports::*;
pub use stand_ins::*;
use std::time::Duration;

/// Time-out of every wait: far above what a loaded machine needs.
pub const TIMEOUT: Duration = Duration::from_secs(20);
