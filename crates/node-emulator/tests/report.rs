//! A report is written atomically, and the fitted line is that of least squares.

use std::collections::BTreeMap;
use std::path::Path;

use node_emulator::fit::fit;
use node_emulator::report::Report;
use node_emulator::usage::Memory;
use serde::ser::Error as _;
use serde::{Serialize, Serializer};

/// The last part of a report, whose serialization fails.
struct Breaks;

impl Serialize for Breaks {
    fn serialize<S: Serializer>(&self, _: S) -> Result<S::Ok, S::Error> {
        Err(S::Error::custom("broken on the way"))
    }
}

fn report<R: Serialize>(results: R) -> Report<Vec<u64>, R> {
    Report {
        command: "play",
        seed: 3,
        commit: "unknown".into(),
        modified: false,
        // More than any buffer on the way to the file takes.
        settings: (0..100_000).collect(),
        memory: Memory::default(),
        cpu_seconds: BTreeMap::new(),
        traffic: BTreeMap::new(),
        results,
    }
}

fn files(folder: &Path) -> Vec<String> {
    let names = std::fs::read_dir(folder).expect("the folder");
    names.map(|file| file.expect("a file").file_name().into_string().expect("a name")).collect()
}

#[test]
fn a_report_that_fails_to_serialize_leaves_the_previous_one_and_no_other_file() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("deep/report.json");
    report(41).write(&path).expect("written");
    let before = std::fs::read_to_string(&path).expect("readable");
    let read: serde_json::Value = serde_json::from_str(&before).expect("JSON");
    assert_eq!((&read["seed"], &read["results"]), (&3.into(), &41.into()));
    let error = report(Breaks).write(&path).expect_err("it breaks").to_string();
    assert!(error.contains("report.json") && error.contains("broken on the way"), "{error}");
    assert!(std::fs::read_to_string(&path).expect("readable") == before, "the report has changed");
    assert_eq!(files(path.parent().expect("a folder")), ["report.json"]);
}

#[test]
fn a_report_that_cannot_be_renamed_leaves_no_file() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("report.json");
    // A folder of that name with something in it.
    std::fs::create_dir_all(path.join("taken")).expect("a folder");
    assert!(report(1).write(&path).is_err());
    assert_eq!(files(folder.path()), ["report.json"]);
}

#[test]
fn the_line_is_the_least_squares_one() {
    let line = fit(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]).expect("a line");
    assert!((line.slope - 2.0).abs() < 1e-9 && (line.intercept - 3.0).abs() < 1e-9 && line.r2 > 0.999_999);
    // Worked by hand: means 2 and 3, sums of squares 2 and 8/3 x 3, products 3.
    let rough = fit(&[(1.0, 1.0), (2.0, 4.0), (3.0, 4.0)]).expect("a line");
    assert!(
        (rough.slope - 1.5).abs() < 1e-9 && rough.intercept.abs() < 1e-9 && (rough.r2 - 0.75).abs() < 1e-9
    );
    let square = fit(&[(1.0, 3.0), (10.0, 300.0), (100.0, 30_000.0)]).and_then(|line| line.exponent);
    assert!((square.expect("positive") - 2.0).abs() < 1e-9);
    assert_eq!(fit(&[(1.0, 0.0), (2.0, 1.0)]).expect("a line").exponent, None);
    assert_eq!(fit(&[(1.0, 5.0), (1.0, 7.0)]), None);
}
