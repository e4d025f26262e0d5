//! Control of a process: the register, the leader lease, the operator's interface, the list of servers and
//! their distribution.

mod acceptor;
mod acceptor_membership;
mod bootstrap;
mod contacts;
mod control_updates;
mod core_service;
mod distribution;
mod introductions;
mod leader;
mod list_reader;
mod messages;
mod operator;
mod order_desk;
mod orders;
mod ping;
mod platform;
mod poll;
mod proposer;
mod server_calls;
mod server_updates;
mod upkeep;
mod version_news;
mod view;

pub use acceptor::{run_scrub, AcceptorService};
pub use acceptor_membership::{join_register, leave_register};
pub use bootstrap::{join_stores, leave_stores, start_first, FirstStart, Identity};
pub use contacts::AcceptorContacts;
pub use control_updates::ControlUpdate;
pub use core_service::CoreService;
pub use distribution::Distribution;
pub use introductions::{run_acceptor_gossip, AcceptorGossip};
pub use leader::{run_leader, Leadership, OrderGap, LEASE_TTL};
pub use list_reader::run_list_reader;
pub use messages::{paths, Announcement, Capability, GossipMessage, PingReply, PollReply, PollRequest};
pub use operator::operator_routes;
pub use order_desk::{CallOutcome, CallTag, OrderTracker};
pub use orders::run_orders;
pub use platform::{ListSource, Platform, PlatformError};
pub use poll::run_poller;
pub use proposer::{ChangeFailure, Proposer};
pub use server_calls::{HttpServerCalls, ServerCalls};
pub use server_updates::{RecentLists, ServerChanges, ServerUpdate};
pub use upkeep::run_reconciler;
pub use view::ViewCell;
