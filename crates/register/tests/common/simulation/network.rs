//! Messages in flight, which are delivered in any order, lost, or delivered twice.

use register::{AcceptorReply, AcceptorRequest, Member};

use super::Simulation;
use crate::common::{History, Request};

/// Identity of a proposal or a confirmation, by which replies to earlier tasks are recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskId {
    /// Index of the proposer.
    pub proposer: usize,
    /// Number of the task, counted per proposer.
    pub number: u64,
}

/// Content of a message.
#[derive(Clone, Debug)]
pub enum Payload {
    Request(AcceptorRequest<History>),
    Reply(AcceptorReply<History>),
}

/// Request to an acceptor, or the reply to it.
#[derive(Clone, Debug)]
pub struct Message {
    pub task: TaskId,
    /// Acceptor that receives the request or sends the reply.
    pub member: Member,
    pub payload: Payload,
}

impl Simulation {
    pub(super) fn deliver_message(&mut self) {
        let Some(picked) = self.pick_message() else {
            return;
        };
        let Message { task, member, payload } = self.network.swap_remove(picked);
        match payload {
            Payload::Request(request) => self.on_request(task, member, request),
            Payload::Reply(reply) => self.on_reply(task, &member, reply),
        }
    }

    pub(super) fn drop_message(&mut self) {
        if let Some(picked) = self.pick_message() {
            self.network.swap_remove(picked);
        }
    }

    pub(super) fn duplicate_message(&mut self) {
        if let Some(picked) = self.pick_message() {
            let message = self.network[picked].clone();
            self.network.push(message);
        }
    }

    /// Sends requests of the current task of a proposer.
    pub(super) fn send(&mut self, proposer: usize, requests: Vec<Request>) {
        let task = TaskId { proposer, number: self.proposers[proposer].task_number };
        let messages = requests.into_iter().map(|Request { to, request }| Message {
            task,
            member: to,
            payload: Payload::Request(request),
        });
        self.network.extend(messages);
    }

    fn pick_message(&mut self) -> Option<usize> {
        (!self.network.is_empty()).then(|| self.random.usize(..self.network.len()))
    }
}
