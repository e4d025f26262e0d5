//! The section `[posts]`: the addresses at which a process listens.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::parse::empty_as_none;

/// The addresses at which a process listens for external callers. An address is `None` if the process does
/// not accept this kind of calls.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct ListenAddresses {
    /// `front`: address for requests of clients.
    #[serde(rename = "front", default, deserialize_with = "empty_as_none")]
    pub client: Option<SocketAddr>,
    /// `readyPost`: address for the platform's readiness checks.
    #[serde(rename = "readyPost", default, deserialize_with = "empty_as_none")]
    pub readiness: Option<SocketAddr>,
    /// `controlPost`: address for calls of the operator and of the model servers.
    #[serde(rename = "controlPost", default, deserialize_with = "empty_as_none")]
    pub control: Option<SocketAddr>,
}
