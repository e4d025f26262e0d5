//! Weight versions: which server loads which version, when and how.
//!
//! The holder of the leader lease owns one [`Planner`] for each of its terms. It feeds the planner with the named
//! versions, the list of servers, and the outcome of each call; [`Planner::decide`] tells which calls to make
//! next. The planner does no I/O and reads no clock: times are steady and given by the caller.
//!
//! A server gets one order for each version in the normal case, since orders and loads are priced; completion is
//! taken from the list, from answers to requests, and from reports. Only a few servers load at once.

mod member;
mod planner;
mod types;
mod wire;

pub use planner::Planner;
pub use types::{
    Method, ModelName, OrderReply, Pacing, ReportRequest, RolloutAction, RolloutServer, ServerId,
    VersionOrder,
};
pub use wire::{ModelReport, OrderBody, ServerReport};
