//! The client side: listener, connections and requests.

pub mod client_connection;
pub mod client_table;
pub mod input;
pub mod listener;
pub mod request;
