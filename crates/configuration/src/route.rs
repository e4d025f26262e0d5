//! Routes: which requests go to which services, and how they are treated.

use std::sync::Arc;
use std::time::Duration;

/// How the requests of a route are executed and answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests are idempotent: one request of a client may run on several servers.
    Safe,
    /// One request of a client runs at most once; a retry by the client is another request.
    Unsafe,
    /// Responses are event streams.
    Stream,
    /// Requests submit batch jobs of a trainer.
    Rollout,
    /// Requests submit batch jobs.
    Batch,
    /// A keyword that this program does not know; treated like [`RouteKind::Unsafe`].
    Other(Arc<str>),
}

impl RouteKind {
    /// The kind that a keyword of the operator's document stands for.
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

/// A route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// `name`: its name, unique among the routes.
    pub name: Arc<str>,
    /// `depot`: host of its requests, in lower case and without a port.
    pub host: Arc<str>,
    /// `lanePrefix`: prefix of the paths of its requests, unique among the routes of a host.
    pub prefix: Arc<str>,
    /// `kind`: how its requests are executed and answered.
    pub kind: RouteKind,
    /// `expiryMs`: a request of a client has to be answered within this time, which all attempts at servers share;
    /// above
    /// 0.
    pub timeout: Duration,
    /// `dueMs`: the time within which a response has its full value; the time-out by default.
    pub latency_target: Duration,
    /// `urgency`: priority; 0 is the highest.
    pub urgency: u32,
    /// `postalLine` or `split`: the services that receive its requests.
    pub targets: Vec<Target>,
    /// `tries` in JSON: the number of servers that may run one request of a client; at least 1.
    pub max_attempts: u32,
    /// `resume`: whether an interrupted stream may be resumed on another server.
    pub resume: bool,
    /// `singleEdition`: whether one weight version has to generate the entire text of a result.
    pub single_version: bool,
    /// `deliveryDueMs`: time from the submission of a batch job until all its results are due.
    pub delivery_due: Option<Duration>,
    /// `shelfLifeS`: time from the submission of a batch job after which its items may be abandoned.
    pub shelf_life: Option<Duration>,
    /// `sameCarrier`: whether requests that share a prompt prefix gain from the same server's prefix cache.
    pub prefix_affinity: bool,
}

impl Route {
    /// Whether a request of this route may run more than once.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        self.kind == RouteKind::Safe || (self.kind == RouteKind::Stream && self.resume)
    }

    /// Whether the route may send requests to the service.
    #[must_use]
    pub fn allows(&self, service: &str) -> bool {
        self.targets.iter().any(|target| target.weight > 0 && &*target.service == service)
    }
}
