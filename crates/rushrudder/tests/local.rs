//! End-to-end tests: real processes of the system with the emulated platform, servers and trainers of `local-fleet`.

use std::path::{Path, PathBuf};

use local_fleet::{LocalOptions, LocalReport, ProcessFault, Workload};

/// A fleet with its files in a folder of its own, at addresses of its own.
fn options(subnet: u8, steps: u64, faults: &[&str]) -> LocalOptions {
    let executable = PathBuf::from(env!("CARGO_BIN_EXE_rushrudder"));
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("local-{subnet}"));
    let faults = faults.iter().map(|text| text.parse::<ProcessFault>().expect("a fault")).collect();
    let workload = Workload { steps, ..Workload::default() };
    LocalOptions { subnet, workload, faults, ..LocalOptions::new(executable, directory) }
}

async fn run(options: LocalOptions) -> LocalReport {
    local_fleet::run(options, |line| println!("{line}")).await.expect("a fleet that comes up")
}

fn assert_clean(report: &LocalReport, steps: u64) {
    assert_eq!(report.violations, Vec::<String>::new());
    assert_eq!((report.steps_done, report.steps_failed), (steps, 0), "{report}");
    assert_eq!(report.newest_version, steps + 1, "each step names the next version");
}

#[tokio::test]
async fn given_a_calm_fleet_when_steps_run_then_all_are_done_and_no_rule_is_broken() {
    let report = run(options(21, 3, &[])).await;
    assert_clean(&report, 3);
    assert!(report.requests_served > 0);
    assert_eq!(report.requests_served, report.requests_sent, "{report}");
}

#[tokio::test]
async fn given_truncated_texts_of_any_versions_when_steps_run_then_texts_are_complete() {
    let mut options = options(22, 3, &[]);
    (options.workload.truncate_every, options.workload.single_version) = (4, false);
    assert_clean(&run(options).await, 3);
}

#[tokio::test]
async fn given_killed_processes_when_steps_run_then_nothing_acknowledged_is_lost() {
    let faults = ["0:kill:node-1", "1:wipe:store-1", "2:kill-all"];
    assert_clean(&run(options(23, 5, &faults)).await, 5);
}

#[tokio::test]
async fn given_processes_that_receive_sigterm_when_steps_run_then_no_request_is_lost() {
    let report = run(options(24, 4, &["0:stop:node-2", "1:stop:store-3", "2:stop:node-3"])).await;
    assert_clean(&report, 4);
}
