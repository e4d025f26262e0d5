//! Runs both commands as a user would, with a small fleet. The tests check counts and order, but no times.

use std::path::Path;
use std::process::{Command, Output};

use serde_json::Value;

/// A scenario with overlapping events of all kinds except `ordinary-day`. Region 0 has the nodes 0, 2, 4, ...
const SCENARIO_WITH_ALL_EVENTS: &str = r#"name = "all"
seed = 5
duration_s = 3.0
settle_s = 60.0
[size]
regions = 2
zones = 4
racks = 4
services = 4
servers = 40
nodes = 12
[load]
requests_per_s = 200.0
[[event]]
kind = "rolling-replacement"
at_s = 0.2
part = 0.1
batches = 2
over_s = 0.5
drain_s = 0.2
[[event]]
kind = "rack-lost"
at_s = 0.4
rack = 1
noticed_s = 0.2
for_s = 0.6
[[event]]
kind = "zone-lost"
at_s = 0.5
zone = 2
noticed_s = 0.2
for_s = 0.6
[[event]]
kind = "configuration-storm"
at_s = 0.3
changes = 10
over_s = 2.0
[[event]]
kind = "restart-nodes"
at_s = 1.0
region = 0
over_s = 0.5
[[event]]
kind = "region-cut"
at_s = 1.2
region = 1
for_s = 0.6
[[event]]
kind = "discovery-silent"
at_s = 2.0
for_s = 0.5
"#;

/// Runs the emulator in a directory and waits until it has ended.
fn run_emulator(directory: &Path, arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_node-emulator"));
    // Git must not find a repository in a parent of the directory.
    command
        .env("GIT_CEILING_DIRECTORIES", directory.parent().expect("the directory has a parent"))
        .env_remove("GIT_DIR");
    command.current_dir(directory).args(arguments).output().expect("the emulator can be started")
}

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).expect("the output is UTF-8")
}

/// Reads a JSON report.
fn read_report(path: &Path) -> Value {
    serde_json::from_str(&std::fs::read_to_string(path).expect("the report can be read"))
        .expect("the report is JSON")
}

#[test]
fn a_run_of_all_events_ends_with_all_nodes_on_the_newest_version() {
    let directory = tempfile::tempdir().expect("a temporary directory can be created");
    std::fs::write(directory.path().join("all.toml"), SCENARIO_WITH_ALL_EVENTS)
        .expect("the file can be written");
    let run =
        run_emulator(directory.path(), &["--log-format", "json", "play", "all.toml", "--node-threads", "2"]);
    assert!(run.status.success(), "{}", text(&run.stderr));
    for line in text(&run.stderr).lines() {
        assert!(serde_json::from_str::<Value>(line).is_ok_and(|line| line["level"].is_string()), "{line}");
    }
    let report = read_report(&directory.path().join("logs/play-all.json"));
    assert_eq!((&report["seed"], &report["commit"]), (&5.into(), &"unknown".into()));
    assert_eq!(report["settings"]["scenario"]["events"][1]["rack"], 1);
    let results = &report["results"];
    let count = |key: &str| results[key].as_u64().unwrap_or_else(|| panic!("{key}: {}", results[key]));
    // Two steps for each of two batches, three each for rack and zone, ten configuration changes, six
    // restarts, and two each for the partition and the outage of discovery.
    assert_eq!(count("steps"), 30);
    // Three versions for each batch (new servers join, old ones drain, old ones leave), two each for rack and
    // zone (removed from the list, listed again), and one for each configuration change.
    assert_eq!(count("versions"), 2 * 3 + 2 + 2 + 10);
    // The nodes that are not restarted apply or skip every version.
    assert_eq!(count("versions_reached"), 20);
    assert_eq!(count("nodes_behind_at_end"), 0);
    let lag = results["node_lag"]["count"].as_u64().expect("the value is a count");
    assert!((6 * 20..=12 * 20).contains(&lag), "{lag}");
    assert_eq!(results["all_nodes_lag"]["count"], 20);
    assert_eq!((count("node_starts"), &results["restart"]["count"]), (6, &6.into()));
    assert!(results["answers"]["whole_lists"].as_u64() >= Some(6));
    assert!(
        results["answers"]["sends_to_silent"].as_u64() > Some(0),
        "no request was sent to a server of the failed rack or zone, or across the partition"
    );
    assert!(results["node_seconds_behind"].as_f64() > Some(0.0));
    assert!(count("requests") > 0 && count("sends") >= count("served"));
    let traffic =
        |role: &str, key: &str| report["traffic"][role][key].as_u64().expect("the value is a count");
    for key in ["messages", "connections"] {
        assert_eq!(traffic("node", key), traffic("discovery", key) + traffic("server", key));
    }
    assert_eq!(
        traffic("node", "received_bytes"),
        traffic("discovery", "sent_bytes") + traffic("server", "sent_bytes")
    );
    for role in ["node", "discovery", "server"] {
        assert!(report["cpu_seconds"][role].is_number(), "{role}");
    }
    assert!(report["memory"]["peak"].as_u64() >= report["memory"]["resident"].as_u64());
    assert!(text(&run.stdout).contains("nodes behind at the end      0\n"), "{}", text(&run.stdout));
}

