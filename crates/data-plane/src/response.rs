//! A response for a client.

use std::future::Future;
use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::{self, BoxStream, StreamExt};
use http::header::{HeaderMap, HeaderValue, RETRY_AFTER};
use http::StatusCode;

/// The body of a response.
pub(crate) enum ResponseBody {
    /// All of it.
    Complete(Bytes),
    /// Chunks that are passed on as they come. After an error the client's connection must be cut off, so that the
    /// body doesn't look complete.
    Streaming(BoxStream<'static, io::Result<Bytes>>),
}

/// A response for a client.
pub(crate) struct ClientResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: ResponseBody,
}

impl ClientResponse {
    /// A response of the node itself, without a body.
    pub(crate) fn from_node(status: StatusCode) -> Self {
        Self { status, headers: HeaderMap::new(), body: ResponseBody::Complete(Bytes::new()) }
    }

    /// Says that the request has not run and never will, and after which time the client may retry it.
    pub(crate) fn not_run(retry_after: Duration) -> Self {
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

/// Where the chunks of a streaming body come from.
pub(crate) trait ChunkSource: Send + 'static {
    /// The next chunk; `None` at the proper end of the body, an error if it is truncated.
    fn next_chunk(&mut self) -> impl Future<Output = io::Result<Option<Bytes>>> + Send;
}

/// The chunks of a source up to the end or the first error.
pub(crate) fn chunk_stream(source: impl ChunkSource) -> BoxStream<'static, io::Result<Bytes>> {
    let chunks = stream::unfold(Some(source), |source| async {
        let mut source = source?;
        match source.next_chunk().await {
            Ok(Some(chunk)) => Some((Ok(chunk), Some(source))),
            Ok(None) => None,
            Err(error) => {
                // The error cuts the connection off: the chunks before it must be written out first.
                tokio::task::yield_now().await;
                Some((Err(error), None))
            }
        }
    });
    chunks.boxed()
}
