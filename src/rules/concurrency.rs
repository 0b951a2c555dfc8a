//! Concurrency limits: how many attempts may be in progress at each server and at all servers together,
//! adapted to the latency of answers.

use super::*;

/// Weight of a new latency in a mean, which thus reflects about the last ten answers.
const MEAN_WEIGHT: f64 = 0.1;
/// Initial limit of attempts in progress at a server from all gateways together. It is low because
/// servers recover slowly from an overload.
pub(super) const INITIAL_LIMIT: f64 = 8.0;
/// Share of the initial limit below which a limit is never lowered: with so few attempts, slow answers are
/// not caused by a queue of the gateways' requests.
pub(super) const MIN_LIMIT_SHARE: f64 = 0.5;
/// Share of the objective above which a server's mean latency lowers its limit: the highest latencies are
/// many times the mean.
pub(super) const LATENCY_TARGET: f64 = 0.2;
/// Smallest factor on a limit when it is lowered.
const MIN_LOWERING_FACTOR: f64 = 0.5;
/// Largest factor on a limit when it is lowered.
pub(super) const MAX_LOWERING_FACTOR: f64 = 0.9;
/// Share of the objective that must pass before a limit is lowered again, so that the previous lowering takes
/// effect first.
pub(super) const LOWERING_INTERVAL: f64 = 0.25;
/// Share of a limit that must be in use before it is raised.
const LIMIT_IN_USE: f64 = 0.75;
/// Like [`LATENCY_TARGET`], for the mean over all servers, which is made up of few answers to requests of
/// uneven cost.
const TOTAL_LATENCY_TARGET: f64 = 0.3;
/// Increase of the limit over all servers, in attempts, with each fast answer while the limit is in use.
const TOTAL_LIMIT_INCREASE: f64 = 0.25;

impl Gateway {
    /// Adapts the mean latencies and the limits to the latency of a successful answer.
    pub(super) fn record_latency(
        &mut self,
        server_id: ServerId,
        class: usize,
        latency: f64,
        total_in_progress: f64,
    ) {
        let (now, server_count) = (self.now, self.servers.len() as f64);
        let Some(server) = self.servers[server_id].as_mut() else { return };
        let slo = self.settings.classes[class].slo.max(1) as f64;
        let min_total_limit = server.min_limit * server_count;
        server.latency_share += MEAN_WEIGHT * (latency / slo - server.latency_share);
        let relative_latency = (latency / self.mean_latency[class].max(1.0)).min(10.0);
        server.relative_latency += MEAN_WEIGHT * (relative_latency - server.relative_latency);
        self.mean_latency[class] += MEAN_WEIGHT / 5.0 * (latency - self.mean_latency[class]);
        self.answer_rate.record(now);
        let lowering_interval = (slo * LOWERING_INTERVAL) as u64;
        if server.latency_share > LATENCY_TARGET && now > server.limit_lowered_at + lowering_interval {
            server.lower_limit(LATENCY_TARGET / server.latency_share, now);
        } else if server.latency_share < LATENCY_TARGET
            && server.in_progress.len() as f64 + 1.0 >= server.limit * LIMIT_IN_USE
        {
            server.limit += server.min_limit / 2.0 / server.limit;
        }
        // The same for all servers together, because one of many gateways gets too few answers from each
        // single server to limit it by these alone.
        self.latency_share += MEAN_WEIGHT * (latency / slo - self.latency_share);
        if self.latency_share > TOTAL_LATENCY_TARGET && now > self.total_limit_lowered_at + lowering_interval
        {
            let factor =
                (TOTAL_LATENCY_TARGET / self.latency_share).clamp(MIN_LOWERING_FACTOR, MAX_LOWERING_FACTOR);
            self.total_limit = self.total_limit.min(total_in_progress) * factor;
            self.total_limit = self.total_limit.max(min_total_limit);
            self.total_limit_lowered_at = now;
        } else if self.latency_share < TOTAL_LATENCY_TARGET
            && total_in_progress >= self.total_limit * LIMIT_IN_USE
        {
            self.total_limit += TOTAL_LIMIT_INCREASE;
        }
    }
}

impl Server {
    /// Lowers the limit of attempts in progress. The lower bound guards against starving a server that is
    /// slow at any load.
    pub(super) fn lower_limit(&mut self, factor: f64, now: Micros) {
        let limit = self.limit.min(self.in_progress.len() as f64 + 1.0);
        self.limit = (limit * factor.clamp(MIN_LOWERING_FACTOR, MAX_LOWERING_FACTOR)).max(self.min_limit);
        self.limit_lowered_at = now;
    }
}
