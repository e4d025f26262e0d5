//! Starts items in their order, as far as the executor has room.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use batch::{ItemIndex, ItemPhase, Precedence, Urgency};
use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::runner::job::TaskGuard;
use crate::runner::ports::{ItemAttempt, ItemExecutor, ItemProgress, JobAddress, JobLog};
use crate::runner::{Event, JobKey, Runner, RunnerSettings};

/// A run is interrupted after this many times the usual length of a run.
const USUAL_RUNS_MOST: u32 = 3;
/// Items that nobody waits for leave one in so many of all places free, since other stores run items as well.
const SURPLUS_RESERVE_PART: usize = 2;
/// Doublings of the limit of a run after runs without any event.
const LIMIT_DOUBLINGS_MOST: u32 = 2;

impl<Executor: ItemExecutor, Log: JobLog> Runner<Executor, Log> {
    /// Starts items as long as there is room, the most urgent first.
    pub(crate) fn start_items(&mut self) {
        let mut streaming: usize = self.jobs.values().map(|job| job.order.streaming()).sum();
        let mut room: BTreeMap<JobKey, usize> = BTreeMap::new();
        while streaming < self.settings.items_at_once {
            let now = self.now();
            let Some((key, index)) = self.most_urgent(now, &mut room) else { return };
            self.start_item(key, index);
            streaming += 1;
        }
    }

    fn most_urgent(&self, now: Duration, room: &mut BTreeMap<JobKey, usize>) -> Option<(JobKey, ItemIndex)> {
        let mut best: Option<(Precedence, JobKey, ItemIndex)> = None;
        let usual_run = self.usual_run.unwrap_or_default();
        for (&key, job) in &self.jobs {
            let Some((precedence, candidate)) = job.next(now, usual_run, self.settings.items_at_once) else {
                continue;
            };
            if best.is_some_and(|(before, ..)| before <= precedence) {
                continue;
            }
            let reserve = match precedence.urgency {
                Urgency::Surplus => self.surplus_reserve(&job.address),
                Urgency::InTime | Urgency::Late => 0,
            };
            let free = *room.entry(key).or_insert_with(|| self.executor.room(&job.address));
            // Batch jobs of one service share its servers, so the starts of all of them count.
            if free > reserve + self.unseen_starts.count() {
                best = Some((precedence, key, candidate.index));
            }
        }
        best.map(|(_, key, index)| (key, index))
    }

    /// Room that is left to others when an item is started that nobody waits for.
    fn surplus_reserve(&self, address: &JobAddress) -> usize {
        self.settings.surplus_reserve.max(self.executor.places(address) / SURPLUS_RESERVE_PART)
    }

    fn start_item(&mut self, key: JobKey, index: ItemIndex) {
        let usual_run = self.usual_run;
        let Some(job) = self.jobs.get_mut(&key) else { return };
        let body = Bytes::from(job.item(index).decoded_body());
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
        work.task = Some(spawn_run(&self.executor, &self.sender, self.unseen_starts.add(), key, attempt));
        job.order.set_phase(index, ItemPhase::Streaming);
    }
}

/// Counts the runs that were started, but whose executor cannot have counted them in its room yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnseenStarts(Arc<()>);

/// A run that its executor has not seen; it counts until it is dropped.
struct UnseenStart {
    _token: Arc<()>,
}

impl UnseenStarts {
    fn add(&self) -> UnseenStart {
        UnseenStart { _token: Arc::clone(&self.0) }
    }

    fn count(&self) -> usize {
        Arc::strong_count(&self.0) - 1
    }
}

fn spawn_run<Executor: ItemExecutor, Log: JobLog>(
    executor: &Arc<Executor>,
    events: &mpsc::UnboundedSender<Event<Log>>,
    unseen: UnseenStart,
    key: JobKey,
    attempt: ItemAttempt,
) -> TaskGuard {
    let executor = Arc::clone(executor);
    let events = events.clone();
    let run = tokio::spawn(async move {
        let index = attempt.index;
        let started = Instant::now();
        drop(unseen);
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
