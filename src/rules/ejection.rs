//! Ejection: a server that fails or stays silent gets no requests for a while, then a single one to test it.

use super::concurrency::{LATENCY_TARGET, LOWERING_INTERVAL, MAX_LOWERING_FACTOR};
use super::*;

/// Time without an answer, in mean latencies, after which a server with many attempts in progress is silent.
const SILENCE_BASE: f64 = 2.0;
/// Added to it, also in mean latencies, after division by the number of attempts in progress: the more
/// attempts, the sooner an answer is due.
const SILENCE_EXTRA: f64 = 6.0;
/// Duration of the first ejection of a server, in microseconds; it doubles with each further one
/// until the server answers.
pub(super) const MIN_EJECTION: Micros = 1_000_000;
/// Longest duration of an ejection, in microseconds.
const MAX_EJECTION: Micros = 8_000_000;
/// Failures in a row that eject a server.
const MAX_FAILURES: u32 = 3;

impl Gateway {
    /// Ejects servers that are silent although attempts are in progress there. This finds a hung or vanished
    /// server or a broken link before any time-out. Servers are ejected only while others answer: if all are
    /// slow at once, none of them is an outlier.
    pub(super) fn check_silent_servers(&mut self) {
        self.retain_busy_servers();
        let (now, classes) = (self.now, self.mean_latency.len().max(1) as f64);
        let mean_latency = self.mean_latency.iter().sum::<f64>() / classes;
        let is_silent = |s: &Server| {
            let Some(oldest) = s.in_progress.values().min() else { return false };
            let max_silence = mean_latency
                * s.relative_latency.clamp(1.0, 3.0)
                * (SILENCE_BASE + SILENCE_EXTRA / s.in_progress.len() as f64);
            now.saturating_sub(s.answered_at.max(*oldest)) as f64 > max_silence
        };
        let mean_slo = self.settings.classes.iter().map(|c| c.slo as f64).sum::<f64>() / classes;
        let answers = |s: &Server| s.health == Health::Up && now < s.answered_at + mean_latency as u64;
        let any_silent = self.busy_servers.iter().filter_map(|id| self.servers[*id].as_ref()).any(is_silent);
        let others_answer = any_silent && self.servers.iter().flatten().any(answers);
        let mut affected = Vec::new();
        for id in &self.busy_servers {
            let Some(server) = self.servers[*id].as_mut() else { continue };
            if others_answer && !matches!(server.health, Health::Ejected(_)) && is_silent(server) {
                server.eject(now);
                affected.extend(server.in_progress.keys().map(|k| k.0));
            }
            // Old attempts without an answer show an overload earlier than the latency of answers does.
            let total_age: f64 = server.in_progress.values().map(|sent_at| (now - sent_at) as f64).sum();
            if total_age > mean_slo * LATENCY_TARGET * server.in_progress.len() as f64
                && now > server.limit_lowered_at + (mean_slo * LOWERING_INTERVAL) as u64
            {
                server.lower_limit(MAX_LOWERING_FACTOR, now);
            }
        }
        self.expire_timers(affected);
    }

    /// Drops servers without attempts in progress from the busy ones, so that the cost of a sweep does not
    /// grow with the number of servers.
    fn retain_busy_servers(&mut self) {
        let servers = &self.servers;
        let is_busy = |id: &ServerId| {
            servers.get(*id).and_then(Option::as_ref).is_some_and(|s| !s.in_progress.is_empty())
        };
        self.busy_servers.retain(is_busy);
    }

    /// Lets the timers of these requests expire in the current sweep, so that they move to another server.
    fn expire_timers(&mut self, requests: Vec<RequestId>) {
        let now = self.now;
        for id in requests {
            if let Some(request) = self.requests.get_mut(&id) {
                set_request_timer(&mut self.request_timers, request, id, now);
            }
        }
    }
}

impl Server {
    /// Adapts the server's health to the end of an attempt.
    pub(super) fn record_outcome(&mut self, status: Status, now: Micros, random: u64) {
        if matches!(status, Status::Ok | Status::Error | Status::Declined) {
            self.answered_at = now;
            self.eject_for = MIN_EJECTION;
            // The server counts as cold again only if there was a sign of a restart, which a single silent
            // connection is not.
            if self.health == Health::HalfOpen && self.connect_failed {
                self.begin_slow_start(now, now, random);
            }
            self.connect_failed = false;
            self.health = Health::Up;
        }
        match status {
            Status::Ok => self.failures = 0,
            Status::Reset | Status::Error | Status::ConnectFailed | Status::Timeout => {
                self.failures += 1;
                // A single reset is no sign of a restart, because a kept connection may have become stale. A
                // process that has ended refuses the next connections, and those attempts were not executed.
                self.connect_failed |= status == Status::ConnectFailed;
                if self.failures >= MAX_FAILURES || self.health == Health::HalfOpen {
                    self.eject(now);
                }
            }
            // A half-open test that was never sent or got no answer proves nothing.
            Status::Cancelled | Status::NotSent if self.health == Health::HalfOpen => self.eject(now),
            // A server that declines a request may accept one of another plan or class, so its limit stays.
            Status::Declined | Status::Cancelled | Status::NotSent => {}
        }
    }

    fn eject(&mut self, now: Micros) {
        self.health = Health::Ejected(now + self.eject_for);
        self.eject_for = (self.eject_for * 2).min(MAX_EJECTION);
        self.failures = 0;
    }
}
