//! The JSON report of a run. It is written atomically: the file is either complete or absent.

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, BufWriter, IntoInnerError, Write};
use std::path::{Path, PathBuf};
use std::process::Command;

use serde::Serialize;
use tempfile::NamedTempFile;

use crate::traffic::TrafficTotals;
use crate::usage::Memory;

/// Error of a report that cannot be written. A previous report at the same path is unchanged.
#[derive(Debug, thiserror::Error)]
#[error("cannot write the report {path}: {source}")]
pub struct ReportError {
    path: PathBuf,
    source: io::Error,
}

/// The report of a run of the command `play` or `slopes`, which determines the types of `settings` and
/// `results`.
#[derive(Debug, Serialize)]
pub struct Report<S, R> {
    /// The command that was run, `play` or `slopes`.
    pub command: &'static str,
    /// Seed of all random numbers.
    pub seed: u64,
    /// The commit that was checked out in the working directory at the start of the run, or `unknown`.
    pub commit: String,
    /// Whether files in the working directory differed from that commit.
    pub modified: bool,
    /// The options of the run, and the scenario of `play`.
    pub settings: S,
    /// Memory of the process at the end of the run.
    pub memory: Memory,
    /// Processor seconds: by role of thread for `play`; by quantity for `slopes`, which adds the total as
    /// `process`.
    pub cpu_seconds: BTreeMap<String, f64>,
    /// Bytes, messages and connections by role, such as `discovery`.
    pub traffic: BTreeMap<String, TrafficTotals>,
    /// What the command measured: results of the scenario for `play`, slopes by quantity for `slopes`.
    pub results: R,
}

impl<S: Serialize, R: Serialize> Report<S, R> {
    /// Writes the report to a temporary file in the directory of `path`, and renames the file to `path`.
    ///
    /// # Errors
    ///
    /// Fails if the directory cannot be created or written to, or if a value cannot be serialized.
    pub fn write(&self, path: &Path) -> Result<(), ReportError> {
        write_atomically(path, self).map_err(|source| ReportError { path: path.to_owned(), source })
    }
}

fn write_atomically(path: &Path, report: &impl Serialize) -> io::Result<()> {
    let directory = path.parent().filter(|parent| !parent.as_os_str().is_empty()).unwrap_or(Path::new("."));
    fs::create_dir_all(directory)?;
    let mut file = BufWriter::new(NamedTempFile::new_in(directory)?);
    serde_json::to_writer_pretty(&mut file, report)?;
    file.write_all(b"\n")?;
    // On an error, here or above, the temporary file is dropped and thereby deleted.
    let file = file.into_inner().map_err(IntoInnerError::into_error)?;
    file.as_file().sync_all()?;
    file.persist(path)?;
    Ok(())
}

/// Returns the commit that is checked out in the working directory, or `unknown`, and whether files differ
/// from it.
#[must_use]
pub fn checked_out_commit() -> (String, bool) {
    let git = |arguments: &[&str]| {
        let output = Command::new("git").args(arguments).output().ok()?;
        let text = String::from_utf8(output.stdout).ok()?;
        output.status.success().then(|| text.trim().to_owned())
    };
    let commit = git(&["rev-parse", "HEAD"]);
    let modified = commit.is_some() && git(&["status", "--porcelain"]).is_some_and(|text| !text.is_empty());
    (commit.unwrap_or_else(|| "unknown".into()), modified)
}
