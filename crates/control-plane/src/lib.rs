//! The control plane of a process: the replicated control state, the leader lease, the server list and their
//! distribution to all processes.
//!
//! The modules, ordered so that each one uses only earlier ones:
//!
//! - `paths` and `view`: the paths of internal calls, and the snapshot that the process acts on;
//! - `liveness`: pings, and the time at which each acceptor replied last;
//! - `consensus`: the acceptor of this machine, and proposals to all acceptors;
//! - `election`: the leader lease and its fencing token;
//! - `discovery`: how processes find the acceptors, each other and the servers;
//! - `distribution`: how every process receives the newest state by a long poll;
//! - `reconcile`: changes of the members by the leader;
//! - `rollout`: orders of the leader to servers to load other model versions;
//! - `operator_api`: the HTTP interface for the operator.

mod consensus;
mod discovery;
mod distribution;
mod election;
mod liveness;
mod operator_api;
pub mod paths;
mod reconcile;
mod rollout;
mod view;

pub use consensus::{
    check_acceptor_record, run_read_repair, AcceptorMembership, AcceptorService, ChangeFailure, Proposer,
};
pub use discovery::{
    AcceptorGossip, Announcement, Bootstrap, BootstrapAnnouncements, Capability, GossipMessage, GossipSender,
    ListReader, ListSource, Platform, PlatformError, StoreMembership,
};
pub use distribution::{
    ControlUpdate, PollReply, PollRequest, PollService, Poller, RecentLists, ServerChanges, ServerUpdate,
    VersionChange,
};
pub use election::{
    LeaderElection, Leadership, OrderGap, QuorumService, LEASE_TTL, ORDER_DELIVERY_TIMEOUT, RELEASE_TIMEOUT,
};
pub use liveness::{AcceptorContacts, PingReply, PingService};
pub use operator_api::operator_routes;
pub use reconcile::{PendingStore, Reconciler};
pub use rollout::{CallOutcome, CallTag, HttpServerCalls, OrderDispatcher, OrderTracker, ServerCalls};
pub use view::ViewCell;
