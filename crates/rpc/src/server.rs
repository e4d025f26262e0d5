//! The server side of typed calls: endpoints and the HTTP server.

use std::future::Future;
use std::sync::Arc;

use futures_util::StreamExt;
use poem::http::header::CONTENT_LENGTH;
use poem::http::StatusCode;
use poem::{Endpoint, EndpointExt, IntoEndpoint};
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::codec::{decode, encode};
use crate::message_budget::{BudgetShare, MessageBudget};

/// Maximum length of the body of a request in bytes. Replies are not limited.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// Creates an endpoint that decodes a request, calls an async function with it and encodes the reply.
///
/// The status of the response is 503 if the function returns `None`, 400 if the request cannot be decoded,
/// and 413 if the body is longer than [`MAX_MESSAGE_BYTES`]. The caller treats each of them as a call that
/// was not executed ([`CallError::Rejected`](crate::CallError::Rejected)). A function that has already
/// changed state may therefore return `None` only if its callers handle all errors alike.
pub fn handler<Request, Reply, Function, ReplyFuture>(
    function: Function,
) -> impl Endpoint<Output = poem::Response>
where
    Request: DeserializeOwned + Send + 'static,
    Reply: Serialize + Send + 'static,
    Function: Fn(Request) -> ReplyFuture + Send + Sync + 'static,
    ReplyFuture: Future<Output = Option<Reply>> + Send + 'static,
{
    bounded_handler(None, function)
}

/// Creates an endpoint as [`handler`] does, whose requests share `budget`: a long one is not read before it has
/// its part of the budget, which it keeps until the reply is made. The status is 503 if it does not get it in
/// time.
pub fn bounded_handler<Request, Reply, Function, ReplyFuture>(
    budget: Option<MessageBudget>,
    function: Function,
) -> impl Endpoint<Output = poem::Response>
where
    Request: DeserializeOwned + Send + 'static,
    Reply: Serialize + Send + 'static,
    Function: Fn(Request) -> ReplyFuture + Send + Sync + 'static,
    ReplyFuture: Future<Output = Option<Reply>> + Send + 'static,
{
    let function = Arc::new(function);
    poem::endpoint::make(move |request: poem::Request| {
        let (function, budget) = (Arc::clone(&function), budget.clone());
        async move {
            let Some(_share) = share_of(budget, &request).await else {
                return Ok(StatusCode::SERVICE_UNAVAILABLE.into());
            };
            respond(request, &*function).await
        }
    })
    .map_to_response()
}

/// Waits for the part of the budget that a request needs; `None` if it does not get it in time. Without a
/// budget, it needs none.
async fn share_of(budget: Option<MessageBudget>, request: &poem::Request) -> Option<Option<BudgetShare>> {
    match budget {
        Some(budget) => budget.acquire(content_length(request)).await.map(Some),
        None => Some(None),
    }
}

/// Returns the length of the body of a request according to its head; 0 if the head has none.
fn content_length(request: &poem::Request) -> usize {
    let value = request.headers().get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

/// Reads the body of a request into memory that is allocated once.
async fn read_body(request: &mut poem::Request) -> poem::Result<Vec<u8>> {
    let mut bytes = Vec::with_capacity(content_length(request).min(MAX_MESSAGE_BYTES));
    let mut chunks = request.take_body().into_bytes_stream();
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk.map_err(|error| poem::Error::new(error, StatusCode::BAD_REQUEST))?;
        if bytes.len() + chunk.len() > MAX_MESSAGE_BYTES {
            return Err(StatusCode::PAYLOAD_TOO_LARGE.into());
        }
        bytes.extend_from_slice(&chunk);
    }
    Ok(bytes)
}

async fn respond<Request, Reply, Function, ReplyFuture>(
    mut request: poem::Request,
    function: &Function,
) -> poem::Result<poem::Response>
where
    Request: DeserializeOwned,
    Reply: Serialize,
    Function: Fn(Request) -> ReplyFuture,
    ReplyFuture: Future<Output = Option<Reply>>,
{
    let body = read_body(&mut request).await?;
    let Ok(message) = decode(&body) else {
        return Ok(StatusCode::BAD_REQUEST.into());
    };
    // The message is decoded, so that a long body is in memory no longer than that.
    drop(body);
    Ok(match function(message).await {
        Some(reply) => poem::Response::builder().body(encode(&reply)),
        None => StatusCode::SERVICE_UNAVAILABLE.into(),
    })
}

/// Serves the endpoints of `app` on `listener` until the future is dropped.
///
/// # Errors
///
/// Fails if the listener fails permanently.
pub async fn serve(
    listener: tokio::net::TcpListener,
    app: impl IntoEndpoint + 'static,
) -> std::io::Result<()> {
    let acceptor = poem::listener::TcpAcceptor::from_tokio(listener)?;
    poem::Server::new_with_acceptor(acceptor).run(app).await
}
