//! Retries: what the end of an attempt means, further attempts where they are permitted, and final answers.

use super::*;

/// Retries that each first attempt adds to the retry budget.
pub(super) const RETRIES_PER_REQUEST: f64 = 0.1;
/// Upper bound on the retry budget.
pub(super) const MAX_SAVED_RETRIES: f64 = 10.0;
/// Longest stall of the process between a decision and the write that carries it out, in microseconds, as
/// specified for limiters.
const MAX_WRITE_DELAY: Micros = 150_000;
/// Retry-after time for a request that found no server, as a share of its objective.
const RETRY_AFTER_SHARE: f64 = 0.1;
/// Shortest retry-after time, in microseconds: over HTTP it is given in milliseconds.
const MIN_RETRY_AFTER: Micros = 1_000;

impl Gateway {
    /// Handles the end of an attempt.
    pub(super) fn on_outcome(&mut self, outcome: &Outcome, out: &mut Vec<Action>) {
        let Outcome { id, attempt: index, server: server_id, status, latency, request_done, load } = *outcome;
        let class = self.requests.get(&id).map(|r| r.class);
        let (now, total_in_progress) = (self.now, self.sum_of_limits_and_attempts().1);
        let random = self.next_random();
        if let Some(server) = self.servers.get_mut(server_id).and_then(Option::as_mut) {
            let was_in_progress = server.in_progress.remove(&(id, index)).is_some();
            self.mean_load.record(&mut server.load, &load, now);
            server.record_outcome(status, now, random);
            let latency_counts = was_in_progress && self.resumed_at != now;
            if let (Status::Ok, true, Some(class)) = (status, latency_counts, class) {
                self.record_latency(server_id, class, latency as f64, total_in_progress);
            }
        }
        self.forget_if_removed(server_id);
        if request_done {
            return self.remove_request(id, out);
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = request.attempts.get_mut(index as usize) else { return };
        if attempt.state != AttemptState::InProgress {
            return;
        }
        let not_executed = matches!(status, Status::Declined | Status::ConnectFailed | Status::NotSent);
        attempt.state = if not_executed { AttemptState::NotExecuted } else { AttemptState::MayHaveExecuted };
        if request.attempts.iter().all(|a| a.state != AttemptState::InProgress) {
            self.retry(id, not_executed, out);
        }
    }

    /// An attempt streams its answer to the client: the deadline no longer applies, and the other attempts
    /// are cancelled.
    pub(super) fn on_stream_started(&mut self, id: RequestId, index: u32, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stage = Stage::Streaming;
        for (other, attempt) in (0..).zip(&mut request.attempts) {
            if other == index {
                if let Some(server) = self.servers[attempt.server].as_mut() {
                    server.in_progress.remove(&(id, index));
                    server.answered_at = self.now;
                }
            } else if attempt.state == AttemptState::InProgress
                && !attempt.cancelled
                && self.settings.permissions.cancel
            {
                attempt.cancelled = true;
                out.push(Action::Cancel { id, attempt: other });
            }
        }
    }

    /// Sends a further attempt if the class, the permissions and the retry budget allow it. Otherwise
    /// finishes the request unless another attempt is in progress. `last_not_executed` is set if the last
    /// attempt was certainly not executed, which makes the retry free.
    pub(super) fn retry(&mut self, id: RequestId, last_not_executed: bool, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let (class, permissions) = (&self.settings.classes[request.class], &self.settings.permissions);
        let in_progress = request.attempts.iter().any(|a| a.state == AttemptState::InProgress);
        let maybe_executed = request.attempts.iter().find(|a| a.state != AttemptState::NotExecuted);
        let may_repeat = match (class.idempotency, maybe_executed) {
            (_, None) | (Idempotency::Idempotent, _) => true,
            // The attempt is written only when its connection is open, and the servers must still know the
            // key by then.
            (Idempotency::Keyed, Some(a)) => {
                let latest_send =
                    self.now + self.settings.tick + permissions.connect_timeout + MAX_WRITE_DELAY;
                latest_send < a.sent_at + class.dedup_window
            }
            (Idempotency::NonIdempotent, Some(_)) => false,
        };
        let allowed = may_repeat
            && (permissions.parallel_attempts || !in_progress)
            && (request.attempts.len() as u32) < permissions.max_attempts
            && (last_not_executed || self.retry_budget >= 1.0)
            && request.deadline > self.now + DEADLINE_MARGIN;
        if let Some(server) = allowed.then(|| self.select_server(id)).flatten() {
            self.retry_budget -= if last_not_executed { 0.0 } else { 1.0 };
            self.send(id, server, out);
        } else if !in_progress {
            self.finish(id, out);
        }
    }

    /// Handles a request's timer: it has waited too long for units or a server, its deadline is near, or an
    /// attempt is in progress at a server that was ejected.
    pub(super) fn on_request_timer(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.timer_at = 0;
        if request.stage == Stage::Streaming {
            return;
        } else if request.stage != Stage::Sent || self.now + DEADLINE_MARGIN >= request.deadline {
            return self.finish(id, out);
        }
        // Moves to another server, with a parallel attempt or after cancelling the one that is stuck.
        let end = request.deadline - DEADLINE_MARGIN;
        set_request_timer(&mut self.request_timers, request, id, end);
        let stuck = request.attempts.iter().enumerate().find(|(_, a)| {
            let server = self.servers[a.server].as_ref();
            a.state == AttemptState::InProgress
                && !a.cancelled
                && server.is_some_and(|s| s.health != Health::Up)
        });
        let Some((index, _)) = stuck else { return };
        let repeatable = self.settings.classes[request.class].idempotency != Idempotency::NonIdempotent;
        if self.settings.permissions.parallel_attempts {
            self.retry(id, false, out);
        } else if repeatable && self.settings.permissions.cancel && self.retry_budget >= 1.0 {
            request.attempts[index].cancelled = true;
            out.push(Action::Cancel { id, attempt: index as u32 });
        }
    }

    /// Gives the final answer: refused if no attempt was executed, so that the client may retry, or else
    /// failed.
    pub(super) fn finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.attempts.iter().all(|a| a.state == AttemptState::NotExecuted) {
            // There was no server, or no time left. A later retry lowers the load, but must still be able to
            // meet the objective.
            let retry_after = self.settings.classes[request.class].slo as f64 * RETRY_AFTER_SHARE;
            return self.refuse(id, retry_after as Micros, out);
        }
        out.push(Action::Fail { id });
        self.remove_request(id, out);
    }

