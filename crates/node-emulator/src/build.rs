//! Builds of this program that are measured side by side: each measurement is a process of its own, whose result is
//! read from the report that it writes.

use std::env;
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::quantity::Quantity;

/// A measurement that takes longer is killed.
const MEASURE_TIMEOUT: Duration = Duration::from_secs(120);

/// A build could not be measured.
#[derive(Debug, thiserror::Error)]
#[error("{}: {quantity} at {size}: {source}", binary.display())]
pub struct BuildError {
    binary: PathBuf,
    quantity: String,
    size: usize,
    source: MeasureError,
}

/// Why one measurement of a build failed.
#[derive(Debug, thiserror::Error)]
enum MeasureError {
    #[error("no temporary folder: {0}")]
    Folder(io::Error),
    #[error("cannot be run: {0}")]
    Start(io::Error),
    #[error("its end cannot be seen: {0}")]
    Wait(io::Error),
    #[error("took over {} s", MEASURE_TIMEOUT.as_secs())]
    TimedOut,
    #[error("{status}: {last_line}")]
    Failed { status: ExitStatus, last_line: String },
    #[error("no report: {0}")]
    NoReport(io::Error),
    #[error("a bad report: {0}")]
    BadReport(serde_json::Error),
    #[error("its report does not have the quantity")]
    NoQuantity,
}

/// One quantity at one size, as a build's report has it.
#[derive(Debug)]
pub struct BuildMeasurement {
    /// `None` where the build could not measure it, see [`Point::value`](crate::slopes::Point::value).
    pub value: Option<f64>,
    /// The commit that is checked out where the binary lies, or `unknown`.
    pub commit: String,
    /// Whether files differed from it.
    pub modified: bool,
}

/// A binary of this program.
pub struct Build {
    binary: PathBuf,
    folder: PathBuf,
}

impl Build {
    /// The build of the running process.
    ///
    /// # Errors
    ///
    /// Where the path of the executable is unknown.
    pub fn this() -> io::Result<Self> {
        Self::at(&env::current_exe()?)
    }

    /// The build whose binary is at `path`.
    ///
    /// # Errors
    ///
    /// Where there is no file at `path`.
    pub fn at(path: &Path) -> io::Result<Self> {
        let binary = path.canonicalize().map_err(|error| {
            io::Error::new(error.kind(), format!("cannot run the build {}: {error}", path.display()))
        })?;
        let folder = binary.parent().unwrap_or(Path::new("/")).to_owned();
        Ok(Self { binary, folder })
    }

    /// Measures a quantity at one size, once.
    ///
    /// # Errors
    ///
    /// Where the binary cannot be run, fails, takes over two minutes, or its report does not have the quantity.
    pub fn measure(
        &self,
        quantity: Quantity,
        size: usize,
        seed: u64,
        memory_mb: u64,
    ) -> Result<BuildMeasurement, BuildError> {
        self.run(quantity, size, seed, memory_mb).map_err(|source| BuildError {
            binary: self.binary.clone(),
            quantity: quantity.name(),
            size,
            source,
        })
    }

    fn run(
        &self,
        quantity: Quantity,
        size: usize,
        seed: u64,
        memory_mb: u64,
    ) -> Result<BuildMeasurement, MeasureError> {
        let folder = tempfile::tempdir().map_err(MeasureError::Folder)?;
        let log = File::create(folder.path().join("log")).map_err(MeasureError::Folder)?;
        let report = folder.path().join("report.json");
        let mut command = Command::new(&self.binary);
        command.args(["--log-level", "warn", "--memory-mb", &memory_mb.to_string(), "slopes"]);
        command.args(["--quantity", &quantity.name(), "--sizes", &size.to_string(), "--repeats", "1"]);
        command.args(["--seed", &seed.to_string(), "--report"]).arg(&report);
        // A report names the commit checked out in the working folder: run the build where its binary is.
        command.current_dir(&self.folder).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        let status = wait_with_timeout(&mut command.spawn().map_err(MeasureError::Start)?)?;
        if !status.success() {
            let log = fs::read_to_string(folder.path().join("log")).unwrap_or_default();
            let last_line = log.lines().next_back().unwrap_or_default().to_owned();
            return Err(MeasureError::Failed { status, last_line });
        }
        let text = fs::read_to_string(&report).map_err(MeasureError::NoReport)?;
        let report = serde_json::from_str(&text).map_err(MeasureError::BadReport)?;
        find_measurement(&report, &quantity.name(), size).ok_or(MeasureError::NoQuantity)
    }
}

/// Waits for a process, which is killed at the time-out.
fn wait_with_timeout(child: &mut Child) -> Result<ExitStatus, MeasureError> {
    let started = Instant::now();
    loop {
        match child.try_wait() {
            Ok(Some(status)) => return Ok(status),
            Ok(None) if started.elapsed() < MEASURE_TIMEOUT => thread::sleep(Duration::from_millis(2)),
            result => {
                // `kill` fails where the process has ended meanwhile.
                let _ = child.kill();
                let _ = child.wait();
                return Err(result.map_or_else(MeasureError::Wait, |_| MeasureError::TimedOut));
            }
        }
    }
}

fn find_measurement(report: &Value, name: &str, size: usize) -> Option<BuildMeasurement> {
    let slope = report["results"].as_array()?.iter().find(|slope| slope["quantity"] == name)?;
    let point = slope["points"].as_array()?.iter().find(|point| point["size"] == size)?;
    let value = match point.get("value")? {
        Value::Null => None,
        value => Some(value.as_f64()?),
    };
    let commit = report["commit"].as_str()?.to_owned();
    Some(BuildMeasurement { value, commit, modified: report["modified"].as_bool()? })
}
