//! The server side of typed calls: endpoints and the HTTP server.

use std::future::Future;
use std::sync::Arc;

use poem::http::StatusCode;
use poem::{Endpoint, EndpointExt, IntoEndpoint};
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::codec::{decode, encode};

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
