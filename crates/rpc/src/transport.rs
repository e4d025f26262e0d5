//! Transport of encoded calls between processes: HTTP, or a replacement in simulations.

use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;

use crate::error::CallError;
use crate::http::{build, http_client_builder};

/// Maximum time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum time without an acknowledgement of sent data by the peer's TCP before the connection is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(800);
/// Time after which an idle connection is closed.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Transport that sends encoded calls to other processes.
pub trait Transport: Send + Sync {
    /// Sends an encoded request to `path` at a peer's `address` (host and port) and waits at most `timeout`
    /// for the encoded reply. Implementations must not retry.
    fn call<'a>(
        &'a self,
        address: &'a str,
        path: &'a str,
        request: Vec<u8>,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Bytes, CallError>>;
}

/// Transport that sends calls as HTTP POST requests over pooled connections.
pub struct HttpTransport {
    http: reqwest::Client,
}

impl Default for HttpTransport {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpTransport {
    /// Creates a transport without connections. They are opened when calls need them.
    ///
    /// # Panics
    ///
    /// Panics if the HTTP client cannot be set up. The setup needs no I/O.
    #[must_use]
    pub fn new() -> Self {
        let builder =
            http_client_builder(CONNECT_TIMEOUT, TCP_USER_TIMEOUT).pool_idle_timeout(POOL_IDLE_TIMEOUT);
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

/// Classifies a failure of the HTTP client by whether a connection had been established.
fn call_error(error: &reqwest::Error) -> CallError {
    if error.is_connect() {
        CallError::NotSent(error.to_string())
    } else {
        CallError::Unknown(error.to_string())
    }
}