#[test]
fn slopes_have_all_points_in_order_and_a_fitted_line() {
    let directory = tempfile::tempdir().expect("a temporary directory can be created");
    let arguments = ["slopes", "--sizes", "20,40,80,160", "--repeats", "2", "--report", "out/slopes.json"];
    let run = run_emulator(directory.path(), &arguments);
    assert!(run.status.success(), "{}", text(&run.stderr));
    let report = read_report(&directory.path().join("out/slopes.json"));
    let slopes = report["results"].as_array().expect("the results are a list of slopes");
    let slope_of = |name: &str| {
        let slope = slopes.iter().find(|slope| slope["quantity"] == name);
        slope.unwrap_or_else(|| panic!("the report does not contain {name}"))
    };
    assert_eq!(slopes.len(), 18);
    for slope in slopes {
        let points = slope["points"].as_array().expect("the slope has points");
        let sizes: Vec<_> = points.iter().filter_map(|point| point["size"].as_u64()).collect();
        assert_eq!(sizes, [20, 40, 80, 160]);
        for point in points {
            let at = |key: &str| point[key].as_f64().unwrap_or_else(|| panic!("{slope}"));
            assert!(at("least") <= at("value") && at("value") <= at("most"), "{slope}");
        }
        assert!(slope["fit"]["slope"].is_number(), "{slope}");
        let name = slope["quantity"].as_str().expect("the quantity is a string");
        assert!(text(&run.stdout).contains(&format!("\n{name} (")) || text(&run.stdout).starts_with(name));
    }
    // Numbers of servers, and lengths of messages, do not differ from run to run.
    let value = |name: &str, at: usize| {
        slope_of(name)["points"][at]["value"].as_f64().expect("the point has a value")
    };
    assert_eq!(value("change-bytes", 0), value("change-bytes", 3));
    assert_eq!(value("serve-change-bytes", 3), 8.0 * value("serve-change-bytes", 0));
    assert!(slope_of("list-bytes")["fit"]["r2"].as_f64() > Some(0.999));
    assert!((1..4).all(|at| value("list-bytes", at) > value("list-bytes", at - 1)));
    assert!(value("connections", 0) <= 20.0);
    assert!(report["traffic"]["discovery, read-list"]["sent_bytes"].as_u64() > Some(0));
}

