//! Runs the items of the batch jobs that this store owns.
//!
//! The [`Runner`] is one task that owns all state and spawns a task for each request in flight: first the run
//! of the item, then, once its output is complete, the reward call that grades it. Each such task ends by
//! sending an event to the runner. Items start in the order of [`batch::Precedence`], as far as the executor
//! has capacity. The traits in [`ports`] define the executor of requests and the log that results are
//! appended to.

mod active_job;
mod completion;
pub mod forwarder_executor;
mod item_work;
mod memory;
pub mod output_cache;
pub mod owned_jobs;
pub mod ports;
mod scheduling;
mod settings;
mod task_guard;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use batch::{ItemIndex, ItemPhase, JobId, LoadError};
use tokio::sync::mpsc;
use tokio::time::Instant;

use active_job::{append_results, ActiveJob, JobConnections, PendingResult, SubmissionTime};
use memory::RunnerMemory;
use output_cache::{CachedOutput, OutputCache};
use ports::{ItemExecutor, ItemOutcome, JobAddress, JobLog, JobState, OwnedJob, RewardOutcome};
use scheduling::PendingStarts;
use task_guard::TaskGuard;

pub use settings::RunnerSettings;

/// Reading of the runner's clock when it starts. It is not zero so that times before the start can be
/// expressed.
const CLOCK_AT_START: Duration = Duration::from_secs(24 * 60 * 60);
/// Interval of the checks for free capacity while items wait for it.
const CAPACITY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Identity of one acquisition of a batch job by the runner. A batch job that is acquired again gets a new
/// key.
type JobKey = u64;

/// Events that the runner handles, sent by its handles and by the tasks that it spawns.
enum RunnerEvent<Log> {
    JobAcquired(OwnedJob<Log>),
    RunFinished { key: JobKey, index: ItemIndex, outcome: ItemOutcome, duration: Duration },
    RewardFinished { key: JobKey, index: ItemIndex, outcome: RewardOutcome, max_attempts: u32 },
    LoadFailed { key: JobKey, index: ItemIndex, error: LoadError },
    JobClosed { key: JobKey },
}

/// Handle that passes batch jobs to a [`Runner`]. Clones pass them to the same runner.
#[derive(Debug)]
pub struct RunnerHandle<Log> {
    events: mpsc::UnboundedSender<RunnerEvent<Log>>,
}

impl<Log> Clone for RunnerHandle<Log> {
    fn clone(&self) -> Self {
        Self { events: self.events.clone() }
    }
}

impl<Log> RunnerHandle<Log> {
    /// Runs the items of a batch job until its log is no longer [`JobState::Open`].
    pub fn run_job(&self, job: OwnedJob<Log>) {
        // Sending fails if the runner was dropped, which happens only when the process is about to exit.
        let _ = self.events.send(RunnerEvent::JobAcquired(job));
    }
}

/// Runner of the items of all batch jobs that this store owns.
pub struct Runner<Executor, Log> {
    executor: Arc<Executor>,
    settings: RunnerSettings,
    /// Time at which the runner was created; its clock then shows [`CLOCK_AT_START`].
    started: Instant,
    /// The batch jobs in the order in which they were acquired.
    jobs: BTreeMap<JobKey, ActiveJob<Log>>,
    next_key: JobKey,
    output_cache: OutputCache,
    /// Moving average of the durations of complete runs; `None` before the first one.
    average_run: Option<Duration>,
    pending_starts: PendingStarts,
    memory: Arc<RunnerMemory>,
    events: mpsc::UnboundedReceiver<RunnerEvent<Log>>,
    event_sender: mpsc::UnboundedSender<RunnerEvent<Log>>,
}

