//! The pending requests of a node. A request is pending from its admission until it has its final answer and
//! all of its attempts have ended.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use bytes::Bytes;
use hyper::header::HeaderValue;
use tokio::sync::oneshot;

use crate::net::upstream::{ForwardedRequest, SendState};
use crate::RequestId;

/// Final answer to a request. Each request gets exactly one, unless its client disconnects before.
pub enum FinalAnswer {
    /// A server has served the request; the value is the body of its response.
    Served(Bytes),
    /// The request is rejected and either has not run or may run again, so the client may safely retry. The
    /// value is the recommended pause before the retry in milliseconds, if there is one.
    Rejected(Option<f64>),
    /// The request has failed and may have taken effect.
    Failed,
}

/// Reason why a request is not admitted.
pub enum AdmissionError {
    /// The maximum number of requests is pending.
    Full,
    /// A request with the same `X-Request-Id` is pending.
    DuplicateId,
}

/// A request without a final answer, or with attempts in flight.
struct PendingRequest {
    /// The request in the form in which each attempt sends it.
    forward: Rc<ForwardedRequest>,
    /// Channel of the final answer; `None` after the answer was sent or the client has disconnected.
    answer: Option<oneshot::Sender<FinalAnswer>>,
    /// All attempts in the order of their start; `None` for those that have ended or were cancelled.
    attempts: Vec<Option<AttemptHandle>>,
}

impl PendingRequest {
    fn is_finished(&self) -> bool {
        self.answer.is_none() && self.attempts.iter().all(Option::is_none)
    }
}

/// Handle to cancel an attempt in flight.
struct AttemptHandle {
    cancel: oneshot::Sender<()>,
    state: Rc<Cell<SendState>>,
}

impl AttemptHandle {
    fn cancel(self) {
        // Sending fails if the attempt has just ended.
        let _ = self.cancel.send(());
    }
}

/// Input of the task that makes a new attempt.
pub(super) struct StartedAttempt {
    /// Index of the attempt among the attempts of its request.
    pub(super) index: usize,
    pub(super) forward: Rc<ForwardedRequest>,
    pub(super) state: Rc<Cell<SendState>>,
    pub(super) cancelled: oneshot::Receiver<()>,
}

/// All pending requests of a node.
#[derive(Default)]
pub(super) struct RequestTable {
    requests: RefCell<HashMap<RequestId, PendingRequest>>,
    /// The `X-Request-Id` of each pending request. They must be unique, since servers treat two requests
    /// with the same id as one.
    client_ids: RefCell<HashSet<HeaderValue>>,
    last_id: Cell<u64>,
}

impl RequestTable {
    /// Returns the number of pending requests.
    pub(super) fn len(&self) -> usize {
        self.requests.borrow().len()
    }

    /// Adds a request, unless `max` requests are pending. Its final answer is sent through `answer`.
    pub(super) fn admit(
        &self,
        forward: ForwardedRequest,
        answer: oneshot::Sender<FinalAnswer>,
        max: usize,
    ) -> Result<RequestId, AdmissionError> {
        if self.len() >= max {
            return Err(AdmissionError::Full);
        }
        if !self.client_ids.borrow_mut().insert(forward.client_id().clone()) {
            return Err(AdmissionError::DuplicateId);
        }
        self.last_id.set(self.last_id.get() + 1);
        let id = RequestId(self.last_id.get());
        let request =
            PendingRequest { forward: Rc::new(forward), answer: Some(answer), attempts: Vec::new() };
        self.requests.borrow_mut().insert(id, request);
        Ok(id)
    }

    /// Adds an attempt of a request; returns `None` if the request is no longer pending.
    pub(super) fn start_attempt(&self, id: RequestId) -> Option<StartedAttempt> {
        let mut requests = self.requests.borrow_mut();
        let request = requests.get_mut(&id)?;
        let (cancel, cancelled) = oneshot::channel();
        let state = Rc::new(Cell::new(SendState::NotSent));
        let index = request.attempts.len();
        request.attempts.push(Some(AttemptHandle { cancel, state: Rc::clone(&state) }));
        Some(StartedAttempt { index, forward: Rc::clone(&request.forward), state, cancelled })
    }

    /// Cancels an attempt that is in flight.
    pub(super) fn cancel(&self, id: RequestId, attempt: usize) {
        let mut requests = self.requests.borrow_mut();
        let handle = requests.get_mut(&id).and_then(|request| request.attempts.get_mut(attempt));
        if let Some(handle) = handle.and_then(Option::take) {
            handle.cancel();
        }
    }

    /// Records that an attempt has ended.
    pub(super) fn attempt_ended(&self, id: RequestId, attempt: usize) {
        if let Some(request) = self.requests.borrow_mut().get_mut(&id) {
            request.attempts[attempt] = None;
        }
    }

    /// Returns whether a request needs no final answer any more.
    pub(super) fn is_answered(&self, id: RequestId) -> bool {
        self.requests.borrow().get(&id).is_none_or(|request| request.answer.is_none())
    }

    /// Returns the requests that still need a final answer, in the order of their ids.
    pub(super) fn unanswered(&self) -> Vec<RequestId> {
        let requests = self.requests.borrow();
        let unanswered = requests.iter().filter(|(_, request)| request.answer.is_some());
        let mut ids: Vec<RequestId> = unanswered.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }

    /// Sends the final answer of a request, unless it needs none any more.
    pub(super) fn answer(&self, id: RequestId, answer: FinalAnswer) {
        let sender = self.requests.borrow_mut().get_mut(&id).and_then(|request| request.answer.take());
        if let Some(sender) = sender {
            // Sending fails if the client has just disconnected.
            let _ = sender.send(answer);
        }
        self.remove_if_finished(id);
    }

    /// Records that a client has disconnected, so that its request needs no answer any more, and cancels the
    /// attempts that have not been sent. Returns whether an answer was still needed.
    pub(super) fn abandon(&self, id: RequestId) -> bool {
        let mut requests = self.requests.borrow_mut();
        let Some(request) = requests.get_mut(&id).filter(|request| request.answer.is_some()) else {
            return false;
        };
        request.answer = None;
        for attempt in &mut request.attempts {
            if let Some(handle) = attempt.take_if(|handle| handle.state.get() == SendState::NotSent) {
                // Its connection may be established at this moment; the state prevents the request from
                // being sent on it.
                handle.state.set(SendState::Abandoned);
                handle.cancel();
            }
        }
        true
    }

    /// Removes a request that needs no answer any more and has no attempts in flight.
    pub(super) fn remove_if_finished(&self, id: RequestId) {
        let mut requests = self.requests.borrow_mut();
        if requests.get(&id).is_some_and(PendingRequest::is_finished) {
            let request = requests.remove(&id).expect("found");
            self.client_ids.borrow_mut().remove(request.forward.client_id());
        }
    }
}
