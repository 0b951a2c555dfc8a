//! Scale tests of saltlink.
//!
//! - [`real`] starts limiter processes on loopback, against the [`standins`] of discovery, counter and servers, and
//!   measures their processor time, memory, traffic and latency.
//! - [`simulation`] runs many instances of the decision module in this process, on a virtual clock and against a model
//!   of everything else, and counts the calls that they make. Its subcommand is called `hollow`.
//! - [`soak`] terminates and restarts real limiters while servers and clients misbehave, and checks every request.
//!
//! [`fit`] fits lines to the figures of several runs, and [`report`] writes figures and lines.
#![forbid(unsafe_code)]

pub mod deployment;
pub mod fit;
pub mod http;
pub mod limiter;
pub mod process;
pub mod real;
pub mod report;
pub mod simulation;
pub mod soak;
pub mod standins;
