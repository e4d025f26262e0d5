//! The command `check`: parses files in the same way as the processes, and prints the errors.

use std::fmt;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use configuration::{Configuration, ConfigurationError};
use gumdrop::Options;
use settings::{NodeSettings, SettingsError};

use super::EXIT_USAGE;

/// Options of `check`.
#[derive(Debug, Options)]
pub struct CheckOptions {
    /// Print this help.
    help: bool,
    /// A settings file (TOML).
    settings: Option<PathBuf>,
    /// A configuration as the operator sends it (JSON).
    configuration: Option<PathBuf>,
}

/// Checks the given files, and prints one error for each file that cannot be used.
pub fn run(options: &CheckOptions) -> ExitCode {
    let settings = options.settings.as_deref().map(|path| check_file(path, check_settings));
    let configuration = options.configuration.as_deref().map(|path| check_file(path, check_configuration));
    let results = [settings, configuration];
    if results.iter().all(Option::is_none) {
        eprintln!("check: name a file by --settings or --configuration");
        return ExitCode::from(EXIT_USAGE);
    }
    if results.contains(&Some(false)) {
        return ExitCode::FAILURE;
    }
    println!("no fault found");
    ExitCode::SUCCESS
}

/// Reason why a file cannot be used.
enum CheckError {
    /// The file cannot be read.
    Read(std::io::Error),
    /// The file does not contain valid settings.
    Settings(SettingsError),
    /// The file does not contain a valid configuration.
    Configuration(ConfigurationError),
}

impl fmt::Display for CheckError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(error) => error.fmt(f),
            Self::Settings(error) => error.fmt(f),
            Self::Configuration(error) => error.fmt(f),
        }
    }
}

/// Checks a file with `check`, and prints the error if there is one. Returns whether the file is valid.
fn check_file(path: &Path, check: fn(&Path) -> Result<(), CheckError>) -> bool {
    let result = check(path);
    if let Err(error) = &result {
        eprintln!("{}: {error}", path.display());
    }
    result.is_ok()
}

fn check_settings(path: &Path) -> Result<(), CheckError> {
    let text = std::fs::read_to_string(path).map_err(CheckError::Read)?;
    NodeSettings::parse(&text).map_err(CheckError::Settings)?;
    Ok(())
}

fn check_configuration(path: &Path) -> Result<(), CheckError> {
    let json = std::fs::read(path).map_err(CheckError::Read)?;
    Configuration::parse(&json).map_err(CheckError::Configuration)?;
    Ok(())
}
