//! Changes of the control state, by proposals to the acceptors. Any process may propose.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use register::{Ballot, Versioned};
use state::ControlState;
use tokio::time::Instant;

use super::confirmation::{confirm_once, ConfirmationResult};
use super::proposal_attempt::{AttemptOutcome, ProposalAttempt};
use crate::{AcceptorContacts, ViewCell};

/// The longest pause before the first retry, in milliseconds; grows linearly with the attempts ...
const RETRY_PAUSE_STEP_MS: u64 = 25;
/// ... up to this many times as long.
const MAX_RETRY_PAUSE_STEPS: u64 = 8;
/// Confirmations that a read attempts before it writes.
const MAX_CONFIRM_ATTEMPTS: usize = 2;
/// How long committing an undecided value may take.
const COMMIT_UNDECIDED_TIMEOUT: Duration = Duration::from_millis(1500);

/// Why a change was not made.
#[derive(Debug)]
pub enum ChangeFailure<E> {
    /// The committed state rejects the change, for this reason.
    Rejected(E),
    /// The deadline has passed: the change may or may not have been made, and may still be.
    OutcomeUnknown,
}

/// Proposes changes of the control state.
pub struct Proposer {
    view: Arc<ViewCell>,
    client: rpc::Client,
    /// A random number of this process, so that no two proposers use the same ballot.
    identity: u64,
    /// The highest round that this process has used or seen; at first that of the initial value.
    round: AtomicU64,
    contacts: Arc<AcceptorContacts>,
    /// Taken by each attempt: concurrent proposals of one process would only preempt each other.
    attempt_lock: tokio::sync::Mutex<()>,
}

impl Proposer {
    /// A proposer that starts from the committed value of `view`.
    #[must_use]
    pub fn new(view: Arc<ViewCell>, client: rpc::Client) -> Arc<Self> {
        Arc::new(Self {
            view,
            client,
            identity: fastrand::u64(1..),
            round: AtomicU64::new(1),
            contacts: Arc::default(),
            attempt_lock: tokio::sync::Mutex::default(),
        })
    }

    /// When each acceptor last replied to this process.
    #[must_use]
    pub fn contacts(&self) -> &Arc<AcceptorContacts> {
        &self.contacts
    }

    /// Replaces the committed state by what `decide` makes of it. `decide` may be called several times.
    ///
    /// # Errors
    ///
    /// [`ChangeFailure::Rejected`] if `decide` has rejected a state that is certainly committed.
    pub async fn change<E>(
        &self,
        deadline: Instant,
        decide: impl Fn(&ControlState) -> Result<ControlState, E>,
    ) -> Result<Versioned<ControlState>, ChangeFailure<E>> {
        let mut attempts = 0_u64;
        while Instant::now() < deadline {
            match self.attempt(deadline, &decide).await {
                AttemptOutcome::Committed(value) => return Ok(value),
                AttemptOutcome::Rejected(reason) => return Err(ChangeFailure::Rejected(reason)),
                AttemptOutcome::Preempted(_) | AttemptOutcome::OtherCommitted | AttemptOutcome::NoQuorum => {}
            }
            attempts += 1;
            let max_pause_ms = RETRY_PAUSE_STEP_MS * attempts.min(MAX_RETRY_PAUSE_STEPS);
            tokio::time::sleep(Duration::from_millis(fastrand::u64(1..=max_pause_ms))).await;
        }
        Err(ChangeFailure::OutcomeUnknown)
    }

    /// The newest committed state, read by a proposal; `None` if no majority has replied by the deadline.
    pub async fn read(&self, deadline: Instant) -> Option<Versioned<ControlState>> {
        // Rejecting everything makes the proposal a read. A value that it finds undecided is committed first.
        let reject_always = |_: &ControlState| Err::<ControlState, ()>(());
        match self.change(deadline, reject_always).await {
            Err(ChangeFailure::Rejected(())) => self.view.committed(),
            _ => None,
        }
    }

    /// The newest committed state as of a moment after this call; `None` if no majority has replied by the deadline.
    /// Writes nothing where the newest value is known already.
    pub async fn read_newest(&self, deadline: Instant) -> Option<Versioned<ControlState>> {
        for _ in 0..MAX_CONFIRM_ATTEMPTS {
            let known = self.view.committed()?;
            if self.confirm(known, Instant::now()).await {
                return self.view.committed();
            }
        }
        self.read(deadline).await
    }

    /// Asks all acceptors once whether `known` is the newest value, and commits a value that is undecided. Returns
    /// whether the view has the newest value as of `started_at`.
    pub(super) async fn confirm(&self, known: Versioned<ControlState>, started_at: Instant) -> bool {
        match confirm_once(&self.view, &self.client, &self.contacts, known, started_at).await {
            ConfirmationResult::Confirmed => true,
            ConfirmationResult::NotConfirmed => false,
            ConfirmationResult::Undecided => self.commit_undecided().await,
        }
    }

    /// Commits a value that is accepted somewhere, or a newer one.
    async fn commit_undecided(&self) -> bool {
        self.read(Instant::now() + COMMIT_UNDECIDED_TIMEOUT).await.is_some()
    }

    async fn attempt<E>(
        &self,
        deadline: Instant,
        decide: &impl Fn(&ControlState) -> Result<ControlState, E>,
    ) -> AttemptOutcome<E> {
        let _exclusive = self.attempt_lock.lock().await;
        let Some(base) = self.view.committed() else { return AttemptOutcome::NoQuorum };
        let ballot = self.next_ballot(base.ballot.round);
        let attempt = ProposalAttempt::start(&self.view, &self.client, ballot, base, decide);
        let outcome = attempt.run(deadline).await;
        if let AttemptOutcome::Preempted(higher) = &outcome {
            self.round.fetch_max(higher.round, Ordering::Relaxed);
        }
        outcome
    }

    /// A ballot that was never used, above the round `known`.
    fn next_ballot(&self, known: u64) -> Ballot {
        let round = self.round.fetch_max(known, Ordering::Relaxed).max(known) + 1;
        self.round.fetch_max(round, Ordering::Relaxed);
        Ballot { round, proposer: self.identity }
    }
}
