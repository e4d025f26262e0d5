//! Buffering of a server's response until it is complete, so that the client never sees a truncated one and the
//! request can be retried.

use std::io;

use bytes::{Bytes, BytesMut};
use futures_util::stream::{self, BoxStream, StreamExt};
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};

use crate::headers::end_to_end;
use crate::response::{chunk_stream, ChunkSource, ClientResponse, ResponseBody};
use crate::upstream::{AttemptError, UpstreamResponse};

/// Longer bodies are passed on as they come.
const MAX_BUFFERED_BYTES: usize = 512 * 1024;

/// Reads the body to its end, or up to the length from which it is passed on as it comes.
///
/// # Errors
///
/// If the body is truncated or doesn't come in time.
pub(crate) async fn buffer_response(mut upstream: UpstreamResponse) -> Result<ClientResponse, AttemptError> {
    let (status, mut headers) = (upstream.status(), upstream.headers().clone());
    let length = headers.remove(CONTENT_LENGTH);
    headers.remove(TRANSFER_ENCODING);
    let mut headers = end_to_end(&headers);
    // A body of one chunk is not copied.
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
            let body = ResponseBody::Streaming(continued(body.freeze(), upstream));
            return Ok(ClientResponse { status, headers, body });
        }
    }
    let body = if body.is_empty() { first } else { body.freeze() };
    if body.is_empty() {
        // The length of a body that isn't sent, as in a response to HEAD.
        headers.extend(length.map(|length| (CONTENT_LENGTH, length)));
    }
    Ok(ClientResponse { status, headers, body: ResponseBody::Complete(body) })
}

/// The part of a body that was read, followed by the rest as it comes.
fn continued(begin: Bytes, upstream: UpstreamResponse) -> BoxStream<'static, io::Result<Bytes>> {
    stream::once(async { Ok(begin) }).chain(chunk_stream(upstream)).boxed()
}

impl ChunkSource for UpstreamResponse {
    async fn next_chunk(&mut self) -> io::Result<Option<Bytes>> {
        self.chunk().await.map_err(io::Error::other)
    }
}
