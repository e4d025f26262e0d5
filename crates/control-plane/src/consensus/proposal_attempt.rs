//! One attempt to change the control state: both rounds of a proposal under one ballot.

use std::time::Duration;

use futures_util::stream::StreamExt;
use register::{AddressedRequest, Ballot, Member, Proposal, ProposalStep, Versioned};
use state::ControlState;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::acceptor_calls::{call_acceptor, PendingCalls};
use crate::ViewCell;

/// How long one acceptor may take for one request.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

type Requests = Vec<AddressedRequest<ControlState>>;

/// The result of an attempt.
pub(super) enum AttemptOutcome<E> {
    /// The proposed value is committed.
    Committed(Versioned<ControlState>),
    /// The change was rejected, by a state that is committed.
    Rejected(E),
    /// Another value, which the attempt found accepted, was committed in place of the proposed one.
    OtherCommitted,
    /// An acceptor has promised this higher ballot.
    Preempted(Ballot),
    /// No majority has replied in time.
    NoQuorum,
}

/// A proposal that is under way.
pub(super) struct ProposalAttempt<'a, E, D> {
    view: &'a ViewCell,
    client: &'a rpc::Client,
    decide: &'a D,
    ballot: Ballot,
    proposal: Proposal<ControlState>,
    /// The ballot of the committed value that the proposal started from.
    base_ballot: Ballot,
    calls: PendingCalls,
    started_at: Instant,
    /// What `decide` made of the value that was read.
    desired: Option<ControlState>,
    /// Why `decide` rejected the value that was read.
    rejection: Option<E>,
}

impl<'a, E, D> ProposalAttempt<'a, E, D>
where
    D: Fn(&ControlState) -> Result<ControlState, E>,
{
    /// Starts from `base`, which must be committed, under a ballot that was never used.
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

    /// Goes on until there is an outcome.
    pub(super) async fn run(mut self, deadline: Instant) -> AttemptOutcome<E> {
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let Ok(Some((member, reply))) = tokio::time::timeout(remaining, self.calls.next()).await else {
                log::debug!(round = self.ballot.round; "proposal without a quorum");
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
                    log::debug!(round = self.ballot.round, promised_round = higher.round; "proposal preempted");
                    return AttemptOutcome::Preempted(higher);
                }
            }
        }
    }

    fn send(&mut self, requests: Requests) {
        let client = self.client;
        self.calls.extend(requests.into_iter().map(|request| call_acceptor(client, request, CALL_TIMEOUT)));
    }

    /// The promises are complete: proposes what `decide` makes of the current value. Returns the outcome of the attempt
    /// where `decide` rejects a committed value, so that nothing is to be proposed.
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
                // Only a committed state may reject a change: the value that was read is proposed again, unchanged. Once
                // it is committed, the rejection counts.
                self.rejection = Some(reason);
                ControlState::clone(&current.value)
            }
        };
        let requests = self.proposal.propose(value);
        self.send(requests);
        None
    }

    /// The outcome after a value was committed, which is adopted and sent to the acceptors.
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
        // Where the value that was read is not known to be committed, `Proposal::propose` proposes it again instead of a
        // value with other acceptors.
        if self.desired.is_some_and(|desired| desired != *value.value) {
            return AttemptOutcome::OtherCommitted;
        }
        AttemptOutcome::Committed(value)
    }
}

/// Notifies all acceptors of a committed value; those that miss it read it when they confirm theirs. The receiver gets
/// each acceptor that has learned it.
fn announce_committed(client: &rpc::Client, learn_requests: Requests) -> mpsc::UnboundedReceiver<Member> {
    let (learned, learners) = mpsc::unbounded_channel();
    for request in learn_requests {
        let learned = learned.clone();
        let call = call_acceptor(client, request, CALL_TIMEOUT);
        tokio::spawn(async move {
            match call.await {
                // Nobody receives it where the acceptors stay the same.
                (member, Ok(reply)) if reply.incarnation == member.incarnation => drop(learned.send(member)),
                (_, Ok(_)) => {}
                (member, Err(error)) => {
                    log::debug!("{} was not notified of a committed value: {error}", member.name);
                }
            }
        });
    }
    learners
}

/// Waits until a majority of the acceptors has learned a change of the acceptors, or all calls have ended.
///
/// Only then may one more machine fail: if this process alone knew that the change is committed, the others would still
/// ask the acceptors before it.
async fn wait_for_majority(mut learners: mpsc::UnboundedReceiver<Member>, acceptors: &[Member]) {
    let mut learned = 0;
    while let Some(member) = learners.recv().await {
        learned += usize::from(acceptors.contains(&member));
        if learned * 2 > acceptors.len() {
            return;
        }
    }
}
