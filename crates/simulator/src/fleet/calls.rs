//! Calls without a reply, and replies that operators and trainers have not read yet.

use std::collections::BTreeMap;

use bytes::Bytes;
use tokio::sync::oneshot;

use crate::external_requests::ExternalReply;
use crate::transport::{CallOutcome, Endpoint};

/// A call that has no reply yet.
pub(super) struct PendingCall {
    /// The index of the machine that made the call.
    pub(super) caller: usize,
    /// Number of processes that had ended on the calling machine when the call was made. If more have ended
    /// when the reply arrives, the reply is dropped, because a later process must not receive it.
    pub(super) caller_process_exits: u64,
    pub(super) to: Endpoint,
    pub(super) path: String,
    pub(super) body: Bytes,
    /// Passes the reply to the caller; `None` after a reset of the connection.
    pub(super) reply: Option<oneshot::Sender<CallOutcome>>,
}

impl PendingCall {
    /// Whether a machine is the caller or the receiver of the call.
    fn involves(&self, machine: usize) -> bool {
        self.caller == machine || self.to == Endpoint::Machine(machine)
    }
}

/// The calls without a reply, and the replies to external requests.
#[derive(Default)]
pub(super) struct CallTable {
    /// Calls that have no reply yet, by the number of the call.
    pub(super) pending: BTreeMap<u64, PendingCall>,
    /// Replies that operators and trainers have not read yet, by the number of the request.
    pub(super) external_replies: BTreeMap<u64, ExternalReply>,
}

impl CallTable {
    /// Removes the calls that a machine has made. None of them arrives any more.
    pub(super) fn drop_calls_of(&mut self, machine: usize) {
        self.pending.retain(|_, pending| pending.caller != machine);
    }

    /// Closes the connections of a process that has ended without a loss of power: TCP still delivers its calls to
    /// servers, but nobody receives the replies. All other calls are removed.
    pub(super) fn close_calls_of(&mut self, machine: usize) {
        self.pending
            .retain(|_, pending| pending.caller != machine || matches!(pending.to, Endpoint::Server(_)));
        for pending in self.pending.values_mut().filter(|pending| pending.caller == machine) {
            drop(pending.reply.take());
        }
    }

    /// Makes the connection of a call fail: the caller learns that the outcome is unknown.
    pub(super) fn fail_connection(&mut self, call: u64) {
        self.pending.remove(&call);
    }

    /// Resets the connections of a machine: pending calls from and to this machine fail with an unknown
    /// outcome.
    pub(super) fn reset_connections(&mut self, machine: usize) {
        for pending in self.pending.values_mut().filter(|pending| pending.involves(machine)) {
            drop(pending.reply.take());
        }
    }
}
