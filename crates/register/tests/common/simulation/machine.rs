//! Machines of the simulation, with their acceptors and disks.

use std::collections::VecDeque;

use register::{
    Acceptor, AcceptorRequest, AcceptorState, Ballot, Incarnation, Member, RegisterValue, ReplyOutcome,
    Versioned,
};

use super::network::{Message, Payload, TaskId};
use super::{SeededFault, Simulation};
use crate::common::{first_incarnation, machine_of, History};

/// State that is being written to the disk.
struct PendingWrite {
    state: AcceptorState<History>,
    /// Whether the state was changed by an acceptance.
    is_acceptance: bool,
    /// Reply to send when the state is durable; `None` if it was sent already because of a seeded fault.
    reply: Option<Message>,
}

/// Machine that is or may become an acceptor.
pub struct Machine {
    /// Acceptor in memory; `None` while the machine is down.
    acceptor: Option<Acceptor<History>>,
    /// State on the disk.
    pub durable: AcceptorState<History>,
    /// Writes that are not durable yet, oldest first.
    writes: VecDeque<PendingWrite>,
}

impl Machine {
    /// Creates the machine with this number and its first disk, on which `first` is recorded if given.
    pub fn new(number: usize, first: Option<&Versioned<History>>) -> Self {
        let mut acceptor = Acceptor::new(AcceptorState::empty(first_incarnation(number)));
        if let Some(first) = first {
            acceptor.initialize(first.clone());
        }
        let durable = acceptor.state().clone();
        Self { acceptor: Some(acceptor), durable, writes: VecDeque::new() }
    }
}

impl Simulation {
    pub(super) fn on_request(&mut self, task: TaskId, member: Member, request: AcceptorRequest<History>) {
        let machine = &mut self.machines[machine_of(&member)];
        let Some(acceptor) = machine.acceptor.as_mut() else {
            return;
        };
        let pending = acceptor.handle(request);
        let is_acceptance = matches!(pending.reply.outcome, ReplyOutcome::Accepted);
        let message = Message { task, member, payload: Payload::Reply(pending.reply) };
        if !pending.must_persist {
            self.network.push(message);
            return;
        }
        let state = acceptor.state().clone();
        if self.fault == SeededFault::ReplyBeforeDurable {
            machine.writes.push_back(PendingWrite { state, is_acceptance, reply: None });
            self.network.push(message);
        } else {
            machine.writes.push_back(PendingWrite { state, is_acceptance, reply: Some(message) });
        }
    }

    /// Completes the oldest pending write of a random machine, and sends its reply.
    pub(super) fn finish_write(&mut self) {
        let picked = self.pick_machine();
        let machine = &mut self.machines[picked];
        let Some(write) = machine.writes.pop_front() else {
            return;
        };
        machine.durable = write.state;
        if write.is_acceptance {
            let ballot = machine.durable.accepted.as_ref().expect("a value was accepted").ballot;
            self.oracle.on_durable(ballot, machine.durable.incarnation);
        }
        self.network.extend(write.reply);
    }

    /// Stops a random machine or restarts it from its durable state. Writes in flight are lost.
    pub(super) fn restart_machine(&mut self) {
        let picked = self.pick_machine();
        let machine = &mut self.machines[picked];
        machine.writes.clear();
        if machine.acceptor.take().is_some() && self.random.u8(..4) == 0 {
            return;
        }
        let mut state = machine.durable.clone();
        match self.fault {
            SeededFault::ForgottenPromise => state.promised = Ballot::default(),
            SeededFault::ForgottenValue => state.accepted = state.committed.clone(),
            _ => {}
        }
        machine.acceptor = Some(Acceptor::new(state));
    }

    /// Replaces the disk of a random machine by an empty one with a new incarnation. If `keeps_majority` is
    /// set, this happens only while a majority of the acceptors keeps its disks.
    pub(super) fn lose_disk(&mut self) {
        let picked = self.pick_machine();
        if self.keeps_majority && !self.has_majority_without(self.machines[picked].durable.incarnation) {
            return;
        }
        self.last_incarnation += 1;
        let durable = AcceptorState::empty(Incarnation(self.last_incarnation));
        let acceptor = Some(Acceptor::new(durable.clone()));
        self.machines[picked] = Machine { acceptor, durable, writes: VecDeque::new() };
    }

    /// Returns whether a majority of the newest value's acceptors still has its disks after the disk `lost`
    /// is lost as well.
    fn has_majority_without(&self, lost: Incarnation) -> bool {
        let acceptors = self.oracle.newest_chosen().value.acceptors();
        let has_disk = |member: &&Member| {
            let machine = &self.machines[machine_of(member)];
            machine.durable.incarnation == member.incarnation && member.incarnation != lost
        };
        2 * acceptors.iter().filter(has_disk).count() > acceptors.len()
    }
}
