//! The emulated operator, who reads and changes the configuration and requests roll-outs of versions. The
//! trainer uses it too, to name the version that each step produces.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use reqwest::Method;

use crate::deployment::{ConfigurationFile, ConfigurationPatch, Layout};
use crate::http::{HttpCall, HttpCallError, HttpCaller, HttpReply};
use crate::protocol::NamedVersion;

/// Path at which nodes serve the configuration.
const CONFIGURATION_PATH: &str = "/api/timetable";
/// Path at which nodes accept the version to roll out.
const VERSION_PATH: &str = "/api/version-put";
/// Time limit of one attempt to read or change the configuration. The default of one second is too short for
/// the largest documents.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_secs(2);

/// Error of a call of the operator that was not acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorError {
    /// The outcome of the call is unknown.
    Inconclusive(HttpCallError),
    /// A node rejected the call with this status and body.
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

/// An operator that calls the nodes in rotation, starting at a random one, until one of them acknowledges or
/// rejects the call.
#[derive(Clone, Debug)]
pub struct Operator {
    caller: HttpCaller,
    nodes: Vec<SocketAddr>,
}

impl Operator {
    /// Returns an operator that calls all nodes of a layout.
    ///
    /// # Errors
    ///
    /// When the HTTP client cannot be set up.
    pub fn new(layout: &Layout) -> reqwest::Result<Self> {
        Self::with_nodes((0..layout.nodes).map(|node| layout.operator_address(node)).collect())
    }

    /// Returns an operator that calls the nodes at these addresses.
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
    /// When no node acknowledges the configuration within `timeout`, or a node rejects it.
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

    /// Changes single entries of the configuration, on the condition that its version is `expected_version`.
    ///
    /// # Errors
    ///
    /// When no node acknowledges the change within `timeout`, or a node rejects it.
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
    /// When no node returns it within `timeout`, a node rejects the call, or the document cannot be parsed.
    pub async fn read(&self, timeout: Duration) -> Result<ConfigurationFile, OperatorError> {
        let call = HttpCall::new(Method::GET, CONFIGURATION_PATH).timeout(CONFIGURATION_TIMEOUT);
        Ok(serde_json::from_slice(&self.call(&call, timeout).await?.body)?)
    }

    /// Names the version of a model's weights that the system rolls out next.
    ///
    /// # Errors
    ///
    /// When no node acknowledges the version within `timeout`, or a node rejects it.
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
