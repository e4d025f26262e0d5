//! Rules that every node must obey, in edge cases and in generated sequences of events.

#[path = "../common/mod.rs"]
mod common;

mod admission;
mod generated;
mod retries;
mod servers;
mod warming;
