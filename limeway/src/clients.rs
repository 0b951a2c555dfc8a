//! Clients: the listener, their connections, and what they ask.

pub mod client_connection;
pub mod client_table;
pub mod listener;
pub mod request;
