//! Selection of a server for each request, by load, model versions, failures (outlier detection) and zone.
//!
//! This crate does no I/O and reads no clock: the caller passes in the time, counted from any fixed moment.
//! Random draws use the thread-local generator of `fastrand`. The data plane owns a [`Dispatcher`], which
//! selects a server for each attempt of a request, and reports the outcome of the attempt to it.
//!
//! A server is selected in three steps:
//!
//! 1. A service is drawn at random by the weights of the route, among the services with an eligible server.
//! 2. The eligible servers of that service are reduced to the best tier that is not empty. The best of all
//!    tiers contains the servers that list the model, that no earlier attempt was sent to, and that are not
//!    ejected as outliers. A server that lists no models is treated as if it listed every model.
//! 3. Of that tier, the server with the shortest queue is selected (see [`hsq`]). A server with an idle
//!    connection is preferred to one whose queue is shorter by a single request. Ties go to the server whose
//!    prefix cache contains the beginning of the prompt, then to servers of the local zone.
//!
//! ```
//! use std::time::Duration;
//!
//! use configuration::Target;
//! use dispatch::{Dispatcher, RequestOutcome, SelectionCriteria, VersionRequirement};
//! use state::{ServerCondition, ServerEntry, ServerList, ServerListVersion};
//!
//! let server = ServerEntry {
//!     id: "server-1".into(),
//!     service: "generation".into(),
//!     address: ([127, 0, 0, 1], 8000).into(),
//!     zone: "zone-a".into(),
//!     slots: 4,
//!     condition: ServerCondition::Open,
//!     warm_up_ms: 0,
//!     models: [("model".into(), 3)].into(),
//! };
//! let mut dispatcher = Dispatcher::new("zone-a".into());
//! dispatcher.update(&ServerList::new(ServerListVersion::default(), [server]));
//!
//! let targets = [Target { service: "generation".into(), weight: 1 }];
//! let criteria = SelectionCriteria {
//!     targets: &targets,
//!     model: Some("model"),
//!     version: VersionRequirement::AtLeast(2),
//!     attempted: &[],
//!     prefix_cache_server: None,
//!     requires_free_capacity: true,
//!     max_idle_connection_age: None,
//! };
//! let now = Duration::from_secs(1);
//! let selected = dispatcher.select(now, &criteria).expect("the only server is eligible");
//! assert_eq!(selected.version, Some(3));
//! dispatcher.request_finished(now, &selected.id, RequestOutcome::Success);
//! ```

mod criteria;
mod dispatcher;
mod model_versions;
mod outlier;
mod pool;
mod server;

pub use criteria::{SelectionCriteria, VersionRequirement};
pub use dispatcher::Dispatcher;
pub use server::{RequestOutcome, SelectedServer};
