//! The commands `node` and `store`: run a role of the system until the platform ends the process.

use std::future::Future;
use std::process::ExitCode;

use error_stack::Report;
use gumdrop::Options;
use rushrudder::RoleError;
use settings::NodeSettings;

use super::{logging, EXIT_USAGE};

/// Options of a role.
#[derive(Debug, Options)]
pub struct RoleOptions {
    /// Print this help.
    help: bool,
    /// Least level that is logged: error, warn, info, debug or trace.
    #[options(default = "info")]
    log_level: log::LevelFilter,
}

/// Loads the settings and runs a role with them. If the role cannot start, logs the reason in one line.
pub fn run<Role, Running>(options: &RoleOptions, role: Role) -> ExitCode
where
    Role: FnOnce(NodeSettings) -> Running,
    Running: Future<Output = Result<(), Report<RoleError>>>,
{
    logging::start(options.log_level);
    let settings = match NodeSettings::from_env() {
        Ok(settings) => settings,
        Err(error) => {
            log::error!("{error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            log::error!("the asynchronous runtime cannot start: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(role(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            log::error!("{}", logging::single_line(&report));
            ExitCode::FAILURE
        }
    }
}
