//! The servers behind the limiter: the list of them, connections to them, and attempts.

pub mod attempts;
pub mod servers;
mod zones;
