//! The requests that are sent for batch jobs: items, whose text is collected here, and reward calls, which
//! grade that text.
//!
//! The store that owns a batch job makes these requests through the [`Forwarder`](crate::Forwarder) and
//! records their results. [`Forwarder::run_item`](crate::Forwarder::run_item) runs an item once, at one
//! server; the caller decides whether and when to run it again.

mod capacity;
mod collector;
mod item;
mod reward;

pub use collector::ItemProgress;
pub use item::{ItemOutcome, ItemRequest};
pub use reward::RewardOutcome;
