//! Random runs: a fleet with faults that are drawn from a seed, requests of operators and trainers, and
//! checks of the invariants.
//!
//! [`Setup::plan_faults`] draws the faults of a seed, [`simulate`] plays them, and [`shrink`] finds the
//! fewest that still break a rule.

mod checker;
mod convergence;
mod faults;
mod operators;
mod run;
mod setup;
mod trainers;
mod violation;

pub use convergence::Unconverged;
pub use faults::{Fault, FaultKind, FaultMix};
pub use run::{shrink, simulate, FailedRun, RunSummary};
pub use setup::Setup;
pub use violation::{
    AcknowledgedChange, ConfigurationViolation, JobViolation, RegisterViolation, SimulationViolation,
};
