//! The list of servers in discovery's format.

use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;

/// State of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub enum Health {
    /// In service.
    #[serde(rename = "SERVING")]
    Serving,
    /// Removed.
    #[serde(rename = "DELETED")]
    Deleted,
    /// Finishing the requests that it has; it gets no new ones. Unknown states are treated the same.
    #[serde(rename = "DRAINING", other)]
    Draining,
}

/// One server in a list.
#[derive(Debug, Clone, Deserialize)]
pub struct Row {
    /// Name of the server, by which all limiters identify it.
    pub host: String,
    /// Address at which this limiter reaches it.
    #[serde(default)]
    pub dial: String,
    /// Zone.
    #[serde(default)]
    pub site: String,
    /// Cell.
    #[serde(default)]
    pub block: u64,
    /// State.
    pub health: Health,
    /// Weight relative to other servers.
    #[serde(default = "default_share")]
    pub share: f64,
    /// When it last started, in Unix milliseconds; 0 for long ago.
    #[serde(default)]
    pub born_ms: u64,
}

fn default_share() -> f64 {
    1.0
}

/// A list of servers, or the changes to one.
#[derive(Debug, Clone, Deserialize)]
#[serde(from = "RawList")]
pub struct ServerList {
    /// Version of the list.
    pub seq: u64,
    /// The whole list rather than the changes since a version.
    pub whole: bool,
    /// The servers listed.
    pub hosts: Vec<Row>,
    /// Number of rows that are invalid and therefore missing from `hosts`.
    pub invalid_rows: usize,
}

/// A list as received, with rows that are not parsed yet. They are kept as text, which takes less memory than parsed
/// JSON values.
#[derive(Deserialize)]
struct RawList {
    seq: u64,
    whole: bool,
    hosts: Vec<Box<RawValue>>,
}

impl From<RawList> for ServerList {
    /// Parses each row separately, so that an invalid row does not invalidate the others.
    fn from(raw: RawList) -> Self {
        let rows = raw.hosts.len();
        let valid = |row: &Row| row.health != Health::Serving || row.dial.parse::<SocketAddr>().is_ok();
        let hosts: Vec<Row> = raw
            .hosts
            .into_iter()
            .filter_map(|row| serde_json::from_str(row.get()).ok())
            .filter(valid)
            .collect();
        ServerList { seq: raw.seq, whole: raw.whole, invalid_rows: rows - hosts.len(), hosts }
    }
}
