//! The pending requests of a node: from their admission until they are answered and their attempts have ended.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use bytes::Bytes;
use hyper::header::HeaderValue;
use tokio::sync::oneshot;

use crate::net::upstream::{ForwardedRequest, SendState};
use crate::RequestId;

/// The one final answer to a request.
pub enum FinalAnswer {
    /// A server's body.
    Served(Bytes),
    /// Rejected: a retry is safe, and best made after this many milliseconds.
    Rejected(Option<f64>),
    /// Failed, perhaps after taking effect.
    Failed,
}

/// Why a request is not admitted.
pub enum AdmissionError {
    /// As many are pending as may be.
    Full,
    /// One with the same id of the client is pending.
    DuplicateId,
}

/// A request that is pending.
struct PendingRequest {
    forward: Rc<ForwardedRequest>,
    /// Taken by the final answer, or when the client disconnects.
    answer: Option<oneshot::Sender<FinalAnswer>>,
    /// Each attempt, while it is in flight.
    attempts: Vec<Option<AttemptHandle>>,
}

impl PendingRequest {
    fn is_finished(&self) -> bool {
        self.answer.is_none() && self.attempts.iter().all(Option::is_none)
    }
}

/// An attempt that is in flight.
struct AttemptHandle {
    cancel: oneshot::Sender<()>,
    state: Rc<Cell<SendState>>,
}

impl AttemptHandle {
    fn cancel(self) {
        // It fails where the attempt has just ended by itself.
        let _ = self.cancel.send(());
    }
}

/// An attempt that has just been started.
pub(super) struct StartedAttempt {
    /// Its number among the attempts of its request.
    pub(super) index: usize,
    pub(super) forward: Rc<ForwardedRequest>,
    pub(super) state: Rc<Cell<SendState>>,
    pub(super) cancelled: oneshot::Receiver<()>,
}

/// All pending requests.
#[derive(Default)]
pub(super) struct RequestTable {
    requests: RefCell<HashMap<RequestId, PendingRequest>>,
    /// The ids that clients gave them: servers would take two requests with one id for one.
    client_ids: RefCell<HashSet<HeaderValue>>,
    last_id: Cell<u64>,
}

impl RequestTable {
    /// Requests that are pending.
    pub(super) fn len(&self) -> usize {
        self.requests.borrow().len()
    }

    /// Adds a request, unless `max` are pending. Its final answer goes to `answer`.
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

    /// Adds an attempt; `None` where the request is no longer pending.
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

    /// An attempt has ended.
    pub(super) fn attempt_ended(&self, id: RequestId, attempt: usize) {
        if let Some(request) = self.requests.borrow_mut().get_mut(&id) {
            request.attempts[attempt] = None;
        }
    }

    /// Whether a request has its final answer or is no longer pending.
    pub(super) fn is_answered(&self, id: RequestId) -> bool {
        self.requests.borrow().get(&id).is_none_or(|request| request.answer.is_none())
    }

    /// Requests that still need an answer, by id.
    pub(super) fn unanswered(&self) -> Vec<RequestId> {
        let requests = self.requests.borrow();
        let unanswered = requests.iter().filter(|(_, request)| request.answer.is_some());
        let mut ids: Vec<RequestId> = unanswered.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }

    /// Gives a request its final answer, unless it has one.
    pub(super) fn answer(&self, id: RequestId, answer: FinalAnswer) {
        let sender = self.requests.borrow_mut().get_mut(&id).and_then(|request| request.answer.take());
        if let Some(sender) = sender {
            // It fails where the client has just disconnected.
            let _ = sender.send(answer);
        }
        self.remove_if_finished(id);
    }

    /// The client has disconnected: no answer is needed any more, and attempts that have not been sent are cancelled.
    /// Returns whether an answer was still needed.
    pub(super) fn abandon(&self, id: RequestId) -> bool {
        let mut requests = self.requests.borrow_mut();
        let Some(request) = requests.get_mut(&id).filter(|request| request.answer.is_some()) else {
            return false;
        };
        request.answer = None;
        for attempt in &mut request.attempts {
            if let Some(handle) = attempt.take_if(|handle| handle.state.get() == SendState::NotSent) {
                // Its dial may come up in this very moment.
                handle.state.set(SendState::Abandoned);
                handle.cancel();
            }
        }
        true
    }

    pub(super) fn remove_if_finished(&self, id: RequestId) {
        let mut requests = self.requests.borrow_mut();
        if requests.get(&id).is_some_and(PendingRequest::is_finished) {
            let request = requests.remove(&id).expect("found");
            self.client_ids.borrow_mut().remove(request.forward.client_id());
        }
    }
}
