//! Changes of the register: two quorum rounds by any process.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};
use register::{AcceptorReply, AddressedRequest, Ballot, Member, Proposal, ProposalStep, Versioned};
use state::ControlState;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::acceptor::confirm_once;
use crate::messages::paths;
use crate::{AcceptorContacts, ViewCell};

/// How long one acceptor may take for one request.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// The longest pause before a proposal that lost to another is tried again; grows with each try.
const RETRY_PAUSE_MS: u64 = 25;
/// How often a read that writes nothing is tried.
const READ_TRIES: usize = 2;
/// How long settling an undecided value may take.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Why a change was not made.
#[derive(Debug)]
pub enum ChangeFailure<E> {
    /// The committed state does not allow it.
    Declined(E),
    /// It may or may not have been made, or may still be.
    Unclear,
}

/// Proposes changes.
pub struct Proposer {
    view: Arc<ViewCell>,
    client: rpc::Client,
    /// Random number of this process, so that ballots are unique.
    identity: u64,
    round: AtomicU64,
    contacts: Arc<AcceptorContacts>,
    /// Changes of one process take turns: their proposals would only preempt each other.
    turn: tokio::sync::Mutex<()>,
}

enum Attempt {
    Committed(Versioned<ControlState>),
    Preempted,
    NoQuorum,
}

impl Proposer {
    /// A proposer that starts from what the view knows.
    #[must_use]
    pub fn new(view: Arc<ViewCell>, client: rpc::Client) -> Arc<Self> {
        Arc::new(Self {
            view,
            client,
            identity: fastrand::u64(1..),
            round: AtomicU64::new(1),
            contacts: Arc::default(),
            turn: tokio::sync::Mutex::default(),
        })
    }

    /// When this process last heard of each acceptor.
    #[must_use]
    pub fn contacts(&self) -> &Arc<AcceptorContacts> {
        &self.contacts
    }

    /// Changes the committed state to what `decide` makes of it. `decide` may be called several times.
    ///
    /// # Errors
    ///
    /// Tells a change that `decide` declined, by a state that is certainly committed, from one that is unclear.
    pub async fn change<E>(
        &self,
        deadline: Instant,
        decide: impl Fn(&ControlState) -> Result<ControlState, E>,
    ) -> Result<Versioned<ControlState>, ChangeFailure<E>> {
        let mut tries = 0_u64;
        while Instant::now() < deadline {
            let mut declined = None;
            let turn = self.turn.lock().await;
            let attempt = self.attempt(deadline, &decide, &mut declined).await;
            drop(turn);
            match (attempt, declined) {
                (Attempt::Committed(_), Some(reason)) => return Err(ChangeFailure::Declined(reason)),
                (Attempt::Committed(value), None) => return Ok(value),
                (Attempt::Preempted | Attempt::NoQuorum, _) => tries += 1,
            }
            let pause = Duration::from_millis(fastrand::u64(1..=RETRY_PAUSE_MS * tries.min(8)));
            tokio::time::sleep(pause).await;
        }
        Err(ChangeFailure::Unclear)
    }

    /// The newest state, read at a majority.
    pub async fn read(&self, deadline: Instant) -> Option<Versioned<ControlState>> {
        let identity = |_: &ControlState| Err::<ControlState, ()>(());
        match self.change(deadline, identity).await {
            Err(ChangeFailure::Declined(())) => self.view.committed(),
            _ => None,
        }
    }

    /// The newest state as of a moment after this call. Writes nothing where the newest value is known already.
    pub async fn read_newest(&self, deadline: Instant) -> Option<Versioned<ControlState>> {
        for _ in 0..READ_TRIES {
            let known = self.view.committed()?;
            if confirm_once(&self.view, &self.client, self, known, Instant::now()).await {
                return self.view.committed();
            }
        }
        self.read(deadline).await
    }

    /// Commits a value that is accepted somewhere, or what is newer.
    pub async fn settle(&self) -> bool {
        self.read(Instant::now() + SETTLE_TIMEOUT).await.is_some()
    }

