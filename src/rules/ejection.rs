//! Ejection: servers that fail or fall silent get nothing for a time, then one request that tests them.

use super::concurrency::{BUSY, CUT, CUT_EVERY};
use super::*;

/// Mean latencies without any answer after which a server counts as silent: base, and per request out.
const SILENCE: (f64, f64) = (2.0, 6.0);
/// Time for which an ejected server gets nothing, in microseconds: at first, and at most after doubling.
pub(super) const EJECT: (Micros, Micros) = (1_000_000, 8_000_000);
/// Failures in a row that eject a server.
const FAILURES: u32 = 3;

impl Gateway {
    /// Silence with work out is a symptom, before any time-out: a hung or vanished server, or a cut link.
    /// Only while others answer, since everything slow at once is no outlier.
    pub(super) fn check_silence(&mut self) {
        self.forget_idle_servers();
        let (now, classes) = (self.now, self.latency.len().max(1) as f64);
        let mean = self.latency.iter().sum::<f64>() / classes;
        let quiet = |s: &Server| {
            let Some(oldest) = s.outs.values().min() else { return false };
            let patience = mean * s.slow.clamp(1.0, 3.0) * (SILENCE.0 + SILENCE.1 / s.outs.len() as f64);
            now.saturating_sub(s.answered.max(*oldest)) as f64 > patience
        };
        let slo = self.set.classes.iter().map(|c| c.slo as f64).sum::<f64>() / classes;
        let live = |s: &Server| s.health == Health::Up && now < s.answered + mean as u64;
        let any_quiet = self.busy_servers.iter().filter_map(|at| self.servers[*at].as_ref()).any(quiet);
        let live = any_quiet && self.servers.iter().flatten().any(live);
        let mut rescued = Vec::new();
        for at in &self.busy_servers {
            let Some(server) = self.servers[*at].as_mut() else { continue };
            if live && !matches!(server.health, Health::Ejected(_)) && quiet(server) {
                server.eject(now);
                rescued.extend(server.outs.keys().map(|k| k.0));
            }
            // Work that grows old without an answer tells of a jam before any latency does.
            let age: f64 = server.outs.values().map(|sent| (now - sent) as f64).sum();
            if age > slo * BUSY * server.outs.len() as f64 && now > server.cut_at + (slo * CUT_EVERY) as u64 {
                server.cut(CUT, now);
            }
        }
        self.wake_requests(rescued);
    }

    /// Drops servers with nothing out from those that are looked after: a sweep must not cost more the more
    /// servers there are.
    fn forget_idle_servers(&mut self) {
        let servers = &self.servers;
        let has_out =
            |at: &ServerId| servers.get(*at).and_then(Option::as_ref).is_some_and(|s| !s.outs.is_empty());
        self.busy_servers.retain(has_out);
    }

    fn wake_requests(&mut self, rescued: Vec<RequestId>) {
        let now = self.now;
        for id in rescued {
            if let Some(request) = self.requests.get_mut(&id) {
                set_alarm(&mut self.alarms, request, id, now);
            }
        }
    }
}

impl Server {
    /// What the end of an attempt tells of the server's health.
    pub(super) fn note_outcome(&mut self, status: Status, now: Micros, chance: u64) {
        if matches!(status, Status::Ok | Status::Error | Status::Declined) {
            self.answered = now;
            self.eject_for = EJECT.0;
            // Cold again only after signs of a restart: one connection that fell silent is none.
            if self.health == Health::HalfOpen && self.broke {
                self.begin_slow_start(now, now, chance);
            }
            self.broke = false;
            self.health = Health::Up;
        }
        match status {
            Status::Ok => self.failures = 0,
            // A full server may have room for another plan or class: its bound is left alone.
            // A kept connection may have gone stale, so one reset tells little: a process that died
            // refuses the next connections, and these never ran.
            Status::Reset | Status::Error | Status::ConnectFailed | Status::Timeout => {
                self.failures += 1;
                self.broke |= status == Status::ConnectFailed;
                if self.failures >= FAILURES || self.health == Health::HalfOpen {
                    self.eject(now);
                }
            }
            // A half-open test without an answer, or that was never made, proves nothing.
            Status::Cancelled | Status::NotSent if self.health == Health::HalfOpen => self.eject(now),
            Status::Declined | Status::Cancelled | Status::NotSent => {}
        }
    }

    fn eject(&mut self, now: Micros) {
        self.health = Health::Ejected(now + self.eject_for);
        self.eject_for = (self.eject_for * 2).min(EJECT.1);
        self.failures = 0;
    }
}
