//! Service of the acceptor of the register on a machine with a disk.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use register::{
    Acceptor, AcceptorReply, AcceptorRequest, AcceptorState, Incarnation, PendingReply, ReplyOutcome,
    Versioned,
};
use state::ControlState;
use storage::{Journal, Position};

use super::acceptor_journal::{recover, EncodedRecord, PersistedState, RecoveredState};

/// Service that handles requests to the acceptor. Each reply is sent only after the changes that it reports
/// are durable.
pub struct AcceptorService {
    inner: Mutex<Inner>,
    journal: Journal,
    incarnation: Incarnation,
}

/// State that requests change, protected by the lock of the service.
struct Inner {
    /// State machine of the acceptor in memory. Its state may be ahead of the durable one.
    acceptor: Acceptor<ControlState>,
    persisted: PersistedState,
    /// Whether all records of the journal could be decoded. If not, a promise may be missing, and the
    /// service replies to no request.
    is_intact: bool,
}

impl AcceptorService {
    /// Creates the service of the acceptor that wrote these records of the journal. If a record cannot be
    /// decoded, the service replies to no request, because that record may contain a promise of the acceptor.
    /// A process sets a journal with such a record aside before it creates the service.
    #[must_use]
    pub fn new(journal: Journal, incarnation: Incarnation, records: &[(Position, Vec<u8>)]) -> Arc<Self> {
        let recovered = recover(incarnation, records);
        let is_intact = recovered.is_ok();
        let RecoveredState { state, complete_position } = recovered.unwrap_or_else(|position| {
            log::error!(position = position.0; "the acceptor replies to nothing: a record cannot be decoded");
            RecoveredState { state: AcceptorState::empty(incarnation), complete_position: None }
        });
        if let Some(position) = complete_position {
            // The ring may be full of obsolete records if the previous process ended before it had released
            // them.
            journal.release(position);
        }
        let persisted = PersistedState::recovered(state.clone());
        let inner = Inner { acceptor: Acceptor::new(state), persisted, is_intact };
        Arc::new(Self { inner: Mutex::new(inner), journal, incarnation })
    }

    /// Returns the newest durable value that this acceptor has learned to be committed.
    #[must_use]
    pub fn committed(&self) -> Option<Versioned<ControlState>> {
        self.lock().persisted.durable().committed.clone()
    }

    /// Returns the durable value that this acceptor accepted last.
    #[must_use]
    pub fn accepted(&self) -> Option<Versioned<ControlState>> {
        self.lock().persisted.durable().accepted.clone()
    }

    /// Returns whether this acceptor has accepted any value. The value may not be durable yet.
    #[must_use]
    pub fn is_initialized(&self) -> bool {
        self.lock().acceptor.state().accepted.is_some()
    }

    /// Accepts the initial value durably, unless this acceptor has accepted a value before. Returns the
    /// accepted value, or `None` if the initial value could not be made durable.
    pub async fn initialize(&self, initial: Versioned<ControlState>) -> Option<Versioned<ControlState>> {
        self.apply(|acceptor| acceptor.initialize(initial)).await?;
        self.accepted()
    }

    /// Handles a request. Returns `None` if the change could not be made durable or the journal is not
    /// intact.
    pub async fn handle(
        &self,
        request: AcceptorRequest<ControlState>,
    ) -> Option<AcceptorReply<ControlState>> {
        if matches!(request, AcceptorRequest::Read) {
            return self.durable_reply();
        }
        self.apply(|acceptor| acceptor.handle(request)).await
    }

    /// Returns the reply to a read. It contains only durable values, because a crash could undo others.
    fn durable_reply(&self) -> Option<AcceptorReply<ControlState>> {
        let inner = self.lock();
        let AcceptorState { accepted, committed, .. } = inner.persisted.durable().clone();
        let outcome = ReplyOutcome::Current { accepted, committed };
        inner.is_intact.then_some(AcceptorReply { incarnation: self.incarnation, outcome })
    }

    /// Applies an operation to the acceptor and waits until its effect is durable. Returns `None` if the
    /// write fails or the journal is not intact.
    async fn apply(
        &self,
        operation: impl FnOnce(&mut Acceptor<ControlState>) -> PendingReply<ControlState>,
    ) -> Option<AcceptorReply<ControlState>> {
        let (reply, write, append, is_complete) = {
            let mut inner = self.lock();
            if !inner.is_intact {
                return None;
            }
            let PendingReply { reply, must_persist } = operation(&mut inner.acceptor);
            let state = inner.acceptor.state().clone();
            // An earlier request may have learned the same value, and its write may still be in flight or
            // have failed.
            let is_learned = matches!(reply.outcome, ReplyOutcome::Learned);
            let is_on_disk = !is_learned || inner.persisted.has_committed(&state);
            if !must_persist && is_on_disk {
                return Some(reply);
            }
            let (EncodedRecord { bytes, is_complete }, write) = inner.persisted.next_record(&state);
            // The write is queued under the lock, so that the journal contains the states in the order in
            // which they arose.
            (reply, write, self.journal.append(bytes), is_complete)
        };
        match append.await {
            Ok(position) => {
                if is_complete {
                    self.journal.release(position);
                }
                self.lock().persisted.record_durable(write);
                Some(reply)
            }
            Err(error) => {
                log::warn!("the acceptor's state cannot be written: {error}");
                None
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