    /// Refuses a request, with a retry-after time if the permissions allow it.
    pub(super) fn refuse(&mut self, id: RequestId, retry_after: Micros, out: &mut Vec<Action>) {
        let permissions = &self.settings.permissions;
        let retry_after = retry_after.max(MIN_RETRY_AFTER).min(permissions.max_retry_after);
        let retry_after = if permissions.send_retry_after { retry_after } else { 0 };
        out.push(Action::Refuse { id, retry_after });
        self.remove_request(id, out);
    }

    /// Removes a request, cancels its attempts, and returns its units if it was never sent.
    pub(super) fn remove_request(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.remove(&id) else { return };
        self.request_timers.remove(&(request.timer_at, id));
        self.ready_requests.remove(&request.rank);
        for (index, attempt) in request.attempts.iter().enumerate() {
            if attempt.state == AttemptState::InProgress
                && !attempt.cancelled
                && self.settings.permissions.cancel
            {
                out.push(Action::Cancel { id, attempt: index as u32 });
            }
        }
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        if request.stage == Stage::WaitingForUnits {
            customer.waiting.retain(|w| w.peer.is_some() || w.id != id);
            return;
        }
        customer.in_progress -= 1.0;
        if request.attempts.is_empty() {
            customer.ceiling_share.level += request.units;
            customer.quota.level += request.units;
            if let Some(units) = customer.escrow.get_mut(&request.escrow_window) {
                *units += request.units;
            }
        }
    }
}
