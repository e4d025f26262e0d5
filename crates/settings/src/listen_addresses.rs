//! The section `[posts]`: where a process listens.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::parse::empty_as_none;

/// The addresses at which a process listens for external callers; `None` where it does not.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct ListenAddresses {
    /// `front`: requests of clients.
    #[serde(rename = "front", default, deserialize_with = "empty_as_none")]
    pub client: Option<SocketAddr>,
    /// `readyPost`: the platform's readiness checks.
    #[serde(rename = "readyPost", default, deserialize_with = "empty_as_none")]
    pub readiness: Option<SocketAddr>,
    /// `controlPost`: calls of the operator and of the servers.
    #[serde(rename = "controlPost", default, deserialize_with = "empty_as_none")]
    pub control: Option<SocketAddr>,
}
