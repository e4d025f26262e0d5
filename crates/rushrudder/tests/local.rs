//! End-to-end tests: real processes of the system, with the emulated platform, model servers and trainers of
//! `local-fleet`.

use std::path::{Path, PathBuf};

use local_fleet::{LocalOptions, LocalReport, ProcessFault, Workload};

/// Returns the options of a fleet. Fleets with different subnets use different addresses and directories, so
/// that the tests can run concurrently.
fn fleet_options(subnet: u8, steps: u64, faults: &[&str]) -> LocalOptions {
    let executable = PathBuf::from(env!("CARGO_BIN_EXE_rushrudder"));
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("local-{subnet}"));
    let faults =
        faults.iter().map(|text| text.parse::<ProcessFault>().expect("the text describes a fault")).collect();
    let workload = Workload { steps, ..Workload::default() };
    LocalOptions { subnet, workload, faults, ..LocalOptions::new(executable, directory) }
}

async fn run(options: LocalOptions) -> LocalReport {
    local_fleet::run(options, |line| println!("{line}")).await.expect("the fleet can be started")
}

/// Checks that all steps were completed, and that the fleet found no violation of a rule.
fn assert_clean(report: &LocalReport, steps: u64) {
    assert_eq!(report.violations, Vec::<String>::new());
    assert_eq!((report.steps_done, report.steps_failed), (steps, 0), "{report}");
    assert_eq!(report.newest_version, steps + 1, "each step sets the next version");
}

#[tokio::test]
async fn given_a_fleet_without_faults_when_steps_run_then_all_are_completed_without_violations() {
    let report = run(fleet_options(21, 3, &[])).await;
    assert_clean(&report, 3);
    assert!(report.requests_served > 0);
    assert_eq!(report.requests_served, report.requests_sent, "{report}");
}

#[tokio::test]
async fn given_truncated_texts_and_mixed_versions_when_steps_run_then_all_are_completed_without_violations() {
    let mut options = fleet_options(22, 3, &[]);
    (options.workload.truncate_every, options.workload.single_version) = (4, false);
    assert_clean(&run(options).await, 3);
}

#[tokio::test]
async fn given_killed_processes_when_steps_run_then_all_are_completed_without_violations() {
    let faults = ["0:kill:node-1", "1:wipe:store-1", "2:kill-all"];
    assert_clean(&run(fleet_options(23, 5, &faults)).await, 5);
}

#[tokio::test]
async fn given_processes_that_receive_sigterm_when_steps_run_then_all_are_completed_without_violations() {
    let report = run(fleet_options(24, 4, &["0:stop:node-2", "1:stop:store-3", "2:stop:node-3"])).await;
    assert_clean(&report, 4);
}
