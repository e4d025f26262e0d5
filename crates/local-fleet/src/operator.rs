//! Stand-in of the operator, and of trainers where they name versions.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use reqwest::Method;

use crate::calls::{Call, CallError, Caller};
use crate::configuration_file::{ConfigurationFile, ConfigurationPatch};
use crate::layout::Layout;
use crate::wire::NamedVersion;

/// The path of the configuration.
const CONFIGURATION_PATH: &str = "/api/timetable";
/// The path where versions are named.
const VERSION_PATH: &str = "/api/version-put";
/// The largest answer and the largest order take longer than the usual second.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_secs(2);

/// An order was not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorError {
    /// No node said what became of it.
    NoAnswer(CallError),
    /// It was refused.
    Refused(u16, String),
    /// A message cannot be read or written.
    Unreadable(String),
}

impl fmt::Display for OperatorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoAnswer(error) => error.fmt(f),
            Self::Refused(status, why) => write!(f, "refused with status {status}: {why}"),
            Self::Unreadable(why) => write!(f, "unreadable: {why}"),
        }
    }
}

impl std::error::Error for OperatorError {}

impl From<CallError> for OperatorError {
    fn from(error: CallError) -> Self {
        Self::NoAnswer(error)
    }
}

impl From<serde_json::Error> for OperatorError {
    fn from(error: serde_json::Error) -> Self {
        Self::Unreadable(error.to_string())
    }
}

/// The operator.
#[derive(Clone, Debug)]
pub struct Operator {
    caller: Caller,
    nodes: Vec<SocketAddr>,
}

impl Operator {
    /// An operator that knows all nodes of a layout.
    ///
    /// # Errors
    ///
    /// When the HTTP client cannot be set up.
    pub fn new(layout: &Layout) -> reqwest::Result<Self> {
        Self::with_nodes((0..layout.nodes).map(|node| layout.control(node)).collect())
    }

    /// An operator that knows these nodes.
    ///
    /// # Errors
    ///
    /// When the HTTP client cannot be set up.
    pub fn with_nodes(nodes: Vec<SocketAddr>) -> reqwest::Result<Self> {
        Ok(Self { caller: Caller::without_reuse()?, nodes })
    }

    async fn call(&self, call: &Call, within: Duration) -> Result<crate::calls::Reply, OperatorError> {
        let mut next = fastrand::usize(..self.nodes.len());
        let peer = || {
            next = (next + 1) % self.nodes.len();
            self.nodes[next]
        };
        let reply = self.caller.until_clear(peer, call, within).await?;
        if reply.is_success() {
            return Ok(reply);
        }
        Err(OperatorError::Refused(reply.status, String::from_utf8_lossy(&reply.body).into_owned()))
    }

    /// Puts a whole configuration on top of version `built_on`.
    ///
    /// # Errors
    ///
    /// When it is not acknowledged within the time.
    pub async fn put(
        &self,
        configuration: &ConfigurationFile,
        built_on: u64,
        within: Duration,
    ) -> Result<(), OperatorError> {
        let call = Call::new(Method::PUT, CONFIGURATION_PATH).timeout(CONFIGURATION_TIMEOUT);
        let call = call.header("If-Match", built_on.to_string()).json(configuration)?;
        self.call(&call, within).await.map(drop)
    }

    /// Changes named items on top of version `built_on`.
    ///
    /// # Errors
    ///
    /// When it is not acknowledged within the time.
    pub async fn patch(
        &self,
        patch: &ConfigurationPatch,
        built_on: u64,
        within: Duration,
    ) -> Result<(), OperatorError> {
        let call = Call::new(Method::PATCH, CONFIGURATION_PATH).timeout(CONFIGURATION_TIMEOUT);
        let call = call.header("If-Match", built_on.to_string()).json(patch)?;
        self.call(&call, within).await.map(drop)
    }

    /// The newest configuration.
    ///
    /// # Errors
    ///
    /// When no node tells it within the time.
    pub async fn read(&self, within: Duration) -> Result<ConfigurationFile, OperatorError> {
        let call = Call::new(Method::GET, CONFIGURATION_PATH).timeout(CONFIGURATION_TIMEOUT);
        Ok(serde_json::from_slice(&self.call(&call, within).await?.body)?)
    }

    /// Names a version of a model's weights.
    ///
    /// # Errors
    ///
    /// When it is not acknowledged within the time.
    pub async fn name_version(
        &self,
        model: &str,
        version: u64,
        within: Duration,
    ) -> Result<(), OperatorError> {
        let named = NamedVersion { model: model.to_owned(), version };
        self.call(&Call::new(Method::POST, VERSION_PATH).json(&named)?, within).await.map(drop)
    }
}
