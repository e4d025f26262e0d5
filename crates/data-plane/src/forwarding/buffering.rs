//! Buffering of a server's response until it is complete, so that the client never receives a truncated
//! response and the request can be retried.

use std::io;

use bytes::{Bytes, BytesMut};
use futures_util::stream::{self, BoxStream, StreamExt};
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};

use crate::headers::end_to_end;
use crate::response::{chunk_stream, ChunkSource, ClientResponse, ResponseBody};
use crate::upstream::{AttemptError, UpstreamResponse};

/// The maximum number of bytes of a body that are buffered. A longer body is forwarded chunk by chunk.
const MAX_BUFFERED_BYTES: usize = 512 * 1024;

/// Buffers the body of a response. If the body is longer than [`MAX_BUFFERED_BYTES`], returns a streaming
/// response that forwards the rest chunk by chunk.
///
/// # Errors
///
/// Fails if the buffered part of the body is truncated or doesn't arrive before the timeout.
pub(crate) async fn buffer_response(mut upstream: UpstreamResponse) -> Result<ClientResponse, AttemptError> {
    let (status, mut headers) = (upstream.status(), upstream.headers().clone());
    let length = headers.remove(CONTENT_LENGTH);
    headers.remove(TRANSFER_ENCODING);
    let mut headers = end_to_end(&headers);
    // A body that consists of a single chunk is not copied.
    let mut first = Bytes::new();
    let mut body = BytesMut::new();
    while let Some(chunk) = upstream.chunk().await? {
        if first.is_empty() {
            first = chunk;
            continue;
        }
        if body.is_empty() {
            body.extend_from_slice(&first);
        }
        body.extend_from_slice(&chunk);
        if body.len() > MAX_BUFFERED_BYTES {
            headers.extend(length.map(|length| (CONTENT_LENGTH, length)));
            let body = ResponseBody::Streaming(body_with_prefix(body.freeze(), upstream));
            return Ok(ClientResponse { status, headers, body });
        }
    }
    let body = if body.is_empty() { first } else { body.freeze() };
    if body.is_empty() {
        // A response without a body may still declare a length, as in a response to HEAD.
        headers.extend(length.map(|length| (CONTENT_LENGTH, length)));
    }
    Ok(ClientResponse { status, headers, body: ResponseBody::Complete(body) })
}

/// Returns a stream of the bytes that were already read, followed by the remaining chunks of the body.
fn body_with_prefix(prefix: Bytes, upstream: UpstreamResponse) -> BoxStream<'static, io::Result<Bytes>> {
    stream::once(async { Ok(prefix) }).chain(chunk_stream(upstream)).boxed()
}

impl ChunkSource for UpstreamResponse {
    async fn next_chunk(&mut self) -> io::Result<Option<Bytes>> {
        self.chunk().await.map_err(io::Error::other)
    }
}
