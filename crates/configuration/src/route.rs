//! Routes: where a request goes and what it may ask for.

use std::sync::Arc;
use std::time::Duration;

/// What may be repeated, and how the answer comes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Safe,
    /// Requests run at most once for each try.
    Unsafe,
    /// Answers are series of events.
    Stream,
    /// Requests are batch jobs of a trainer.
    Rollout,
    /// Requests are batch jobs.
    Batch,
    /// A word that this program doesn't know; such requests run at most once for each try.
    Other(Arc<str>),
}

impl RouteKind {
    /// The kind that the operator's word names.
    #[must_use]
    pub fn from_keyword(word: &str) -> Self {
        match word {
            "safe" => Self::Safe,
            "unsafe" => Self::Unsafe,
            "stream" => Self::Stream,
            "rollout" => Self::Rollout,
            "batch" => Self::Batch,
            other => Self::Other(other.into()),
        }
    }

    /// Whether requests of this kind hand in batch jobs.
    #[must_use]
    pub fn takes_batch_jobs(&self) -> bool {
        matches!(self, Self::Rollout | Self::Batch)
    }
}

/// A service that takes a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The service's name.
    pub service: Arc<str>,
    /// Its weight among the targets; the weights of a route add up to more than 0.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// The host of its requests, in lower case and without a port.
    pub host: Arc<str>,
    /// How the paths of its requests begin.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time that a try is held.
    pub timeout: Duration,
    /// The time within which an answer earns its full worth.
    pub latency_target: Duration,
    /// Its rank; 0 is highest.
    pub urgency: u32,
    /// Where its requests go.
    pub targets: Vec<Target>,
    /// The most servers that one try may go to.
    pub max_attempts: u32,
    /// Whether a stream may be taken up again after a cut.
    pub resume: bool,
    /// Whether one weight version has to make the whole text of a result.
    pub single_version: bool,
    /// How long after the first send of a batch job all its results are due.
    pub delivery_due: Option<Duration>,
    /// How long after the first send of a batch job its items may be given up.
    pub shelf_life: Option<Duration>,
    /// Whether requests that share parts of their prompt gain from the same server.
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
