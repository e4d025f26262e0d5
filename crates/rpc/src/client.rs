//! The calling side.

use std::fmt;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::Serialize;

/// How long a new connection may take to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// After this time without an acknowledgement by the peer, a connection is given up.
const UNACKNOWLEDGED_MOST: Duration = Duration::from_millis(800);
/// An idle connection is kept for this long.
const IDLE_KEPT: Duration = Duration::from_secs(20);

/// Why a call has no reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No connection: the peer has not seen the call.
    NotSent(String),
    /// The call may have been carried out; nothing is known.
    Unknown(String),
    /// The peer answered that it cannot serve the call; it was not carried out.
    Refused(u16),
}

impl CallError {
    /// Whether the peer may have carried out the call.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        matches!(self, Self::Unknown(_))
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(why) => write!(f, "not sent: {why}"),
            Self::Unknown(why) => write!(f, "no reply: {why}"),
            Self::Refused(status) => write!(f, "refused with status {status}"),
        }
    }
}

impl std::error::Error for CallError {}

/// Makes calls; connections are kept and shared by all clones.
#[derive(Clone)]
pub struct Client {
    http: reqwest::Client,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// A client with no connection yet.
    ///
    /// # Panics
    ///
    /// When the HTTP client cannot be set up, which takes no I/O.
    #[must_use]
    pub fn new() -> Self {
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .tcp_user_timeout(UNACKNOWLEDGED_MOST)
            .pool_idle_timeout(IDLE_KEPT)
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .build()
            .expect("the HTTP client is set up without I/O");
        Self { http }
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
        let sent = self.http.post(format!("http://{address}{path}")).timeout(timeout);
        let answer = sent.body(crate::encode(request)).send().await.map_err(|e| verdict(&e))?;
        let status = answer.status().as_u16();
        if status != 200 {
            return Err(CallError::Refused(status));
        }
        let body = answer.bytes().await.map_err(|e| verdict(&e))?;
        crate::decode(&body).map_err(|e| CallError::Unknown(e.to_string()))
    }
}

fn verdict(error: &reqwest::Error) -> CallError {
    if error.is_connect() {
        CallError::NotSent(error.to_string())
    } else {
        CallError::Unknown(error.to_string())
    }
}
