//! A run of a fleet: starts the fleet, runs training steps while faults are injected, reads all results
//! again, shuts the fleet down and reports violations of the rules.

mod environment;
mod error;
mod local_run;
mod options;
mod report;

pub use error::LocalError;
pub use options::{FleetSize, LocalOptions, Workload};
pub use report::LocalReport;

use local_run::LocalRun;

/// Runs a fleet and returns the report. `print_progress` is called with a line for the start, each step, each
/// fault, each change of the configuration and each unexpected exit of a process.
///
/// # Errors
///
/// When an option is invalid, the fleet does not start, or one of its processes cannot be signalled or
/// restarted. Violations of rules are not errors; the report contains them.
pub async fn run(options: LocalOptions, print_progress: impl Fn(&str)) -> Result<LocalReport, LocalError> {
    let mut run = LocalRun::prepare(options, print_progress).await?;
    run.start().await?;
    run.run_steps().await?;
    run.finish().await
}
