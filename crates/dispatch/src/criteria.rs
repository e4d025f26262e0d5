//! What a request demands of the server that is selected for it.

use std::time::Duration;

use configuration::Target;
use state::ServerId;

/// What a request demands of its server.
#[derive(Clone, Copy, Debug)]
pub struct SelectionCriteria<'a> {
    /// The services that the route names, with their weights.
    pub targets: &'a [Target],
    /// The model that the request names, if any.
    pub model: Option<&'a str>,
    /// The version of that model.
    pub version: VersionRequirement,
    /// Servers that earlier attempts of the request were sent to; they are selected only if no other is eligible.
    pub attempted: &'a [ServerId],
    /// A server that wins ties, because the beginning of the prompt is in its prefix cache.
    pub prefix_cache_server: Option<&'a ServerId>,
    /// Whether only a server with free capacity is eligible, since the request can wait for one.
    pub requires_free_capacity: bool,
    /// An idle connection may be reused up to this age. Among equally suited servers, those with such a connection are
    /// preferred, unless another one's queue is shorter by more than one request. `None` where the time to set up a
    /// connection doesn't matter.
    pub max_idle_connection_age: Option<Duration>,
}

/// Which versions of its model a request may be served by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionRequirement {
    /// Any version.
    Any,
    /// This version or a newer one.
    AtLeast(u64),
    /// This version alone.
    Exactly(u64),
}