    async fn attempt<E>(
        &self,
        deadline: Instant,
        decide: &impl Fn(&ControlState) -> Result<ControlState, E>,
        declined: &mut Option<E>,
    ) -> Attempt {
        let Some(base) = self.view.committed() else { return Attempt::NoQuorum };
        let committed_ballot = base.ballot;
        let ballot = self.next_ballot(base.ballot.round);
        let (mut proposal, requests) = Proposal::start(ballot, base);
        let began = Instant::now();
        let mut wanted = None;
        let mut calls = FuturesUnordered::new();
        calls.extend(requests.into_iter().map(|request| self.ask(request)));
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let Ok(Some((member, reply))) = tokio::time::timeout(left, calls.next()).await else {
                log::debug!("proposal {ballot:?}: no quorum");
                return Attempt::NoQuorum;
            };
            let Some(reply) = reply else { continue };
            match proposal.on_reply(&member, reply) {
                ProposalStep::Wait => {}
                ProposalStep::Send(more) => calls.extend(more.into_iter().map(|request| self.ask(request))),
                ProposalStep::Prepared(current) => {
                    let value = match decide(&current.value) {
                        Ok(value) => {
                            wanted = Some(value.clone());
                            value
                        }
                        Err(reason) => {
                            *declined = Some(reason);
                            if current.ballot <= committed_ballot {
                                self.view.confirm(began);
                                return Attempt::Committed(current);
                            }
                            // Only what is committed may be answered for: the value that was read is written again.
                            ControlState::clone(&current.value)
                        }
                    };
                    let accept = proposal.propose(value);
                    calls.extend(accept.into_iter().map(|request| self.ask(request)));
                }
                ProposalStep::Committed(value) => {
                    self.view.adopt_control(&value);
                    self.view.confirm(began);
                    let told = self.spread(proposal.learn_requests());
                    if !value.previous_acceptors.is_empty() {
                        wait_for_majority(told, &value.value.acceptors).await;
                    }
                    // The register settles a value that was read in doubt before it takes another.
                    let is_settled_only = wanted.is_some_and(|wanted| wanted != *value.value);
                    return if is_settled_only { Attempt::Preempted } else { Attempt::Committed(value) };
                }
                ProposalStep::Preempted(higher) => {
                    log::debug!("proposal {ballot:?}: {higher:?} was promised");
                    self.round.fetch_max(higher.round, Ordering::Relaxed);
                    *declined = None;
                    return Attempt::Preempted;
                }
            }
        }
    }

    fn next_ballot(&self, known: u64) -> Ballot {
        let round = self.round.fetch_max(known, Ordering::Relaxed).max(known) + 1;
        self.round.fetch_max(round, Ordering::Relaxed);
        Ballot { round, proposer: self.identity }
    }

    /// Tells all acceptors of a committed value. Those that miss it read it when they confirm. The receiver is given
    /// each acceptor that has noted it.
    fn spread(&self, learn_requests: Vec<AddressedRequest<ControlState>>) -> mpsc::UnboundedReceiver<Member> {
        let (noted, told) = mpsc::unbounded_channel();
        for AddressedRequest { to: member, request } in learn_requests {
            let (client, noted) = (self.client.clone(), noted.clone());
            tokio::spawn(async move {
                let path = paths::REGISTER;
                let told: Result<AcceptorReply<ControlState>, _> =
                    client.call(&member.address, path, &request, CALL_TIMEOUT).await;
                match told {
                    // Nobody waits for it where the acceptors stay the same.
                    Ok(reply) if reply.incarnation == member.incarnation => drop(noted.send(member)),
                    Ok(_) => {}
                    Err(error) => {
                        log::debug!("{} was not told of a committed value: {error}", member.name);
                    }
                }
            });
        }
        told
    }

    async fn ask(
        &self,
        AddressedRequest { to: member, request }: AddressedRequest<ControlState>,
    ) -> (Member, Option<AcceptorReply<ControlState>>) {
        let reply = self.client.call(&member.address, paths::REGISTER, &request, CALL_TIMEOUT).await;
        (member, reply.ok())
    }
}

/// Waits until a majority of the acceptors has noted a change of the acceptors, or all have been asked. Only then may
/// one more machine be lost: if this process alone knew that the change is committed, the others would go on asking
/// for the acceptors before it.
async fn wait_for_majority(mut told: mpsc::UnboundedReceiver<Member>, acceptors: &[Member]) {
    let mut noted = 0;
    while let Some(member) = told.recv().await {
        noted += usize::from(acceptors.contains(&member));
        if noted * 2 > acceptors.len() {
            return;
        }
    }
}
