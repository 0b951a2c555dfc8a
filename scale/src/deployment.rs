//! The deployment under test, and the settings and the list of servers that its limiters are given.

use serde_json::{json, Value};

/// Deadline of a request, in milliseconds.
pub const DEADLINE_MS: u64 = 6_000;
/// Objective of the class: an answer within this time has its full value, in milliseconds.
pub const OBJECTIVE_MS: u64 = 600;
/// Most limiters through which the requests of one customer arrive.
pub const LIMITERS_PER_CUSTOMER: u32 = 3;

/// Number of cells over which servers are distributed.
const CELLS: usize = 16;

/// Size and topology of a deployment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Deployment {
    /// Number of limiters.
    pub limiters: u32,
    /// Number of servers.
    pub servers: usize,
    /// Number of regions, each with the same number of zones.
    pub regions: usize,
    /// Number of zones in each region.
    pub zones_per_region: usize,
    /// The decision module asks discovery for changes of the list of servers; otherwise they are pushed to it, by its
    /// host in a real limiter.
    pub watch_discovery: bool,
}

impl Deployment {
    /// Number of zones in all regions.
    pub fn zone_count(&self) -> usize {
        self.regions * self.zones_per_region
    }

    /// Name of a zone in settings and lists.
    pub fn zone_name(zone: usize) -> String {
        format!("zone-{zone}")
    }

    /// Zone of a server.
    pub fn zone_of_server(&self, server: usize) -> usize {
        server % self.zone_count()
    }

    /// Cell of a server.
    pub fn cell_of_server(&self, server: usize) -> usize {
        server % CELLS
    }

    /// Zone of a limiter.
    pub fn zone_of_limiter(&self, limiter: usize) -> usize {
        limiter % self.zone_count()
    }

    /// The settings object of one limiter. Times are in microseconds.
    pub fn limiter_settings(&self, limiter: u32) -> Value {
        let zones: Vec<String> = (0..self.zone_count()).map(Self::zone_name).collect();
        let zone = Self::zone_name(self.zone_of_limiter(limiter as usize));
        json!({
            "balancers": self.limiters, "me": limiter, "zone": zone, "failure-domains": zones, "round": 4_000,
            "discovery": if self.watch_discovery { "ask" } else { "push" },
            "family-info": {"count-limit": 30_000, "max-units": 6, "may-count": true},
            "permissions": {"cancel": true, "dial-timeout": 250_000, "keepalive": 15_000_000, "max-attempts": 4,
                "max-retry-after": 500_000, "may-duplicate": true, "may-tell": false, "retry-after": true},
            "plans": [{"name": "plan", "per-second": 20.0, "store-size": 40.0}],
            "profiles": [{"name": "look", "effect": "pure", "key-scope": "all", "window": 5_000_000, "worth": 1.0,
                "deadline": DEADLINE_MS * 1_000, "goal-time": OBJECTIVE_MS * 1_000}],
            "rules": {"cold": 17_000_000, "cold-from": 0.28, "drain-grace": 1_000_000, "fall": 2_000_000,
                "fall-multiple": 3.0, "must-ask-in": 10_000_000},
        })
    }

    /// One row of discovery's list of servers, as JSON. `address` is where the server listens.
    pub fn discovery_row(&self, server: usize, address: &str, health: &str) -> String {
        let zone = Self::zone_name(self.zone_of_server(server));
        format!(
            r#"{{"host":"s-{server:08x}","dial":"{address}","site":"{zone}","class":"m","block":{},"health":"{health}","share":1.0,"born_ms":0}}"#,
            self.cell_of_server(server)
        )
    }
}
