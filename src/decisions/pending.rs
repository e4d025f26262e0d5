//! The state of a request until its final answer, and until its last attempt has ended.

use std::collections::HashMap;

use crate::interface::*;

/// One attempt of a request.
pub(super) struct Attempt {
    pub(super) server: usize,
    pub(super) zone: usize,
    pub(super) cell: usize,
    pub(super) sent_at: f64,
    /// Requests at its server when it was sent, as far as the node can tell.
    pub(super) depth: f64,
    pub(super) in_flight: bool,
    /// From when on it may be cancelled as stalled.
    pub(super) stalls_at: f64,
    /// Cancelled as stalled: its end counts as a failure of its server.
    pub(super) cancelled_as_stalled: bool,
}

/// A request that was admitted.
#[derive(Default)]
pub(super) struct PendingRequest {
    pub(super) class: usize,
    /// When its client gives up.
    pub(super) expires_at: f64,
    pub(super) attempts: Vec<Attempt>,
    /// Index of the first attempt that may have run or may still run.
    pub(super) may_have_run: Option<usize>,
    /// The final answer was given, or the client has disconnected.
    pub(super) answered: bool,
    /// Servers probed before the first attempt that have not answered yet.
    pub(super) probes_in_flight: Vec<usize>,
    /// Servers whose probe was answered.
    pub(super) probed: Vec<usize>,
    /// The longest expected wait for which it is admitted.
    pub(super) max_wait: f64,
}

impl PendingRequest {
    /// The server of the last attempt, while that is in flight.
    pub(super) fn server_in_flight(&self) -> Option<usize> {
        self.attempts.last().filter(|last| last.in_flight).map(|last| last.server)
    }

    /// Whether any attempt is in flight.
    pub(super) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// Answered, and no attempt is in flight.
    pub(super) fn is_finished(&self) -> bool {
        self.answered && !self.has_attempt_in_flight()
    }

    /// A probe of `server` ended; `None` where this request did not wait for it.
    fn probe_ended(&mut self, server: usize, answered: bool) -> Option<ProbeProgress> {
        if !self.probes_in_flight.contains(&server) {
            return None;
        }
        self.probes_in_flight.retain(|probed| *probed != server);
        if answered {
            self.probed.push(server);
        }
        Some(match self.probes_in_flight.is_empty() {
            true => ProbeProgress::Done,
            false if self.probed == [server] => ProbeProgress::FirstAnswer,
            false => ProbeProgress::Waiting,
        })
    }

    /// The first attempt that may have run.
    pub(super) fn first_run(&self) -> Option<&Attempt> {
        self.may_have_run.map(|attempt| &self.attempts[attempt])
    }
}

/// All pending requests of a node.
#[derive(Default)]
pub(super) struct PendingRequests {
    requests: HashMap<RequestId, PendingRequest>,
    /// Requests whose first attempt waits for probes, in the order they came.
    awaiting_probes: Vec<RequestId>,
}

impl PendingRequests {
    pub(super) fn insert(&mut self, id: RequestId, request: PendingRequest) {
        self.requests.insert(id, request);
    }

    /// Takes a request out while it is worked on; it is put back with [`insert`](Self::insert).
    pub(super) fn take(&mut self, id: RequestId) -> Option<PendingRequest> {
        self.requests.remove(&id)
    }

    pub(super) fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.requests.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&id)
    }

    /// The requests whose last attempt is in flight to `server`, by id.
    pub(super) fn in_flight_to(&self, server: usize) -> Vec<RequestId> {
        let waiting = self.requests.iter().filter(|(_, request)| request.server_in_flight() == Some(server));
        let mut waiting: Vec<RequestId> = waiting.map(|(id, _)| *id).collect();
        waiting.sort_unstable();
        waiting
    }

    pub(super) fn await_probes(&mut self, id: RequestId) {
        self.awaiting_probes.push(id);
    }

    /// Ends the wait for probes; whether the request was waiting.
    pub(super) fn stop_awaiting_probes(&mut self, id: RequestId) -> bool {
        let Some(index) = self.awaiting_probes.iter().position(|waiting| *waiting == id) else {
            return false;
        };
        self.awaiting_probes.remove(index);
        true
    }

    /// A probe of `server` ended. Returns, for each request that waited for it and in the order they came, how the
    /// wait goes on.
    pub(super) fn probe_ended(&mut self, server: usize, answered: bool) -> Vec<(RequestId, ProbeProgress)> {
        let mut progress = Vec::new();
        for id in &self.awaiting_probes {
            let Some(request) = self.requests.get_mut(id) else { continue };
            progress.extend(request.probe_ended(server, answered).map(|outcome| (*id, outcome)));
        }
        progress
    }
}

/// How a request's wait for its probes goes on.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ProbeProgress {
    /// Others are in flight.
    Waiting,
    /// The first answer came, and others are in flight.
    FirstAnswer,
    /// None is in flight any more.
    Done,
}
