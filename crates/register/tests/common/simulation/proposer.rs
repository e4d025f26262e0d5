//! Proposers of the simulation. Each makes proposals and confirmations, one at a time.

use register::{
    is_single_step, with_member, with_member_replaced, without_member, AcceptorReply, Ballot, BallotSource,
    Confirmation, ConfirmationStatus, Member, Proposal, ProposalStep, RegisterValue, Versioned,
};

use super::network::TaskId;
use super::{SeededFault, Simulation};
use crate::common::{accept_value, member_with_disk, History, Request};

/// Largest number of acceptors that a proposer proposes.
const MAX_ACCEPTORS: usize = 5;

/// Current activity of a proposer.
enum ProposerTask {
    Idle,
    Proposal(Box<Proposal<History>>),
    /// Confirmation, with the ballot of the newest value that was chosen when it started.
    Confirmation {
        confirmation: Confirmation<History>,
        newest_before: Ballot,
    },
}

/// Process that proposes changes and confirms values.
pub struct Proposer {
    ballots: BallotSource,
    /// Newest value that this proposer has learned to be committed.
    known: Versioned<History>,
    task: ProposerTask,
    /// Number of the current task. Replies to earlier tasks are ignored.
    pub task_number: u64,
}

impl Proposer {
    /// Creates an idle proposer whose ballots contain `identity`, and which starts from the committed value
    /// `known`.
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
    /// Restarts a random proposer. It starts from the committed value on a random machine's disk, if there is
    /// one.
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

    /// Lets a random proposer learn the committed value on a random machine's disk.
    pub(super) fn learn_from_random_machine(&mut self) {
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

    /// Lets a random proposer start a proposal or a confirmation. A busy proposer abandons its task in one of
    /// ten cases, and otherwise continues it.
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

    fn on_step(&mut self, proposer_index: usize, step: ProposalStep<History>) {
        match step {
            ProposalStep::Wait => {}
            ProposalStep::Send(requests) => self.send(proposer_index, requests),
            ProposalStep::Prepared(current) => self.propose(proposer_index, &current),
            ProposalStep::Committed(value) => self.on_committed(proposer_index, value),
            ProposalStep::Preempted(ballot) => {
                let proposer = &mut self.proposers[proposer_index];
                proposer.ballots.observe(ballot);
                proposer.task = ProposerTask::Idle;
            }
        }
    }

    fn propose(&mut self, proposer_index: usize, current: &Versioned<History>) {
        let value = self.next_value(current);
        let ProposerTask::Proposal(proposal) = &mut self.proposers[proposer_index].task else {
            return;
        };
        let requests = proposal.propose(value);
        if let Some(proposed) = requests.first().and_then(accept_value) {
            self.oracle.on_propose(proposed.clone());
        }
        self.send(proposer_index, requests);
    }

    /// Draws the value to propose: a changed one, one with other acceptors, or the current one.
    fn next_value(&mut self, current: &Versioned<History>) -> History {
        let change = self.next_change;
        self.next_change += 1;
        let acceptors = current.value.acceptors();
        let first_kind = if self.changes_acceptors_often { 3 } else { 0 };
        match self.random.u8(first_kind..10) {
            0..4 => current.value.with_change(change),
            4 => History::clone(&current.value),
            5..7 => {
                let added = with_member(acceptors, self.random_member());
                with_valid_acceptors(current, change, added)
            }
            7 => {
                let removed = acceptors[self.random.usize(..acceptors.len())].incarnation;
                let replaced = with_member_replaced(acceptors, removed, self.random_member());
                with_valid_acceptors(current, change, replaced)
            }
            8 => {
                // Usually two steps at once, for which a proposal must propose the current value instead.
                let removed = acceptors[self.random.usize(..acceptors.len())].incarnation;
                let replaced = with_member_replaced(acceptors, removed, self.random_member());
                let two_changes = with_member(&replaced, self.random_member());
                current.value.with_acceptors(change, two_changes)
            }
            _ => {
                let removed = acceptors[self.random.usize(..acceptors.len())].incarnation;
                with_valid_acceptors(current, change, without_member(acceptors, removed))
            }
        }
    }

    /// Returns the member for a random machine with its current disk.
    fn random_member(&mut self) -> Member {
        let picked = self.pick_machine();
        member_with_disk(picked, self.machines[picked].durable.incarnation.0)
    }

    fn on_committed(&mut self, proposer_index: usize, value: Versioned<History>) {
        self.oracle.on_committed(&value);
        let proposer = &mut self.proposers[proposer_index];
        let ProposerTask::Proposal(proposal) = std::mem::replace(&mut proposer.task, ProposerTask::Idle)
        else {
            return;
        };
        if value.value.acceptors() != proposer.known.value.acceptors() {
            self.acceptor_changes += 1;
        }
        proposer.learn(value);
        self.send(proposer_index, proposal.learn_requests());
    }

    fn on_status(
        &mut self,
        proposer_index: usize,
        status: ConfirmationStatus<History>,
        newest_before: Ballot,
    ) {
        let proposer = &mut self.proposers[proposer_index];
        match status {
            ConfirmationStatus::Pending => return,
            ConfirmationStatus::Confirmed => {
                self.confirmations += 1;
                self.oracle.on_confirmed(proposer.known.ballot, newest_before);
                let ProposerTask::Confirmation { confirmation, .. } = &proposer.task else {
                    return;
                };
                let requests = confirmation.catch_up_requests();
                self.send(proposer_index, requests);
            }
            ConfirmationStatus::Superseded(newer) => {
                self.oracle.on_committed(&newer);
                proposer.learn(newer);
            }
            ConfirmationStatus::Undecided(ballot) => proposer.ballots.observe(ballot),
        }
        self.proposers[proposer_index].task = ProposerTask::Idle;
    }
}

/// Returns the value with other acceptors. If these are too many or cannot be reached in one step, returns
/// the value with a plain change instead.
fn with_valid_acceptors(current: &Versioned<History>, change: u32, acceptors: Vec<Member>) -> History {
    if !is_single_step(current.value.acceptors(), &acceptors) || acceptors.len() > MAX_ACCEPTORS {
        return current.value.with_change(change);
    }
    current.value.with_acceptors(change, acceptors)
}
