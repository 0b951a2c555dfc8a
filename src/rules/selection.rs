//! Selection of the server for an attempt.

use super::*;

/// Factor on the cost of a cold server that has a slow-start token.
const COLD_COST: f64 = 0.25;
/// Estimated backlog, in requests of an average server, above which a server gets no more requests.
const MAX_BACKLOG: f64 = 6.0;
/// Lower bound on the servers' capacity, as a share of the admitted requests, where servers send no load
/// reports.
const MIN_CAPACITY_SHARE: f64 = 0.5;

impl Gateway {
    /// The sum of the limits of all usable servers, and of the attempts in progress there.
    pub(super) fn sum_of_limits_and_attempts(&self) -> (f64, f64) {
        let usable = self.servers.iter().flatten().filter(|s| s.ready && s.health == Health::Up);
        usable.fold((0.0, 0.0), |sum, s| (sum.0 + s.limit, sum.1 + s.in_progress.len() as f64))
    }

    /// Requests per second that this gateway would send to each server if all were warm.
    fn warm_rate(&self, ready_servers: usize) -> f64 {
        let mut rate = self.admission_rate.last / ready_servers.max(1) as f64;
        // More may be admitted than servers can take. Their capacity is known from load reports, or else
        // estimated from the rate of answers. That estimate has a lower bound relative to the admitted rate:
        // where all servers are cold, few requests are sent and so few are answered.
        if self.mean_load.has_reports() {
            let gateways = f64::from(self.settings.gateways.max(1));
            rate = rate.min(1.0 / self.mean_load.seconds_per_request() / gateways);
        } else if self.answer_rate.last > 0.0 {
            let answered = self.answer_rate.at(self.now) / ready_servers.max(1) as f64;
            rate = rate.min(answered.max(rate * MIN_CAPACITY_SHARE));
        }
        rate
    }

    /// Whether as many attempts are in progress at all servers together as the limits allow.
    fn is_total_limit_reached(&self) -> bool {
        let (sum_of_limits, in_progress) = self.sum_of_limits_and_attempts();
        // With load reports, the sum of the servers' limits is not needed. The limit over all servers is: a
        // server's report is seconds old by the time of the next request there, while the answers of all
        // servers together show an overload at once.
        let limit =
            if self.mean_load.has_reports() { self.total_limit } else { sum_of_limits.min(self.total_limit) };
        // Many gateways may share few servers, so limits may be below one attempt. One is always allowed.
        in_progress >= limit.max(1.0)
    }

    /// Selects the server with the lowest cost, which is the number of attempts in progress there relative to
    /// its speed, among those that may take an attempt of this request.
    pub(super) fn select_server(&mut self, id: RequestId) -> Option<ServerId> {
        let mut random = self.next_random();
        let request = self.requests.get(&id)?;
        let class = &self.settings.classes[request.class];
        let maybe_executed = request.attempts.iter().find(|a| a.state != AttemptState::NotExecuted);
        let bound_to = maybe_executed.map(|a| a.location);
        let now = self.now;
        let ready_servers = self.servers.iter().flatten().filter(|s| s.ready).count();
        let warm_rate = self.warm_rate(ready_servers);
        let is_full = self.is_total_limit_reached();
        let may_test = class.idempotency != Idempotency::NonIdempotent && request.attempts.is_empty();
        // A keyed request that may have been executed is repeated only where its key is known.
        let in_key_scope = |server: &Server| match (class.idempotency, class.key_scope, bound_to) {
            (Idempotency::Keyed, KeyScope::Zone, Some((zone, _))) => zone == server.zone,
            (Idempotency::Keyed, KeyScope::Cell, Some((_, cell))) => cell == server.cell,
            _ => true,
        };
        let mut candidates: Vec<(f64, ServerId)> = Vec::with_capacity(ready_servers);
        for server_id in 0..self.servers.len() {
            let Some(server) = self.servers[server_id].as_mut() else { continue };
            let tried = request.attempts.iter().any(|a| a.server == server_id);
            if !server.ready || tried || !in_key_scope(server) {
                continue;
            }
            server.refill_slow_start(&self.settings.server_rules, now, warm_rate);
            let in_progress = server.in_progress.len() as f64;
            let overloaded = server.load.backlog(&self.mean_load, now) > MAX_BACKLOG;
            let cost = match server.health {
                // One repeatable request at a time tests an ejected server.
                Health::Ejected(until) if may_test && now >= until => -1.0,
                Health::Ejected(_) | Health::HalfOpen => continue,
                Health::Up if is_full || overloaded || in_progress >= server.limit.ceil() => continue,
                Health::Up => (in_progress + 1.0) * server.relative_latency / server.weight,
            };
            // A cold server with a token is preferred: by its cost alone it would rarely be selected.
            match (server.cold_since, server.slow_start.level >= 1.0) {
                (Some(_), false) => continue,
                (Some(_), true) => candidates.push((cost * COLD_COST, server_id)),
                (None, _) => candidates.push((cost, server_id)),
            }
        }
        // Shuffles the candidates on the way, which breaks ties at random.
        let mut best: Option<(f64, ServerId)> = None;
        for n in 0..candidates.len() {
            random = lcg_step(random);
            let pick = n + (random >> 33) as usize % (candidates.len() - n);
            candidates.swap(n, pick);
            if best.is_none_or(|b| candidates[n].0 < b.0) {
                best = Some(candidates[n]);
            }
        }
        best.map(|b| b.1)
    }
}
