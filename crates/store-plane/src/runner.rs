//! Runs the items of the batch jobs that this store owns.
//!
//! One task holds all state and starts a task for each request that is under way: first the run of the item, then,
//! once its text is whole, the reward call. Every request ends with an event to the holder of the state. Items start
//! in the order of [`batch::Precedence`] as far as the executor has room.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use base64::prelude::{Engine, BASE64_STANDARD};
use batch::{ItemIndex, ItemPhase, JobId, Precedence, Urgency};
use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::runner_job::{append_results, pause_after, ActiveJob, HandIn, ItemWork, TaskGuard};
use crate::runner_ports::{
    ItemAttempt, ItemEnd, ItemExecutor, ItemProgress, JobAddress, JobLog, JobState, RewardEnd, RunnableJob,
};
use crate::runner_texts::{KeptText, KeptTexts};

/// While items wait for room, the room is looked at this often.
const ROOM_POLL: Duration = Duration::from_millis(50);
/// Runs that found no server in a row, after which a text is begun anew instead of continued.
const NOT_RUN_MOST: u32 = 3;
/// A run is interrupted after this many times the usual length of a run.
const USUAL_RUNS_MOST: u32 = 4;
/// Weight of the newest run in the usual length, as one in so many.
const USUAL_RUN_WEIGHT: u32 = 8;
/// Doublings of the limit of a run after runs without any event.
const LIMIT_DOUBLINGS_MOST: u32 = 2;
/// An item whose body cannot be decoded waits for this long, which is until its batch job is over.
const NEVER: Duration = Duration::from_secs(24 * 60 * 60);

/// Bounds of the runner.
#[derive(Clone, Copy, Debug)]
pub struct RunnerSettings {
    /// Items that stream at once at most.
    pub items_at_once: usize,
    /// Room that is left to others when an item is started that nobody waits for.
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
            items_at_once: 64,
            surplus_reserve: 8,
            run_least: Duration::from_secs(4),
            run_most: Duration::from_secs(10),
            reward_deadline: Duration::from_millis(1500),
            kept_bytes: 8 * 1024 * 1024,
        }
    }
}

/// Numbers the batch jobs in the order in which they were taken over, also when one comes again.
type JobKey = u64;

enum Event<Log> {
    TakenOver(RunnableJob<Log>),
    Streamed { key: JobKey, index: ItemIndex, end: ItemEnd, length: Duration },
    Graded { key: JobKey, index: ItemIndex, end: RewardEnd },
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
    pub fn take_over(&self, job: RunnableJob<Log>) {
        // Without a runner the process is about to end.
        let _ = self.events.send(Event::TakenOver(job));
    }
}

