//! Voting functions of a machine with a disk: its acceptor of the register and its grantor of the leader
//! lease.
//!
//! Both are in one service because the grantor must learn of a change of the acceptors before the acceptor
//! replies to it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use lease::{Grantor, GrantorId, LeaseRelease, LeaseReply, LeaseRequest};
use register::{AcceptorReply, AcceptorRequest, Incarnation, ReplyOutcome, Versioned};
use state::ControlState;
use tokio::time::Instant;

use super::{grantors_of, LEASE_TTL};
use crate::{AcceptorService, ViewCell};

/// Service that handles the requests to the acceptor and the grantor of one disk.
pub struct QuorumService {
    acceptor: Arc<AcceptorService>,
    grantor: Mutex<Grantor>,
    view: Arc<ViewCell>,
    started_at: Instant,
}

impl QuorumService {
    /// Creates the service with a new grantor. `view` adopts the committed value of the acceptor, if it has
    /// one.
    #[must_use]
    pub fn new(acceptor: Arc<AcceptorService>, incarnation: Incarnation, view: Arc<ViewCell>) -> Arc<Self> {
        let grantor = Grantor::new(GrantorId(incarnation.0), Duration::ZERO, LEASE_TTL);
        let service = Self { acceptor, grantor: Mutex::new(grantor), view, started_at: Instant::now() };
        if let Some(accepted) = service.acceptor.accepted() {
            service.observe(&accepted.value);
        }
        if let Some(committed) = service.acceptor.committed() {
            service.view.adopt_control(&committed);
        }
        Arc::new(service)
    }

    /// Returns the acceptor, for callers that read its durable values.
    #[must_use]
    pub fn acceptor(&self) -> &Arc<AcceptorService> {
        &self.acceptor
    }

    /// Handles a request to the acceptor. Returns `None` if the change could not be made durable.
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
        // A rejected value must not be observed: it may never be committed, and the grantor would then reject
        // candidates that do not have it.
        if let Some(accepted) = proposed.filter(|_| matches!(reply.outcome, ReplyOutcome::Accepted)) {
            self.observe(&accepted);
        }
        Some(reply)
    }

    /// Accepts the initial value of the register, unless this acceptor has accepted a value before. Returns
    /// the accepted value, or `None` if the initial value could not be made durable.
    pub async fn initialize(&self, initial: Versioned<ControlState>) -> Option<Versioned<ControlState>> {
        self.acceptor.initialize(initial).await
    }

    /// Handles a request for the leader lease.
    pub fn grant(&self, request: &LeaseRequest) -> LeaseReply {
        let control = Arc::clone(&self.view.view().control);
        let now = self.started_at.elapsed();
        let mut grantor = self.lock();
        grantor.learn(now, control.revision, &grantors_of(&control));
        grantor.handle(now, request)
    }

    /// Withdraws a grant that a candidate has released.
    pub fn release(&self, release: &LeaseRelease) {
        self.lock().release(release);
    }

    /// Informs the grantor of the grantors in a value, before the acceptor replies to the request with that
    /// value.
    fn observe(&self, state: &ControlState) {
        self.lock().observe(state.revision, &grantors_of(state));
    }

    fn lock(&self) -> MutexGuard<'_, Grantor> {
        self.grantor.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
