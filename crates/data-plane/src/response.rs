//! The response type that forwarding returns, and its conversion to an HTTP response for the client.

use std::future::Future;
use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::{self, BoxStream, StreamExt};
use http::header::{HeaderMap, HeaderValue, RETRY_AFTER};
use http::StatusCode;

/// The body of a response to a client.
pub(crate) enum ResponseBody {
    /// A body that was received completely.
    Complete(Bytes),
    /// A body that is forwarded chunk by chunk while it is received. After an error, the client's connection
    /// must be aborted, so that the client doesn't treat the body as complete.
    Streaming(BoxStream<'static, io::Result<Bytes>>),
}

/// A response to a client, either a server's or one that this process generated.
pub(crate) struct ClientResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: ResponseBody,
}

impl ClientResponse {
    /// Creates a response of the node itself, with a status but without headers and body.
    pub(crate) fn from_node(status: StatusCode) -> Self {
        Self { status, headers: HeaderMap::new(), body: ResponseBody::Complete(Bytes::new()) }
    }

    /// Creates a 503 response with `Retry-After`. It means that the request was not executed and never will
    /// be, so that the client may retry it after that time.
    pub(crate) fn not_executed(retry_after: Duration) -> Self {
        let mut response = Self::from_node(StatusCode::SERVICE_UNAVAILABLE);
        let seconds = format!("{:.3}", retry_after.as_secs_f64());
        if let Ok(value) = HeaderValue::try_from(seconds) {
            response.headers.insert(RETRY_AFTER, value);
        }
        response
    }
}

impl From<ClientResponse> for poem::Response {
    fn from(response: ClientResponse) -> Self {
        let mut converted = match response.body {
            ResponseBody::Complete(bytes) => Self::builder().body(bytes),
            ResponseBody::Streaming(chunks) => Self::builder().body(poem::Body::from_bytes_stream(chunks)),
        };
        converted.set_status(response.status);
        *converted.headers_mut() = response.headers;
        converted
    }
}

/// The source of the chunks of a streaming body.
pub(crate) trait ChunkSource: Send + 'static {
    /// Waits for the next chunk. Returns `None` at the proper end of the body, and an error if the body is
    /// truncated.
    fn next_chunk(&mut self) -> impl Future<Output = io::Result<Option<Bytes>>> + Send;
}

/// Returns a stream of the chunks of `source` that ends after the last chunk or the first error.
pub(crate) fn chunk_stream(source: impl ChunkSource) -> BoxStream<'static, io::Result<Bytes>> {
    let chunks = stream::unfold(Some(source), |source| async {
        let mut source = source?;
        match source.next_chunk().await {
            Ok(Some(chunk)) => Some((Ok(chunk), Some(source))),
            Ok(None) => None,
            Err(error) => {
                // The error aborts the client's connection. Yielding lets earlier chunks be written first.
                tokio::task::yield_now().await;
                Some((Err(error), None))
            }
        }
    });
    chunks.boxed()
}
