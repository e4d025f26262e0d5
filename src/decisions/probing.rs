//! Probing before the first attempt: a few servers are asked for their load, and the request is sent once they have
//! answered or a timer has fired.

use super::pending::{PendingRequest, ProbeProgress};
use super::{request_timer, Balancer};
use crate::interface::*;

/// Part of its latency target that a request waits for probes.
const PROBE_TIMEOUT_FRACTION: f64 = 0.1;

impl Balancer {
    /// Probes servers for a request, and dispatches it at once where none is probed.
    pub(super) fn probe_or_dispatch(
        &mut self,
        now: f64,
        request: &ClientRequest,
        mut pending: PendingRequest,
        actions: &mut Vec<BalancerAction>,
    ) {
        if self.signals.probes_before_send() {
            let max = self.signals.probes_per_request;
            pending.probes_in_flight = self.select(now, &pending, f64::INFINITY, max);
        }
        for &server in &pending.probes_in_flight {
            // Counts like a send until a report comes: otherwise a server that does not answer would be probed
            // over and over.
            self.endpoints.in_use_mut(server).count.iter_mut().for_each(|count| *count += 1.0);
            actions.push(BalancerAction::Probe { server: ServerId(server) });
        }
        let latency_target_ms = self.settings.classes[pending.class].latency_target_ms;
        let after_ms = latency_target_ms.min(request.budget_ms) * PROBE_TIMEOUT_FRACTION;
        let probed = !pending.probes_in_flight.is_empty();
        self.pending.await_probes(request.id);
        self.pending.insert(request.id, pending);
        if probed {
            actions.push(BalancerAction::SetTimer { timer: request_timer(request.id), after_ms });
        } else {
            self.dispatch(now, request.id, actions);
        }
    }

    /// The probes of a request have been answered, or its timer has fired: its first attempt is due.
    pub(super) fn dispatch(&mut self, now: f64, id: RequestId, actions: &mut Vec<BalancerAction>) {
        if !self.pending.stop_awaiting_probes(id) {
            return;
        }
        let Some(mut request) = self.pending.take(id) else { return };
        // Where none of the probed servers answered, all are too busy to: nothing is sent without a report.
        let load_known = !self.signals.probes_before_send() || !request.probed.is_empty();
        let max = usize::from(load_known && self.settings.max_attempts > 0);
        if let Some(&server) = self.select(now, &request, request.max_wait, max).first() {
            self.send(now, id, &mut request, server, actions);
            self.pending.insert(id, request);
        } else {
            self.slow_start.record_choice(false);
            self.give_up(now, id, &request, actions);
        }
    }

    /// A probe was answered, or failed.
    pub(super) fn probe_ended(
        &mut self,
        now: f64,
        server: ServerId,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
        actions: &mut Vec<BalancerAction>,
    ) {
        if let Some(report) = report {
            self.record_load_report(now, server.0, &report);
        }
        let progress = self.pending.probe_ended(server.0, outcome == AttemptOutcome::Served);
        for (id, progress) in &progress {
            if *progress == ProbeProgress::FirstAnswer {
                // Only answers of the same moment are waited for: servers that answer later are busy.
                actions.push(BalancerAction::SetTimer { timer: request_timer(*id), after_ms: 0.0 });
            }
        }
        for (id, progress) in progress {
            if progress == ProbeProgress::Done {
                self.dispatch(now, id, actions);
            }
        }
    }
}
