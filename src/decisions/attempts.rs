//! Attempts of an admitted request: sending them, their ends, and clients that disconnect.

use super::pending::{Attempt, PendingRequest};
use super::stalled::STALLED_IN_FLIGHT;
use super::{request_timer, Balancer};
use crate::interface::*;

/// Part of the deduplication window within which a repeat must have got its connection.
const MAX_CONNECT_WINDOW_FRACTION: f64 = 0.9;

impl Balancer {
    /// Starts an attempt at a server.
    pub(super) fn send(
        &mut self,
        now: f64,
        id: RequestId,
        request: &mut PendingRequest,
        number: usize,
        actions: &mut Vec<BalancerAction>,
    ) {
        let probed = self.signals.probes_before_send();
        let server = self.endpoints.in_use_mut(number);
        server.in_flight += 1;
        server.count = server.count.map(|count| count + 1.0);
        let in_flight = server.in_flight;
        let depth = server.count.filter(|_| probed).unwrap_or(in_flight as f64);
        let (zone, cell) = (server.entry.zone, server.entry.cell);
        let stall_ms = self.stall_ms(request.class, in_flight);
        request.attempts.push(Attempt {
            server: number,
            zone,
            cell,
            sent_at: now,
            depth,
            in_flight: true,
            stalls_at: now + stall_ms,
            cancelled_as_stalled: false,
        });
        let within_ms = self.send_within_ms(now, request);
        actions.push(BalancerAction::Send { request: id, server: ServerId(number), within_ms });
        if self.may_cancel_later(now + stall_ms, request, in_flight) {
            actions.push(BalancerAction::SetTimer { timer: request_timer(id), after_ms: stall_ms });
        }
    }

    /// Whether the last attempt could be cancelled as stalled at `stalls_at`, with time left for another.
    fn may_cancel_later(&self, stalls_at: f64, request: &PendingRequest, in_flight: usize) -> bool {
        let attempts_left = request.attempts.len() < self.settings.max_attempts;
        self.settings.cancel
            && attempts_left
            && in_flight >= STALLED_IN_FLIGHT
            && stalls_at < request.expires_at
            && self.may_repeat(stalls_at, request, true)
    }

    /// Time within which a repeat must be on its way, where its deduplication window sets a limit.
    fn send_within_ms(&self, now: f64, request: &PendingRequest) -> Option<f64> {
        match (request.first_run(), self.settings.classes[request.class].idempotency) {
            (Some(first), Idempotency::Keyed { window_ms, .. }) => {
                Some(first.sent_at + window_ms * MAX_CONNECT_WINDOW_FRACTION - now)
            }
            _ => None,
        }
    }

    /// An attempt ended.
    pub(super) fn attempt_ended(&mut self, now: f64, end: &AttemptEnd, actions: &mut Vec<BalancerAction>) {
        let id = end.request;
        let Some(mut request) = self.pending.take(id) else { return };
        let Some(attempt) = request.attempts.get_mut(end.attempt).filter(|attempt| attempt.in_flight) else {
            return self.pending.insert(id, request);
        };
        attempt.in_flight = false;
        let server = attempt.server;
        if let Some(report) = &end.report {
            self.record_load_report(now, server, report);
        }
        self.record_attempt_end(now, request.class, &request.attempts[end.attempt], end, actions);
        if end.outcome.may_have_run() && request.may_have_run.is_none() {
            request.may_have_run = Some(end.attempt);
        }
        if end.complete {
            request.answered = true;
        } else if !request.answered {
            self.retry_or_give_up(now, id, &mut request, actions);
        }
        if !request.is_finished() {
            self.pending.insert(id, request);
        }
    }

    /// A client disconnected: its attempts are cancelled, where that is allowed.
    pub(super) fn client_disconnected(&mut self, id: RequestId, actions: &mut Vec<BalancerAction>) {
        let Some(request) = self.pending.get_mut(id) else { return };
        request.answered = true;
        if self.settings.cancel {
            let in_flight = request.attempts.iter().enumerate().filter(|(_, attempt)| attempt.in_flight);
            actions.extend(in_flight.map(|(attempt, _)| BalancerAction::Cancel { request: id, attempt }));
        }
        if request.is_finished() {
            self.pending.take(id);
        }
    }
}
