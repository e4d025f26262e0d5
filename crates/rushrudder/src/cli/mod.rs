//! The command line: parses the options and runs the command that they select.
//!
//! The doc comments of the option structs and of their fields are the help texts of the program.

mod check;
mod local;
mod logging;
mod role;

use std::process::ExitCode;

use gumdrop::Options;

use rushrudder::{node, store};

use check::CheckOptions;
use local::LocalCommand;
use role::RoleOptions;

/// Exit code for invalid arguments, for settings that cannot be used, and for a local fleet that cannot run.
const EXIT_USAGE: u8 = 2;

/// A rollout scheduler for trainers.
#[derive(Debug, Options)]
struct Program {
    /// Print this help.
    help: bool,
    /// What to do.
    #[options(command)]
    command: Option<Command>,
}

/// What to do.
#[derive(Debug, Options)]
enum Command {
    /// Serve as a traffic node (settings file in RUSHRUDDER_BOOT).
    Node(RoleOptions),
    /// Serve as a store of batch jobs (settings file in RUSHRUDDER_BOOT).
    Store(RoleOptions),
    /// Bring up a small fleet on this machine and let training steps go through it.
    Local(LocalCommand),
    /// Check a settings file or a configuration and name every error.
    Check(CheckOptions),
}

/// Parses the command line and runs the command that it names.
pub fn run() -> ExitCode {
    let program = Program::parse_args_default_or_exit();
    match program.command {
        None => {
            eprintln!("{}", Program::usage());
            if let Some(commands) = Program::command_list() {
                eprintln!("\nAvailable commands:\n{commands}");
            }
            ExitCode::from(EXIT_USAGE)
        }
        Some(Command::Node(options)) => role::run(&options, node::run),
        Some(Command::Store(options)) => role::run(&options, store::run),
        Some(Command::Local(options)) => local::run(&options),
        Some(Command::Check(options)) => check::run(&options),
    }
}
