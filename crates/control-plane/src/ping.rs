//! Asking a process whether it is there.

use std::time::Duration;

use register::Member;

use crate::messages::{paths, PingReply};

/// The reply of the process at the address of a member, whichever disk it has; `None` if none came within `timeout`.
pub(crate) async fn ping_address(
    client: &rpc::Client,
    member: &Member,
    timeout: Duration,
) -> Option<PingReply> {
    client.call(&member.address, paths::PING, &(), timeout).await.ok()
}

/// The reply of a member itself; not that of its former self, or of its successor with another disk, at its address.
pub(crate) async fn ping(client: &rpc::Client, member: &Member, timeout: Duration) -> Option<PingReply> {
    let reply = ping_address(client, member, timeout).await?;
    reply.is_of(member).then_some(reply)
}
