//! HTTP paths of the internal calls of the control plane.

/// Sends an acceptor request of the register (prepare, accept, learn or a read).
pub const REGISTER: &str = "/control/register";
/// Requests a grant of the leader lease.
pub const LEASE: &str = "/control/lease";
/// Releases the grants of the leader lease that a candidate or leader holds.
pub const RELEASE: &str = "/control/release";
/// Polls for a newer control state or server list (long poll).
pub const POLL: &str = "/control/poll";
/// Announces a machine with a disk to a seed during the bootstrap of a system.
pub const ANNOUNCE: &str = "/control/announce";
/// Offers the initial value of the register to an acceptor during the bootstrap.
pub const OFFER_INITIAL_VALUE: &str = "/control/first";
/// Sends the internal addresses of the acceptors to a process that may not have them (acceptor gossip).
pub const ACCEPTOR_GOSSIP: &str = "/control/introduce";
/// Pings a process, which replies with its state.
pub const PING: &str = "/control/ping";
