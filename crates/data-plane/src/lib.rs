//! The data plane of a node: receives requests of clients and forwards them to model servers.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `ingress` | connections of clients, routing, limits, readiness, graceful shutdown |
//! | `forwarding` | the attempts of a request: retries, hedged requests, buffering of responses |
//! | `streaming` | event streams: parsing, relaying event by event, resumption at another server |
//! | `batch` | the requests for batch jobs: items, whose text is collected, and reward calls |
//! | `upstream` | one attempt at one server: request headers, validation of the response head, body |
//! | `selection` | shared state: dispatcher, connections to servers, prefix-cache affinity, hedge budget |
//! | `headers`, `request`, `response` | protocol headers, and the types that the modules exchange |
//!
//! The [`Ingress`] of a node forwards requests of clients through a [`Forwarder`]. A store has no ingress and
//! uses a [`Forwarder`] for the items and reward calls of its batch jobs. The control plane supplies the
//! server list and the configuration through a watch channel. The crate `dispatch` decides which server
//! receives an attempt.
//!
//! Retries follow one rule: after an attempt that may have been executed, the request is sent again only if
//! its route declares it idempotent, or resumable in case of a stream. Items of batch jobs are not retried in
//! this crate.

mod batch;
mod forwarding;
mod headers;
mod ingress;
mod request;
mod response;
mod selection;
mod streaming;
mod upstream;

pub use batch::{ItemOutcome, ItemProgress, ItemRequest, RewardOutcome};
pub use forwarding::Forwarder;
pub use ingress::{ConditionCheck, Ingress, IngressSettings, JobEndpoint};
pub use streaming::{EventParser, StreamEvent};
