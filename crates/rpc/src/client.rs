//! The client: typed calls to peers.

use std::sync::Arc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::codec::{decode, encode};
use crate::error::CallError;
use crate::transport::{HttpTransport, Transport};

/// Makes calls to peers; clones share the transport and its connections.
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
    /// A client over HTTP with no connection yet.
    ///
    /// # Panics
    ///
    /// If the HTTP client cannot be set up, which takes no I/O.
    #[must_use]
    pub fn new() -> Self {
        Self::with_transport(Arc::new(HttpTransport::new()))
    }

    /// A client over another transport.
    #[must_use]
    pub fn with_transport(transport: Arc<dyn Transport>) -> Self {
        Self { transport }
    }

    /// Calls `path` at a peer's `address` (host and port) and waits for its reply for `timeout` at most.
    ///
    /// # Errors
    ///
    /// If there is no reply; see [`CallError::may_have_run`].
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
        let reply = self.transport.call(address, path, encode(request), timeout).await?;
        decode(&reply).map_err(|error| CallError::Unknown(error.to_string()))
    }
}