/// Runs the items of all batch jobs that this store owns.
pub struct Runner<Executor, Log> {
    executor: Arc<Executor>,
    settings: RunnerSettings,
    origin: Instant,
    jobs: BTreeMap<JobKey, ActiveJob>,
    next_key: JobKey,
    kept: KeptTexts,
    usual_run: Option<Duration>,
    events: mpsc::UnboundedReceiver<Event<Log>>,
    sender: mpsc::UnboundedSender<Event<Log>>,
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
            origin: Instant::now(),
            jobs: BTreeMap::new(),
            next_key: 0,
            kept: KeptTexts::new(settings.kept_bytes),
            usual_run: None,
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
                event = self.events.recv() => match event {
                    Some(event) => self.handle_all(event),
                    None => return,
                },
                () = sleep_until(self.origin, wake) => {}
            }
        }
    }

    fn now(&self) -> Duration {
        self.origin.elapsed()
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

    fn take_over(&mut self, taken: RunnableJob<Log>) {
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
        job.mark_listed(&taken.listed);
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
            let waits = matches!(job.order.phase(index), ItemPhase::Waiting(_));
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

    /// Starts items as long as there is room, the most urgent first.
    fn start_items(&mut self) {
        let mut streaming: usize = self.jobs.values().map(|job| job.order.streaming()).sum();
        let mut room: BTreeMap<JobKey, usize> = BTreeMap::new();
        while streaming < self.settings.items_at_once {
            let now = self.now();
            let Some((key, index)) = self.most_urgent(now, &mut room) else { return };
            self.start_item(key, index);
            // Batch jobs of one service share its servers.
            room.values_mut().for_each(|room| *room = room.saturating_sub(1));
            streaming += 1;
        }
    }

    fn most_urgent(&self, now: Duration, room: &mut BTreeMap<JobKey, usize>) -> Option<(JobKey, ItemIndex)> {
        let mut best: Option<(Precedence, JobKey, ItemIndex)> = None;
        for (&key, job) in &self.jobs {
            let Some((precedence, candidate)) = job.next(now) else { continue };
            if best.is_some_and(|(before, ..)| before <= precedence) {
                continue;
            }
            let reserve =
                if precedence.urgency == Urgency::Surplus { self.settings.surplus_reserve } else { 0 };
            let free = *room.entry(key).or_insert_with(|| self.executor.room(&job.address));
            if free > reserve {
                best = Some((precedence, key, candidate.index));
            }
        }
        best.map(|(_, key, index)| (key, index))
    }

    fn start_item(&mut self, key: JobKey, index: ItemIndex) {
        let now = self.now();
        let usual_run = self.usual_run;
        let Some(job) = self.jobs.get_mut(&key) else { return };
        let Some(body) = job.body(index) else {
            log::error!("the body of item {} of batch job {} is not base64", job.item(index).id, job.id);
            return job.wait(index, now, NEVER);
        };
        let work = &mut job.work[index];
        let versions = &work.progress.versions;
        if !work.progress.events.is_empty() && !self.executor.can_continue(&job.address, versions) {
            work.progress = ItemProgress::default();
        }
        let limit = run_limit(&self.settings, usual_run, work.setbacks);
        let attempt = ItemAttempt {
            address: job.address.clone(),
            job: Arc::clone(&job.job),
            index,
            body,
            progress: work.progress.clone(),
            deadline: Instant::now() + limit,
        };
        work.task = Some(spawn_run(&self.executor, &self.sender, key, attempt));
        job.order.set_phase(index, ItemPhase::Streaming);
    }

    fn streamed(&mut self, key: JobKey, index: ItemIndex, end: ItemEnd, length: Duration) {
        let now = self.now();
        let Some(job) = self.jobs.get_mut(&key) else { return };
        if job.order.phase(index) != ItemPhase::Streaming {
            return;
        }
        job.work[index].task = None;
        match end {
            ItemEnd::Whole(progress) if job.accepts(&progress) => {
                job.work[index].progress = progress;
                self.note_run(length);
                return self.finish_text(key, index);
            }
            ItemEnd::Whole(_) => restart(&mut job.work[index]),
            ItemEnd::Interrupted(progress) if job.accepts(&progress) => {
                resume(&mut job.work[index], progress)
            }
            ItemEnd::Interrupted(_) => restart(&mut job.work[index]),
            ItemEnd::Impossible => return job.give_up(index),
            ItemEnd::Failed => {
                job.work[index].failures += 1;
                job.work[index].setbacks += 1;
                if job.work[index].failures >= job.tries() {
                    return job.give_up(index);
                }
            }
            ItemEnd::NotRun { retry_after } => {
                let pause = postpone(&mut job.work[index], retry_after);
                return job.wait(index, now, pause);
            }
        }
        let pause = pause_after(job.work[index].setbacks);
        job.wait(index, now, pause);
    }

    fn note_run(&mut self, length: Duration) {
        self.usual_run = Some(match self.usual_run {
            None => length,
            Some(usual) => (usual * (USUAL_RUN_WEIGHT - 1) + length) / USUAL_RUN_WEIGHT,
        });
    }

    /// Grades a whole text, or lists it if nothing grades it.
    fn finish_text(&mut self, key: JobKey, index: ItemIndex) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        job.work[index].setbacks = 0;
        if job.item(index).reward.is_none() {
            return job.deliver(index, None);
        }
        job.order.set_phase(index, ItemPhase::Grading);
        self.call_reward(key, index, Duration::ZERO);
    }

    fn call_reward(&mut self, key: JobKey, index: ItemIndex, pause: Duration) {
        let deadline = self.settings.reward_deadline;
        let Some(job) = self.jobs.get_mut(&key) else { return };
        let Some(request) = job.item(index).reward.clone() else { return };
        let body = Bytes::from(BASE64_STANDARD.decode(&request.body).unwrap_or_default());
        let executor = Arc::clone(&self.executor);
        let events = self.sender.clone();
        let call = tokio::spawn(async move {
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
            let end = executor.reward(request, body, deadline).await;
            let _ = events.send(Event::Graded { key, index, end });
        });
        job.work[index].task = Some(TaskGuard(call.abort_handle()));
    }

    fn graded(&mut self, key: JobKey, index: ItemIndex, end: RewardEnd) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        if job.order.phase(index) != ItemPhase::Grading {
            return;
        }
        match end {
            RewardEnd::Graded(grade) => return self.list_graded(key, index, grade),
            RewardEnd::Failed => {
                job.work[index].reward_failures += 1;
                if job.work[index].reward_failures >= reward_tries(&*self.executor, job, index) {
                    return job.give_up(index);
                }
            }
            RewardEnd::Again | RewardEnd::NoRoute => {}
        }
        job.work[index].setbacks += 1;
        let pause = pause_after(job.work[index].setbacks);
        self.call_reward(key, index, pause);
    }

    fn list_graded(&mut self, key: JobKey, index: ItemIndex, grade: String) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        let progress = job.work[index].progress.clone();
        let kept = KeptText { progress, is_whole: true, grade: Some(grade.clone()) };
        self.kept.keep(&job.address, job.item(index), kept);
        job.deliver(index, Some(grade));
    }

    /// When to look at the items again if nothing happens before.
    fn next_wake(&self) -> Option<Duration> {
        let now = self.now();
        let open = || self.jobs.values().filter(|job| !job.order.is_finished());
        let retries = open().filter_map(|job| job.order.next_retry(now));
        let expiries = open().filter_map(ActiveJob::expiry);
        let ready = open().any(|job| job.order.next(now).is_some()).then_some(now + ROOM_POLL);
        retries.chain(expiries).chain(ready).min()
    }
}

