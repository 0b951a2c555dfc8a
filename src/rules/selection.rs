//! Selection: the server for an attempt, among those that may take it.

use super::*;

/// Factor on the cost of a cold server that may be sent to.
const COLD_FIRST: f64 = 0.25;
/// Requests that a server may report to hold, by the speed of its fellows, before it gets no more.
const REPORTED_MOST: f64 = 6.0;
/// Least part of what is let through that servers are taken to be able to do where they report nothing.
const ANSWERED_LEAST: f64 = 0.5;

impl Gateway {
    /// The sum of the bounds of servers in use, and what is out there.
    pub(super) fn load(&self) -> (f64, f64) {
        let up = self.servers.iter().flatten().filter(|s| s.ready && s.health == Health::Up);
        up.fold((0.0, 0.0), |sum, s| (sum.0 + s.limit, sum.1 + s.outs.len() as f64))
    }

    /// The server with the least outstanding work for its learned speed, among those that may take this.
    pub(super) fn choose(&mut self, id: RequestId) -> Option<ServerId> {
        let mut random = self.draw();
        let request = self.requests.get(&id)?;
        let class = &self.set.classes[request.class];
        let first = request.attempts.iter().find(|a| a.fate != Fate::NeverRan);
        let group = first.map(|a| a.place);
        let now = self.now;
        let usable = self.servers.iter().flatten().filter(|s| s.ready).count();
        let mut share = self.rate.last / usable.max(1) as f64;
        // What is asked may be more than servers can do: by what they report, or else by what they answer.
        // Not far below what is asked: where all are cold, little is answered as little is sent.
        if self.fleet.known() {
            share = share.min(1.0 / self.fleet.work() / f64::from(self.set.gateways.max(1)));
        } else if self.answered.last > 0.0 {
            share = share.min((self.answered.at(now) / usable.max(1) as f64).max(share * ANSWERED_LEAST));
        }
        // Bounds below one request a server hold too: many gateways share a small fleet.
        let (limits, outs) = self.load();
        let reported = self.fleet.known();
        // Reports stand for the bounds of single servers, not for the one over all: a report of one server is
        // seconds old by the next request, while answers of all together tell at once that too much is out.
        let bound = if reported { self.outstanding_limit } else { limits.min(self.outstanding_limit) };
        let full = outs >= bound.max(1.0);
        let half_open = class.idempotency != Idempotency::NonIdempotent && request.attempts.is_empty();
        let same = |server: &Server| match (class.idempotency, class.key_scope, group) {
            (Idempotency::Keyed, KeyScope::Zone, Some((zone, _))) => zone == server.zone,
            (Idempotency::Keyed, KeyScope::Cell, Some((_, cell))) => cell == server.cell,
            _ => true,
        };
        let mut able: Vec<(f64, ServerId)> = Vec::with_capacity(usable);
        for at in 0..self.servers.len() {
            let Some(server) = self.servers[at].as_mut() else { continue };
            let tried = request.attempts.iter().any(|a| a.server == at);
            if !server.ready || tried || !same(server) {
                continue;
            }
            server.fill_slow_start(&self.set.server_rules, now, share);
            let mine = server.outs.len() as f64;
            let jammed = server.reports.backlog(&self.fleet, now) > REPORTED_MOST;
            let cost = match server.health {
                // One safe or keyed request at a time tests an ejected server.
                Health::Ejected(until) if half_open && now >= until => -1.0,
                Health::Ejected(_) | Health::HalfOpen => continue,
                Health::Up if full || jammed || mine >= server.limit.ceil() => continue,
                Health::Up => (mine + 1.0) * server.slow / server.weight,
            };
            // A cold server that has a token has earned its share: by cost alone it would get nothing.
            match (server.cold_since, server.tokens.level >= 1.0) {
                (Some(_), false) => continue,
                (Some(_), true) => able.push((cost * COLD_FIRST, at)),
                (None, _) => able.push((cost, at)),
            }
        }
        let mut best: Option<(f64, ServerId)> = None;
        for n in 0..able.len() {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let pick = n + (random >> 33) as usize % (able.len() - n);
            able.swap(n, pick);
            if best.is_none_or(|b| able[n].0 < b.0) {
                best = Some(able[n]);
            }
        }
        best.map(|b| b.1)
    }
}
