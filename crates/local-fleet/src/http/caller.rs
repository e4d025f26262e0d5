//! The HTTP client of the stand-ins: single attempts, and calls that are retried until the outcome is known.

use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use reqwest::header::HeaderMap;
use reqwest::Method;

/// Time limit for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How many redirects are followed.
const MAX_REDIRECTS: usize = 2;
/// The delay before the second attempt; it doubles with each further one, up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// The longest delay before an attempt.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// An HTTP request.
#[derive(Clone, Debug)]
pub struct HttpCall {
    /// Its method.
    pub method: Method,
    /// Its path with its query.
    pub path: String,
    /// Its headers.
    pub headers: Vec<(&'static str, String)>,
    /// Its body.
    pub body: Bytes,
    /// Time limit of one attempt.
    pub timeout: Duration,
}

impl HttpCall {
    /// A request without headers and body, with a time limit of one second.
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

    /// Sets a JSON body.
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

/// A complete response.
#[derive(Clone, Debug)]
pub struct HttpReply {
    /// Its status.
    pub status: u16,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl HttpReply {
    /// Whether the status is 2xx.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Whether the outcome of the call is known: neither a server error nor overload.
    fn is_conclusive(&self) -> bool {
        self.status < 500 && self.status != 408 && self.status != 429
    }

    /// A header, if it is present and text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// The outcome of a call is unknown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HttpCallError {
    /// No complete response arrived.
    Failed(String),
    /// The last attempt got this status, which leaves the outcome open.
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

/// Makes HTTP calls.
#[derive(Clone, Debug)]
pub struct HttpCaller {
    http: reqwest::Client,
}

impl HttpCaller {
    /// A caller that opens a connection for each call.
    ///
    /// # Errors
    ///
    /// When the HTTP client cannot be set up.
    pub fn without_reuse() -> reqwest::Result<Self> {
        Ok(Self { http: client_builder().pool_max_idle_per_host(0).build()? })
    }

    /// A caller that keeps connections for further calls.
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
    /// When no connection came up, or no complete response came within the call's timeout.
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

    /// Makes attempts at one peer after the other, with backoff, until the outcome is known or `timeout` has passed.
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
            log::debug!("{} {} at {to}: {error}", call.method, call.path);
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

/// The error with the text of all its causes.
fn call_failed(error: reqwest::Error) -> HttpCallError {
    let mut reason = error.to_string();
    let mut source = std::error::Error::source(&error);
    while let Some(inner) = source {
        reason = format!("{reason}: {inner}");
        source = inner.source();
    }
    HttpCallError::Failed(reason)
}