impl<Executor: ItemExecutor, Log: JobLog> Runner<Executor, Log> {
    /// Creates a runner without batch jobs, and the handle that passes batch jobs to it.
    #[must_use]
    pub fn new(executor: Arc<Executor>, settings: RunnerSettings) -> (Self, RunnerHandle<Log>) {
        let (event_sender, events) = mpsc::unbounded_channel();
        let handle = RunnerHandle { events: event_sender.clone() };
        let runner = Self {
            executor,
            settings,
            started: Instant::now(),
            jobs: BTreeMap::new(),
            next_key: 0,
            output_cache: OutputCache::new(settings.output_cache_bytes),
            average_run: None,
            pending_starts: PendingStarts::default(),
            memory: Arc::new(RunnerMemory::new(settings.max_bytes_in_flight)),
            events,
            event_sender,
        };
        (runner, handle)
    }

    /// Runs items until dropped, which cancels all requests in flight.
    pub async fn run(mut self) {
        loop {
            self.refresh_route_rules();
            self.give_up_expired();
            self.start_items();
            let wake_at = self.next_wake();
            tokio::select! {
                biased;
                event = self.events.recv() => match event {
                    Some(event) => self.handle_pending(event),
                    None => return,
                },
                () = sleep_until(self.started, wake_at) => {}
            }
        }
    }

    /// Returns the reading of the runner's clock.
    fn now(&self) -> Duration {
        CLOCK_AT_START + self.started.elapsed()
    }

    /// Handles an event and all that are queued behind it, before items are started.
    fn handle_pending(&mut self, first: RunnerEvent<Log>) {
        self.handle(first);
        while let Ok(event) = self.events.try_recv() {
            self.handle(event);
        }
    }

    fn handle(&mut self, event: RunnerEvent<Log>) {
        match event {
            RunnerEvent::JobAcquired(job) => self.on_job_acquired(job),
            RunnerEvent::RunFinished { key, index, outcome, duration } => {
                self.on_run_finished(key, index, outcome, duration);
            }
            RunnerEvent::RewardFinished { key, index, outcome, max_attempts } => {
                self.on_reward_finished(key, index, outcome, max_attempts);
            }
            RunnerEvent::LoadFailed { key, index, error } => self.on_load_failed(key, index, &error),
            RunnerEvent::JobClosed { key } => self.close(key),
        }
    }

    /// Starts to run a batch job, unless it is no longer open. An earlier acquisition of it is closed.
    fn on_job_acquired(&mut self, owned: OwnedJob<Log>) {
        self.close_earlier(&owned.id);
        let log = Arc::new(owned.log);
        if *log.state().borrow() != JobState::Open {
            return;
        }
        let key = self.next_key;
        self.next_key += 1;
        let (results, results_receiver) = mpsc::unbounded_channel();
        let watcher = self.spawn_watcher(key, &*log);
        self.spawn_appender(key, Arc::clone(&log), results_receiver);
        let connections =
            JobConnections { log, results, _watcher: watcher, memory: Arc::clone(&self.memory) };
        let address = JobAddress {
            host: owned.host,
            path: owned.path,
            model: owned.job.model.clone(),
            oldest_version: owned.job.oldest_version.unwrap_or(0),
        };
        let submission = SubmissionTime { age: owned.age, acquired_at: self.now() };
        let mut job = ActiveJob::new(owned.id, owned.job, address, submission, connections);
        job.skip_committed(&owned.items_with_results);
        job.rules = self.executor.route_rules(&job.address.host, &job.address.path);
        self.jobs.insert(key, job);
        self.use_cached_outputs(key);
    }

    /// Closes earlier acquisitions of a batch job, so that it is run with its new log only.
    fn close_earlier(&mut self, id: &JobId) {
        let earlier: Vec<JobKey> =
            self.jobs.iter().filter(|(_, job)| job.id == *id).map(|(key, _)| *key).collect();
        for key in earlier {
            self.close(key);
        }
    }

