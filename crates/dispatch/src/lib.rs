//! Selection of a server for each request: load, versions of models, outliers, zones.
//!
//! Nothing here does I/O or reads a clock: times are handed in, counted from any fixed moment. The data plane owns a
//! [`Dispatcher`], asks it for a server before each attempt and reports to it what the attempt showed.
//!
//! A request passes these steps:
//!
//! 1. A service is drawn by the weights of the route, among services with an eligible server.
//! 2. Of the eligible servers of that service, those of the best tier remain: servers that list the model, that
//!    this request has not been sent to, and that are not ejected as outliers.
//! 3. Of these, the server with the shortest queue is selected (see [`hsq`]); an idle connection, a warm prefix cache
//!    and the own zone break near ties.

mod criteria;
mod dispatcher;
mod model_versions;
mod outlier;
mod pool;
mod server;

pub use criteria::{SelectionCriteria, VersionRequirement};
pub use dispatcher::Dispatcher;
pub use server::{RequestOutcome, SelectedServer};
