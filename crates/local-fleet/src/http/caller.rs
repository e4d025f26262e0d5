//! The HTTP client of the emulators: single attempts, and calls that are retried until the outcome is known.

use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use reqwest::header::HeaderMap;
use reqwest::Method;

/// Time limit for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of redirects that an attempt follows.
const MAX_REDIRECTS: usize = 2;
/// Delay before the second attempt; it doubles with each further attempt, up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum delay before an attempt.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// An HTTP request, which can be sent several times.
#[derive(Clone, Debug)]
pub struct HttpCall {
    /// HTTP method.
    pub method: Method,
    /// Path with the query, without scheme and host.
    pub path: String,
    /// Names and values of the headers, in the order in which they are sent.
    pub headers: Vec<(&'static str, String)>,
    /// Request body; empty for none.
    pub body: Bytes,
    /// Time limit of one attempt, until the response is complete.
    pub timeout: Duration,
}

impl HttpCall {
    /// Returns a request without headers and body, with a time limit of one second.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            timeout: Duration::from_secs(1),
        }
    }

    /// Adds a header.
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Sets a JSON body and its `Content-Type` header.
    ///
    /// # Errors
    ///
    /// When the value cannot be serialized.
    pub fn json<T: serde::Serialize>(mut self, body: &T) -> Result<Self, serde_json::Error> {
        self.body = serde_json::to_vec(body)?.into();
        Ok(self.header("Content-Type", "application/json"))
    }

    /// Sets the time limit of one attempt.
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }
}

/// A response whose body was received completely.
#[derive(Clone, Debug)]
pub struct HttpReply {
    /// Status code.
    pub status: u16,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Response body.
    pub body: Bytes,
}

impl HttpReply {
    /// Returns whether the status is 2xx.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Returns whether the status states the outcome of the call. After a server error (5xx), a timeout (408)
    /// or an overload (429), the call may or may not have been executed.
    fn is_conclusive(&self) -> bool {
        self.status < 500 && self.status != 408 && self.status != 429
    }

    /// Returns the value of a header; `None` if it is missing or contains other characters than visible
    /// ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Error of a call whose outcome is unknown: it may or may not have been executed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HttpCallError {
    /// No complete response arrived; the text names the cause.
    Failed(String),
    /// The last attempt got this status, which does not state the outcome.
    Inconclusive(u16),
}

impl fmt::Display for HttpCallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failed(reason) => write!(f, "no answer: {reason}"),
            Self::Inconclusive(status) => write!(f, "no clear answer: status {status}"),
        }
    }
}

impl std::error::Error for HttpCallError {}

/// Makes HTTP calls. Clones share their connections.
#[derive(Clone, Debug)]
pub struct HttpCaller {
    http: reqwest::Client,
}

impl HttpCaller {
    /// Returns a caller that opens a new connection for each call.
    ///
    /// # Errors
    ///
    /// When the HTTP client cannot be set up.
    pub fn without_reuse() -> reqwest::Result<Self> {
        Ok(Self { http: client_builder().pool_max_idle_per_host(0).build()? })
    }

    /// Returns a caller that reuses connections.
    ///
    /// # Errors
    ///
    /// When the HTTP client cannot be set up.
    pub fn with_reuse() -> reqwest::Result<Self> {
        Ok(Self { http: client_builder().build()? })
    }

    /// Makes one attempt.
    ///
    /// # Errors
    ///
    /// When no connection is established, or no complete response arrives within the call's timeout.
    pub async fn call_once(&self, to: SocketAddr, call: &HttpCall) -> Result<HttpReply, HttpCallError> {
        let mut request = self.http.request(call.method.clone(), format!("http://{to}{}", call.path));
        for (name, value) in &call.headers {
            request = request.header(*name, value);
        }
        let response =
            request.timeout(call.timeout).body(call.body.clone()).send().await.map_err(call_failed)?;
        let (status, headers) = (response.status().as_u16(), response.headers().clone());
        let body = response.bytes().await.map_err(call_failed)?;
        Ok(HttpReply { status, headers, body })
    }

    /// Makes attempts with backoff until the outcome is known or `timeout` has passed. `peer` returns the
    /// address of the next attempt.
    ///
    /// # Errors
    ///
    /// The error of the last attempt, when `timeout` has passed without a conclusive reply.
    pub async fn call_until_conclusive(
        &self,
        mut peer: impl FnMut() -> SocketAddr,
        call: &HttpCall,
        timeout: Duration,
    ) -> Result<HttpReply, HttpCallError> {
        let deadline = Instant::now() + timeout;
        let mut backoff = MIN_BACKOFF;
        loop {
            let to = peer();
            let error = match self.call_once(to, call).await {
                Ok(reply) if reply.is_conclusive() => return Ok(reply),
                Ok(reply) => HttpCallError::Inconclusive(reply.status),
                Err(error) => error,
            };
            log::debug!("attempt {} {} at {to} failed: {error}", call.method, call.path);
            if Instant::now() + backoff >= deadline {
                return Err(error);
            }
            tokio::time::sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }
}

fn client_builder() -> reqwest::ClientBuilder {
    reqwest::Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .redirect(reqwest::redirect::Policy::limited(MAX_REDIRECTS))
        .tcp_nodelay(true)
        .no_proxy()
}

/// Converts an error of the HTTP client; the text lists all its causes.
fn call_failed(error: reqwest::Error) -> HttpCallError {
    let mut reason = error.to_string();
    let mut source = std::error::Error::source(&error);
    while let Some(inner) = source {
        reason = format!("{reason}: {inner}");
        source = inner.source();
    }
    HttpCallError::Failed(reason)
}
