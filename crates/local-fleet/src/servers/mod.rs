//! The emulated servers: plain servers, which return one complete response to each request, and engines
//! (model servers), which stream generated text.

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
