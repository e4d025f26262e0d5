//! Decision logic of a reverse proxy that spreads requests over HTTP servers, and a node that executes it.
//!
//! A [`Balancer`] is the decision logic of one node, without clock, threads or I/O. It is created from
//! [`DecisionSettings`] and a seed, receives events with the time at which they happened, and appends the
//! actions that the node must carry out. Its core is HSQ (Islam, "Network Load Balancing Methods", section
//! IV.E): one array with a count per ready server, where the server with the lowest count gets the request.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `interface` | settings, events and actions of the decision logic; re-exported here |
//! | `decisions` | the decision logic, [`Balancer`]; its submodules: |
//! | `decisions::admission` | admission control, and probes before the first attempt of a request |
//! | `decisions::selection` | selection of the server for a request by HSQ |
//! | `decisions::expectation` | expected wait of a request at a server |
//! | `decisions::attempts` | attempts, retries, cancellation of stalled attempts, the final answer |
//! | `decisions::health` | outlier ejection, and the update of estimates at the end of an attempt |
//! | `decisions::slow_start` | share of requests for which a warming server is considered |
//! | `decisions::estimates` | running estimates of latency, load, rejections and arrivals |
//! | `decisions::endpoint_table`, `decisions::subscription` | table of servers, updates of the list |
//! | `ring` | order of the ready servers, and the subset of them that a node uses |
//! | [`net`] | the node that proxies HTTP, binary `balancer-node` |
//! | [`wire`] | text protocol that drives the decision logic, binary `balancer-simhost` |
//!
//! # Example
//!
//! The event loop of a node calls [`Balancer::handle`] and carries out the actions:
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
//! // Discovery sends a list of two servers.
//! let servers = (0..2).map(|i| ServerEntry::new(ServerId(i), Availability::Ready)).collect();
//! let update = EndpointUpdate::Snapshot(servers);
//! balancer.handle(0.0, BalancerEvent::EndpointsUpdated(update), &mut actions);
//!
//! // A client sends a request; the balancer returns the server to forward it to.
//! let request = ClientRequest::new(RequestId(7), 0, 600.0);
//! balancer.handle(1.0, BalancerEvent::RequestArrived(request), &mut actions);
//! let Some(BalancerAction::Send { server, .. }) = actions.pop() else { panic!("the request was not sent") };
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
