//! Scale tests of saltlink.
//!
//! [`real`] starts limiters as processes on loopback, against [`standins`] of discovery, counter and servers, and
//! reads from the system what they cost. [`hollow`] runs many instances of the decision module in this process, on a
//! virtual clock and against a model of all else, and counts what they ask for. [`soak`] lets real limiters, servers
//! and clients misbehave and end, and checks each request. [`fit`] makes slopes of sizes and
//! figures, [`report`] writes them.
#![forbid(unsafe_code)]

pub mod fit;
pub mod hollow;
pub mod limiter;
pub mod process;
pub mod real;
pub mod report;
pub mod settings;
pub mod soak;
pub mod standins;
