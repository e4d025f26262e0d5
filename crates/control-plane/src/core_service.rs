//! What a machine of the core answers: its acceptor of the register and its grantor of the leader lease.
//!
//! The two belong together: the grantor must know of a change of the acceptors before the acceptor answers for it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use lease::{Grantor, GrantorId, LeaseRelease, LeaseReply, LeaseRequest};
use register::{AcceptorReply, AcceptorRequest, Incarnation, ReplyOutcome, Versioned};
use state::ControlState;
use tokio::time::Instant;

use crate::{AcceptorService, ViewCell, LEASE_TTL};

/// The grantors of the lease are the acceptors of the register.
pub(crate) fn grantors_of(state: &ControlState) -> Vec<GrantorId> {
    state.acceptors.iter().map(|member| GrantorId(member.incarnation.0)).collect()
}

/// The acceptor and the grantor of one disk.
pub struct CoreService {
    acceptor: Arc<AcceptorService>,
    grantor: Mutex<Grantor>,
    view: Arc<ViewCell>,
    started: Instant,
}

impl CoreService {
    /// The acceptor with a new grantor beside it. What the acceptor knows to be committed is adopted by `view`.
    #[must_use]
    pub fn new(acceptor: Arc<AcceptorService>, incarnation: Incarnation, view: Arc<ViewCell>) -> Arc<Self> {
        let grantor = Grantor::new(GrantorId(incarnation.0), Duration::ZERO, LEASE_TTL);
        let service = Self { acceptor, grantor: Mutex::new(grantor), view, started: Instant::now() };
        if let Some(accepted) = service.acceptor.accepted() {
            service.observe(&accepted.value);
        }
        if let Some(known) = service.acceptor.committed() {
            service.view.adopt_control(&known);
        }
        Arc::new(service)
    }

    /// The acceptor.
    #[must_use]
    pub fn acceptor(&self) -> &Arc<AcceptorService> {
        &self.acceptor
    }

    /// Answers a request to the acceptor; `None` where the change could not be made durable.
    pub async fn handle(
        &self,
        request: AcceptorRequest<ControlState>,
    ) -> Option<AcceptorReply<ControlState>> {
        let proposed = match &request {
            AcceptorRequest::Learn(committed) => {
                self.view.adopt_control(committed);
                self.observe(&committed.value);
                None
            }
            AcceptorRequest::Accept(proposed) => Some(Arc::clone(&proposed.value)),
            _ => None,
        };
        let reply = self.acceptor.handle(request).await?;
        // Of a value that was rejected nothing may be noted: it may never be committed, and candidates would be refused
        // for not knowing it.
        if let Some(accepted) = proposed.filter(|_| matches!(reply.outcome, ReplyOutcome::Accepted)) {
            self.observe(&accepted);
        }
        Some(reply)
    }

    /// Takes the first value of the register, if none was taken yet; tells which one stands.
    pub async fn initialise(&self, first: Versioned<ControlState>) -> Option<Versioned<ControlState>> {
        self.acceptor.initialise(first).await
    }

    /// Answers a candidate for the leader lease.
    pub fn grant(&self, request: &LeaseRequest) -> LeaseReply {
        let known = Arc::clone(&self.view.view().control);
        let now = self.started.elapsed();
        let mut grantor = self.lock();
        grantor.learn(now, known.revision, &grantors_of(&known));
        grantor.handle(now, request)
    }

    /// Takes a grant back from a candidate that gives it back.
    pub fn release(&self, release: &LeaseRelease) {
        self.lock().release(release);
    }

    /// Tells the grantor who the grantors are, before a value that changes them is answered for.
    fn observe(&self, state: &ControlState) {
        self.lock().observe(state.revision, &grantors_of(state));
    }

    fn lock(&self) -> MutexGuard<'_, Grantor> {
        self.grantor.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
