//! Internal calls to the grantors of the leader lease.

use std::time::Duration;

use futures_util::future::join_all;
use lease::{LeaseRelease, LeaseReply, LeaseRequest};
use register::Member;

use crate::paths;

/// Maximum time from the start of a call to the reply of the grantor.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Requests the lease from one grantor. Returns the grantor with its reply, which is `None` if none arrives
/// in time.
pub(super) async fn request_lease(
    client: &rpc::Client,
    member: Member,
    request: LeaseRequest,
) -> (Member, Option<LeaseReply>) {
    let reply = client.call(&member.address, paths::LEASE, &request, CALL_TIMEOUT).await;
    (member, reply.ok())
}

/// Notifies all grantors that their grants are released.
pub(super) async fn broadcast_release(client: &rpc::Client, release: LeaseRelease, grantors: &[Member]) {
    let calls = grantors.iter().map(|member| async {
        let reply: Result<(), _> = client.call(&member.address, paths::RELEASE, &release, CALL_TIMEOUT).await;
        reply.is_ok()
    });
    let replies = join_all(calls).await;
    let acknowledged = replies.iter().filter(|is_acknowledged| **is_acknowledged).count();
    log::debug!(grantors = replies.len(), acknowledged; "release sent");
}
