//! Calls that wait for a reply, and replies that wait for an operator or trainer.

use std::collections::BTreeMap;

use bytes::Bytes;
use tokio::sync::oneshot;

use crate::external_requests::ExternalReply;
use crate::transport::{CallOutcome, Endpoint};

/// A call that has no reply yet.
pub(super) struct PendingCall {
    /// The machine that made it.
    pub(super) caller: usize,
    /// How many processes had ended at the caller when the call was made: a later process must not get the reply.
    pub(super) caller_process_exits: u64,
    pub(super) to: Endpoint,
    pub(super) path: String,
    pub(super) body: Bytes,
    /// `None` once the connection was reset.
    pub(super) reply: Option<oneshot::Sender<CallOutcome>>,
}

impl PendingCall {
    fn involves(&self, machine: usize) -> bool {
        self.caller == machine || self.to == Endpoint::Machine(machine)
    }
}

/// All calls that have no reply yet, by number.
#[derive(Default)]
pub(super) struct CallTable {
    pub(super) pending: BTreeMap<u64, PendingCall>,
    /// Replies to operators and trainers that were not read yet, by the number of the request.
    pub(super) external_replies: BTreeMap<u64, ExternalReply>,
}

impl CallTable {
    /// Drops the calls that a machine has made.
    pub(super) fn drop_calls_of(&mut self, machine: usize) {
        self.pending.retain(|_, pending| pending.caller != machine);
    }

    /// Resets the connections of a machine: its callers and callees see that no reply will come.
    pub(super) fn reset_connections(&mut self, machine: usize) {
        for pending in self.pending.values_mut().filter(|pending| pending.involves(machine)) {
            drop(pending.reply.take());
        }
    }
}
