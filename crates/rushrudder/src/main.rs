//! The program `rushrudder`: runs the roles `node` and `store`, and the operators' commands `local` and
//! `check`.

mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run()
}
