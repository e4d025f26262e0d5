//! Starts items in the order of their precedence, as far as the executor has capacity.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use batch::{ItemIndex, ItemOutline, ItemPhase, LoadError, Precedence, Urgency};
use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::memory::MemoryShare;
use super::ports::{ItemAttempt, ItemExecutor, ItemOutcome, ItemProgress, JobAddress, JobLog};
use super::task_guard::TaskGuard;
use super::{JobKey, Runner, RunnerEvent, RunnerSettings};

/// Timeout of a run as a multiple of the average run.
const RUN_TIMEOUT_FACTOR: u32 = 3;
/// Divisor that gives the part of the total capacity that must stay free when an item is started that no
/// trainer waits for, since other stores run items at the same servers.
const SURPLUS_RESERVE_DIVISOR: usize = 2;
/// Pause before an item that could not be read is loaded again.
const LOAD_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Maximum number of times that the timeout of a run doubles; see [`run_timeout`].
const MAX_TIMEOUT_DOUBLINGS: u32 = 2;

impl<Executor: ItemExecutor, Log: JobLog> Runner<Executor, Log> {
    /// Starts items while there is capacity, the most urgent first.
    pub(super) fn start_items(&mut self) {
        let mut streaming: usize = self.jobs.values().map(|job| job.schedule.streaming()).sum();
        let mut free_capacity: BTreeMap<JobKey, usize> = BTreeMap::new();
        while streaming < self.settings.max_concurrent_items {
            let now = self.now();
            let Some((key, index)) = self.most_urgent(now, &mut free_capacity) else { return };
            if !self.start_item(key, index) {
                return;
            }
            streaming += 1;
        }
    }

    /// Returns the item to start next. `free_capacity` caches the capacity that the executor reported for
    /// each batch job in this pass.
    fn most_urgent(
        &self,
        now: Duration,
        free_capacity: &mut BTreeMap<JobKey, usize>,
    ) -> Option<(JobKey, ItemIndex)> {
        let mut best: Option<(Precedence, JobKey, ItemIndex)> = None;
        let average_run = self.average_run.unwrap_or_default();
        for (&key, job) in &self.jobs {
            let next = job.next_item(now, average_run, self.settings.max_concurrent_items);
            let Some((precedence, candidate)) = next else { continue };
            if best.is_some_and(|(best_precedence, ..)| best_precedence <= precedence) {
                continue;
            }
            let reserve = match precedence.urgency {
                Urgency::Surplus => self.surplus_reserve(&job.address),
                Urgency::InTime | Urgency::Late => 0,
            };
            let free = *free_capacity.entry(key).or_insert_with(|| self.executor.free_capacity(&job.address));
            // Batch jobs of one service share its servers, so the pending starts of all batch jobs are
            // subtracted.
            if free > reserve + self.pending_starts.count() {
                best = Some((precedence, key, candidate.index));
            }
        }
        best.map(|(_, key, index)| (key, index))
    }

    /// Returns the capacity that must stay free for other stores when an item is started that no trainer
    /// waits for.
    fn surplus_reserve(&self, address: &JobAddress) -> usize {
        let part_of_total = self.executor.total_capacity(address) / SURPLUS_RESERVE_DIVISOR;
        self.settings.min_surplus_reserve.max(part_of_total)
    }

    /// Spawns the run of an item, unless there is no memory for its request. The output starts over if no server
    /// can continue it.
    fn start_item(&mut self, key: JobKey, index: ItemIndex) -> bool {
        let average_run = self.average_run;
        let Some(job) = self.jobs.get_mut(&key) else { return false };
        let item = job.item(index).clone();
        if !self.memory.has_space_for(item.json.len()) {
            return false;
        }
        let log = job.log();
        let work = &mut job.work[index];
        let versions = &work.progress.versions;
        if !work.progress.events.is_empty() && !self.executor.can_continue(&job.address, versions) {
            work.progress = ItemProgress::default();
        }
        let timeout = run_timeout(&self.settings, average_run, work.attempts_without_progress);
        let run = ItemRun {
            executor: Arc::clone(&self.executor),
            log,
            address: job.address.clone(),
            progress: work.progress.clone(),
            deadline: Instant::now() + timeout,
            start: self.pending_starts.add(),
            share: self.memory.take(item.json.len()),
            item,
        };
        work.task = Some(spawn_run(run, key, index, &self.event_sender));
        job.schedule.set_phase(index, ItemPhase::Streaming);
        true
    }

