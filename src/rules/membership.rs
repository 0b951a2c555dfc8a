//! Membership: the servers that discovery lists, and when discovery is asked again.

use super::concurrency::{INITIAL_LIMIT, LATENCY_TARGET, MIN_LIMIT_SHARE};
use super::ejection::MIN_EJECTION;
use super::*;

/// Backoff after the first failed call to discovery, in microseconds; it doubles with each further
/// one until discovery answers.
pub(super) const WATCH_BACKOFF_MIN: Micros = 500_000;
/// Longest backoff after failed calls to discovery, in microseconds. A gateway must know a change 6 s after
/// discovery does, even if earlier calls failed: 1.5 s until a call counts as failed, 1.5 times the longest
/// backoff, and 1.5 s for the answer to the next call. This requirement takes precedence over limiting the
/// calls of all gateways together.
const WATCH_BACKOFF_MAX: Micros = 2_000_000;
/// Mean delay before a call to discovery, in microseconds per gateway in service: all gateways may start, or
/// have their calls rejected, at the same time.
const WATCH_DELAY_PER_GATEWAY: Micros = 20_000;

impl Gateway {
    /// Takes over a list of servers from discovery.
    pub(super) fn on_servers(&mut self, kind: ListKind, entries: Vec<ServerEntry>, out: &mut Vec<Action>) {
        let delay = WATCH_DELAY_PER_GATEWAY * u64::from(self.settings.gateways);
        match kind {
            ListKind::Failed => {
                self.schedule_watch((self.watch_backoff + delay).min(WATCH_BACKOFF_MAX), out);
                self.watch_backoff = (self.watch_backoff * 2).min(WATCH_BACKOFF_MAX);
                return;
            }
            ListKind::Cached if self.settings.watch_discovery => {
                self.schedule_watch(delay.min(WATCH_BACKOFF_MAX), out);
            }
            // An answer, perhaps to an earlier call: no other call is needed then.
            _ => (self.next_watch, self.watch_backoff) = (Micros::MAX, WATCH_BACKOFF_MIN),
        }
        let is_first_list = self.servers.is_empty();
        let earliest_start = self.earliest_start(kind);
        if kind != ListKind::Delta {
            let listed: BTreeSet<ServerId> = entries.iter().map(|e| e.server).collect();
            for (id, server) in self.servers.iter_mut().enumerate() {
                if let Some(server) = server.as_mut().filter(|_| !listed.contains(&id)) {
                    (server.ready, server.removed) = (false, true);
                }
            }
        }
        for entry in entries {
            self.update_server(&entry, is_first_list, earliest_start);
        }
        for server in 0..self.servers.len() {
            self.forget_if_removed(server);
        }
    }

    /// Takes over an entry of a list, and begins slow start if the server has just started.
    fn update_server(&mut self, entry: &ServerEntry, is_first_list: bool, earliest_start: Micros) {
        let random = self.next_random();
        if self.servers.len() <= entry.server {
            self.servers.resize_with(entry.server + 1, || None);
        }
        let (now, gateways) = (self.now, f64::from(self.settings.gateways));
        let is_known = self.servers[entry.server].is_some();
        let server = self.servers[entry.server].get_or_insert_with(|| Server {
            zone: entry.zone,
            cell: entry.cell,
            ready: entry.lifecycle == Lifecycle::Ready,
            weight: entry.weight.max(0.01),
            started_at: entry.started_at,
            eject_for: MIN_EJECTION,
            answered_at: now,
            limit: INITIAL_LIMIT / gateways,
            min_limit: INITIAL_LIMIT * MIN_LIMIT_SHARE / gateways,
            latency_share: LATENCY_TARGET,
            relative_latency: 1.0,
            ..Server::default()
        });
        let is_back = !server.ready && entry.lifecycle == Lifecycle::Ready;
        let has_start = entry.started_at > 0;
        // The server's clock may have been set back, so any other start time than the known one is a restart.
        let restarted = is_known && has_start && entry.started_at != server.started_at;
        server.ready = entry.lifecycle == Lifecycle::Ready;
        server.removed = entry.lifecycle == Lifecycle::Removed;
        server.started_at = entry.started_at;
        let slow_start_duration = self.settings.server_rules.slow_start_duration;
        let started_recently = has_start && now < entry.started_at + slow_start_duration;
        // Any server that may be a fresh process counts as cold, however discovery reports it.
        if started_recently && !is_known || restarted || is_back || (!is_known && !is_first_list) {
            // A list may come late, and the server warms up in the meantime: slow start begins at the
            // reported start, if there is one.
            let has_new_start = has_start && (!is_back || restarted);
            let since = if has_new_start { entry.started_at.max(earliest_start).min(now) } else { now };
            server.begin_slow_start(since, now, random);
            server.load.clear();
            if restarted {
                server.in_progress.clear();
                server.health = Health::Up;
            }
        }
    }

    /// The earliest plausible time of a start that this list is the first to report: discovery would have
    /// reported an earlier one with its previous answer. 0 if there was none. Guards against start times from
    /// clocks that were set back.
    fn earliest_start(&mut self, kind: ListKind) -> Micros {
        if kind == ListKind::Cached {
            return 0;
        }
        let answered = self.discovery_answered.replace(self.now);
        answered.map_or(0, |at| at.saturating_sub(self.settings.server_rules.max_age_error()))
    }

    /// Schedules a call to discovery after 0.5 to 1.5 times this delay. One small discovery service serves
    /// all gateways, so calls that fail at the same time must not be repeated at the same time.
    fn schedule_watch(&mut self, delay: Micros, out: &mut Vec<Action>) {
        self.next_watch = self.now + delay / 2 + self.next_random() % delay.max(1);
        out.push(Action::Timer { at: self.next_watch, token: 0 });
    }

    /// Forgets a removed server once no attempt is in progress there. Without this, the state would grow with
    /// every new server id.
    pub(super) fn forget_if_removed(&mut self, server: ServerId) {
        if let Some(slot) = self.servers.get_mut(server) {
            slot.take_if(|s| s.removed && s.in_progress.is_empty());
        }
    }
}
