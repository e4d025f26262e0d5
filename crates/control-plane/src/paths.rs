//! Paths of the internal calls of the control plane.

/// A request to the acceptor of the register.
pub const REGISTER: &str = "/control/register";
/// A request for the leader lease.
pub const LEASE: &str = "/control/lease";
/// A candidate releases grants of the leader lease.
pub const RELEASE: &str = "/control/release";
/// The long poll for a newer control state or server list.
pub const POLL: &str = "/control/poll";
/// A machine with a disk announces itself during the bootstrap of a system.
pub const ANNOUNCE: &str = "/control/announce";
/// The initial value of the register.
pub const FIRST: &str = "/control/first";
/// Acceptor gossip: the addresses of the acceptors, for a process that may not have them.
pub const INTRODUCE: &str = "/control/introduce";
/// A liveness check.
pub const PING: &str = "/control/ping";
