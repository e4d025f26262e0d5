//! The program `rushrudder`: its roles `node` and `store`, and commands for operators.

mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run()
}
