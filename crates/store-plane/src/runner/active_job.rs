//! A batch job while this store runs it: its items, the rules of its route, and the results to append to its
//! log.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use batch::{
    ItemCandidate, ItemCondition, ItemId, ItemIndex, ItemOutline, ItemPhase, ItemResult, JobForecast, JobId,
    JobOutline, JobSchedule, Precedence,
};
use tokio::sync::mpsc;

use super::item_work::ItemWork;
use super::memory::{MemoryShare, RunnerMemory};
use super::output_cache::satisfies_version_rules;
use super::ports::{ItemProgress, JobAddress, JobLog, JobState, OwnershipLost, RouteRules};
use super::task_guard::TaskGuard;

/// Expected duration of the longest run of a batch job, as a multiple of the average run.
const LONGEST_RUN_FACTOR: f64 = 2.5;
/// Delay after the route's shelf life before items are given up, since the clocks of stores differ.
const EXPIRY_MARGIN: Duration = Duration::from_secs(1);

/// Time of the submission of a batch job, expressed on the runner's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct SubmissionTime {
    /// Age of the batch job when this store became its owner.
    pub age: Duration,
    /// Time at which this store became the owner, on the runner's clock.
    pub acquired_at: Duration,
}

impl SubmissionTime {
    /// Returns the time `delay` after the submission, on the runner's clock.
    fn after(self, delay: Duration) -> Duration {
        (self.acquired_at + delay).saturating_sub(self.age)
    }
}

/// A result on its way to the log.
pub(super) struct PendingResult {
    result: ItemResult,
    /// The memory of the result, until it is committed.
    share: MemoryShare,
}

/// What a new [`ActiveJob`] is connected to.
pub(super) struct JobConnections<Log> {
    pub log: Arc<Log>,
    /// Channel to the task that appends results to the log.
    pub results: mpsc::UnboundedSender<PendingResult>,
    /// The task that closes the batch job when its log is no longer open.
    pub _watcher: TaskGuard,
    pub memory: Arc<RunnerMemory>,
}

/// A batch job that this store runs.
pub(super) struct ActiveJob<Log> {
    pub id: JobId,
    pub job: Arc<JobOutline>,
    pub address: JobAddress,
    /// The phases of the items, and the order in which they start.
    pub schedule: JobSchedule,
    /// The state of each item, by item index; the default once the item has a result.
    pub work: Vec<ItemWork>,
    /// The rules of the route when they were last read; `None` while no route matches.
    pub rules: Option<RouteRules>,
    submission: SubmissionTime,
    connections: JobConnections<Log>,
}

impl<Log> ActiveJob<Log> {
    pub fn new(
        id: JobId,
        job: Arc<JobOutline>,
        address: JobAddress,
        submission: SubmissionTime,
        connections: JobConnections<Log>,
    ) -> Self {
        let work = job.items.iter().map(|_| ItemWork::default()).collect();
        let schedule = JobSchedule::new(&job);
        Self { id, job, address, schedule, work, rules: None, submission, connections }
    }

    /// Marks the items whose results are committed already as recorded, so that they are not run again.
    pub fn skip_committed(&mut self, items_with_results: &[ItemId]) {
        let ids: HashSet<&str> = items_with_results.iter().map(|id| &**id).collect();
        for (index, item) in self.job.items.iter().enumerate() {
            if ids.contains(&*item.id) {
                self.schedule.set_phase(index, ItemPhase::Recorded);
            }
        }
    }

    pub fn item(&self, index: ItemIndex) -> &ItemOutline {
        &self.job.items[index]
    }

    /// Returns the log, from which items are loaded.
    pub fn log(&self) -> Arc<Log> {
        Arc::clone(&self.connections.log)
    }

    /// Returns the number of responses with status 500 after which an item is given up; unlimited while no
    /// route matches.
    pub fn max_attempts(&self) -> u32 {
        self.rules.map_or(u32::MAX, |rules| rules.max_attempts.max(1))
    }

    /// Returns the time at which the remaining items are given up, on the runner's clock; `None` while no
    /// route matches.
    pub fn expiry(&self) -> Option<Duration> {
        let shelf_life = self.rules?.shelf_life;
        Some(self.submission.after(shelf_life + EXPIRY_MARGIN))
    }

