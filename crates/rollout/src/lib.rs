//! Rollout of weight versions: decides which server loads which version, when, and by which method.
//!
//! The leader, which holds the leader lease, creates one [`Planner`] per term. It passes the target versions,
//! the server list and the outcome of each call to the planner, and makes the calls that
//! [`Planner::next_actions`] returns. The planner does no I/O and reads no clock: the caller passes in the
//! time, which is monotonic.
//!
//! An order instructs a server to load a version of a model. A server normally gets one order per version,
//! since orders and loads are expensive. The server list, responses to requests, and reports that the planner
//! requests from the server show that a load has completed. [`Pacing`] limits how many servers load at the
//! same time, so that the others continue to serve requests.

mod actions;
mod order_queue;
mod pacing;
mod planner;
mod report_schedule;
mod server;
mod server_progress;
mod wire;

pub use actions::{OrderReply, ReportRequest, RolloutAction, UpdateMethod, VersionOrder};
pub use pacing::Pacing;
pub use planner::Planner;
pub use server::{ModelName, RolloutServer, ServerId};
pub use wire::{ModelReport, OrderBody, ServerReport};
