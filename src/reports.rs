//! What servers report of their load, as one gateway of many hears it: now and then, late, and noisy.
//! Decides what a server is believed to hold and how much slower than its fellows it works.

use crate::interface::{LoadReport, Micros, SECOND};

/// Weight of a new report in the means over all servers: some ten answers make them up.
const LEARN: f64 = 0.1;
/// Part of what earlier reports of one server said that stays with each new one: a server warms in seconds.
const KEPT: f64 = 0.7;
/// Weight of the fleet's own ratio beside one server's reports, in reports: a lone one may be chance.
const PRIOR: f64 = 0.5;
/// How much slower or faster than its fellows a server may be taken for.
const SLOWNESS: (f64, f64) = (0.5, 12.0);
/// Slowness below which it may be chance.
const CHANCE: f64 = 1.6;
/// Least time constant with which a report fades, in seconds: requests last some tenths of one.
const FADE: f64 = 0.5;
/// Least requests a second and use that a ratio is made of: below, a server is as good as idle.
const LEAST: (f64, f64) = (0.5, 0.02);

/// Reports of one server.
#[derive(Default)]
pub(crate) struct Reports {
    /// Requests that it held by the last one, and when that came.
    held: f64,
    at: Option<Micros>,
    /// Use and requests a second, summed over reports, and so many of them; the older the less.
    util: f64,
    qps: f64,
    count: f64,
}

/// Means over all servers.
#[derive(Default)]
pub(crate) struct Fleet {
    util: f64,
    qps: f64,
    at: Option<Micros>,
}

impl Fleet {
    /// Whether reports come at all, so that they can stand for what a gateway sees itself.
    pub fn known(&self) -> bool {
        self.at.is_some()
    }

    /// Seconds of a whole server that a request takes in the mean.
    pub fn work(&self) -> f64 {
        self.util.max(LEAST.1) / self.qps.max(LEAST.0)
    }

    /// Takes a report of one of the servers.
    pub fn take(&mut self, server: &mut Reports, load: &LoadReport, now: Micros) {
        let Some(held) = load.inflight else { return };
        let learn = if self.at.is_some() { LEARN } else { 1.0 };
        self.at = Some(now);
        (server.held, server.at) = (held, Some(now));
        if let (Some(util), Some(qps)) = (load.util, load.qps) {
            let util = util.min(1.0);
            self.util += learn * (util - self.util);
            self.qps += learn * (qps - self.qps);
            server.util = server.util * KEPT + util;
            server.qps = server.qps * KEPT + qps;
            server.count = server.count * KEPT + 1.0;
        }
    }
}

impl Reports {
    /// Forgets all: the server has started anew.
    pub fn clear(&mut self) {
        *self = Reports::default();
    }

    /// How much longer than its fellows the server takes for a request, by the use that requests make of it.
    fn slowness(&self, fleet: &Fleet) -> f64 {
        let weight = PRIOR * fleet.qps.max(LEAST.0);
        let ratio = (self.util + weight * fleet.work()) / (self.qps + weight);
        let slowness = (ratio / fleet.work()).clamp(SLOWNESS.0, SLOWNESS.1);
        if slowness < CHANCE {
            1.0
        } else {
            slowness
        }
    }

    /// What the server is believed to hold, in requests of its fellows: by its last report, which fades as
    /// the server works off what it held.
    pub fn backlog(&self, fleet: &Fleet, now: Micros) -> f64 {
        let Some(at) = self.at else { return 0.0 };
        let backlog = self.held * self.slowness(fleet);
        backlog * (-seconds(at, now) / FADE.max(backlog * fleet.work())).exp()
    }
}

fn seconds(from: Micros, to: Micros) -> f64 {
    to.saturating_sub(from) as f64 * SECOND
}

#[cfg(test)]
#[path = "../tests/unit/reports.rs"]
mod tests;
