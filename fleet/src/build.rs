//! Builds of this program that are measured side by side: each measure is a process of its own, which tells its figure
//! in its report.

use std::env;
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::quantity::Quantity;

/// A measure that takes longer is ended.
const MEASURE_MOST: Duration = Duration::from_secs(120);

/// A build could not be measured.
#[derive(Debug, thiserror::Error)]
#[error("{}: {name} at {size}: {why}", binary.display())]
pub struct BuildError {
    binary: PathBuf,
    name: String,
    size: usize,
    why: String,
}

/// What a build's report tells of one quantity at one size.
#[derive(Debug)]
pub struct Told {
    /// `None` where it could not be had.
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
    /// The one that runs.
    ///
    /// # Errors
    ///
    /// Where the system does not tell its path.
    pub fn this() -> io::Result<Self> {
        Self::at(&env::current_exe()?)
    }

    /// The one at `path`.
    ///
    /// # Errors
    ///
    /// Where nothing is there.
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
    ) -> Result<Told, BuildError> {
        self.run(quantity, size, seed, memory_mb).map_err(|why| BuildError {
            binary: self.binary.clone(),
            name: quantity.name(),
            size,
            why,
        })
    }

    fn run(&self, quantity: Quantity, size: usize, seed: u64, memory_mb: u64) -> Result<Told, String> {
        let made =
            tempfile::tempdir().and_then(|folder| Ok((File::create(folder.path().join("log"))?, folder)));
        let (log, temporary) = made.map_err(|error| format!("no temporary folder: {error}"))?;
        let report = temporary.path().join("report.json");
        let mut command = Command::new(&self.binary);
        command.args(["--log-level", "warn", "--memory-mb", &memory_mb.to_string(), "slopes"]);
        command.args(["--quantity", &quantity.name(), "--sizes", &size.to_string(), "--repeats", "1"]);
        command.args(["--seed", &seed.to_string(), "--report"]).arg(&report);
        // Its report tells the commit of the folder that it runs in.
        command.current_dir(&self.folder).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        let mut child = command.spawn().map_err(|error| format!("cannot be run: {error}"))?;
        let begun = Instant::now();
        let status = loop {
            match child.try_wait() {
                Ok(Some(status)) => break status,
                Ok(None) if begun.elapsed() < MEASURE_MOST => thread::sleep(Duration::from_millis(2)),
                ended => {
                    // It fails where the process has ended meanwhile.
                    let _ = child.kill();
                    let _ = child.wait();
                    return Err(match ended {
                        Err(error) => format!("its end cannot be seen: {error}"),
                        Ok(_) => format!("took over {} s", MEASURE_MOST.as_secs()),
                    });
                }
            }
        };
        if !status.success() {
            let log = fs::read_to_string(temporary.path().join("log")).unwrap_or_default();
            return Err(format!("{status}: {}", log.lines().next_back().unwrap_or_default()));
        }
        let text = fs::read_to_string(&report).map_err(|error| format!("no report: {error}"))?;
        let report = serde_json::from_str(&text).map_err(|error| format!("a bad report: {error}"))?;
        told(&report, &quantity.name(), size).ok_or_else(|| "its report does not have the quantity".into())
    }
}

fn told(report: &Value, name: &str, size: usize) -> Option<Told> {
    let slope = report["results"].as_array()?.iter().find(|slope| slope["quantity"] == name)?;
    let point = slope["points"].as_array()?.iter().find(|point| point["size"] == size)?;
    let value = match point.get("value")? {
        Value::Null => None,
        value => Some(value.as_f64()?),
    };
    let commit = report["commit"].as_str()?.to_owned();
    Some(Told { value, commit, modified: report["modified"].as_bool()? })
}
