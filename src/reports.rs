//! Estimates each server's backlog, and its slowness relative to the other servers, from the load reports.
//! One gateway of many gets these reports rarely, late and with noise.

use crate::interface::{LoadReport, Micros, SECONDS_PER_MICRO};

/// Weight of a new report in the means over all servers, which thus reflect about the last ten reports.
const MEAN_WEIGHT: f64 = 0.1;
/// Factor on the sum of a server's earlier reports with each new one. Servers warm up within seconds, so old
/// reports must lose weight quickly.
const REPORT_RETENTION: f64 = 0.7;
/// Weight of the mean over all servers against one server's own reports, in reports: a single report may be
/// noise.
const PRIOR_WEIGHT: f64 = 0.5;
/// Lower bound on the slowness of a server.
const MIN_SLOWNESS: f64 = 0.5;
/// Upper bound on the slowness of a server.
const MAX_SLOWNESS: f64 = 12.0;
/// Slowness below which the difference may be noise and is ignored.
const SIGNIFICANT_SLOWNESS: f64 = 1.6;
/// Shortest time constant with which a backlog decays, in seconds: requests take some tenths of a second.
const MIN_DECAY: f64 = 0.5;
/// Lower bound on requests per second in a ratio: below it, a server is practically idle.
const MIN_QPS: f64 = 0.5;
/// Lower bound on utilization in a ratio: below it, a server is practically idle.
const MIN_UTIL: f64 = 0.02;

/// The reports of one server.
#[derive(Default)]
pub(crate) struct ServerLoad {
    /// Requests in progress according to the last report.
    inflight: f64,
    /// When the last report came.
    reported_at: Option<Micros>,
    /// Weighted sum of the reported utilizations.
    util: f64,
    /// Weighted sum of the reported requests per second.
    qps: f64,
    /// Sum of the weights.
    count: f64,
}

/// Means over the reports of all servers.
#[derive(Default)]
pub(crate) struct MeanLoad {
    util: f64,
    qps: f64,
    reported_at: Option<Micros>,
}

impl MeanLoad {
    /// Whether servers send load reports at all.
    pub fn has_reports(&self) -> bool {
        self.reported_at.is_some()
    }

    /// Mean time, in seconds, for which one request occupies a whole server.
    pub fn seconds_per_request(&self) -> f64 {
        self.util.max(MIN_UTIL) / self.qps.max(MIN_QPS)
    }

    /// Adds a report of one of the servers.
    pub fn record(&mut self, server: &mut ServerLoad, report: &LoadReport, now: Micros) {
        let Some(inflight) = report.inflight else { return };
        let weight = if self.reported_at.is_some() { MEAN_WEIGHT } else { 1.0 };
        self.reported_at = Some(now);
        (server.inflight, server.reported_at) = (inflight, Some(now));
        if let (Some(util), Some(qps)) = (report.util, report.qps) {
            let util = util.min(1.0);
            self.util += weight * (util - self.util);
            self.qps += weight * (qps - self.qps);
            server.util = server.util * REPORT_RETENTION + util;
            server.qps = server.qps * REPORT_RETENTION + qps;
            server.count = server.count * REPORT_RETENTION + 1.0;
        }
    }
}

impl ServerLoad {
    /// Forgets all reports, because the server has restarted.
    pub fn clear(&mut self) {
        *self = ServerLoad::default();
    }

    /// How many times longer a request occupies this server than a server on average.
    fn slowness(&self, mean: &MeanLoad) -> f64 {
        let prior_qps = PRIOR_WEIGHT * mean.qps.max(MIN_QPS);
        let seconds_per_request =
            (self.util + prior_qps * mean.seconds_per_request()) / (self.qps + prior_qps);
        let slowness = (seconds_per_request / mean.seconds_per_request()).clamp(MIN_SLOWNESS, MAX_SLOWNESS);
        if slowness < SIGNIFICANT_SLOWNESS {
            1.0
        } else {
            slowness
        }
    }

    /// Estimated backlog of the server, in requests of an average server: that of its last report, which
    /// decays as the server works it off.
    pub fn backlog(&self, mean: &MeanLoad, now: Micros) -> f64 {
        let Some(reported_at) = self.reported_at else { return 0.0 };
        let backlog = self.inflight * self.slowness(mean);
        let decay = MIN_DECAY.max(backlog * mean.seconds_per_request());
        backlog * (-seconds_between(reported_at, now) / decay).exp()
    }
}

fn seconds_between(from: Micros, to: Micros) -> f64 {
    to.saturating_sub(from) as f64 * SECONDS_PER_MICRO
}

#[cfg(test)]
#[path = "../tests/unit/reports.rs"]
mod tests;
