//! Both commands at a small size, run as an operator would: checks counts and order, not times.

use std::path::Path;
use std::process::{Command, Output};

use serde_json::Value;

/// All kinds of events but the ordinary day, on top of each other. Region 0 has the nodes 0, 2, 4, ...
const ALL: &str = r#"name = "all"
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

fn emulator(folder: &Path, arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_node-emulator"));
    // No repository round the folder is meant.
    command.env("GIT_CEILING_DIRECTORIES", folder.parent().expect("it is no root")).env_remove("GIT_DIR");
    command.current_dir(folder).args(arguments).output().expect("it runs")
}

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).expect("text")
}

fn report(path: &Path) -> Value {
    serde_json::from_str(&std::fs::read_to_string(path).expect("a report")).expect("JSON")
}

#[test]
fn a_run_of_all_events_ends_with_all_nodes_on_the_newest_version() {
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::write(folder.path().join("all.toml"), ALL).expect("written");
    let run = emulator(folder.path(), &["--log-format", "json", "play", "all.toml", "--node-threads", "2"]);
    assert!(run.status.success(), "{}", text(&run.stderr));
    for line in text(&run.stderr).lines() {
        assert!(serde_json::from_str::<Value>(line).is_ok_and(|line| line["level"].is_string()), "{line}");
    }
    let report = report(&folder.path().join("logs/play-all.json"));
    assert_eq!((&report["seed"], &report["commit"]), (&5.into(), &"unknown".into()));
    assert_eq!(report["settings"]["scenario"]["events"][1]["rack"], 1);
    let results = &report["results"];
    let count = |key: &str| results[key].as_u64().unwrap_or_else(|| panic!("{key}: {}", results[key]));
    // Two batches of two steps, three each for rack and zone, ten changes, six restarts, two each for the
    // partition and the outage of discovery.
    assert_eq!(count("steps"), 30);
    // A batch joins, drains and leaves; lost racks and zones are taken off the list and come back.
    assert_eq!(count("versions"), 2 * 3 + 2 + 2 + 10);
    // Nodes that are not restarted go through every version.
    assert_eq!(count("versions_reached"), 20);
    assert_eq!(count("nodes_behind_at_end"), 0);
    let lag = results["node_lag"]["count"].as_u64().expect("a count");
    assert!((6 * 20..=12 * 20).contains(&lag), "{lag}");
    assert_eq!(results["all_nodes_lag"]["count"], 20);
    assert_eq!((count("node_starts"), &results["restart"]["count"]), (6, &6.into()));
    assert!(results["answers"]["whole_lists"].as_u64() >= Some(6));
    assert!(
        results["answers"]["sends_to_silent"].as_u64() > Some(0),
        "a rack, a zone and a region were lost"
    );
    assert!(results["node_seconds_behind"].as_f64() > Some(0.0));
    assert!(count("requests") > 0 && count("sends") >= count("served"));
    let traffic = |role: &str, key: &str| report["traffic"][role][key].as_u64().expect("a count");
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
fn slopes_have_their_points_in_order_and_their_lines() {
    let folder = tempfile::tempdir().expect("a folder");
    let arguments = ["slopes", "--sizes", "20,40,80,160", "--repeats", "2", "--report", "out/slopes.json"];
    let run = emulator(folder.path(), &arguments);
    assert!(run.status.success(), "{}", text(&run.stderr));
    let report = report(&folder.path().join("out/slopes.json"));
    let slopes = report["results"].as_array().expect("slopes");
    let named = |name: &str| {
        let found = slopes.iter().find(|slope| slope["quantity"] == name);
        found.unwrap_or_else(|| panic!("no {name}"))
    };
    assert_eq!(slopes.len(), 18);
    for slope in slopes {
        let points = slope["points"].as_array().expect("points");
        let sizes: Vec<_> = points.iter().filter_map(|point| point["size"].as_u64()).collect();
        assert_eq!(sizes, [20, 40, 80, 160]);
        for point in points {
            let at = |key: &str| point[key].as_f64().unwrap_or_else(|| panic!("{slope}"));
            assert!(at("least") <= at("value") && at("value") <= at("most"), "{slope}");
        }
        assert!(slope["fit"]["slope"].is_number(), "{slope}");
        let name = slope["quantity"].as_str().expect("a name");
        assert!(text(&run.stdout).contains(&format!("\n{name} (")) || text(&run.stdout).starts_with(name));
    }
    // What does not depend on time is exact.
    let value = |name: &str, at: usize| named(name)["points"][at]["value"].as_f64().expect("a value");
    assert_eq!(value("change-bytes", 0), value("change-bytes", 3));
    assert_eq!(value("serve-change-bytes", 3), 8.0 * value("serve-change-bytes", 0));
    assert!(named("list-bytes")["fit"]["r2"].as_f64() > Some(0.999));
    assert!((1..4).all(|at| value("list-bytes", at) > value("list-bytes", at - 1)));
    assert!(value("connections", 0) <= 20.0);
    assert!(report["traffic"]["discovery, read-list"]["sent_bytes"].as_u64() > Some(0));
}

#[test]
fn a_baseline_is_measured_at_the_same_sizes_as_often() {
    let folder = tempfile::tempdir().expect("a folder");
    let arguments = ["slopes", "--quantity", "request", "--quantity", "list-bytes", "--sizes", "40,80"];
    let baseline = |binary| [&arguments[..], &["--repeats", "3", "--baseline", binary]].concat();
    let run = emulator(folder.path(), &baseline(env!("CARGO_BIN_EXE_node-emulator")));
    assert!(run.status.success(), "{}", text(&run.stderr));
    let report = report(&folder.path().join("logs/slopes.json"));
    let slopes = report["results"].as_array().expect("slopes");
    assert_eq!(slopes.iter().map(|slope| &slope["quantity"]).collect::<Vec<_>>(), ["request", "list-bytes"]);
    for (slope, count) in slopes.iter().zip([3, 1]) {
        for side in [slope, &slope["baseline"]] {
            let points = side["points"].as_array().expect("points");
            let counts: Vec<_> = points.iter().map(|point| (&point["size"], &point["count"])).collect();
            assert_eq!(counts, [(&40.into(), &count.into()), (&80.into(), &count.into())]);
            assert!(side["fit"]["slope"].is_number(), "{slope}");
        }
        assert!(slope["baseline"]["commit"].is_string() && slope["baseline"]["modified"].is_boolean());
    }
    assert_eq!(
        slopes[1]["points"], slopes[1]["baseline"]["points"],
        "bytes are the same from the same binary"
    );
    let lines: Vec<_> = text(&run.stdout).lines().collect();
    assert!(lines[0].starts_with("request (us by servers):") && lines[2].starts_with("  baseline "));
    // A build that cannot be run or writes no report is named in the error; the earlier report is kept.
    let kept = std::fs::read(folder.path().join("logs/slopes.json")).expect("a report");
    for (binary, why) in
        [("none", "cannot run the build none"), ("/bin/false", "request at 40: exit status: 1")]
    {
        let run = emulator(folder.path(), &baseline(binary));
        assert_eq!(run.status.code(), Some(1));
        assert!(text(&run.stderr).contains(why), "{}", text(&run.stderr));
    }
    let run = emulator(folder.path(), &baseline("/bin/true"));
    assert!(text(&run.stderr).contains("request at 40: no report"), "{}", text(&run.stderr));
    assert_eq!(std::fs::read(folder.path().join("logs/slopes.json")).expect("a report"), kept);
}

#[test]
fn invalid_runs_are_reported_and_write_nothing() {
    let folder = tempfile::tempdir().expect("a folder");
    let write = |name: &str, from: &str, to: &str| {
        std::fs::write(folder.path().join(name), ALL.replacen(from, to, 1)).expect("written");
    };
    write("bad.toml", "rack = 1", "rack = 4");
    write("large.toml", "servers = 40\nnodes = 12", "servers = 1000000\nnodes = 1000000");
    write("sound.toml", "", "");
    let cases: [(&[&str], &str); 7] = [
        (&["play", "bad.toml"], "node-emulator: bad.toml:24: `rack`: there are 4, numbered from 0"),
        (&["play", "none.toml"], "cannot read the scenario none.toml"),
        (&["play", "large.toml"], "and 12288 are allowed (--memory-mb)"),
        (
            &["play", "sound.toml", "--start-most-s", "0"],
            "of 12 nodes had no list within 0 s, in which discovery sent",
        ),
        (&["--memory-mb", "1", "play", "sound.toml"], "and 1 are allowed (--memory-mb)"),
        (&["slopes", "--quantity", "list-bytes", "--sizes", "4,0"], "a size must be above 0"),
        (&["slopes", "--quantity", "list-bytes", "--sizes", "4,1000000000"], "and 12288 are allowed"),
    ];
    for (arguments, why) in cases {
        let run = emulator(folder.path(), arguments);
        assert_eq!(run.status.code(), Some(1), "{arguments:?}");
        assert!(text(&run.stderr).contains(why), "{arguments:?}: {}", text(&run.stderr));
        assert!(run.stdout.is_empty());
    }
    assert!(!folder.path().join("logs").exists());
}
