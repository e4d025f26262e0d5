//! Checks of the system's rules: the log of what the servers ran and generated, and the rules that results and
//! responses are checked against.
//!
//! The stand-ins of servers, clients and trainers write one [`RequestLog`]; a broken rule becomes a [`Violation`] there.

mod event_data;
mod request_log;
mod result_check;
mod violation;

pub use event_data::{EventData, ParseEventDataError};
pub use request_log::{
    ExpectedRequest, GeneratedEvent, GenerationId, OrderRecord, RecordedResponse, RequestArrival, RequestLog,
};
pub use result_check::{check_result, ExpectedItem, JobExpectations};
pub use violation::{Rule, Violation};
