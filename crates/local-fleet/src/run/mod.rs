//! One run: a fleet starts, training steps go through it while faults are injected, and it is shut down and checked.

mod environment;
mod error;
mod local_run;
mod options;
mod report;

pub use error::LocalError;
pub use options::{FleetSize, LocalOptions, Workload};
pub use report::LocalReport;

use local_run::LocalRun;

/// Runs a fleet and returns the report; `print_progress` gets a line for each event of interest.
///
/// # Errors
///
/// When the fleet does not start, or one of its processes cannot be restarted. Violations of rules are no errors: they
/// are part of the report.
pub async fn run(options: LocalOptions, print_progress: impl Fn(&str)) -> Result<LocalReport, LocalError> {
    let mut run = LocalRun::prepare(options, print_progress).await?;
    run.start().await?;
    run.run_steps().await?;
    run.finish().await
}
