//! A single attempt to change the control state: both phases of a proposal under one ballot.

use std::time::Duration;

use futures_util::stream::StreamExt;
use register::{AddressedRequest, Ballot, Member, Proposal, ProposalStep, Versioned};
use state::ControlState;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::acceptor_calls::{call_acceptor, PendingCalls};
use crate::ViewCell;

/// Maximum time for the reply of one acceptor to one request.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

type Requests = Vec<AddressedRequest<ControlState>>;

/// Result of one attempt.
pub(super) enum AttemptOutcome<E> {
    /// The proposed value is committed.
    Committed(Versioned<ControlState>),
    /// `decide` has rejected the change, based on a state that is committed.
    Rejected(E),
    /// The attempt found another value accepted, and committed that value instead of the proposed one.
    OtherCommitted,
    /// An acceptor has promised this higher ballot to another proposal.
    Preempted(Ballot),
    /// No majority of the acceptors has replied before the deadline or before all calls have ended, or no
    /// committed value is known to base a proposal on.
    NoQuorum,
}

/// State of a proposal in progress.
pub(super) struct ProposalAttempt<'a, E, D> {
    view: &'a ViewCell,
    client: &'a rpc::Client,
    decide: &'a D,
    ballot: Ballot,
    proposal: Proposal<ControlState>,
    /// Ballot of the committed value that the proposal is based on.
    base_ballot: Ballot,
    calls: PendingCalls,
    started_at: Instant,
    /// Value that `decide` derived from the value that was read; `None` before, or if `decide` rejected it.
    desired: Option<ControlState>,
    /// Reason why `decide` rejected the value that was read; `None` unless it rejected a value that was not
    /// known to be committed.
    rejection: Option<E>,
}

impl<'a, E, D> ProposalAttempt<'a, E, D>
where
    D: Fn(&ControlState) -> Result<ControlState, E>,
{
    /// Starts a proposal based on `base`, which must be committed, and sends the requests of its first phase.
    /// `ballot` must never have been used before.
    pub(super) fn start(
        view: &'a ViewCell,
        client: &'a rpc::Client,
        ballot: Ballot,
        base: Versioned<ControlState>,
        decide: &'a D,
    ) -> Self {
        let base_ballot = base.ballot;
        let (proposal, requests) = Proposal::start(ballot, base);
        let mut attempt = Self {
            view,
            client,
            decide,
            ballot,
            proposal,
            base_ballot,
            calls: PendingCalls::new(),
            started_at: Instant::now(),
            desired: None,
            rejection: None,
        };
        attempt.send(requests);
        attempt
    }

    /// Processes replies until the attempt has an outcome.
    pub(super) async fn run(mut self, deadline: Instant) -> AttemptOutcome<E> {
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let Ok(Some((member, reply))) = tokio::time::timeout(remaining, self.calls.next()).await else {
                log::debug!(round = self.ballot.round; "proposal failed: no majority of the acceptors has replied");
                return AttemptOutcome::NoQuorum;
            };
            let Ok(reply) = reply else { continue };
            match self.proposal.on_reply(&member, reply) {
                ProposalStep::Wait => {}
                ProposalStep::Send(requests) => self.send(requests),
                ProposalStep::Prepared(current) => {
                    if let Some(outcome) = self.on_prepared(current) {
                        return outcome;
                    }
                }
                ProposalStep::Committed(value) => return self.on_committed(value).await,
                ProposalStep::Preempted(higher) => {
                    log::debug!(
                        round = self.ballot.round,
                        promised_round = higher.round;
                        "proposal preempted: an acceptor has promised a higher ballot"
                    );
                    return AttemptOutcome::Preempted(higher);
                }
            }
        }
    }

    fn send(&mut self, requests: Requests) {
        let client = self.client;
        self.calls.extend(requests.into_iter().map(|request| call_acceptor(client, request, CALL_TIMEOUT)));
    }

    /// Handles a majority of promises: proposes the value that `decide` derives from the current one. Returns
    /// the outcome of the attempt if `decide` rejects a committed value, since nothing is proposed then.
    fn on_prepared(&mut self, current: Versioned<ControlState>) -> Option<AttemptOutcome<E>> {
        let value = match (self.decide)(&current.value) {
            Ok(value) => {
                self.desired = Some(value.clone());
                value
            }
            Err(reason) if current.ballot <= self.base_ballot => {
                self.view.confirm(self.started_at);
                return Some(AttemptOutcome::Rejected(reason));
            }
            Err(reason) => {
                // Only a committed state may reject a change. The value that was read may be undecided, so it
                // is proposed again unchanged. Once it is committed, the rejection is final.
                self.rejection = Some(reason);
                ControlState::clone(&current.value)
            }
        };
        let requests = self.proposal.propose(value);
        self.send(requests);
        None
    }

    /// Handles the commit of a value: adopts it, sends it to the acceptors and returns the outcome of the
    /// attempt.
    async fn on_committed(self, value: Versioned<ControlState>) -> AttemptOutcome<E> {
        self.view.adopt_control(&value);
        self.view.confirm(self.started_at);
        let learners = announce_committed(self.client, self.proposal.learn_requests());
        if !value.previous_acceptors.is_empty() {
            wait_for_majority(learners, &value.value.acceptors).await;
        }
        if let Some(reason) = self.rejection {
            return AttemptOutcome::Rejected(reason);
        }
        // If the value that was read is not known to be committed, `Proposal::propose` proposes it again
        // instead of a value with other acceptors.
        if self.desired.is_some_and(|desired| desired != *value.value) {
            return AttemptOutcome::OtherCommitted;
        }
        AttemptOutcome::Committed(value)
    }
}

/// Notifies all acceptors of a committed value. Acceptors that miss the notification read the value in their
/// next confirmation. The returned receiver yields each acceptor that has learned the value.
fn announce_committed(client: &rpc::Client, learn_requests: Requests) -> mpsc::UnboundedReceiver<Member> {
    let (learned, learners) = mpsc::unbounded_channel();
    for request in learn_requests {
        let learned = learned.clone();
        let call = call_acceptor(client, request, CALL_TIMEOUT);
        tokio::spawn(async move {
            match call.await {
                // The receiver has been dropped if the acceptors have not changed, so a failed send is
                // ignored.
                (member, Ok(reply)) if reply.incarnation == member.incarnation => drop(learned.send(member)),
                (_, Ok(_)) => {}
                (member, Err(error)) => {
                    log::debug!("acceptor {} was not notified of a committed value: {error}", member.name);
                }
            }
        });
    }
    learners
}

/// Waits until a majority of the acceptors has learned a change of the set of acceptors, or all calls have
/// ended.
///
/// Until then, this process may be the only one that has received the commit, and all others would still ask
/// the previous acceptors, so that the failure of one more machine is not tolerated.
async fn wait_for_majority(mut learners: mpsc::UnboundedReceiver<Member>, acceptors: &[Member]) {
    let mut learned = 0;
    while let Some(member) = learners.recv().await {
        learned += usize::from(acceptors.contains(&member));
        if learned * 2 > acceptors.len() {
            return;
        }
    }
}