    /// Returns whether the versions that generated some events satisfy the version rules of the batch job. If
    /// the batch job names a model, events without known versions do not. While no route matches, the
    /// stricter rule applies: a single version.
    pub fn accepts(&self, progress: &ItemProgress) -> bool {
        let single_version = self.rules.is_none_or(|rules| rules.single_version);
        let has_known_versions =
            self.address.model.is_none() || progress.events.is_empty() || !progress.versions.is_empty();
        has_known_versions
            && satisfies_version_rules(&progress.versions, self.address.oldest_version, single_version)
    }

    /// Returns the next item to start and its precedence among the items of all batch jobs, estimated for
    /// runs that take `average_run` and `concurrency` of which run concurrently. Returns `None` if no item
    /// may start now or no route matches.
    pub fn next_item(
        &self,
        now: Duration,
        average_run: Duration,
        concurrency: usize,
    ) -> Option<(Precedence, ItemCandidate)> {
        let candidate = self.schedule.next_item(now)?;
        let needed_remaining = self.schedule.needed_remaining();
        let rounds = needed_remaining as f64 / concurrency.max(1) as f64;
        let forecast = JobForecast {
            due: self.submission.after(self.rules?.delivery_due),
            needed_remaining,
            streaming: self.schedule.streaming(),
            item_finished: now + average_run,
            all_finished: now + average_run.mul_f64(rounds + LONGEST_RUN_FACTOR),
        };
        Some((Precedence::new(candidate, forecast), candidate))
    }

    /// Counts a run of an item that failed with status 500. Returns the number of such runs.
    pub fn record_internal_error(&mut self, index: ItemIndex) -> u32 {
        let work = &mut self.work[index];
        work.internal_errors += 1;
        work.attempts_without_progress += 1;
        work.internal_errors
    }

    /// Makes an item pending; it is not started before `pause` has passed.
    pub fn postpone(&mut self, index: ItemIndex, now: Duration, pause: Duration) {
        self.schedule.set_phase(index, ItemPhase::Pending(now + pause));
    }

    /// Records the complete output of an item as its result.
    pub fn deliver(&mut self, index: ItemIndex, grade: Option<String>) {
        let progress = std::mem::take(&mut self.work[index].progress);
        let result = ItemResult {
            id: self.item(index).id.clone(),
            condition: ItemCondition::Delivered,
            text: joined_text(&progress),
            versions: progress.versions.into_iter().collect(),
            grade,
        };
        self.record(index, result);
    }

    /// Records [`ItemCondition::Undeliverable`] as the result of an item.
    pub fn give_up(&mut self, index: ItemIndex) {
        let result = ItemResult {
            id: self.item(index).id.clone(),
            condition: ItemCondition::Undeliverable,
            text: String::new(),
            versions: Vec::new(),
            grade: None,
        };
        self.record(index, result);
    }

    /// Gives up all items without a result.
    pub fn give_up_remaining(&mut self) {
        for index in 0..self.work.len() {
            if self.schedule.phase(index) != ItemPhase::Recorded {
                self.give_up(index);
            }
        }
    }

    fn record(&mut self, index: ItemIndex, result: ItemResult) {
        self.work[index] = ItemWork::default();
        self.schedule.set_phase(index, ItemPhase::Recorded);
        let share = self.connections.memory.take(result.text.len());
        // Sending fails only once the batch job is no longer open; then no result may be recorded.
        let _ = self.connections.results.send(PendingResult { result, share });
    }
}

/// Joins the data of the events by line breaks; bytes that are not UTF-8 are replaced.
fn joined_text(progress: &ItemProgress) -> String {
    let joined = progress.events.join(&b'\n');
    String::from_utf8(joined).unwrap_or_else(|error| String::from_utf8_lossy(error.as_bytes()).into_owned())
}

/// Appends results to the log until the batch job is closed. Results that arrive while an append is in flight
/// are appended together by the next one.
pub(super) async fn append_results<Log: JobLog>(
    log: Arc<Log>,
    mut results: mpsc::UnboundedReceiver<PendingResult>,
) -> Result<(), OwnershipLost> {
    let state = log.state();
    while let Some(first) = results.recv().await {
        let mut batch = vec![first];
        while let Ok(result) = results.try_recv() {
            batch.push(result);
        }
        if *state.borrow() != JobState::Open {
            break;
        }
        let (batch, _shares): (Vec<ItemResult>, Vec<MemoryShare>) =
            batch.into_iter().map(|pending| (pending.result, pending.share)).unzip();
        log.append(batch).await?;
    }
    Ok(())
}