    /// Spawns the task that closes the batch job when its log is no longer open.
    fn spawn_watcher(&self, key: JobKey, log: &Log) -> TaskGuard {
        let mut state = log.state();
        let events = self.event_sender.clone();
        let watcher = tokio::spawn(async move {
            let _ = state.wait_for(|state| *state != JobState::Open).await;
            let _ = events.send(RunnerEvent::JobClosed { key });
        });
        TaskGuard(watcher.abort_handle())
    }

    /// Spawns the task that appends results. It is not aborted with the batch job, since an append in flight
    /// must not be cancelled.
    fn spawn_appender(&self, key: JobKey, log: Arc<Log>, results: mpsc::UnboundedReceiver<PendingResult>) {
        let events = self.event_sender.clone();
        tokio::spawn(async move {
            if append_results(log, results).await.is_err() {
                let _ = events.send(RunnerEvent::JobClosed { key });
            }
        });
    }

    /// Removes a batch job, which cancels its requests, and caches the outputs that have no result yet.
    fn close(&mut self, key: JobKey) {
        let Some(mut job) = self.jobs.remove(&key) else { return };
        for index in 0..job.work.len() {
            let progress = std::mem::take(&mut job.work[index].progress);
            if !progress.events.is_empty() {
                let is_complete = job.schedule.phase(index) == ItemPhase::Grading;
                let output = CachedOutput { progress, is_complete, grade: None };
                self.output_cache.insert(&job.address, job.item(index), output);
            }
        }
    }

    /// Uses the cached outputs of the pending items of a batch job: a graded output becomes the result, a
    /// complete one is graded, and an incomplete one is continued by the next run.
    fn use_cached_outputs(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        let mut ungraded = Vec::new();
        for index in 0..job.work.len() {
            let is_pending = matches!(job.schedule.phase(index), ItemPhase::Pending(_));
            let cached = self.output_cache.get(&job.address, job.item(index));
            let usable = cached.filter(|cached| is_pending && job.accepts(&cached.progress));
            let Some(cached) = usable else { continue };
            job.work[index].progress = cached.progress.clone();
            match (cached.is_complete, &cached.grade) {
                (true, Some(grade)) => job.deliver(index, Some(grade.clone())),
                (true, None) => ungraded.push(index),
                (false, _) => {}
            }
        }
        for index in ungraded {
            self.on_output_complete(key, index);
        }
    }

    /// Reads the rules of the routes again, since the configuration may have changed.
    fn refresh_route_rules(&mut self) {
        for job in self.jobs.values_mut() {
            job.rules = self.executor.route_rules(&job.address.host, &job.address.path);
        }
    }

    /// Gives up the remaining items of batch jobs that have expired.
    fn give_up_expired(&mut self) {
        let now = self.now();
        for job in self.jobs.values_mut() {
            if !job.schedule.is_finished() && job.expiry().is_some_and(|expiry| expiry <= now) {
                log::warn!("batch job {} has expired; its remaining items are given up", job.id);
                job.give_up_remaining();
            }
        }
    }

    /// Returns the time of the next check of the items if no event arrives earlier; `None` if there is
    /// nothing to check.
    fn next_wake(&self) -> Option<Duration> {
        let now = self.now();
        let unfinished = || self.jobs.values().filter(|job| !job.schedule.is_finished());
        let retries = unfinished().filter_map(|job| job.schedule.next_retry(now));
        let expiries = unfinished().filter_map(ActiveJob::expiry);
        let has_ready_item = unfinished().any(|job| job.schedule.next_item(now).is_some());
        let capacity_poll = has_ready_item.then_some(now + CAPACITY_POLL_INTERVAL);
        retries.chain(expiries).chain(capacity_poll).min()
    }
}

/// Sleeps until the runner's clock shows `wake_at`, or forever if that is `None`.
async fn sleep_until(started: Instant, wake_at: Option<Duration>) {
    match wake_at {
        Some(wake_at) => tokio::time::sleep_until(started + wake_at.saturating_sub(CLOCK_AT_START)).await,
        None => std::future::pending().await,
    }
}
