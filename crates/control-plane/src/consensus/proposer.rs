//! Changes of the control state by proposals to the acceptors. Any process may propose.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use register::{Ballot, Versioned};
use state::ControlState;
use tokio::time::Instant;

use super::confirmation::{confirm_once, ConfirmationResult};
use super::proposal_attempt::{AttemptOutcome, ProposalAttempt};
use crate::{AcceptorContacts, ViewCell};

/// Upper bound of the random pause before the first retry of a change, in milliseconds. The bound grows by
/// this value with each further attempt, up to [`MAX_RETRY_PAUSE_STEPS`] times the value.
const RETRY_PAUSE_STEP_MS: u64 = 25;
/// Largest multiple of [`RETRY_PAUSE_STEP_MS`] to which the bound of the pause grows.
const MAX_RETRY_PAUSE_STEPS: u64 = 8;
/// Number of confirmations that [`Proposer::read_newest`] attempts before it reads by a proposal, which
/// writes.
const MAX_CONFIRM_ATTEMPTS: usize = 2;
/// Maximum time for which committing an undecided value is retried.
const COMMIT_UNDECIDED_TIMEOUT: Duration = Duration::from_millis(1500);

/// Reason why [`Proposer::change`] returns no committed value.
#[derive(Debug)]
pub enum ChangeFailure<E> {
    /// The committed state does not permit the change; contains the reason.
    Rejected(E),
    /// The deadline has passed. The change may have been committed, or may still be committed later.
    OutcomeUnknown,
}

/// Proposer of changes of the control state.
pub struct Proposer {
    view: Arc<ViewCell>,
    client: rpc::Client,
    /// Random number that identifies this process in its ballots, so that no two proposers use the same
    /// ballot.
    identity: u64,
    /// Highest round that this process has used or seen. Starts at 1, the round of the initial value.
    round: AtomicU64,
    contacts: Arc<AcceptorContacts>,
    /// Lock that is held during each attempt, because concurrent proposals of one process would preempt each
    /// other.
    attempt_lock: tokio::sync::Mutex<()>,
}

impl Proposer {
    /// Creates a proposer that bases its proposals on the committed value of `view`.
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

    /// Returns the times at which the acceptors last replied to confirmations of this process.
    #[must_use]
    pub fn contacts(&self) -> &Arc<AcceptorContacts> {
        &self.contacts
    }

    /// Replaces the committed state by the one that `decide` derives from it. Retries until `deadline`, so
    /// `decide` may be called several times.
    ///
    /// # Errors
    ///
    /// [`ChangeFailure::Rejected`] if `decide` has rejected a state that is certainly committed,
    /// [`ChangeFailure::OutcomeUnknown`] if no attempt has succeeded by the deadline.
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

    /// Reads the newest committed state by a proposal. Returns `None` if no majority has replied by the
    /// deadline.
    pub async fn read(&self, deadline: Instant) -> Option<Versioned<ControlState>> {
        // A proposal that rejects every state is a read. If it finds an undecided value, it commits that
        // value first.
        let reject_always = |_: &ControlState| Err::<ControlState, ()>(());
        match self.change(deadline, reject_always).await {
            Err(ChangeFailure::Rejected(())) => self.view.committed(),
            _ => None,
        }
    }

    /// Returns a committed state at least as new as any committed before this call, or `None` if no majority
    /// has replied by the deadline. Writes nothing if a majority confirms the known value as the newest.
    pub async fn read_newest(&self, deadline: Instant) -> Option<Versioned<ControlState>> {
        for _ in 0..MAX_CONFIRM_ATTEMPTS {
            let known = self.view.committed()?;
            if self.confirm(known, Instant::now()).await {
                return self.view.committed();
            }
        }
        self.read(deadline).await
    }

    /// Asks all acceptors once whether `known` is the newest value. Adopts a newer committed value, and
    /// commits a newer value that is undecided. Returns whether the view now has the newest value as of
    /// `started_at`.
    pub(super) async fn confirm(&self, known: Versioned<ControlState>, started_at: Instant) -> bool {
        match confirm_once(&self.view, &self.client, &self.contacts, known, started_at).await {
            ConfirmationResult::Confirmed => true,
            ConfirmationResult::NotConfirmed => false,
            ConfirmationResult::Undecided => self.commit_undecided().await,
        }
    }

    /// Commits a value that at least one acceptor has accepted, or a newer one. Returns whether a majority
    /// has replied in time.
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

    /// Returns a ballot above the round `known` that this process has never used.
    fn next_ballot(&self, known: u64) -> Ballot {
        let round = self.round.fetch_max(known, Ordering::Relaxed).max(known) + 1;
        self.round.fetch_max(round, Ordering::Relaxed);
        Ballot { round, proposer: self.identity }
    }
}
