//! A small fleet on loopback for end-to-end tests: real processes of the system, and emulators of all parties
//! that exchange messages with them.
//!
//! [`run()`] starts traffic nodes and stores as child processes. In the calling process it emulates the
//! platform ([`Platform`]), plain servers and engines, the [`Operator`], a [`Trainer`] and a [`Client`]. It
//! then runs training steps and injects faults into the child processes. A [`RequestLog`] records what the
//! servers executed and generated; every response and result is compared with it, so that the report names
//! each rule that was broken.
//!
//! - [`deployment`] contains the system under test: processes, addresses, settings, configuration, faults.
//! - [`platform`], [`servers`], [`clients`], [`operator`] and [`trainer`] are the emulators.
//! - [`verification`] contains the rules and their checks.
//! - [`run`](mod@run) combines them.

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
