//! Runs the items of the batch jobs that this store owns.
//!
//! One task holds all state and starts a task for each request that is under way: first the run of the item, then,
//! once its text is whole, the reward call. Every request ends with an event to the holder of the state. Items start
//! in the order of [`batch::Precedence`] as far as the executor has room.

mod end;
mod job;
pub mod owned_jobs;
pub mod ports;
pub mod sender;
mod start;
pub mod texts;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use batch::{ItemIndex, ItemPhase, ItemResult, JobId};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::runner::job::{append_results, ActiveJob, HandIn, TaskGuard};
use crate::runner::ports::{
    ItemExecutor, ItemOutcome, JobAddress, JobLog, JobState, OwnedJob, RewardOutcome,
};
use crate::runner::start::UnseenStarts;
use crate::runner::texts::{KeptText, KeptTexts};

/// Age of the origin of times at the start of the runner, so that earlier times can be told.
const ORIGIN_AGE: Duration = Duration::from_secs(24 * 60 * 60);
/// While items wait for room, the room is looked at this often.
const ROOM_POLL: Duration = Duration::from_millis(50);
/// Bounds of the runner.
#[derive(Clone, Copy, Debug)]
pub struct RunnerSettings {
    /// Items that stream at once at most.
    pub items_at_once: usize,
    /// Room that is left to others at least when an item is started that nobody waits for.
    pub surplus_reserve: usize,
    /// A run of an item is never interrupted before this time.
    pub run_least: Duration,
    /// A run of an item is always interrupted after this time.
    pub run_most: Duration,
    /// The deadline of a reward call.
    pub reward_deadline: Duration,
    /// Memory for kept texts.
    pub kept_bytes: usize,
}

impl Default for RunnerSettings {
    fn default() -> Self {
        Self {
            items_at_once: 320,
            surplus_reserve: 48,
            run_least: Duration::from_secs(12),
            run_most: Duration::from_secs(20),
            reward_deadline: Duration::from_millis(1500),
            kept_bytes: 8 * 1024 * 1024,
        }
    }
}

/// Numbers the batch jobs in the order in which they were taken over, also when one comes again.
pub(crate) type JobKey = u64;

/// What the task that holds the state is told.
pub(crate) enum Event<Log> {
    TakenOver(OwnedJob<Log>),
    Streamed { key: JobKey, index: ItemIndex, end: ItemOutcome, length: Duration },
    Graded { key: JobKey, index: ItemIndex, end: RewardOutcome },
    Closed { key: JobKey },
}

/// Hands batch jobs to a [`Runner`].
#[derive(Debug)]
pub struct RunnerHandle<Log> {
    events: mpsc::UnboundedSender<Event<Log>>,
}

impl<Log> Clone for RunnerHandle<Log> {
    fn clone(&self) -> Self {
        Self { events: self.events.clone() }
    }
}

impl<Log> RunnerHandle<Log> {
    /// Runs a batch job until its log says that it is no longer open.
    pub fn take_over(&self, job: OwnedJob<Log>) {
        // Without a runner the process is about to end.
        let _ = self.events.send(Event::TakenOver(job));
    }
}

/// Runs the items of all batch jobs that this store owns.
pub struct Runner<Executor, Log> {
    pub(crate) executor: Arc<Executor>,
    pub(crate) settings: RunnerSettings,
    pub(crate) started: Instant,
    pub(crate) jobs: BTreeMap<JobKey, ActiveJob>,
    pub(crate) next_key: JobKey,
    pub(crate) kept: KeptTexts,
    pub(crate) usual_run: Option<Duration>,
    pub(crate) unseen_starts: UnseenStarts,
    pub(crate) events: mpsc::UnboundedReceiver<Event<Log>>,
    pub(crate) sender: mpsc::UnboundedSender<Event<Log>>,
}

impl<Executor: ItemExecutor, Log: JobLog> Runner<Executor, Log> {
    /// A runner without batch jobs, and the handle that gives it some.
    #[must_use]
    pub fn new(executor: Arc<Executor>, settings: RunnerSettings) -> (Self, RunnerHandle<Log>) {
        let (sender, events) = mpsc::unbounded_channel();
        let handle = RunnerHandle { events: sender.clone() };
        let runner = Self {
            executor,
            settings,
            started: Instant::now(),
            jobs: BTreeMap::new(),
            next_key: 0,
            kept: KeptTexts::new(settings.kept_bytes),
            usual_run: None,
            unseen_starts: UnseenStarts::default(),
            events,
            sender,
        };
        (runner, handle)
    }

    /// Runs items until the task is dropped, which stops all of them.
    pub async fn run(mut self) {
        loop {
            self.look_up_terms();
            self.expire();
            self.start_items();
            let wake = self.next_wake();
            tokio::select! {
                biased;
                event = self.events.recv() => match event {
                    Some(event) => self.handle_all(event),
                    None => return,
                },
                () = sleep_until(self.started, wake) => {}
            }
        }
    }

    pub(crate) fn now(&self) -> Duration {
        ORIGIN_AGE + self.started.elapsed()
    }

