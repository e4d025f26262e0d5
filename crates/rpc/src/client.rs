//! [`Client`]: typed calls to other processes.

use std::sync::Arc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::codec::{decode, encode};
use crate::error::CallError;
use crate::transport::{HttpTransport, Transport};

/// Client that makes typed calls to other processes. Clones share the transport and its connections.
#[derive(Clone)]
pub struct Client {
    transport: Arc<dyn Transport>,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// Creates a client over HTTP. It opens connections when calls need them.
    ///
    /// # Panics
    ///
    /// Panics if the HTTP client cannot be set up. The setup needs no I/O.
    #[must_use]
    pub fn new() -> Self {
        Self::with_transport(Arc::new(HttpTransport::new()))
    }

    /// Creates a client over the given transport, for example a simulated one.
    #[must_use]
    pub fn with_transport(transport: Arc<dyn Transport>) -> Self {
        Self { transport }
    }

    /// Calls `path` at a peer's `address` (host and port) and waits at most `timeout` for its reply. The call
    /// is not retried.
    ///
    /// # Errors
    ///
    /// Fails if there is no valid reply. [`CallError::may_have_run`] returns whether the peer may have
    /// executed the call.
    pub async fn call<Request, Reply>(
        &self,
        address: &str,
        path: &str,
        request: &Request,
        timeout: Duration,
    ) -> Result<Reply, CallError>
    where
        Request: Serialize,
        Reply: DeserializeOwned,
    {
        self.call_encoded(address, path, encode(request), timeout).await
    }

    /// Does the same as [`call`](Self::call) with a request that is encoded already, so that a long one is in
    /// memory only once.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`call`](Self::call).
    pub async fn call_encoded<Reply: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        request: Vec<u8>,
        timeout: Duration,
    ) -> Result<Reply, CallError> {
        let reply = self.transport.call(address, path, request, timeout).await?;
        decode(&reply).map_err(|error| CallError::Unknown(error.to_string()))
    }
}
