//! Requirements and preferences by which a server is selected for a request.

use std::time::Duration;

use configuration::Target;
use state::ServerId;

/// Requirements and preferences of one attempt of a request, set by the caller of [`Dispatcher::select`].
///
/// [`Dispatcher::select`]: crate::Dispatcher::select
#[derive(Clone, Copy, Debug)]
pub struct SelectionCriteria<'a> {
    /// Services that the route names, with their weights. A service with weight 0 gets no requests.
    pub targets: &'a [Target],
    /// Model that the request names; `None` if it names none. `version` is then ignored.
    pub model: Option<&'a str>,
    /// Versions of `model` that may serve the request.
    pub version: VersionRequirement,
    /// Servers that earlier attempts of the request were sent to. One of them is selected only if no other
    /// server that lists the model is eligible.
    pub attempted: &'a [ServerId],
    /// Server that wins ties of queue lengths, because its prefix cache contains the beginning of the prompt.
    /// `None` if no such server is known.
    pub prefix_cache_server: Option<&'a ServerId>,
    /// Restricts eligibility to servers with free capacity that list the model. Set for requests that can
    /// wait for such a server.
    pub requires_free_capacity: bool,
    /// Maximum time since the last use of an idle connection that may be reused. Among servers of the same
    /// tier, those with such a connection are preferred, unless another server's queue is shorter by more
    /// than one request. `None` if the time to set up a connection is irrelevant for the request: idle
    /// connections are then ignored.
    pub max_idle_connection_age: Option<Duration>,
}

/// Versions of a model that may serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionRequirement {
    /// Accepts any version, including an unknown one.
    Any,
    /// Accepts this version and newer ones. Version 1 is the initial version, so `AtLeast(1)` is equivalent
    /// to `Any`.
    AtLeast(u64),
    /// Accepts this version only.
    Exactly(u64),
}
