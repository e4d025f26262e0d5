//! Selection of the server for each attempt, and the state of the servers, which all requests share.
//!
//! The shared state consists of the dispatcher with the load and health of each server, the connections to
//! servers, the prefix-cache affinity and the hedge budget. One mutex guards it and is never held across an
//! await. A [`ServerSelector`] returns an [`InFlightRequest`] for each attempt, through which the attempt
//! records observations about its server, such as reported load and outcome.

mod affinity;
mod clients;
mod hedging;
mod in_flight;
mod selector;

pub(crate) use in_flight::InFlightRequest;
pub(crate) use selector::ServerSelector;
