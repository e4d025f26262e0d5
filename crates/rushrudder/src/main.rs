//! rushrudder: the roles of the system and commands for operators.

mod command;
mod local;
mod logging;

use std::process::ExitCode;

use gumdrop::Options;

use command::{Command, Program};
use rushrudder::{node, store};

fn main() -> ExitCode {
    let program = Program::parse_args_default_or_exit();
    match program.command {
        None => {
            eprintln!("{}", Program::usage());
            ExitCode::from(2)
        }
        Some(Command::Node(options)) => command::run_role(options, node::run),
        Some(Command::Store(options)) => command::run_role(options, store::run),
        Some(Command::Local(options)) => local::run(options),
        Some(Command::Check(options)) => command::check(&options),
    }
}
