//! Rollout of model versions by the leader: orders to servers, and the reports that servers return.
//!
//! This module owns the calls to servers that are in flight and the reports that wait to be distributed,
//! which only [`OrderDispatcher`] writes. The planner of the crate `rollout` decides what to order. Before
//! each call the leader's fencing token is checked again; servers may check the token of an order too.

mod order_dispatcher;
mod order_tracker;
mod planner_input;
mod server_calls;
mod version_report_batcher;

pub use order_dispatcher::OrderDispatcher;
pub use order_tracker::{CallOutcome, CallTag, OrderTracker};
pub use server_calls::{HttpServerCalls, ServerCalls};
