//! An in-memory fleet in simulated time: a seeded network, disks, clocks, model servers and an operator around the
//! state machines of register, lease, batch jobs and rollout. No sockets, no threads, no real time.

mod changes;
mod control;
mod disk;
mod fleet;
mod messages;
mod network;
mod process;
mod proposing;
mod servers;
mod stores;

pub use fleet::{Fleet, Shape};
pub use messages::{JobCall, OperatorOrder, Reply, Request};
pub use network::Network;
pub use servers::ModelServer;
