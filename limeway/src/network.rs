//! Networking shared by all parts: outbound connections, HTTP messages, the descriptor budget and network events.

pub mod connection;
pub mod descriptors;
pub mod http;
pub mod loop_lag;
pub mod memory_pool;
pub mod network_event;
pub mod response_memory;
pub mod stream_io;
