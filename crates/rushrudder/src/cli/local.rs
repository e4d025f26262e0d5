//! The command `local`: runs a small fleet of real processes on this machine, with an emulated platform,
//! emulated model servers and emulated trainers.

use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;
use local_fleet::{FleetSize, LocalError, LocalOptions, LocalReport, ProcessFault, Workload};

use rushrudder::signals::Signals;

use super::{logging, EXIT_USAGE};

/// Options of `local`.
#[derive(Debug, Options)]
pub struct LocalCommand {
    /// Print this help.
    help: bool,
    /// Traffic nodes; the first three have a disk.
    #[options(default = "3")]
    nodes: u8,
    /// Stores of batch jobs.
    #[options(default = "3")]
    stores: u8,
    /// Training steps.
    #[options(default = "5")]
    steps: u64,
    /// Every so many texts of a model server, one is cut; 0: none.
    #[options(short = "c", long = "cut-every", meta = "CUT-EVERY", default = "0")]
    truncate_every: u64,
    /// Let a text be made by several versions of the weights.
    mixed_versions: bool,
    /// A trouble, STEP:kill|wipe|stop:PROCESS or STEP:kill-all; may be given again.
    #[options(short = "t", long = "trouble", meta = "TROUBLE")]
    faults: Vec<ProcessFault>,
    /// Files of the processes (default: a folder for temporary files).
    #[options(meta = "DIRECTORY")]
    directory: Option<PathBuf>,
    /// Third part of all addresses, 127.10.SUBNET.x.
    #[options(default = "1")]
    subnet: u8,
    /// Print the report as JSON.
    json: bool,
    /// Least level that is logged: error, warn, info, debug or trace.
    #[options(default = "error")]
    log_level: log::LevelFilter,
}

/// Runs a fleet and prints its report. Returns failure unless every training step was completed and no rule
/// was violated, and [`EXIT_USAGE`] if the fleet cannot run.
pub fn run(command: &LocalCommand) -> ExitCode {
    logging::start(command.log_level);
    match run_fleet(command) {
        Ok(report) => {
            print_report(&report, command.json);
            if report.is_clean() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(error) => {
            eprintln!("local: {error}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn run_fleet(command: &LocalCommand) -> Result<LocalReport, LocalError> {
    let options = options(command)?;
    eprintln!("directory with the files and logs of the processes: {}", options.directory.display());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut signals = Signals::listen().map_err(|_| LocalError::Interrupted)?;
        // Dropping the future of the run ends the processes of the fleet.
        tokio::select! {
            result = local_fleet::run(options, |line| eprintln!("{line}")) => result,
            _ = signals.next() => Err(LocalError::Interrupted),
            _ = tokio::signal::ctrl_c() => Err(LocalError::Interrupted),
        }
    })
}

fn options(command: &LocalCommand) -> Result<LocalOptions, LocalError> {
    let directory = command.directory.clone().unwrap_or_else(temporary_directory);
    let base = LocalOptions::new(std::env::current_exe()?, directory);
    Ok(LocalOptions {
        size: FleetSize { nodes: command.nodes, stores: command.stores, ..base.size },
        workload: Workload {
            steps: command.steps,
            truncate_every: command.truncate_every,
            single_version: !command.mixed_versions,
            ..base.workload
        },
        faults: command.faults.clone(),
        subnet: command.subnet,
        ..base
    })
}

fn temporary_directory() -> PathBuf {
    std::env::temp_dir().join(format!("rushrudder-local-{}", std::process::id()))
}

fn print_report(report: &LocalReport, as_json: bool) {
    if !as_json {
        return print!("{report}");
    }
    match serde_json::to_string_pretty(report) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("local: the report cannot be encoded as JSON: {error}"),
    }
}
