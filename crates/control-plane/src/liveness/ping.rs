//! Ping of a process: the reply message and the calling side.

use std::time::Duration;

use register::{Incarnation, Member};
use serde::{Deserialize, Serialize};

use crate::paths;

/// State of a process, as it reports it in reply to a ping.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PingReply {
    /// Incarnation of the disk of the replying process; `None` if it has no disk. A reply counts only for the
    /// member with this incarnation, because a machine that lost its disk replies at the address of its
    /// former incarnation.
    pub incarnation: Option<Incarnation>,
    /// Epoch of the store set to which all batch jobs of the process have migrated; 0 while it is unknown.
    pub committed_epoch: u64,
    /// Whether a majority has recently confirmed the control state of the process. If not, the process has no
    /// state, or all acceptors in its state may have been replaced; see
    /// [`ViewCell::is_out_of_contact`](crate::ViewCell::is_out_of_contact).
    pub is_in_contact: bool,
    /// Whether the process has run for long enough to be in contact with the others and is not shutting down.
    pub is_stable: bool,
    /// Acceptors that have not replied to the confirmations of the process for longer than its timeout. Empty
    /// if the process runs no read repair, which only a machine with an acceptor or a standby does.
    pub unresponsive: Vec<Incarnation>,
}

impl PingReply {
    /// Returns whether the reply comes from this member rather than from another incarnation at its address.
    pub(crate) fn is_from(&self, member: &Member) -> bool {
        self.incarnation == Some(member.incarnation)
    }
}

/// Pings the process at a member's address, whichever incarnation it has. Returns `None` if no reply arrives
/// within `timeout`.
pub(crate) async fn ping_address(
    client: &rpc::Client,
    member: &Member,
    timeout: Duration,
) -> Option<PingReply> {
    client.call(&member.address, paths::PING, &(), timeout).await.ok()
}

/// Pings a member. Returns `None` if no reply arrives within `timeout` or if another incarnation replies.
pub(crate) async fn ping(client: &rpc::Client, member: &Member, timeout: Duration) -> Option<PingReply> {
    let reply = ping_address(client, member, timeout).await?;
    reply.is_from(member).then_some(reply)
}
