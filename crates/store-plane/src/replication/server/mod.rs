//! The HTTP endpoints of a store, for other stores and for traffic nodes.

mod ownership_status;
mod results;
mod submit;

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use batch::JobId;
use poem::{post, Route};

use super::messages::{
    AddressedRequest, Heartbeat, ReleaseNotice, TakeoverRequest, BODY_PATH, END_PATH, HEARTBEAT_PATH,
    MIGRATION_STATUS_PATH, READ_PATH, RELEASED_PATH, REPLICATE_PATH, SUBMIT_PATH, TAKEOVER_PATH,
};
use super::node::StoreNode;

/// Maximum time that a request waits for the ownership of its batch job to be established.
const OWNERSHIP_TIMEOUT: Duration = Duration::from_millis(450);
/// Maximum time that a request waits for an entry to be committed; after that the outcome is reported as
/// unknown.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(700);

/// Returns the endpoints for other processes; they call the methods of `node`.
pub(super) fn endpoint(node: &Arc<StoreNode>) -> Route {
    let replicate = bounded_handler(node, &node.budgets.replication, |node, job, request| async move {
        node.replicate_for_other(&job, request).await
    });
    let heartbeat = handler(node, |node, heartbeat: Heartbeat| async move {
        (heartbeat.to == node.id()).then(|| node.answer_heartbeat(&heartbeat))
    });
    let takeover = addressed_handler(node, |node, job, request: TakeoverRequest| async move {
        node.on_takeover_request(&job, request);
        Some(())
    });
    let released = addressed_handler(node, |node, job, notice: ReleaseNotice| async move {
        node.on_released(&job, notice.from);
        Some(())
    });
    let submit = bounded_handler(node, &node.budgets.submissions, |node, job, submission| async move {
        Some(node.submit(job, submission).await)
    });
    let read =
        addressed_handler(node, |node, job, request| async move { Some(node.read(&job, request).await) });
    let body =
        addressed_handler(
            node,
            |node, job, item: String| async move { Some(node.item_body(&job, &item).await) },
        );
    let end = addressed_handler(node, |node, job, ()| async move { Some(node.end(&job).await) });
    let migration_status = handler(node, |node, ()| async move { Some(node.migration_status()) });
    Route::new()
        .at(REPLICATE_PATH, post(replicate))
        .at(HEARTBEAT_PATH, post(heartbeat))
        .at(TAKEOVER_PATH, post(takeover))
        .at(RELEASED_PATH, post(released))
        .at(SUBMIT_PATH, post(submit))
        .at(READ_PATH, post(read))
        .at(BODY_PATH, post(body))
        .at(END_PATH, post(end))
        .at(MIGRATION_STATUS_PATH, post(migration_status))
}

/// Returns an endpoint that answers requests by an async method of the store. If the method returns `None`,
/// the call fails.
fn handler<Request, Reply, Method, ReplyFuture>(
    node: &Arc<StoreNode>,
    method: Method,
) -> impl poem::Endpoint<Output = poem::Response>
where
    Request: serde::de::DeserializeOwned + Send + 'static,
    Reply: serde::Serialize + Send + 'static,
    Method: Fn(Arc<StoreNode>, Request) -> ReplyFuture + Send + Sync + 'static,
    ReplyFuture: Future<Output = Option<Reply>> + Send + 'static,
{
    let node = Arc::clone(node);
    rpc::handler(move |request: Request| method(Arc::clone(&node), request))
}

/// Returns an endpoint as [`handler`] does, for requests to one incarnation of a store. Calls to any other
/// incarnation fail.
fn addressed_handler<Request, Reply, Method, ReplyFuture>(
    node: &Arc<StoreNode>,
    method: Method,
) -> impl poem::Endpoint<Output = poem::Response>
where
    Request: serde::de::DeserializeOwned + Send + 'static,
    Reply: serde::Serialize + Send + 'static,
    Method: Fn(Arc<StoreNode>, JobId, Request) -> ReplyFuture + Send + Sync + 'static,
    ReplyFuture: Future<Output = Option<Reply>> + Send + 'static,
{
    let node = Arc::clone(node);
    rpc::handler(move |request| call_addressee(&node, &method, request))
}

/// Returns an endpoint as [`addressed_handler`] does, for requests that may be long and share `budget`.
fn bounded_handler<Request, Reply, Method, ReplyFuture>(
    node: &Arc<StoreNode>,
    budget: &rpc::MessageBudget,
    method: Method,
) -> impl poem::Endpoint<Output = poem::Response>
where
    Request: serde::de::DeserializeOwned + Send + 'static,
    Reply: serde::Serialize + Send + 'static,
    Method: Fn(Arc<StoreNode>, JobId, Request) -> ReplyFuture + Send + Sync + 'static,
    ReplyFuture: Future<Output = Option<Reply>> + Send + 'static,
{
    let node = Arc::clone(node);
    rpc::bounded_handler(Some(budget.clone()), move |request| call_addressee(&node, &method, request))
}

/// Calls `method` if the request is addressed to this incarnation of the store; otherwise returns `None`.
fn call_addressee<Request, Reply, Method, ReplyFuture>(
    node: &Arc<StoreNode>,
    method: &Method,
    request: AddressedRequest<Request>,
) -> impl Future<Output = Option<Reply>> + use<Request, Reply, Method, ReplyFuture>
where
    Method: Fn(Arc<StoreNode>, JobId, Request) -> ReplyFuture,
    ReplyFuture: Future<Output = Option<Reply>>,
{
    let is_addressee = request.to == node.id();
    let reply = is_addressee.then(|| method(Arc::clone(node), request.job, request.request));
    async move {
        match reply {
            Some(reply) => reply.await,
            None => None,
        }
    }
}