    /// Schedules the next attempt of an item that could not be read. It does not count as a failure of the item.
    pub(super) fn on_load_failed(&mut self, key: JobKey, index: ItemIndex, error: &LoadError) {
        let now = self.now();
        let Some(job) = self.jobs.get_mut(&key) else { return };
        log::warn!("item {} of batch job {} is not run yet: {error}", job.item(index).id, job.id);
        match job.schedule.phase(index) {
            ItemPhase::Streaming => {
                job.work[index].task = None;
                job.postpone(index, now, LOAD_RETRY_PAUSE);
            }
            ItemPhase::Grading => self.call_reward(key, index, LOAD_RETRY_PAUSE),
            ItemPhase::Pending(_) | ItemPhase::Recorded => {}
        }
    }
}

/// Counter of the runs that were spawned but have not called the executor yet, and which its free capacity
/// therefore does not account for.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingStarts(Arc<()>);

/// A run that has not called the executor yet; counted by [`PendingStarts`] until it is dropped.
struct PendingStart {
    _token: Arc<()>,
}

impl PendingStarts {
    fn add(&self) -> PendingStart {
        PendingStart { _token: Arc::clone(&self.0) }
    }

    fn count(&self) -> usize {
        Arc::strong_count(&self.0) - 1
    }
}

/// A run of an item that has been scheduled.
struct ItemRun<Executor, Log> {
    executor: Arc<Executor>,
    log: Arc<Log>,
    item: ItemOutline,
    address: JobAddress,
    progress: ItemProgress,
    deadline: Instant,
    start: PendingStart,
    share: MemoryShare,
}

impl<Executor: ItemExecutor, Log: JobLog> ItemRun<Executor, Log> {
    /// Loads the item and runs it. Returns the outcome and how long the run took.
    async fn execute(self) -> Result<(ItemOutcome, Duration), LoadError> {
        let mut item = self.log.load_item(&self.item).await?;
        let body = Bytes::from(item.decoded_body());
        // The decoded form is enough.
        item.body = String::new();
        let Self { address, progress, deadline, .. } = self;
        let attempt = ItemAttempt { address, item, body, progress, deadline };
        let started = Instant::now();
        drop(self.start);
        let outcome = self.executor.run_item(attempt).await;
        drop(self.share);
        Ok((outcome, started.elapsed()))
    }
}

/// Spawns a task that executes a run and reports its outcome to the runner.
fn spawn_run<Executor: ItemExecutor, Log: JobLog>(
    run: ItemRun<Executor, Log>,
    key: JobKey,
    index: ItemIndex,
    events: &mpsc::UnboundedSender<RunnerEvent<Log>>,
) -> TaskGuard {
    let events = events.clone();
    let task = tokio::spawn(async move {
        let event = match run.execute().await {
            Ok((outcome, duration)) => RunnerEvent::RunFinished { key, index, outcome, duration },
            Err(error) => RunnerEvent::LoadFailed { key, index, error },
        };
        let _ = events.send(event);
    });
    TaskGuard(task.abort_handle())
}

/// Returns the timeout of a run: a multiple of the average run, which doubles with
/// `attempts_without_progress` (see [`ItemWork`](super::item_work::ItemWork)) and is kept within the limits
/// of the settings.
fn run_timeout(
    settings: &RunnerSettings,
    average_run: Option<Duration>,
    attempts_without_progress: u32,
) -> Duration {
    let usual = average_run.map_or(settings.min_run_timeout, |average| average * RUN_TIMEOUT_FACTOR);
    let factor = 2_u32.pow(attempts_without_progress.min(MAX_TIMEOUT_DOUBLINGS));
    (usual.max(settings.min_run_timeout) * factor).min(settings.max_run_timeout)
}
