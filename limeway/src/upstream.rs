//! Servers: as discovery lists them, the connections to them, and attempts over these.

pub mod attempts;
pub mod servers;
mod zones;
