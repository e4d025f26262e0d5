//! The calling side.

use std::sync::Arc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::{CallError, HttpTransport, Transport};

/// Makes calls; clones share the transport.
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
    /// When the HTTP client cannot be set up, which takes no I/O.
    #[must_use]
    pub fn new() -> Self {
        Self::over(Arc::new(HttpTransport::new()))
    }

    /// A client over another transport.
    #[must_use]
    pub fn over(transport: Arc<dyn Transport>) -> Self {
        Self { transport }
    }

    /// Calls `path` at a peer and waits for its reply for `timeout` at most.
    ///
    /// # Errors
    ///
    /// Says whether the peer may have carried out the call.
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
        let reply = self.transport.call(address, path, crate::encode(request), timeout).await?;
        crate::decode(&reply).map_err(|error| CallError::Unknown(error.to_string()))
    }
}