async fn sleep_until(origin: Instant, wake: Option<Duration>) {
    match wake {
        Some(wake) => tokio::time::sleep_until(origin + wake).await,
        None => std::future::pending().await,
    }
}

fn spawn_run<Executor: ItemExecutor, Log: JobLog>(
    executor: &Arc<Executor>,
    events: &mpsc::UnboundedSender<Event<Log>>,
    key: JobKey,
    attempt: ItemAttempt,
) -> TaskGuard {
    let executor = Arc::clone(executor);
    let events = events.clone();
    let run = tokio::spawn(async move {
        let index = attempt.index;
        let started = Instant::now();
        let end = executor.run_item(attempt).await;
        let _ = events.send(Event::Streamed { key, index, end, length: started.elapsed() });
    });
    TaskGuard(run.abort_handle())
}

/// How long a run may take. A run that makes no event at all is given longer the next time.
fn run_limit(settings: &RunnerSettings, usual_run: Option<Duration>, setbacks: u32) -> Duration {
    let usual = usual_run.map_or(settings.run_least, |usual| usual * USUAL_RUNS_MOST);
    let patience = 2_u32.pow(setbacks.min(LIMIT_DOUBLINGS_MOST));
    (usual.max(settings.run_least) * patience).min(settings.run_most)
}

/// Answers of 500 to the reward call after which an item may be given up, by either of the two routes.
fn reward_tries<Executor: ItemExecutor>(executor: &Executor, job: &ActiveJob, index: ItemIndex) -> u32 {
    let reward = job.item(index).reward.as_ref();
    let terms = reward.and_then(|reward| executor.terms(&reward.host, &reward.path));
    job.tries().max(terms.map_or(0, |terms| terms.tries))
}

/// The events so far can no longer make a text.
fn restart(work: &mut ItemWork) {
    work.progress = ItemProgress::default();
    work.setbacks += 1;
}

/// The text goes on from these events.
fn resume(work: &mut ItemWork, progress: ItemProgress) {
    let is_further = progress.events.len() > work.progress.events.len();
    work.setbacks = if is_further { 1 } else { work.setbacks + 1 };
    work.progress = progress;
}

/// No server ran the item; the pause before the next try. A text that none goes on with is begun anew.
fn postpone(work: &mut ItemWork, retry_after: Duration) -> Duration {
    work.setbacks += 1;
    if work.setbacks > NOT_RUN_MOST {
        work.progress = ItemProgress::default();
    }
    retry_after.max(pause_after(work.setbacks))
}
