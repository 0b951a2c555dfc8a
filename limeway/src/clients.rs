//! The client side: listener, connections and requests.

mod arrivals;
pub mod client_connection;
pub mod client_table;
mod input;
pub mod listener;
pub mod presence;
pub mod request;
