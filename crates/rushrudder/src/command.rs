//! The command line.

use std::future::Future;
use std::path::PathBuf;
use std::process::ExitCode;

use configuration::Configuration;
use error_stack::Report;
use gumdrop::Options;
use settings::Settings;

use rushrudder::RoleError;

use crate::local::LocalCommand;
use crate::logging;

/// A rollout scheduler for trainers.
#[derive(Debug, Options)]
pub struct Program {
    /// Print this help.
    pub help: bool,
    /// What to do.
    #[options(command)]
    pub command: Option<Command>,
}

/// What to do.
#[derive(Debug, Options)]
pub enum Command {
    /// Serve as a traffic node (settings file in RUSHRUDDER_BOOT).
    Node(RoleOptions),
    /// Serve as a store of batch jobs (settings file in RUSHRUDDER_BOOT).
    Store(RoleOptions),
    /// Bring up a small fleet on this machine and let training steps go through it.
    Local(LocalCommand),
    /// Check a settings file or a configuration and name every error.
    Check(CheckOptions),
}

/// Options of a role.
#[derive(Debug, Options)]
pub struct RoleOptions {
    /// Print this help.
    pub help: bool,
    /// Least level that is logged: error, warn, info, debug or trace.
    #[options(default = "info")]
    pub log_level: log::LevelFilter,
}

/// Options of `check`.
#[derive(Debug, Options)]
pub struct CheckOptions {
    /// Print this help.
    pub help: bool,
    /// A settings file (TOML).
    pub settings: Option<PathBuf>,
    /// A configuration as the operator sends it (JSON).
    pub configuration: Option<PathBuf>,
}

/// Runs a role until its end.
pub fn run_role<Role, Running>(options: RoleOptions, role: Role) -> ExitCode
where
    Role: FnOnce(Settings) -> Running,
    Running: Future<Output = Result<(), Report<RoleError>>>,
{
    logging::start(options.log_level);
    let settings = match Settings::from_env() {
        Ok(settings) => settings,
        Err(report) => {
            log::error!("{report:?}");
            return ExitCode::from(2);
        }
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            log::error!("no runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(role(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            log::error!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

/// Checks files and names every error.
pub fn check(options: &CheckOptions) -> ExitCode {
    let mut faults = 0;
    if let Some(path) = &options.settings {
        if let Err(report) = Settings::load(path) {
            eprintln!("{}: {report:?}", path.display());
            faults += 1;
        }
    }
    if let Some(path) = &options.configuration {
        let fault = match std::fs::read(path) {
            Ok(bytes) => Configuration::parse(&bytes).err().map(|error| error.to_string()),
            Err(error) => Some(error.to_string()),
        };
        if let Some(fault) = fault {
            eprintln!("{}: {fault}", path.display());
            faults += 1;
        }
    }
    if options.settings.is_none() && options.configuration.is_none() {
        eprintln!("check: name a file by --settings or --configuration");
        return ExitCode::from(2);
    }
    if faults > 0 {
        return ExitCode::FAILURE;
    }
    println!("no fault found");
    ExitCode::SUCCESS
}
