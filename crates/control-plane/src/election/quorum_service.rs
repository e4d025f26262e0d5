//! The voting side of this machine: its acceptor of the register and its grantor of the leader lease.
//!
//! The two belong together: the grantor must learn of a change of the acceptors before the acceptor replies to it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use lease::{Grantor, GrantorId, LeaseRelease, LeaseReply, LeaseRequest};
use register::{AcceptorReply, AcceptorRequest, Incarnation, ReplyOutcome, Versioned};
use state::ControlState;
use tokio::time::Instant;

use super::{grantors_of, LEASE_TTL};
use crate::{AcceptorService, ViewCell};

/// The acceptor and the grantor of one disk.
pub struct QuorumService {
    acceptor: Arc<AcceptorService>,
    grantor: Mutex<Grantor>,
    view: Arc<ViewCell>,
    started_at: Instant,
}

impl QuorumService {
    /// The acceptor with a new grantor. `view` adopts what the acceptor knows to be committed.
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

    /// The acceptor.
    #[must_use]
    pub fn acceptor(&self) -> &Arc<AcceptorService> {
        &self.acceptor
    }

    /// Replies to a request to the acceptor; `None` where the change could not be made durable.
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
        // A rejected value must not be observed: it may never be committed, and the grantor would then refuse candidates
        // for not having it.
        if let Some(accepted) = proposed.filter(|_| matches!(reply.outcome, ReplyOutcome::Accepted)) {
            self.observe(&accepted);
        }
        Some(reply)
    }

    /// Accepts the initial value of the register, unless this acceptor has a value already. Returns the value that it
    /// has then; `None` where it could not be made durable.
    pub async fn initialize(&self, initial: Versioned<ControlState>) -> Option<Versioned<ControlState>> {
        self.acceptor.initialize(initial).await
    }

    /// Replies to a candidate for the leader lease.
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

    /// Informs the grantor of the grantors in a value, before the acceptor replies for that value.
    fn observe(&self, state: &ControlState) {
        self.lock().observe(state.revision, &grantors_of(state));
    }

    fn lock(&self) -> MutexGuard<'_, Grantor> {
        self.grantor.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
