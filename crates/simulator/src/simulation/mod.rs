//! Simulation runs with random faults: a fleet handles requests of operators and trainers while its
//! invariants are checked.
//!
//! [`Setup::plan_faults`] draws the faults of a seed, [`simulate`] runs a fleet with them, and [`shrink`]
//! finds the smallest number of faults that still leads to a violation.

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
pub use trainers::JobLoad;
pub use violation::{
    AcknowledgedChange, ConfigurationViolation, JobViolation, RegisterViolation, SimulationViolation,
};
