//! The servers that requests of this process can be sent to, and which of them gets an attempt.
//!
//! It owns what all requests share: the dispatcher with load and health of each server, the connections to servers, the
//! prefix-cache affinity and the hedge budget. One mutex guards them; it is never locked across an await. A
//! [`ServerSelector`] hands out an [`InFlightRequest`] for each attempt, through which the attempt records what it
//! learns about its server.

mod affinity;
mod clients;
mod hedging;
mod in_flight;
mod selector;

pub(crate) use in_flight::InFlightRequest;
pub(crate) use selector::ServerSelector;