    fn handle_all(&mut self, first: Event<Log>) {
        self.handle(first);
        while let Ok(event) = self.events.try_recv() {
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event<Log>) {
        match event {
            Event::TakenOver(job) => self.take_over(job),
            Event::Streamed { key, index, end, length } => self.streamed(key, index, end, length),
            Event::Graded { key, index, end } => self.graded(key, index, end),
            Event::Closed { key } => self.close(key),
        }
    }

    fn take_over(&mut self, taken: OwnedJob<Log>) {
        self.close_earlier(&taken.id);
        let log = Arc::new(taken.log);
        if *log.state().borrow() != JobState::Open {
            return;
        }
        let key = self.next_key;
        self.next_key += 1;
        let (results, listing) = mpsc::unbounded_channel();
        let watcher = self.spawn_watcher(key, &*log);
        self.spawn_appender(key, log, listing);
        let address = JobAddress {
            host: taken.host,
            path: taken.path,
            model: taken.job.model.clone(),
            oldest_version: taken.job.oldest_version.unwrap_or(0),
        };
        let hand_in = HandIn { age: taken.age, taken_over: self.now() };
        let mut job = ActiveJob::new(taken.id, taken.job, address, hand_in, results, watcher);
        job.mark_listed(&taken.committed_results);
        job.terms = self.executor.terms(&job.address.host, &job.address.path);
        self.jobs.insert(key, job);
        self.use_kept_texts(key);
    }

    /// A batch job that comes again is run under its new log only.
    fn close_earlier(&mut self, id: &JobId) {
        let earlier: Vec<JobKey> =
            self.jobs.iter().filter(|(_, job)| job.id == *id).map(|(key, _)| *key).collect();
        for key in earlier {
            self.close(key);
        }
    }

    fn spawn_watcher(&self, key: JobKey, log: &Log) -> TaskGuard {
        let mut state = log.state();
        let events = self.sender.clone();
        let watcher = tokio::spawn(async move {
            let _ = state.wait_for(|state| *state != JobState::Open).await;
            let _ = events.send(Event::Closed { key });
        });
        TaskGuard(watcher.abort_handle())
    }

    /// Runs on its own, since an append that is under way is not broken off.
    fn spawn_appender(&self, key: JobKey, log: Arc<Log>, listing: mpsc::UnboundedReceiver<ItemResult>) {
        let events = self.sender.clone();
        tokio::spawn(async move {
            if append_results(log, listing).await.is_err() {
                let _ = events.send(Event::Closed { key });
            }
        });
    }

    /// Stops everything of a batch job; unfinished texts are kept.
    fn close(&mut self, key: JobKey) {
        let Some(mut job) = self.jobs.remove(&key) else { return };
        for index in 0..job.work.len() {
            let progress = std::mem::take(&mut job.work[index].progress);
            if !progress.events.is_empty() {
                let is_whole = job.order.phase(index) == ItemPhase::Grading;
                self.kept.keep(&job.address, job.item(index), KeptText { progress, is_whole, grade: None });
            }
        }
    }

    fn use_kept_texts(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        let mut ungraded = Vec::new();
        for index in 0..job.work.len() {
            let waits = matches!(job.order.phase(index), ItemPhase::Pending(_));
            let Some(kept) = self.kept.find(&job.address, job.item(index)).filter(|_| waits) else {
                continue;
            };
            if !job.accepts(&kept.progress) {
                continue;
            }
            job.work[index].progress = kept.progress.clone();
            match (kept.is_whole, &kept.grade) {
                (true, Some(grade)) => job.deliver(index, Some(grade.clone())),
                (true, None) => ungraded.push(index),
                (false, _) => {}
            }
        }
        for index in ungraded {
            self.finish_text(key, index);
        }
    }

    fn look_up_terms(&mut self) {
        for job in self.jobs.values_mut() {
            job.terms = self.executor.terms(&job.address.host, &job.address.path);
        }
    }

    fn expire(&mut self) {
        let now = self.now();
        for job in self.jobs.values_mut() {
            if !job.order.is_finished() && job.expiry().is_some_and(|expiry| expiry <= now) {
                log::warn!("batch job {} reached its shelf life; its open items are given up", job.id);
                job.give_up_rest();
            }
        }
    }

    /// When to look at the items again if nothing happens before.
    fn next_wake(&self) -> Option<Duration> {
        let now = self.now();
        let open = || self.jobs.values().filter(|job| !job.order.is_finished());
        let retries = open().filter_map(|job| job.order.next_retry(now));
        let expiries = open().filter_map(ActiveJob::expiry);
        let ready = open().any(|job| job.order.next_item(now).is_some()).then_some(now + ROOM_POLL);
        retries.chain(expiries).chain(ready).min()
    }
}

async fn sleep_until(started: Instant, wake: Option<Duration>) {
    match wake {
        Some(wake) => tokio::time::sleep_until(started + wake.saturating_sub(ORIGIN_AGE)).await,
        None => std::future::pending().await,
    }
}
