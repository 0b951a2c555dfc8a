//! Concurrency: how much may be out at each server, and at all of them, by the latency of answers.

use super::*;

/// Weight of a new latency in a mean: some ten answers make it up.
const LEARN: f64 = 0.1;
/// Requests out at a server from all gateways together, at first: a fleet driven too hard is slow to recover.
pub(super) const LIMIT_FIRST: f64 = 8.0;
/// Share of the first limit below which a limit is never cut: slow answers at so little are not our queue.
pub(super) const LIMIT_LEAST: f64 = 0.5;
/// Share of the objective that a mean latency may take before a limit falls: the tail is many times it.
pub(super) const BUSY: f64 = 0.2;
/// Factor on a limit when it proves too much, at most.
pub(super) const CUT: f64 = 0.9;
/// Share of the objective between two cuts of a limit: what was sent before the last cut has its say first.
pub(super) const CUT_EVERY: f64 = 0.25;
/// Share of the objective for the mean over all servers: few answers, of uneven work, make it up.
const OUTSTANDING_BUSY: f64 = 0.3;
/// Growth of the bound on all that is out, in requests, with each fast answer while it is used.
const OUTSTANDING_GROW: f64 = 0.25;

impl Gateway {
    /// What the latency of an answer tells: of the server's speed, and how much may be out there and at all.
    pub(super) fn learn_latency(&mut self, at: ServerId, class: usize, took: f64, outs: f64) {
        let (now, usable) = (self.now, self.servers.len() as f64);
        let Some(server) = self.servers[at].as_mut() else { return };
        let slo = self.set.classes[class].slo.max(1) as f64;
        let least = server.least * usable;
        server.busy += LEARN * (took / slo - server.busy);
        server.slow += LEARN * ((took / self.latency[class].max(1.0)).min(10.0) - server.slow);
        self.latency[class] += LEARN / 5.0 * (took - self.latency[class]);
        self.answered.note(now);
        if server.busy > BUSY && now > server.cut_at + (slo * CUT_EVERY) as u64 {
            server.cut(BUSY / server.busy, now);
        } else if server.busy < BUSY && server.outs.len() as f64 + 1.0 >= server.limit * 0.75 {
            server.limit += server.least / 2.0 / server.limit;
        }
        // The same over all servers: one of many gateways hears too little of each to bound it alone.
        self.busy += LEARN * (took / slo - self.busy);
        if self.busy > OUTSTANDING_BUSY && now > self.cut_at + (slo * CUT_EVERY) as u64 {
            self.outstanding_limit =
                self.outstanding_limit.min(outs) * (OUTSTANDING_BUSY / self.busy).clamp(0.5, CUT);
            self.outstanding_limit = self.outstanding_limit.max(least);
            self.cut_at = now;
        } else if self.busy < OUTSTANDING_BUSY && outs >= self.outstanding_limit * 0.75 {
            self.outstanding_limit += OUTSTANDING_GROW;
        }
    }
}

impl Server {
    /// Lowers the bound on what is out. The floor guards against starving a server that is slow at any load.
    pub(super) fn cut(&mut self, factor: f64, now: Micros) {
        let limit = self.limit.min(self.outs.len() as f64 + 1.0);
        self.limit = (limit * factor.clamp(0.5, CUT)).max(self.least);
        self.cut_at = now;
    }
}
