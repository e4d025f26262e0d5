//! HTTP paths of the internal calls of the control plane.

/// Path of requests to the acceptor of the register: prepare, accept, learn and reads.
pub const REGISTER: &str = "/control/register";
/// Path of requests for a grant of the leader lease.
pub const LEASE: &str = "/control/lease";
/// Path by which a candidate or leader releases its grants of the leader lease.
pub const RELEASE: &str = "/control/release";
/// Path of long polls for a newer control state or server list.
pub const POLL: &str = "/control/poll";
/// Path by which a machine with a disk announces itself to a seed during the bootstrap of a system.
pub const ANNOUNCE: &str = "/control/announce";
/// Path by which the initial value of the register is offered to an acceptor during the bootstrap.
pub const OFFER_INITIAL_VALUE: &str = "/control/first";
/// Path of acceptor gossip: internal addresses of the acceptors, for a process that may not have them.
pub const ACCEPTOR_GOSSIP: &str = "/control/introduce";
/// Path of pings, to which a process replies with its state.
pub const PING: &str = "/control/ping";
