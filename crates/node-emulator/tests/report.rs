//! Checks that reports are written atomically, and that the fitted line is the least-squares one.

use std::collections::BTreeMap;
use std::path::Path;

use node_emulator::fit::fit;
use node_emulator::report::Report;
use node_emulator::usage::Memory;
use serde::ser::Error as _;
use serde::{Serialize, Serializer};

/// Results of a report whose serialization fails. They are the last field, so the fields before have been
/// written.
struct FailingResults;

impl Serialize for FailingResults {
    fn serialize<S: Serializer>(&self, _: S) -> Result<S::Ok, S::Error> {
        Err(S::Error::custom("serialization fails"))
    }
}

fn new_report<R: Serialize>(results: R) -> Report<Vec<u64>, R> {
    Report {
        command: "play",
        seed: 3,
        commit: "unknown".into(),
        modified: false,
        // Larger than all buffers, so that a part of the report reaches the file.
        settings: (0..100_000).collect(),
        memory: Memory::default(),
        cpu_seconds: BTreeMap::new(),
        traffic: BTreeMap::new(),
        results,
    }
}

/// Returns the names of the files in a directory.
fn file_names(directory: &Path) -> Vec<String> {
    let names = std::fs::read_dir(directory).expect("the directory can be read");
    names
        .map(|file| {
            file.expect("the entry can be read").file_name().into_string().expect("the name is UTF-8")
        })
        .collect()
}

#[test]
fn a_report_that_cannot_be_serialized_keeps_the_previous_report_and_leaves_no_other_file() {
    let directory = tempfile::tempdir().expect("the directory can be created");
    let path = directory.path().join("deep/report.json");
    new_report(41).write(&path).expect("the report can be written");
    let previous = std::fs::read_to_string(&path).expect("the report can be read");
    let read: serde_json::Value = serde_json::from_str(&previous).expect("the report is JSON");
    assert_eq!((&read["seed"], &read["results"]), (&3.into(), &41.into()));
    let error =
        new_report(FailingResults).write(&path).expect_err("the results cannot be serialized").to_string();
    assert!(error.contains("report.json") && error.contains("serialization fails"), "{error}");
    assert!(
        std::fs::read_to_string(&path).expect("the report can be read") == previous,
        "the previous report has changed"
    );
    assert_eq!(file_names(path.parent().expect("the path has a parent")), ["report.json"]);
}

#[test]
fn a_report_that_cannot_be_renamed_leaves_no_temporary_file() {
    let directory = tempfile::tempdir().expect("the directory can be created");
    let path = directory.path().join("report.json");
    // A directory that is not empty occupies the path, so that the rename fails.
    std::fs::create_dir_all(path.join("taken")).expect("the directory can be created");
    assert!(new_report(1).write(&path).is_err());
    assert_eq!(file_names(directory.path()), ["report.json"]);
}

#[test]
fn the_fitted_line_is_the_least_squares_line() {
    let line = fit(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]).expect("a line can be fitted");
    assert!((line.slope - 2.0).abs() < 1e-9 && (line.intercept - 3.0).abs() < 1e-9 && line.r2 > 0.999_999);
    // Calculated by hand: the means are 2 and 3, the sums of squares 2 and 6, and the sum of products is 3.
    let inexact = fit(&[(1.0, 1.0), (2.0, 4.0), (3.0, 4.0)]).expect("a line can be fitted");
    assert!(
        (inexact.slope - 1.5).abs() < 1e-9
            && inexact.intercept.abs() < 1e-9
            && (inexact.r2 - 0.75).abs() < 1e-9
    );
    let exponent = fit(&[(1.0, 3.0), (10.0, 300.0), (100.0, 30_000.0)]).and_then(|line| line.exponent);
    assert!((exponent.expect("all coordinates are positive") - 2.0).abs() < 1e-9);
    assert_eq!(fit(&[(1.0, 0.0), (2.0, 1.0)]).expect("a line can be fitted").exponent, None);
    assert_eq!(fit(&[(1.0, 5.0), (1.0, 7.0)]), None);
}
