//! A small fleet on loopback: real processes of the system between stand-ins of everything around them.
//!
//! [`run()`] starts traffic nodes and stores as child processes, a [`Platform`], plain and engine servers, an
//! [`Operator`], a [`Trainer`] and a [`Client`], and takes training steps through the system while it injects faults. A
//! [`RequestLog`] records what the servers ran and generated; every response and result is compared with it, so that
//! the report names the rule that was broken.
//!
//! - [`deployment`] has the system under test: processes, addresses, settings, configuration, faults.
//! - [`platform`], [`servers`], [`clients`], [`operator`] and [`trainer`] are the stand-ins.
//! - [`verification`] has the rules and their checks.
//! - [`run`](mod@run) puts them together.

pub mod clients;
pub mod deployment;
pub mod http;
pub mod operator;
pub mod platform;
pub mod protocol;
pub mod run;
pub mod servers;
pub mod trainer;
pub mod verification;

pub use clients::{Client, LoadBalancer};
pub use deployment::{Fleet, ProcessFault};
pub use operator::Operator;
pub use platform::Platform;
pub use run::{run, FleetSize, LocalError, LocalOptions, LocalReport, Workload};
pub use trainer::Trainer;
pub use verification::{RequestLog, Rule, Violation};
