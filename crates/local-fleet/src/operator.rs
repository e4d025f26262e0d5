//! Stand-in of the operator, who changes the configuration, and of trainers where they name versions.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use reqwest::Method;

use crate::deployment::{ConfigurationFile, ConfigurationPatch, Layout};
use crate::http::{HttpCall, HttpCallError, HttpCaller, HttpReply};
use crate::protocol::NamedVersion;

/// The path of the configuration.
const CONFIGURATION_PATH: &str = "/api/timetable";
/// The path for naming versions.
const VERSION_PATH: &str = "/api/version-put";
/// Time limit of one attempt; the largest documents take longer than the usual second.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_secs(2);

/// An order was not acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorError {
    /// Its outcome is unknown.
    Inconclusive(HttpCallError),
    /// It was rejected, with this status and body.
    Rejected(u16, String),
    /// A message cannot be serialized or parsed.
    Malformed(String),
}

impl fmt::Display for OperatorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Inconclusive(error) => error.fmt(f),
            Self::Rejected(status, reason) => write!(f, "refused with status {status}: {reason}"),
            Self::Malformed(reason) => write!(f, "unreadable: {reason}"),
        }
    }
}

impl std::error::Error for OperatorError {}

impl From<HttpCallError> for OperatorError {
    fn from(error: HttpCallError) -> Self {
        Self::Inconclusive(error)
    }
}

impl From<serde_json::Error> for OperatorError {
    fn from(error: serde_json::Error) -> Self {
        Self::Malformed(error.to_string())
    }
}

/// The operator.
#[derive(Clone, Debug)]
pub struct Operator {
    caller: HttpCaller,
    nodes: Vec<SocketAddr>,
}

impl Operator {
    /// An operator that reaches all nodes of a layout.
    ///
    /// # Errors
    ///
    /// When the HTTP client cannot be set up.
    pub fn new(layout: &Layout) -> reqwest::Result<Self> {
        Self::with_nodes((0..layout.nodes).map(|node| layout.operator_address(node)).collect())
    }

    /// An operator that reaches these nodes.
    ///
    /// # Errors
    ///
    /// When the HTTP client cannot be set up.
    pub fn with_nodes(nodes: Vec<SocketAddr>) -> reqwest::Result<Self> {
        Ok(Self { caller: HttpCaller::without_reuse()?, nodes })
    }

    async fn call(&self, call: &HttpCall, timeout: Duration) -> Result<HttpReply, OperatorError> {
        let mut next = fastrand::usize(..self.nodes.len());
        let peer = || {
            next = (next + 1) % self.nodes.len();
            self.nodes[next]
        };
        let reply = self.caller.call_until_conclusive(peer, call, timeout).await?;
        if reply.is_success() {
            return Ok(reply);
        }
        Err(OperatorError::Rejected(reply.status, String::from_utf8_lossy(&reply.body).into_owned()))
    }

    /// Replaces the configuration, on the condition that its version is `expected_version`.
    ///
    /// # Errors
    ///
    /// When it is not acknowledged within `timeout`.
    pub async fn put(
        &self,
        configuration: &ConfigurationFile,
        expected_version: u64,
        timeout: Duration,
    ) -> Result<(), OperatorError> {
        let call = HttpCall::new(Method::PUT, CONFIGURATION_PATH).timeout(CONFIGURATION_TIMEOUT);
        let call = call.header("If-Match", expected_version.to_string()).json(configuration)?;
        self.call(&call, timeout).await.map(drop)
    }

    /// Changes named entries of the configuration, on the condition that its version is `expected_version`.
    ///
    /// # Errors
    ///
    /// When it is not acknowledged within `timeout`.
    pub async fn patch(
        &self,
        patch: &ConfigurationPatch,
        expected_version: u64,
        timeout: Duration,
    ) -> Result<(), OperatorError> {
        let call = HttpCall::new(Method::PATCH, CONFIGURATION_PATH).timeout(CONFIGURATION_TIMEOUT);
        let call = call.header("If-Match", expected_version.to_string()).json(patch)?;
        self.call(&call, timeout).await.map(drop)
    }

    /// Reads the newest configuration.
    ///
    /// # Errors
    ///
    /// When no node sends it within `timeout`.
    pub async fn read(&self, timeout: Duration) -> Result<ConfigurationFile, OperatorError> {
        let call = HttpCall::new(Method::GET, CONFIGURATION_PATH).timeout(CONFIGURATION_TIMEOUT);
        Ok(serde_json::from_slice(&self.call(&call, timeout).await?.body)?)
    }

    /// Names a version of a model's weights, which the system then rolls out.
    ///
    /// # Errors
    ///
    /// When it is not acknowledged within `timeout`.
    pub async fn name_version(
        &self,
        model: &str,
        version: u64,
        timeout: Duration,
    ) -> Result<(), OperatorError> {
        let named = NamedVersion { model: model.to_owned(), version };
        self.call(&HttpCall::new(Method::POST, VERSION_PATH).json(&named)?, timeout).await.map(drop)
    }
}
