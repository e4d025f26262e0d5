//! Deterministic simulation of a fleet: the production code of the control plane and the store plane runs in
//! simulated time, with a simulated network, disks, clocks, model servers, operators and trainers. A seed
//! determines every random choice.
//!
//! Each process of a [`Fleet`] is the same assembly that the program runs ([`rushrudder::node::TrafficNode`],
//! [`rushrudder::store::BatchStore`]). It has a separate runtime with a paused clock. Only its external
//! interfaces are simulated: the transport of internal calls, the calls to servers and to the platform, the
//! disk below the journal, and the monotonic clock. The fleet advances time in short steps. In each step it
//! runs the processes one after another and delivers the messages that they have sent. The clock of a frozen
//! process advances, but the process does not run. Killing a process drops it with all its tasks.
//!
//! The memory of each process is counted: what its code has allocated, which includes messages on their way, until
//! they arrive.
//!
//! The data plane is not simulated: a substitute for the item runner generates the results of batch jobs.
//!
//! [`simulation`] runs fleets with random faults and checks their invariants at short intervals.

mod disk;
mod disk_contents;
mod external_requests;
mod fleet;
mod item_runner;
mod logging;
mod memory_meter;
mod model_server;
mod network;
mod process;
mod server_links;
pub mod simulation;
mod transport;

/// Whether the random choices of the Tokio runtime are seeded too, so that a seed reproduces a run exactly.
/// This requires `--cfg tokio_unstable`.
pub const IS_SEEDED: bool = cfg!(tokio_unstable);

pub use external_requests::{ExternalReply, ExternalRequest, JobCall, OperatorOrder};
pub use fleet::{Fleet, FleetShape, MachineKind};
pub use logging::print_logs;
pub use model_server::{ModelServer, ReceivedOrder};
pub use network::Network;
pub use server_links::ServerPartitionKind;
