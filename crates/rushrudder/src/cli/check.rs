//! `check`: parses files as the processes do, and names every error.

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

/// Checks the files and prints an error for each that cannot be used.
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

/// Why a file cannot be used.
enum CheckError {
    /// The file cannot be read.
    Read(std::io::Error),
    /// It is no settings file.
    Settings(SettingsError),
    /// It is no configuration.
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

/// Checks a file; prints the error, if any, and returns whether there is none.
fn check_file(path: &Path, check: fn(&Path) -> Result<(), CheckError>) -> bool {
    let checked = check(path);
    if let Err(error) = &checked {
        eprintln!("{}: {error}", path.display());
    }
    checked.is_ok()
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
