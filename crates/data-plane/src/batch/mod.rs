//! The requests that batch jobs cause: items, whose text is collected here, and reward calls, which grade it.
//!
//! The store that owns a batch job calls them through the [`Forwarder`](crate::Forwarder) and keeps what they return.
//! An item is one run at one server: whether and when it runs again is the decision of its caller.

mod capacity;
mod collector;
mod item;
mod reward;

pub use collector::ItemProgress;
pub use item::{ItemOutcome, ItemRequest};
pub use reward::RewardOutcome;
