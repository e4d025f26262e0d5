//! The transport of encoded calls between processes: HTTP, or another one in simulations.

use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;

use crate::error::CallError;
use crate::http::{build, http_client_builder};

/// How long a new connection may take to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// A connection is closed if the peer's TCP does not acknowledge sent data within this time.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(800);
/// An idle connection is closed after this time.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Carries encoded calls to other processes.
pub trait Transport: Send + Sync {
    /// Sends an encoded request to `path` at a peer and waits for its encoded reply for `timeout` at most. The call is
    /// made once.
    fn call<'a>(
        &'a self,
        address: &'a str,
        path: &'a str,
        request: Vec<u8>,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Bytes, CallError>>;
}

/// Carries calls over HTTP; connections are pooled.
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
    /// If the HTTP client cannot be set up, which takes no I/O.
    #[must_use]
    pub fn new() -> Self {
        let builder = http_client_builder(CONNECT_TIMEOUT)
            .tcp_user_timeout(TCP_USER_TIMEOUT)
            .pool_idle_timeout(POOL_IDLE_TIMEOUT);
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
            let call = self.http.post(format!("http://{address}{path}")).timeout(timeout).body(request);
            let response = call.send().await.map_err(|error| call_error(&error))?;
            CallError::check_status(response.status().as_u16())?;
            response.bytes().await.map_err(|error| call_error(&error))
        })
    }
}

fn call_error(error: &reqwest::Error) -> CallError {
    if error.is_connect() {
        CallError::NotSent(error.to_string())
    } else {
        CallError::Unknown(error.to_string())
    }
}
