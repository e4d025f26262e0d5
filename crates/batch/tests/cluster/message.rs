//! Messages between the machines of the simulated cluster.

use batch::{LogEntry, OwnershipTerm, ReplicaReply, ReplicaRequest, StoreId};

/// A message in flight. An owner is identified by the index of its machine and its term, a replica by the
/// identity of its disk.
#[derive(Clone)]
pub enum Message {
    Request {
        from: usize,
        owner: OwnershipTerm,
        to: StoreId,
        request: ReplicaRequest,
    },
    Reply {
        to: usize,
        owner: OwnershipTerm,
        from: StoreId,
        reply: ReplicaReply,
    },
    /// Informs the owner that a request or its reply was lost.
    NoReply {
        to: usize,
        owner: OwnershipTerm,
        from: StoreId,
    },
    /// A heartbeat of an owner that has committed its complete log under its term.
    Committed {
        to: StoreId,
        term: OwnershipTerm,
    },
}

impl Message {
    /// Returns the message as it arrives: its entries share nothing with those of the sender.
    pub fn transferred(mut self) -> Self {
        let entries = match &mut self {
            Self::Request { request, .. } => request.entries_mut(),
            Self::Reply { reply, .. } => reply.entries_mut(),
            Self::NoReply { .. } | Self::Committed { .. } => None,
        };
        for entry in entries.into_iter().flatten() {
            let content = entry.load().expect("it is in memory or on the disk");
            *entry = LogEntry::from((*content).clone());
        }
        self
    }

    /// Returns the message that replaces this one if it is lost: [`Message::NoReply`] to the owner for a
    /// request or its reply, none for a heartbeat.
    pub fn replacement_if_lost(self) -> Option<Self> {
        match self {
            Self::Request { from, owner, to, .. } => Some(Self::NoReply { to: from, owner, from: to }),
            Self::Reply { to, owner, from, .. } => Some(Self::NoReply { to, owner, from }),
            Self::NoReply { .. } | Self::Committed { .. } => None,
        }
    }
}
