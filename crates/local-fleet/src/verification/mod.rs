//! Checks of the system's rules: the log of what the servers executed and generated, and the rules against
//! which results and responses are checked.
//!
//! The emulated servers, clients and trainer share one [`RequestLog`], which records each broken rule as a
//! [`Violation`].

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