#[test]
fn a_baseline_is_measured_at_the_same_sizes_and_as_often_as_this_build() {
    let directory = tempfile::tempdir().expect("a temporary directory can be created");
    let arguments = ["slopes", "--quantity", "request", "--quantity", "list-bytes", "--sizes", "40,80"];
    let baseline = |binary| [&arguments[..], &["--repeats", "3", "--baseline", binary]].concat();
    let run = run_emulator(directory.path(), &baseline(env!("CARGO_BIN_EXE_node-emulator")));
    assert!(run.status.success(), "{}", text(&run.stderr));
    let report = read_report(&directory.path().join("logs/slopes.json"));
    let slopes = report["results"].as_array().expect("the results are a list of slopes");
    assert_eq!(slopes.iter().map(|slope| &slope["quantity"]).collect::<Vec<_>>(), ["request", "list-bytes"]);
    for (slope, count) in slopes.iter().zip([3, 1]) {
        for side in [slope, &slope["baseline"]] {
            let points = side["points"].as_array().expect("the slope has points");
            let counts: Vec<_> = points.iter().map(|point| (&point["size"], &point["count"])).collect();
            assert_eq!(counts, [(&40.into(), &count.into()), (&80.into(), &count.into())]);
            assert!(side["fit"]["slope"].is_number(), "{slope}");
        }
        assert!(slope["baseline"]["commit"].is_string() && slope["baseline"]["modified"].is_boolean());
    }
    assert_eq!(
        slopes[1]["points"], slopes[1]["baseline"]["points"],
        "the same binary measures the same number of bytes"
    );
    let lines: Vec<_> = text(&run.stdout).lines().collect();
    assert!(lines[0].starts_with("request (us by servers):") && lines[2].starts_with("  baseline "));
    // If a build cannot be run, fails or writes no report, the error states this and the previous report is
    // kept.
    let previous = std::fs::read(directory.path().join("logs/slopes.json")).expect("the report can be read");
    for (binary, message) in
        [("none", "cannot run the build none"), ("/bin/false", "request at 40: exit status: 1")]
    {
        let run = run_emulator(directory.path(), &baseline(binary));
        assert_eq!(run.status.code(), Some(1));
        assert!(text(&run.stderr).contains(message), "{}", text(&run.stderr));
    }
    let run = run_emulator(directory.path(), &baseline("/bin/true"));
    assert!(text(&run.stderr).contains("request at 40: no report"), "{}", text(&run.stderr));
    assert_eq!(
        std::fs::read(directory.path().join("logs/slopes.json")).expect("the report can be read"),
        previous
    );
}

#[test]
fn invalid_runs_print_an_error_and_write_no_report() {
    let directory = tempfile::tempdir().expect("a temporary directory can be created");
    let write = |name: &str, from: &str, to: &str| {
        std::fs::write(directory.path().join(name), SCENARIO_WITH_ALL_EVENTS.replacen(from, to, 1))
            .expect("the file can be written");
    };
    write("bad.toml", "rack = 1", "rack = 4");
    write("large.toml", "servers = 40\nnodes = 12", "servers = 1000000\nnodes = 1000000");
    write("valid.toml", "", "");
    let cases: [(&[&str], &str); 7] = [
        (&["play", "bad.toml"], "node-emulator: bad.toml:24: `rack`: there are 4, numbered from 0"),
        (&["play", "none.toml"], "cannot read the scenario none.toml"),
        (&["play", "large.toml"], "and 12288 are allowed (--memory-mb)"),
        (
            &["play", "valid.toml", "--start-most-s", "0"],
            "of 12 nodes had no list within 0 s, in which discovery sent",
        ),
        (&["--memory-mb", "1", "play", "valid.toml"], "and 1 are allowed (--memory-mb)"),
        (&["slopes", "--quantity", "list-bytes", "--sizes", "4,0"], "a size must be above 0"),
        (&["slopes", "--quantity", "list-bytes", "--sizes", "4,1000000000"], "and 12288 are allowed"),
    ];
    for (arguments, message) in cases {
        let run = run_emulator(directory.path(), arguments);
        assert_eq!(run.status.code(), Some(1), "{arguments:?}");
        assert!(text(&run.stderr).contains(message), "{arguments:?}: {}", text(&run.stderr));
        assert!(run.stdout.is_empty());
    }
    assert!(!directory.path().join("logs").exists());
}
