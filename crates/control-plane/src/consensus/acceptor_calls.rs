//! Internal calls to the acceptors of the register.

use std::time::Duration;

use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use register::{AcceptorReply, AddressedRequest, Member};
use rpc::CallError;
use state::ControlState;

use crate::paths;

/// Acceptor that was called, and its reply or the error of the call.
pub(super) type CallResult = (Member, Result<AcceptorReply<ControlState>, CallError>);
/// Calls in flight, whose results arrive in the order in which the calls finish.
pub(super) type PendingCalls = FuturesUnordered<BoxFuture<'static, CallResult>>;

/// Sends a request to the acceptor that it is addressed to and waits at most `timeout` for the reply.
pub(super) fn call_acceptor(
    client: &rpc::Client,
    request: AddressedRequest<ControlState>,
    timeout: Duration,
) -> BoxFuture<'static, CallResult> {
    let client = client.clone();
    let AddressedRequest { to: member, request } = request;
    Box::pin(async move {
        let reply = client.call(&member.address, paths::REGISTER, &request, timeout).await;
        (member, reply)
    })
}
