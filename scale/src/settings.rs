//! The deployment that is measured, as limiters are told of it.

use serde_json::{json, Value};

/// Time that a request has, in milliseconds.
pub const DEADLINE_MS: u64 = 6_000;
/// Time in which its answer earns full worth, in milliseconds.
pub const SLO_MS: u64 = 600;
/// Limiters through which a tenant's requests come, at most.
pub const SPREAD: u32 = 3;

/// Size and shape of a deployment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Deployment {
    /// Limiters.
    pub limiters: u32,
    /// Servers.
    pub servers: usize,
    /// Regions, each with the same number of zones.
    pub regions: usize,
    /// Zones of each region.
    pub zones: usize,
    /// Lists have to be asked for; else they are pushed.
    pub ask: bool,
}

impl Deployment {
    /// Zones of all regions.
    pub fn all_zones(&self) -> usize {
        self.regions * self.zones
    }

    /// Name of a zone.
    pub fn zone(number: usize) -> String {
        format!("zone-{number}")
    }

    /// The zone of a server.
    pub fn zone_of(&self, server: usize) -> usize {
        server % self.all_zones()
    }

    /// The settings object of one limiter.
    pub fn settings(&self, me: u32) -> Value {
        let zones: Vec<String> = (0..self.all_zones()).map(Self::zone).collect();
        let zone = Self::zone(me as usize % self.all_zones());
        json!({
            "balancers": self.limiters, "me": me, "zone": zone, "failure-domains": zones, "round": 4_000,
            "discovery": if self.ask { "ask" } else { "push" },
            "family-info": {"count-limit": 30_000, "max-units": 6, "may-count": true},
            "permissions": {"cancel": true, "dial-timeout": 250_000, "keepalive": 15_000_000, "max-attempts": 4,
                "max-retry-after": 500_000, "may-duplicate": true, "may-tell": false, "retry-after": true},
            "plans": [{"name": "plan", "per-second": 20.0, "store-size": 40.0}],
            "profiles": [{"name": "look", "effect": "pure", "key-scope": "all", "window": 5_000_000, "worth": 1.0,
                "deadline": DEADLINE_MS * 1_000, "goal-time": SLO_MS * 1_000}],
            "rules": {"cold": 17_000_000, "cold-from": 0.28, "drain-grace": 1_000_000, "fall": 2_000_000,
                "fall-multiple": 3.0, "must-ask-in": 10_000_000},
        })
    }

    /// One row of the list of servers.
    pub fn row(&self, server: usize, dial: &str, health: &str) -> String {
        let zone = Self::zone(self.zone_of(server));
        format!(
            r#"{{"host":"s-{server:08x}","dial":"{dial}","site":"{zone}","class":"m","block":{},"health":"{health}","share":1.0,"born_ms":0}}"#,
            server % 16
        )
    }
}
