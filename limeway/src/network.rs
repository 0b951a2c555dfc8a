//! What all sides share: connections, messages, descriptors, and what is reported of them.

pub mod connection;
pub mod descriptors;
pub mod http;
pub mod loop_lag;
pub mod network_event;
pub mod stream_io;
