//! Checks that the shipped scenario files are valid, that errors name key and line, and that steps are
//! deterministic.

use std::path::Path;
use std::time::Duration;

use node_emulator::scenario::Scenario;
use node_emulator::steps::{steps, Step};

const VALID: &str = r#"name = "test"
seed = 7
duration_s = 20
[size]
regions = 2
zones = 4
racks = 8
services = 4
servers = 40
nodes = 12
[load]
requests_per_s = 10
[[event]]
kind = "rack-lost"
at_s = 1
rack = 5
noticed_s = 2.0
for_s = 6.0
"#;

fn parse(text: &str) -> Result<Scenario, String> {
    Scenario::parse(Path::new("test.toml"), text).map_err(|error| error.to_string())
}

#[test]
fn an_invalid_scenario_is_reported_with_its_key_and_line() {
    assert!(parse(VALID).is_ok());
    // A text in the valid scenario, its replacement, and the line and key in the expected error.
    let cases = [
        ("seed = 7", "seed = -7", 2, "seed"),
        ("seed = 7", "seed = \"7\"", 2, "seed"),
        ("seed = 7\n", "", 1, "seed"),
        ("seed = 7", "seed = 7\nseeds = 8", 3, "seeds"),
        ("seed = 7", "seed = 7\nseed = 8", 3, "seed"),
        ("seed = 7", "seed = 7 8", 2, "seed"),
        ("name = \"test\"", "name = \"../test\"", 1, "name"),
        ("duration_s = 20", "duration_s = 0", 3, "duration_s"),
        ("duration_s = 20", "duration_s = nan", 3, "duration_s"),
        ("duration_s = 20", "duration_s = 20\nsettle_s = -1", 4, "settle_s"),
        ("zones = 4", "zones = 1", 6, "size.zones"),
        ("servers = 40", "servers = 4", 9, "size.servers"),
        ("nodes = 12", "nodes = 0", 10, "size.nodes"),
        ("nodes = 12", "nodes = 1.5", 10, "nodes"),
        ("nodes = 12\n", "", 4, "nodes"),
        ("requests_per_s = 10", "requests_per_s = -1", 12, "load.requests_per_s"),
        ("requests_per_s = 10", "log_entries = 0", 12, "load.log_entries"),
        ("requests_per_s = 10", "requests = 10", 12, "requests"),
        ("kind = \"rack-lost\"", "kind = \"rack-found\"", 14, "kind"),
        ("kind = \"rack-lost\"\n", "", 13, "kind"),
        ("at_s = 1\n", "", 13, "at_s"),
        ("at_s = 1", "at_s = 15", 15, "at_s"),
        ("rack = 5", "rack = 8", 16, "rack"),
        ("rack = 5", "rack = 5\nzone = 1", 17, "zone"),
        ("for_s = 6.0\n", "", 13, "for_s"),
        ("for_s = 6.0", "for_s = \"long\"", 18, "for_s"),
    ];
    for (valid, invalid, line, key) in cases {
        let error = parse(&VALID.replacen(valid, invalid, 1)).expect_err(invalid);
        let expected = format!("test.toml:{line}: `{key}`: ");
        assert!(error.starts_with(&expected), "`{invalid}`: {error}, not {expected}");
    }
}

#[test]
fn the_shipped_scenarios_are_valid_and_contain_every_kind_of_event() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let mut kinds = Vec::new();
    for file in std::fs::read_dir(directory).expect("the directory can be read") {
        let path = file.expect("the entry can be read").path();
        let scenario = Scenario::read(&path).unwrap_or_else(|error| panic!("{error}"));
        assert_eq!(path.file_stem().and_then(|stem| stem.to_str()), Some(scenario.name.as_str()));
        kinds.extend(scenario.events.iter().map(|event| std::mem::discriminant(&event.kind)));
    }
    kinds.sort_by_key(|kind| format!("{kind:?}"));
    kinds.dedup();
    assert_eq!(kinds.len(), 8);
}

#[test]
fn steps_are_sorted_and_depend_only_on_scenario_and_seed() {
    let text = VALID.to_owned()
        + "[[event]]\nkind = \"ordinary-day\"\nat_s = 0\nfor_s = 10\nspeed = 500\n"
        + "[[event]]\nkind = \"rolling-replacement\"\nat_s = 2\npart = 0.5\nbatches = 4\nover_s = 4\ndrain_s = 3\n";
    let scenario = parse(&text).expect("the scenario is valid");
    let timed_steps = steps(&scenario);
    assert_eq!(timed_steps, steps(&scenario));
    assert!(timed_steps.is_sorted_by_key(|(at, _)| *at));
    let with_other_seed = parse(&text.replacen("seed = 7", "seed = 8", 1)).expect("the scenario is valid");
    assert_ne!(timed_steps, steps(&with_other_seed));

    let steps_of_rack = timed_steps.iter().filter(|(_, step)| match step {
        Step::StopResponding(slots) | Step::Unlist(slots) | Step::Return(slots) => {
            slots == &[5, 13, 21, 29, 37]
        }
        _ => false,
    });
    let seconds = |at: &Duration| at.as_secs_f64();
    assert_eq!(steps_of_rack.map(|(at, _)| seconds(at)).collect::<Vec<_>>(), [1.0, 3.0, 7.0]);
    // No server belongs to two batches, and each batch is retired once, at the end of its drain time.
    let mut replaced: Vec<usize> = Vec::new();
    for (at, step) in &timed_steps {
        if let Step::Replace { batch, slots } = step {
            replaced.extend(slots);
            let retired = timed_steps.iter().filter(|(_, step)| *step == Step::Retire { batch: *batch });
            let drain_times: Vec<_> = retired.map(|(retired, _)| seconds(retired) - seconds(at)).collect();
            assert!(matches!(drain_times[..], [drain_time] if (drain_time - 3.0).abs() < 1e-6));
        }
    }
    replaced.sort_unstable();
    replaced.dedup();
    assert_eq!(replaced.len(), 20);
}
