//! Proposers: each makes proposals and confirmations, one at a time.

use register::{
    is_single_step, with_member, with_member_replaced, without_member, AcceptorReply, Ballot, BallotSource,
    Confirmation, ConfirmationStatus, Member, Proposal, ProposalStep, RegisterValue, Versioned,
};

use super::network::TaskId;
use super::{SeededFault, Simulation};
use crate::common::{accept_value, member_with_disk, History, Request};

/// Changes that would lead to more acceptors are not proposed.
const MAX_ACCEPTORS: usize = 5;

enum ProposerTask {
    Idle,
    Proposal(Box<Proposal<History>>),
    Confirmation { confirmation: Confirmation<History>, newest_before: Ballot },
}

/// A process that proposes changes.
pub struct Proposer {
    ballots: BallotSource,
    /// The newest value that it knows to be committed.
    known: Versioned<History>,
    task: ProposerTask,
    /// The number of the present task; replies to earlier ones are ignored.
    pub task_number: u64,
}

impl Proposer {
    /// An idle proposer that draws ballots as `identity` and knows that a value is committed.
    pub fn new(identity: u64, known: Versioned<History>) -> Self {
        Self { ballots: BallotSource::new(identity), known, task: ProposerTask::Idle, task_number: 0 }
    }

    fn learn(&mut self, committed: Versioned<History>) {
        if committed.ballot > self.known.ballot {
            self.known = committed;
        }
    }

    fn start_proposal(&mut self) -> Vec<Request> {
        self.ballots.observe(self.known.ballot);
        let (proposal, requests) = Proposal::start(self.ballots.next_ballot(), self.known.clone());
        self.task = ProposerTask::Proposal(Box::new(proposal));
        requests
    }
}

impl Simulation {
    /// The process of a proposer restarts, with what some machine knows to be committed.
    pub(super) fn restart_proposer(&mut self) {
        let picked = self.pick_proposer();
        let machine = self.pick_machine();
        let Some(known) = self.machines[machine].durable.committed.clone() else {
            return;
        };
        let restarted = Proposer::new(self.random.u64(..), known);
        let task_number = self.proposers[picked].task_number + 1;
        self.proposers[picked] = Proposer { task_number, ..restarted };
    }

    /// Some proposer learns what some machine knows to be committed.
    pub(super) fn learn_somewhere(&mut self) {
        let picked = self.pick_proposer();
        let machine = self.pick_machine();
        let state = &self.machines[machine].durable;
        let learned = if self.fault == SeededFault::UncommittedBase {
            state.accepted.clone()
        } else {
            state.committed.clone()
        };
        if let Some(learned) = learned {
            self.proposers[picked].learn(learned);
        }
    }

    /// A proposer abandons its task and starts another.
    pub(super) fn start_task(&mut self) {
        let picked = self.pick_proposer();
        let is_idle = matches!(self.proposers[picked].task, ProposerTask::Idle);
        if !is_idle && self.random.u8(..10) > 0 {
            return;
        }
        let newest_before = self.newest_chosen_ballot();
        let proposer = &mut self.proposers[picked];
        proposer.task_number += 1;
        let requests = if self.random.u8(..5) == 0 {
            let (confirmation, requests) = Confirmation::start(proposer.known.clone());
            proposer.task = ProposerTask::Confirmation { confirmation, newest_before };
            requests
        } else {
            proposer.start_proposal()
        };
        self.send(picked, requests);
    }

    pub(super) fn on_reply(&mut self, task: TaskId, from: &Member, mut reply: AcceptorReply<History>) {
        if self.fault == SeededFault::AnyIncarnation {
            reply.incarnation = from.incarnation;
        }
        let proposer = &mut self.proposers[task.proposer];
        if proposer.task_number != task.number {
            return;
        }
        match &mut proposer.task {
            ProposerTask::Idle => {}
            ProposerTask::Proposal(proposal) => {
                let step = proposal.on_reply(from, reply);
                self.on_step(task.proposer, step);
            }
            ProposerTask::Confirmation { confirmation, newest_before } => {
                let (status, newest_before) = (confirmation.on_reply(from, reply), *newest_before);
                self.on_status(task.proposer, status, newest_before);
            }
        }
    }

