//! Membership: the servers that discovery lists, and when it is asked again.

use super::concurrency::{BUSY, LIMIT_FIRST, LIMIT_LEAST};
use super::ejection::EJECT;
use super::*;

/// Wait before discovery is asked again after a failed call, in microseconds: at first, and at most. What it
/// has counts as told after 6 s, whatever became of the calls before: 1.5 s for a call to prove late, one and
/// a half times the longest wait, and 1.5 s for the next one's answer. The rule goes before the sum of all
/// gateways' calls.
pub(super) const WATCH_WAIT: (Micros, Micros) = (500_000, 2_000_000);
/// Wait before it is asked, in microseconds for each gateway: all may start, or be turned away, at once.
const WATCH_SPREAD: Micros = 20_000;

impl Gateway {
    pub(super) fn on_servers(&mut self, kind: ListKind, entries: Vec<ServerEntry>, out: &mut Vec<Action>) {
        let spread = WATCH_SPREAD * u64::from(self.set.gateways);
        match kind {
            ListKind::Failed => {
                self.watch_in((self.watch_wait + spread).min(WATCH_WAIT.1), out);
                self.watch_wait = (self.watch_wait * 2).min(WATCH_WAIT.1);
                return;
            }
            ListKind::Cached if self.set.watch_discovery => self.watch_in(spread.min(WATCH_WAIT.1), out),
            // An answer: of an earlier call, perhaps, and no other is wanted then.
            _ => (self.watch_at, self.watch_wait) = (Micros::MAX, WATCH_WAIT.0),
        }
        let first = self.servers.is_empty();
        let earliest = self.earliest_start(kind);
        if kind != ListKind::Delta {
            let named: BTreeSet<ServerId> = entries.iter().map(|e| e.server).collect();
            for (id, server) in self.servers.iter_mut().enumerate() {
                if let Some(server) = server.as_mut().filter(|_| !named.contains(&id)) {
                    (server.ready, server.gone) = (false, true);
                }
            }
        }
        for entry in entries {
            let chance = self.draw();
            if self.servers.len() <= entry.server {
                self.servers.resize_with(entry.server + 1, || None);
            }
            let (now, gateways) = (self.now, f64::from(self.set.gateways));
            let known = self.servers[entry.server].is_some();
            let server = self.servers[entry.server].get_or_insert_with(|| Server {
                zone: entry.zone,
                cell: entry.cell,
                ready: entry.lifecycle == Lifecycle::Ready,
                weight: entry.weight.max(0.01),
                started: entry.started_at,
                eject_for: EJECT.0,
                answered: now,
                limit: LIMIT_FIRST / gateways,
                least: LIMIT_FIRST * LIMIT_LEAST / gateways,
                busy: BUSY,
                slow: 1.0,
                ..Server::default()
            });
            let back = !server.ready && entry.lifecycle == Lifecycle::Ready;
            // Clocks may be stepped back: any other start than the one known is a new one.
            let restarted = known && entry.started_at > 0 && entry.started_at != server.started;
            server.ready = entry.lifecycle == Lifecycle::Ready;
            server.gone = entry.lifecycle == Lifecycle::Removed;
            server.started = entry.started_at;
            let recent =
                entry.started_at > 0 && now < entry.started_at + self.set.server_rules.slow_start_duration;
            if recent && !known || restarted || back || (!known && !first) {
                // Guards any fresh process, however discovery words it. Since its start where that is told:
                // the list may come late, and it warms meanwhile.
                let fresh = entry.started_at > 0 && (!back || restarted);
                let since = if fresh { entry.started_at.max(earliest).min(now) } else { now };
                server.begin_slow_start(since, now, chance);
                server.reports.clear();
                if restarted {
                    server.outs.clear();
                    server.health = Health::Up;
                }
            }
        }
        for server in 0..self.servers.len() {
            self.reap(server);
        }
    }

    /// The earliest time at which a server can have started of which discovery tells now, and did not tell
    /// with its last answer; 0 where it has not answered before. Guards against births by clocks that were
    /// stepped back.
    fn earliest_start(&mut self, kind: ListKind) -> Micros {
        if kind == ListKind::Cached {
            return 0;
        }
        let answered = self.discovery_answered.replace(self.now);
        answered.map_or(0, |at| at.saturating_sub(self.set.server_rules.safe_age()))
    }

    /// Asks for a watch after a half to one and a half times this wait: calls that fail all at once must not
    /// come back all at once, as one small discovery serves all gateways.
    pub(super) fn watch_in(&mut self, wait: Micros, out: &mut Vec<Action>) {
        self.watch_at = self.now + wait / 2 + self.draw() % wait.max(1);
        out.push(Action::Timer { at: self.watch_at, token: 0 });
    }

    /// Forgets a server that is gone once nothing is out there: ids may be ever new.
    pub(super) fn reap(&mut self, server: ServerId) {
        if let Some(slot) = self.servers.get_mut(server) {
            slot.take_if(|s| s.gone && s.outs.is_empty());
        }
    }
}
