//! The data plane of a node: it takes requests of clients and forwards them to servers.
//!
//! | module | what it owns |
//! | --- | --- |
//! | `ingress` | connections of clients, routing, limits, readiness, graceful shutdown |
//! | `forwarding` | the attempts of a request: retries, hedging, responses that are buffered until they are complete |
//! | `streaming` | event streams: parsing, passing on event by event, resumption at another server |
//! | `batch` | the requests that batch jobs cause: items, whose text is collected, and reward calls |
//! | `upstream` | one attempt at one server: the request head, checks of the response head, the body |
//! | `selection` | the servers as all requests share them: dispatcher, connections, prefix-cache affinity, hedge budget |
//! | `headers`, `request`, `response` | the protocol's headers, and the messages between the layers |
//!
//! The [`Ingress`] serves clients by a [`Forwarder`]; a store, which has no ingress, uses a [`Forwarder`] for the
//! items and reward calls of its batch jobs. Server list and configuration come from the control plane by a watch
//! channel. Which server gets an attempt is decided by the crate `dispatch`.
//!
//! The rule that governs every retry: after an attempt that may have run, the request goes to another server only if
//! its route says that it is idempotent.

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
pub use ingress::{Ingress, IngressSettings, JobEndpoint, ReadinessCheck};
pub use streaming::{EventParser, StreamEvent};
