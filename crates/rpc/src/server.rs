//! The answering side.

use std::future::Future;
use std::sync::Arc;

use poem::http::StatusCode;
use poem::{Endpoint, EndpointExt, IntoEndpoint};
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::MAX_MESSAGE_BYTES;

/// Makes an endpoint of an async function. `None` is answered as 503: the call was not carried out.
pub fn handler<Request, Reply, Function, Answer>(function: Function) -> impl Endpoint<Output = poem::Response>
where
    Request: DeserializeOwned + Send + 'static,
    Reply: Serialize + Send + 'static,
    Function: Fn(Request) -> Answer + Send + Sync + 'static,
    Answer: Future<Output = Option<Reply>> + Send + 'static,
{
    let function = Arc::new(function);
    poem::endpoint::make(move |request: poem::Request| {
        let function = Arc::clone(&function);
        async move { answer(request, &*function).await }
    })
    .map_to_response()
}

async fn answer<Request, Reply, Function, Answer>(
    mut request: poem::Request,
    function: &Function,
) -> poem::Result<poem::Response>
where
    Request: DeserializeOwned,
    Reply: Serialize,
    Function: Fn(Request) -> Answer,
    Answer: Future<Output = Option<Reply>>,
{
    let body = request.take_body().into_bytes_limit(MAX_MESSAGE_BYTES).await?;
    let Ok(message) = crate::decode(&body) else {
        return Ok(StatusCode::BAD_REQUEST.into());
    };
    Ok(match function(message).await {
        Some(reply) => poem::Response::builder().body(crate::encode(&reply)),
        None => StatusCode::SERVICE_UNAVAILABLE.into(),
    })
}

/// Serves `app` on `listener` until the process ends.
///
/// # Errors
///
/// When the listener fails for good.
pub async fn serve(
    listener: tokio::net::TcpListener,
    app: impl IntoEndpoint + 'static,
) -> std::io::Result<()> {
    let acceptor = poem::listener::TcpAcceptor::from_tokio(listener)?;
    poem::Server::new_with_acceptor(acceptor).run(app).await
}
