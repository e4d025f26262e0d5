//! Stand-ins of servers: plain servers, which answer requests one by one, and engines, which stream generated text.

mod engine;
mod generation;
mod plain;
mod responses;
mod slots;
mod weights;

pub(crate) use engine::PREFILL_AND_DECODE;
pub use engine::{EngineOptions, EngineServer};
pub use plain::{PlainOptions, PlainServer};
pub use slots::{QueueFull, ServerLoad, Slot, Slots};
