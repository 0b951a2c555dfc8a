//! Discovery: how its lists are worded, and how they are followed.

pub mod catalog;
pub mod follower;
