//! The decisions of a reverse proxy that spreads requests over HTTP servers, and a node that carries them out.
//!
//! A [`Balancer`] is one node's decision logic, without clock, threads or I/O. It is built from [`DecisionSettings`]
//! and a seed, is fed events with the time they happened at, and pushes the actions that the node is to carry out.
//! Its core is HSQ (Islam, "Network Load Balancing Methods", section IV.E): one array with a count per ready server,
//! the lowest count gets the request.
//!
//! | module | job |
//! | --- | --- |
//! | `interface` | settings, events and actions of the decisions; re-exported here |
//! | `decisions` | the decisions, [`Balancer`]; its submodules: |
//! | `decisions::admission` | whether a request is admitted; probes before its first attempt |
//! | `decisions::selection` | the ordinary path, HSQ: which server gets a request |
//! | `decisions::expectation` | the wait that a request would see at a server |
//! | `decisions::attempts` | attempts, retries, stalled attempts and the final answer |
//! | `decisions::health` | what the end of an attempt says about its server; outlier ejection |
//! | `decisions::slow_start` | the share of requests that a warming server is offered |
//! | `decisions::estimates` | running estimates of latency, load, rejections and arrivals |
//! | `decisions::endpoint_table`, `decisions::subscription` | the servers, and updates of their list |
//! | `ring` | the subset of servers that a node uses |
//! | [`net`] | the node on sockets, binary `balancer-node` |
//! | [`wire`] | the text protocol of the simulated host, binary `balancer-simhost` |
//!
//! # Example
//!
//! A node's event loop calls [`Balancer::handle`] and carries out the actions:
//!
//! ```
//! use balancer::{
//!     AttemptEnd, AttemptOutcome, Availability, Balancer, BalancerAction, BalancerEvent, ClientRequest,
//!     DecisionSettings, EndpointUpdate, Idempotency, RequestClass, RequestId, ServerEntry, ServerId,
//! };
//!
//! let mut settings = DecisionSettings::new(vec![RequestClass::new(200.0, 600.0, Idempotency::Safe)]);
//! settings.nodes = 3;
//! let mut balancer = Balancer::new(settings, 42)?;
//! let mut actions = Vec::new();
//!
//! // Discovery lists two servers.
//! let servers = (0..2).map(|i| ServerEntry::new(ServerId(i), Availability::Ready)).collect();
//! let update = EndpointUpdate::Snapshot(servers);
//! balancer.handle(0.0, BalancerEvent::EndpointsUpdated(update), &mut actions);
//!
//! // A client sends a request; the balancer names the server to forward it to.
//! let request = ClientRequest::new(RequestId(7), 0, 600.0);
//! balancer.handle(1.0, BalancerEvent::RequestArrived(request), &mut actions);
//! let Some(BalancerAction::Send { server, .. }) = actions.pop() else { panic!("nothing sent") };
//!
//! // The server answers.
//! let end = AttemptEnd {
//!     request: RequestId(7),
//!     attempt: 0,
//!     elapsed_ms: 18.5,
//!     outcome: AttemptOutcome::Served,
//!     complete: true,
//!     report: None,
//! };
//! balancer.handle(19.5, BalancerEvent::AttemptEnded(end), &mut actions);
//! # let _ = server;
//! # Ok::<(), balancer::SettingsError>(())
//! ```

mod decisions;
mod interface;
pub mod net;
mod ring;

pub mod wire;

pub use decisions::Balancer;
pub use interface::*;
