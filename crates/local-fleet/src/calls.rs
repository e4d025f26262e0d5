//! Calls of the stand-ins to nodes.

use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use reqwest::header::HeaderMap;
use reqwest::Method;

/// A new connection has this long to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Callers follow a redirect this often.
const REDIRECTS_MOST: usize = 2;
/// The pause before the second try ...
const PAUSE_FIRST: Duration = Duration::from_millis(50);
/// ... doubles until it is this long.
const PAUSE_MOST: Duration = Duration::from_millis(800);

/// A call.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its method.
    pub method: Method,
    /// Its path with its query.
    pub path: String,
    /// Its headers.
    pub headers: Vec<(&'static str, String)>,
    /// Its body.
    pub body: Bytes,
    /// How long a try may take.
    pub timeout: Duration,
}

impl Call {
    /// A call without headers and body.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            timeout: Duration::from_secs(1),
        }
    }

    /// With a header.
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// With a JSON body.
    pub fn json<T: serde::Serialize>(mut self, body: &T) -> Result<Self, serde_json::Error> {
        self.body = serde_json::to_vec(body)?.into();
        Ok(self.header("Content-Type", "application/json"))
    }

    /// With another time for a try.
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Its status.
    pub status: u16,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl Reply {
    /// Whether it is a 2xx.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Whether the caller knows now what became of the call.
    fn is_clear(&self) -> bool {
        self.status < 500 && self.status != 408 && self.status != 429
    }

    /// A header, if it is there and readable.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// A call has no clear answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No whole answer came.
    Failed(String),
    /// Every try within the time was answered without saying what became of the call.
    Unclear(u16),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Failed(why) => write!(f, "no answer: {why}"),
            Self::Unclear(status) => write!(f, "no clear answer: status {status}"),
        }
    }
}

impl std::error::Error for CallError {}

/// Makes calls.
#[derive(Clone, Debug)]
pub struct Caller {
    http: reqwest::Client,
}

impl Caller {
    /// Each call on a new connection.
    pub fn without_reuse() -> reqwest::Result<Self> {
        Ok(Self { http: builder().pool_max_idle_per_host(0).build()? })
    }

    /// Connections are kept for further calls.
    pub fn with_reuse() -> reqwest::Result<Self> {
        Ok(Self { http: builder().build()? })
    }

    /// One try.
    pub async fn once(&self, to: SocketAddr, call: &Call) -> Result<Reply, CallError> {
        let mut request = self.http.request(call.method.clone(), format!("http://{to}{}", call.path));
        for (name, value) in &call.headers {
            request = request.header(*name, value);
        }
        let answer = request.timeout(call.timeout).body(call.body.clone()).send().await.map_err(failed)?;
        let (status, headers) = (answer.status().as_u16(), answer.headers().clone());
        let body = answer.bytes().await.map_err(failed)?;
        Ok(Reply { status, headers, body })
    }

    /// Tries one peer after the other until one gives a clear answer or `within` has passed.
    pub async fn until_clear(
        &self,
        mut peer: impl FnMut() -> SocketAddr,
        call: &Call,
        within: Duration,
    ) -> Result<Reply, CallError> {
        let until = Instant::now() + within;
        let mut pause = PAUSE_FIRST;
        loop {
            let to = peer();
            let error = match self.once(to, call).await {
                Ok(reply) if reply.is_clear() => return Ok(reply),
                Ok(reply) => CallError::Unclear(reply.status),
                Err(error) => error,
            };
            log::debug!("{} {} at {to}: {error}", call.method, call.path);
            if Instant::now() + pause >= until {
                return Err(error);
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(PAUSE_MOST);
        }
    }
}

fn builder() -> reqwest::ClientBuilder {
    reqwest::Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .redirect(reqwest::redirect::Policy::limited(REDIRECTS_MOST))
        .tcp_nodelay(true)
        .no_proxy()
}

fn failed(error: reqwest::Error) -> CallError {
    let mut why = error.to_string();
    let mut source = std::error::Error::source(&error);
    while let Some(inner) = source {
        why = format!("{why}: {inner}");
        source = inner.source();
    }
    CallError::Failed(why)
}
