//! Discovery: the format of its lists of servers, and the client that follows their changes.

pub mod catalog;
pub mod follower;
