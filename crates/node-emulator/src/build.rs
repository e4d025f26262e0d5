//! Runs measurements of this build and of an earlier build of the program side by side. Each measurement is a
//! separate process, and its result is read from the report that it writes.

use std::env;
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::quantity::Quantity;

/// Maximum duration of one measurement, after which its process is killed.
const MEASURE_TIMEOUT: Duration = Duration::from_secs(120);

/// Error of a measurement that failed with one of the builds.
#[derive(Debug, thiserror::Error)]
#[error("the build {} cannot measure {quantity} at {size}: {source}", binary.display())]
pub struct BuildError {
    binary: PathBuf,
    quantity: String,
    size: usize,
    source: MeasureError,
}

/// The reason for which a measurement failed.
#[derive(Debug, thiserror::Error)]
enum MeasureError {
    #[error("the temporary directory or its log file cannot be created: {0}")]
    Directory(io::Error),
    #[error("the process cannot be started: {0}")]
    Start(io::Error),
    #[error("the exit status of the process cannot be read: {0}")]
    Wait(io::Error),
    #[error("the process took over {} s and was killed", MEASURE_TIMEOUT.as_secs())]
    TimedOut,
    #[error("{status}: {last_line}")]
    Failed { status: ExitStatus, last_line: String },
    #[error("no report can be read: {0}")]
    NoReport(io::Error),
    #[error("the report is not valid JSON: {0}")]
    BadReport(serde_json::Error),
    #[error("the report does not contain a value of this quantity at this size")]
    NoQuantity,
}

/// The measurement of one quantity at one size, as read from the report of a build.
#[derive(Debug)]
pub struct BuildMeasurement {
    /// The measured value; `None` if the build cannot measure the quantity at this size, see
    /// [`Point::value`](crate::slopes::Point::value).
    pub value: Option<f64>,
    /// The commit that is checked out in the directory of the binary, or `unknown`.
    pub commit: String,
    /// Whether files in that directory differed from the commit.
    pub modified: bool,
}

/// A binary of this program, which measurements are run with.
pub struct Build {
    binary: PathBuf,
    directory: PathBuf,
}

impl Build {
    /// Returns the build of the running process.
    ///
    /// # Errors
    ///
    /// Fails if the path of the executable is unknown.
    pub fn this() -> io::Result<Self> {
        Self::at(&env::current_exe()?)
    }

    /// Returns the build whose binary is at `path`.
    ///
    /// # Errors
    ///
    /// Fails if there is no file at `path`.
    pub fn at(path: &Path) -> io::Result<Self> {
        let binary = path.canonicalize().map_err(|error| {
            io::Error::new(error.kind(), format!("cannot run the build {}: {error}", path.display()))
        })?;
        let directory = binary.parent().unwrap_or(Path::new("/")).to_owned();
        Ok(Self { binary, directory })
    }

    /// Measures a quantity at one size with one repeat.
    ///
    /// # Errors
    ///
    /// Fails if the binary cannot be started, fails or takes over two minutes, or if its report lacks the
    /// quantity.
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
        let directory = tempfile::tempdir().map_err(MeasureError::Directory)?;
        let log = File::create(directory.path().join("log")).map_err(MeasureError::Directory)?;
        let report = directory.path().join("report.json");
        let mut command = Command::new(&self.binary);
        command.args(["--log-level", "warn", "--memory-mb", &memory_mb.to_string(), "slopes"]);
        command.args(["--quantity", &quantity.name(), "--sizes", &size.to_string(), "--repeats", "1"]);
        command.args(["--seed", &seed.to_string(), "--report"]).arg(&report);
        // The report names the commit that is checked out in the working directory. The process runs in the
        // directory of its binary, so that this is the commit of the build.
        command.current_dir(&self.directory).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        let status = wait_with_timeout(&mut command.spawn().map_err(MeasureError::Start)?)?;
        if !status.success() {
            let log = fs::read_to_string(directory.path().join("log")).unwrap_or_default();
            let last_line = log.lines().next_back().unwrap_or_default().to_owned();
            return Err(MeasureError::Failed { status, last_line });
        }
        let text = fs::read_to_string(&report).map_err(MeasureError::NoReport)?;
        let report = serde_json::from_str(&text).map_err(MeasureError::BadReport)?;
        find_measurement(&report, &quantity.name(), size).ok_or(MeasureError::NoQuantity)
    }
}

/// Waits until a process has ended, and kills it if it has not ended after [`MEASURE_TIMEOUT`].
fn wait_with_timeout(child: &mut Child) -> Result<ExitStatus, MeasureError> {
    let started = Instant::now();
    loop {
        match child.try_wait() {
            Ok(Some(status)) => return Ok(status),
            Ok(None) if started.elapsed() < MEASURE_TIMEOUT => thread::sleep(Duration::from_millis(2)),
            result => {
                // `kill` fails if the process has ended since `try_wait`.
                let _ = child.kill();
                let _ = child.wait();
                return Err(result.map_or_else(MeasureError::Wait, |_| MeasureError::TimedOut));
            }
        }
    }
}

/// Finds the value of a quantity at one size in a report; `None` if the report lacks it.
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
