//! The server: endpoints for typed calls.

use std::future::Future;
use std::sync::Arc;

use poem::http::StatusCode;
use poem::{Endpoint, EndpointExt, IntoEndpoint};
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::codec::{decode, encode};

/// Length of the longest request, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// Makes an endpoint of an async function.
///
/// Where the function returns `None`, the response is 503, and a request that can't be decoded gets 400: the caller
/// takes both for a call that was not executed ([`CallError::Rejected`](crate::CallError::Rejected)). So a function may
/// return `None` after a change only if its callers handle every error alike. A body of more than [`MAX_MESSAGE_BYTES`]
/// gets 413.
pub fn handler<Request, Reply, Function, ReplyFuture>(
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
        let function = Arc::clone(&function);
        async move { respond(request, &*function).await }
    })
    .map_to_response()
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
    let body = request.take_body().into_bytes_limit(MAX_MESSAGE_BYTES).await?;
    let Ok(message) = decode(&body) else {
        return Ok(StatusCode::BAD_REQUEST.into());
    };
    Ok(match function(message).await {
        Some(reply) => poem::Response::builder().body(encode(&reply)),
        None => StatusCode::SERVICE_UNAVAILABLE.into(),
    })
}

/// Serves `app` on `listener` until the process ends.
///
/// # Errors
///
/// If the listener fails permanently.
pub async fn serve(
    listener: tokio::net::TcpListener,
    app: impl IntoEndpoint + 'static,
) -> std::io::Result<()> {
    let acceptor = poem::listener::TcpAcceptor::from_tokio(listener)?;
    poem::Server::new_with_acceptor(acceptor).run(app).await
}
