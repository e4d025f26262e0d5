//! Changes of the register by one process, one after the other.

use std::collections::VecDeque;
use std::time::Duration;

use register::{AcceptorReply, AcceptorRequest, Ballot, BallotSource, Member, Proposal, Step, Versioned};
use state::change::Declined;
use state::ControlState;

use crate::messages::{Endpoint, Request};
use crate::process::{Context, Purpose};

/// How long one try may take.
const TRY_TIMEOUT: Duration = Duration::from_millis(700);
/// How long a change is tried.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(2000);
/// The longest pause after a try that failed, in milliseconds.
const PAUSE_MOST: u64 = 60;

/// A change that a process wants.
pub(crate) struct Wanted<C> {
    pub(crate) change: C,
    /// Who asked for it, if anybody waits.
    pub(crate) asker: Option<(Endpoint, u64)>,
    deadline: Duration,
}

/// What came of a change.
pub(crate) enum Outcome {
    Committed(Versioned<ControlState>),
    Declined(Declined, Versioned<ControlState>),
    Unclear,
}

struct Running<C> {
    wanted: Wanted<C>,
    number: u64,
    proposal: Proposal<ControlState>,
    base: Ballot,
    proposed: Option<ControlState>,
    declined: Option<Declined>,
    until: Duration,
}

/// The changes of a process.
pub(crate) struct Proposing<C> {
    queue: VecDeque<Wanted<C>>,
    running: Option<Running<C>>,
    ballots: BallotSource,
    number: u64,
    not_before: Duration,
}

impl<C> Proposing<C> {
    pub(crate) fn new(proposer: u64) -> Self {
        let ballots = BallotSource::new(proposer);
        Self { queue: VecDeque::new(), running: None, ballots, number: 0, not_before: Duration::ZERO }
    }

    pub(crate) fn want(&mut self, now: Duration, change: C, asker: Option<(Endpoint, u64)>) {
        self.queue.push_back(Wanted { change, asker, deadline: now + CHANGE_TIMEOUT });
    }

    /// Whether such a change is wanted or under way.
    pub(crate) fn has(&self, is_such: impl Fn(&C) -> bool) -> bool {
        let running = self.running.iter().map(|running| &running.wanted);
        self.queue.iter().chain(running).any(|wanted| is_such(&wanted.change))
    }

    /// Starts the next try, or ends one that takes too long.
    pub(crate) fn tick(
        &mut self,
        context: &mut Context<'_>,
        committed: Option<&Versioned<ControlState>>,
    ) -> Option<(Wanted<C>, Outcome)> {
        if self.running.as_ref().is_some_and(|running| context.now >= running.until) {
            self.try_again(context);
        }
        if self.running.is_some() || context.now < self.not_before {
            return None;
        }
        let wanted = self.queue.pop_front()?;
        let Some(base) = committed.filter(|_| context.now < wanted.deadline) else {
            return Some((wanted, Outcome::Unclear));
        };
        self.ballots.observe(base.ballot);
        self.number += 1;
        let (proposal, requests) = Proposal::start(self.ballots.next_ballot(), base.clone());
        let (until, base) = (context.now + TRY_TIMEOUT, base.ballot);
        let number = self.number;
        let running = Running { wanted, number, proposal, base, proposed: None, declined: None, until };
        self.running = Some(running);
        self.send(context, requests);
        None
    }

    fn send(&self, context: &mut Context<'_>, requests: Vec<(Member, AcceptorRequest<ControlState>)>) {
        for (member, request) in requests {
            context.call_member(
                &member,
                Request::Register(request),
                Purpose::Change(self.number, member.clone()),
            );
        }
    }

    fn try_again(&mut self, context: &mut Context<'_>) {
        if let Some(running) = self.running.take() {
            self.queue.push_front(running.wanted);
            self.not_before = context.now + Duration::from_millis(context.random.u64(1..PAUSE_MOST));
        }
    }

    /// Takes the reply of an acceptor to the try of this number.
    pub(crate) fn reply(
        &mut self,
        context: &mut Context<'_>,
        number: u64,
        member: &Member,
        reply: AcceptorReply<ControlState>,
        decide: impl Fn(&C, &ControlState) -> Result<ControlState, Declined>,
    ) -> Option<(Wanted<C>, Outcome)> {
        let running = self.running.as_mut().filter(|running| running.number == number)?;
        match running.proposal.on_reply(member, reply) {
            Step::Wait => None,
            Step::Send(more) => {
                self.send(context, more);
                None
            }
            Step::Read(current) => match decide(&running.wanted.change, &current.value) {
                Err(reason) if current.ballot <= running.base => {
                    let running = self.running.take().expect("just seen");
                    Some((running.wanted, Outcome::Declined(reason, current)))
                }
                decided => {
                    // Only what is committed may be answered for: a value that was read is written again.
                    running.declined = decided.as_ref().err().cloned();
                    running.proposed = decided.as_ref().ok().cloned();
                    let value = decided.unwrap_or_else(|_| ControlState::clone(&current.value));
                    let requests = running.proposal.propose(value);
                    self.send(context, requests);
                    None
                }
            },
            Step::Committed(value) => self.committed(context, value),
            Step::Preempted(higher) => {
                self.ballots.observe(higher);
                self.try_again(context);
                None
            }
        }
    }

    fn committed(
        &mut self,
        context: &mut Context<'_>,
        value: Versioned<ControlState>,
    ) -> Option<(Wanted<C>, Outcome)> {
        let running = self.running.take()?;
        for (member, request) in running.proposal.announcements() {
            context.call_member(&member, Request::Register(request), Purpose::Nothing);
        }
        if let Some(reason) = running.declined {
            return Some((running.wanted, Outcome::Declined(reason, value)));
        }
        // The register settles a value that was read in doubt before it takes another.
        if running.proposed.as_ref() != Some(&*value.value) {
            self.queue.push_front(running.wanted);
            return None;
        }
        Some((running.wanted, Outcome::Committed(value)))
    }
}
