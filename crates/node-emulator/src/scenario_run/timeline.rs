//! The phases of a run: wait until all nodes have their first list, execute the steps at their due times, and
//! wait until all nodes have the newest version.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use tokio::time::{sleep, sleep_until, Interval};

use super::results::{cpu_seconds_since, totals_since, ScenarioMeasurements, ScenarioResults};
use super::running_fleet::RunningFleet;
use super::{RunOptions, ScenarioRunError};
use crate::counters::NodeCounters;
use crate::node::lock;
use crate::scenario::Scenario;
use crate::steps::{steps, TimedStep};
use crate::traffic::TrafficTotals;
use crate::usage::{self, Memory};
use crate::world::ResponseTotals;

/// Interval at which progress is logged.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);
/// Interval of the checks whether all nodes have a list, or the newest version.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Values of the counters at the start of a run, when all nodes have a list. The results are differences to
/// them.
struct StartReadings {
    cpu_seconds: BTreeMap<String, f64>,
    traffic: BTreeMap<String, TrafficTotals>,
    answers: ResponseTotals,
    revision: u64,
}

/// A run in progress.
struct ScenarioRun<'a> {
    fleet: &'a RunningFleet,
    scenario: &'a Scenario,
    /// Start of the run, from which due times are measured.
    began_at: tokio::time::Instant,
    /// Ticks when progress is to be logged.
    progress: Interval,
    /// Number of executed steps, which is the index of the next one.
    steps_done: usize,
}

impl RunningFleet {
    /// Runs all phases of a scenario and returns the measurements.
    pub(super) async fn run(
        &self,
        scenario: &Scenario,
        options: RunOptions,
    ) -> Result<ScenarioMeasurements, ScenarioRunError> {
        let started_at = Instant::now();
        self.wait_for_first_lists(scenario, options).await?;
        let start_seconds = started_at.elapsed().as_secs_f64();
        tracing::info!(nodes = scenario.size.nodes, start_seconds, "all nodes have a list");
        // Of the start of the nodes only the duration is reported. All other measurements begin here.
        self.counters.iter().for_each(|counters| *lock(counters) = NodeCounters::default());
        let readings = StartReadings {
            cpu_seconds: usage::cpu_seconds_by_role(),
            traffic: self.traffic(),
            answers: self.world.counts.totals(),
            revision: self.world.catalogue().revision(),
        };
        let steps = steps(scenario);
        let mut run = ScenarioRun::begin(self, scenario);
        run.execute(&steps).await;
        run.wait_for_newest_version().await;
        let seconds = run.began_at.elapsed().as_secs_f64();
        Ok(self.finish(scenario, &readings, (start_seconds, seconds), &steps))
    }

    /// Waits until all nodes have a list. Fails after the time limit of the options.
    async fn wait_for_first_lists(
        &self,
        scenario: &Scenario,
        options: RunOptions,
    ) -> Result<(), ScenarioRunError> {
        let started_at = Instant::now();
        let mut reported_at = started_at;
        loop {
            let (without, nodes) = (self.count_without_list(), scenario.size.nodes);
            let within_s = options.start_timeout_s;
            if started_at.elapsed() >= Duration::from_secs(within_s) {
                let complete_lists = self.world.counts.totals().complete_lists;
                let sent_bytes = self.world.discovery.totals().sent_bytes;
                return Err(ScenarioRunError::NoInitialList {
                    without,
                    nodes,
                    within_s,
                    complete_lists,
                    sent_bytes,
                });
            }
            if without == 0 {
                return Ok(());
            }
            if reported_at.elapsed() > PROGRESS_INTERVAL {
                reported_at = Instant::now();
                tracing::info!(without, nodes, "waiting until all nodes have their first list");
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Assembles the measurements at the end of the run.
    fn finish(
        &self,
        scenario: &Scenario,
        start: &StartReadings,
        (start_seconds, seconds): (f64, f64),
        steps: &[TimedStep],
    ) -> ScenarioMeasurements {
        let memory = Memory::now();
        let cpu_seconds = cpu_seconds_since(&usage::cpu_seconds_by_role(), &start.cpu_seconds);
        let traffic: BTreeMap<_, _> = self.traffic();
        let traffic: BTreeMap<_, _> =
            traffic.iter().map(|(role, totals)| (role.clone(), totals.since(start.traffic[role]))).collect();
        let answers = totals_since(self.world.counts.totals(), start.answers);
        let mut counters = NodeCounters::default();
        self.counters.iter().for_each(|of_thread| counters.merge(&lock(of_thread)));
        let times = (start_seconds, seconds);
        let results = self.results(&counters, start.revision, times, steps, answers);
        let nodes = scenario.size.nodes as f64;
        let results = ScenarioResults {
            control_bytes_per_node_s: traffic["discovery"].sent_bytes as f64 / nodes / seconds,
            core_percent_per_node: 100.0 * cpu_seconds.get("node").copied().unwrap_or(0.0) / nodes / seconds,
            ..results
        };
        ScenarioMeasurements { results, cpu_seconds, traffic, memory }
    }
}

impl<'a> ScenarioRun<'a> {
    /// Starts the clock of the run and the clients.
    fn begin(fleet: &'a RunningFleet, scenario: &'a Scenario) -> Self {
        let began_at = tokio::time::Instant::now();
        fleet.clients_started.send_replace(true);
        let progress = tokio::time::interval_at(began_at + PROGRESS_INTERVAL, PROGRESS_INTERVAL);
        Self { fleet, scenario, began_at, progress, steps_done: 0 }
    }

    /// Returns the end of the scenario, up to which steps are executed.
    fn ends_at(&self) -> tokio::time::Instant {
        self.began_at + Duration::from_secs_f64(self.scenario.duration_s)
    }

    fn log_progress(&self) {
        let (at_s, behind) = (self.began_at.elapsed().as_secs(), self.fleet.count_behind());
        tracing::info!(at_s, of_s = self.scenario.duration_s, steps = self.steps_done, behind, "playing");
    }

    /// Executes the steps at their due times, and returns at the end of the scenario.
    async fn execute(&mut self, steps: &[TimedStep]) {
        let mut batches = HashMap::new();
        loop {
            let next = steps.get(self.steps_done);
            let due = next.map_or(self.ends_at(), |(at, _)| (self.began_at + *at).min(self.ends_at()));
            tokio::select! {
                () = sleep_until(due) => {
                    let Some((_, step)) = next else { return };
                    self.fleet.execute(step, &mut batches);
                    self.steps_done += 1;
                }
                _ = self.progress.tick() => self.log_progress(),
            }
        }
    }

    /// Waits until all nodes have the newest version, but not longer than `max_catch_up_s` of the scenario.
    async fn wait_for_newest_version(&mut self) {
        let deadline = self.ends_at() + Duration::from_secs_f64(self.scenario.max_catch_up_s);
        while self.fleet.count_behind() > 0 && tokio::time::Instant::now() < deadline {
            tokio::select! {
                () = sleep(POLL_INTERVAL) => {}
                _ = self.progress.tick() => self.log_progress(),
            }
        }
    }
}
