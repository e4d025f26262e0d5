//! Routes: which services receive a request, and how the request is executed and answered.

use std::sync::Arc;
use std::time::Duration;

/// Kind of a route, which determines how its requests are executed and answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests are idempotent: one request of a client may run on several servers.
    Safe,
    /// Requests are not idempotent: one request of a client runs at most once. A retry by the client counts
    /// as another request.
    Unsafe,
    /// Responses are event streams.
    Stream,
    /// Requests submit batch jobs of a trainer.
    Rollout,
    /// Requests submit batch jobs; treated like [`RouteKind::Rollout`].
    Batch,
    /// An unknown keyword of the document; treated like [`RouteKind::Unsafe`].
    Other(Arc<str>),
}

impl RouteKind {
    /// Converts the keyword in the `kind` field of the document.
    #[must_use]
    pub fn from_keyword(keyword: &str) -> Self {
        match keyword {
            "safe" => Self::Safe,
            "unsafe" => Self::Unsafe,
            "stream" => Self::Stream,
            "rollout" => Self::Rollout,
            "batch" => Self::Batch,
            other => Self::Other(other.into()),
        }
    }

    /// Whether requests of this kind submit batch jobs.
    #[must_use]
    pub fn takes_batch_jobs(&self) -> bool {
        matches!(self, Self::Rollout | Self::Batch)
    }
}

/// A service that receives a fraction of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// `postalLine`: name of the service.
    pub service: Arc<str>,
    /// `share`: weight among the targets of the route; at least one weight of a route is above 0.
    pub weight: u32,
}

/// Rule that assigns the requests with a host and a path prefix to services, and defines how they are
/// executed and answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// `name`: name of the route, unique among the routes; not empty.
    pub name: Arc<str>,
    /// `depot`: host of the requests of the route, in lower case and without a port.
    pub host: Arc<str>,
    /// `lanePrefix`: prefix of the paths of the requests of the route, unique among the routes of a host.
    pub prefix: Arc<str>,
    /// `kind`: how requests of the route are executed and answered.
    pub kind: RouteKind,
    /// `expiryMs`: time within which a request of a client has to be answered, shared by all attempts at
    /// servers; above 0, and 30 s by default.
    pub timeout: Duration,
    /// `dueMs`: time within which a response has its full value; equal to `timeout` by default.
    pub latency_target: Duration,
    /// `urgency`: priority of the requests; 0, the default, is the highest.
    pub urgency: u32,
    /// `postalLine` or `split`: the services that receive the requests.
    pub targets: Vec<Target>,
    /// `tries`: number of servers that may run one request of a client; at least 1, which is the default.
    pub max_attempts: u32,
    /// `resume`: whether an interrupted stream may be resumed on another server.
    pub resume: bool,
    /// `singleEdition`: whether a single weight version must generate the entire text of a result.
    pub single_version: bool,
    /// `deliveryDueMs`: time from the submission of a batch job until its results are due; `None` if not
    /// given.
    pub delivery_due: Option<Duration>,
    /// `shelfLifeS`: time from the submission of a batch job after which its items may be abandoned; `None`
    /// if not given.
    pub shelf_life: Option<Duration>,
    /// `sameCarrier`: whether requests that share a prompt prefix benefit from the prefix cache if the same
    /// server gets them.
    pub prefix_affinity: bool,
}

impl Route {
    /// Whether a request of this route may run more than once.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        self.kind == RouteKind::Safe || (self.kind == RouteKind::Stream && self.resume)
    }

    /// Whether the service is a target of the route with a weight above 0.
    #[must_use]
    pub fn allows(&self, service: &str) -> bool {
        self.targets.iter().any(|target| target.weight > 0 && &*target.service == service)
    }
}