    fn on_step(&mut self, picked: usize, step: ProposalStep<History>) {
        match step {
            ProposalStep::Wait => {}
            ProposalStep::Send(requests) => self.send(picked, requests),
            ProposalStep::Prepared(current) => self.propose(picked, &current),
            ProposalStep::Committed(value) => self.on_committed(picked, value),
            ProposalStep::Preempted(ballot) => {
                let proposer = &mut self.proposers[picked];
                proposer.ballots.observe(ballot);
                proposer.task = ProposerTask::Idle;
            }
        }
    }

    fn propose(&mut self, picked: usize, current: &Versioned<History>) {
        let value = self.next_value(current);
        let ProposerTask::Proposal(proposal) = &mut self.proposers[picked].task else {
            return;
        };
        let requests = proposal.propose(value);
        if let Some(proposed) = requests.first().and_then(accept_value) {
            self.oracle.on_propose(proposed.clone());
        }
        self.send(picked, requests);
    }

    /// A change, a change of the acceptors, or the same value.
    fn next_value(&mut self, current: &Versioned<History>) -> History {
        let change = self.next_change;
        self.next_change += 1;
        let present = current.value.acceptors();
        let first_kind = if self.changes_acceptors_often { 3 } else { 0 };
        match self.random.u8(first_kind..10) {
            0..4 => current.value.with_change(change),
            4 => History::clone(&current.value),
            5..7 => {
                let added = with_member(present, self.any_member());
                with_valid_acceptors(current, change, added)
            }
            7 => {
                let removed = present[self.random.usize(..present.len())].incarnation;
                let replaced = with_member_replaced(present, removed, self.any_member());
                with_valid_acceptors(current, change, replaced)
            }
            8 => {
                // Two steps in one, which a proposal must not take.
                let removed = present[self.random.usize(..present.len())].incarnation;
                let replaced = with_member_replaced(present, removed, self.any_member());
                let twice = with_member(&replaced, self.any_member());
                current.value.with_acceptors(change, twice)
            }
            _ => {
                let removed = present[self.random.usize(..present.len())].incarnation;
                with_valid_acceptors(current, change, without_member(present, removed))
            }
        }
    }

    /// Some machine with its present disk.
    fn any_member(&mut self) -> Member {
        let picked = self.pick_machine();
        member_with_disk(picked, self.machines[picked].durable.incarnation.0)
    }

    fn on_committed(&mut self, picked: usize, value: Versioned<History>) {
        self.oracle.on_committed(&value);
        let proposer = &mut self.proposers[picked];
        let ProposerTask::Proposal(proposal) = std::mem::replace(&mut proposer.task, ProposerTask::Idle)
        else {
            return;
        };
        if value.value.acceptors() != proposer.known.value.acceptors() {
            self.acceptor_changes += 1;
        }
        proposer.learn(value);
        self.send(picked, proposal.learn_requests());
    }

    fn on_status(&mut self, picked: usize, status: ConfirmationStatus<History>, newest_before: Ballot) {
        let proposer = &mut self.proposers[picked];
        match status {
            ConfirmationStatus::Pending => return,
            ConfirmationStatus::Confirmed => {
                self.confirmations += 1;
                self.oracle.on_confirmed(proposer.known.ballot, newest_before);
                let ProposerTask::Confirmation { confirmation, .. } = &proposer.task else {
                    return;
                };
                let requests = confirmation.catch_up_requests();
                self.send(picked, requests);
            }
            ConfirmationStatus::Superseded(newer) => {
                self.oracle.on_committed(&newer);
                proposer.learn(newer);
            }
            ConfirmationStatus::Undecided(ballot) => proposer.ballots.observe(ballot),
        }
        self.proposers[picked].task = ProposerTask::Idle;
    }
}

/// The value with other acceptors, or with another change if these can't be reached in one step.
fn with_valid_acceptors(current: &Versioned<History>, change: u32, acceptors: Vec<Member>) -> History {
    if !is_single_step(current.value.acceptors(), &acceptors) || acceptors.len() > MAX_ACCEPTORS {
        return current.value.with_change(change);
    }
    current.value.with_acceptors(change, acceptors)
}
