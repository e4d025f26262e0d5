//! The shipped control and store planes as a fleet in simulated time, with a seeded network, disks, clocks, servers,
//! operators and trainers.
//!
//! Each process of a [`Fleet`] is the assembly that the program runs ([`rushrudder::node::TrafficNode`],
//! [`rushrudder::store::BatchStore`]) on a runtime of its own with a paused clock; only its edges are simulated: the
//! transport of internal calls, the calls to servers and to the platform, the disk under the journal, and the steady
//! clock. The fleet lets all processes run for one short step after the other, and carries what they sent. A process
//! that is frozen is not run while its clock goes on; one that is killed is dropped with all its tasks.

mod disk;
mod fleet;
mod logging;
mod network;
mod process;
mod requests;
mod servers;
pub mod simulation;
mod wire;

/// Whether the draws of the runtime are seeded too, so that a seed names a run: only with `--cfg tokio_unstable`.
pub const IS_SEEDED: bool = cfg!(tokio_unstable);

pub use fleet::{catch_up, Fleet, MachineKind, Shape};
pub use logging::print_logs;
pub use network::Network;
pub use requests::{JobCall, OperatorOrder, Reply, Request};
pub use servers::ModelServer;
