//! The shipped control and store planes as a fleet in simulated time, with a seeded network, disks, clocks, servers,
//! operators and trainers.
//!
//! Each process of a [`Fleet`] is the assembly that the program runs ([`rushrudder::node::TrafficNode`],
//! [`rushrudder::store::BatchStore`]) on a runtime of its own with a paused clock; only its edges are simulated: the
//! transport of internal calls, the calls to servers and to the platform, the disk under the journal, and the steady
//! clock. The fleet lets all processes run for one short step after the other, and delivers what they sent. A process
//! that is frozen does not run while its clock moves on; one that is killed is dropped with all its tasks.
//!
//! The data plane is not part of it: a stand-in of the item runner generates the results of batch jobs.
//!
//! [`simulation`] runs fleets with random faults, and checks their invariants throughout.

mod disk;
mod external_requests;
mod fleet;
mod item_runner;
mod logging;
mod model_server;
mod network;
mod process;
pub mod simulation;
mod transport;

/// Whether the draws of the runtime are seeded too, so that a seed names a run: only with `--cfg tokio_unstable`.
pub const IS_SEEDED: bool = cfg!(tokio_unstable);

pub use external_requests::{ExternalReply, ExternalRequest, JobCall, OperatorOrder};
pub use fleet::{Fleet, FleetShape, MachineKind};
pub use logging::print_logs;
pub use model_server::{ModelServer, ReceivedOrder};
pub use network::Network;
