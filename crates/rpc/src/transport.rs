//! What carries calls between processes.

use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;

use crate::http::{build, http_client_builder};
use crate::CallError;

/// How long a new connection may take to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// After this time without an acknowledgement by the peer, a connection is given up.
const UNACKNOWLEDGED_MOST: Duration = Duration::from_millis(800);
/// An idle connection is kept for this long.
const IDLE_KEPT: Duration = Duration::from_secs(20);

/// Carries calls to other processes.
pub trait Transport: Send + Sync {
    /// Posts a serialized request to `path` at a peer and waits for its serialized reply for `timeout` at most.
    fn call<'a>(
        &'a self,
        address: &'a str,
        path: &'a str,
        request: Vec<u8>,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Bytes, CallError>>;
}

/// Carries calls over HTTP; connections are kept.
pub struct HttpTransport {
    http: reqwest::Client,
}

impl Default for HttpTransport {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpTransport {
    /// A transport with no connection yet.
    ///
    /// # Panics
    ///
    /// When the HTTP client cannot be set up, which takes no I/O.
    #[must_use]
    pub fn new() -> Self {
        let builder = http_client_builder(CONNECT_TIMEOUT)
            .tcp_user_timeout(UNACKNOWLEDGED_MOST)
            .pool_idle_timeout(IDLE_KEPT);
        Self { http: build(builder) }
    }
}

impl Transport for HttpTransport {
    fn call<'a>(
        &'a self,
        address: &'a str,
        path: &'a str,
        request: Vec<u8>,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Bytes, CallError>> {
        Box::pin(async move {
            let sent = self.http.post(format!("http://{address}{path}")).timeout(timeout);
            let answer = sent.body(request).send().await.map_err(|e| verdict(&e))?;
            let status = answer.status().as_u16();
            if status != 200 {
                return Err(CallError::Refused(status));
            }
            answer.bytes().await.map_err(|e| verdict(&e))
        })
    }
}

fn verdict(error: &reqwest::Error) -> CallError {
    if error.is_connect() {
        CallError::NotSent(error.to_string())
    } else {
        CallError::Unknown(error.to_string())
    }
}
