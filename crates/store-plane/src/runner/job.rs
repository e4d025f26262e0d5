//! A batch job while this store runs it: the state of its items, and the task that lists their results.

use std::sync::Arc;
use std::time::Duration;

use batch::{
    Item, ItemCandidate, ItemCondition, ItemIndex, ItemPhase, ItemResult, Job, JobForecast, JobId,
    JobSchedule, Precedence,
};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use crate::runner::ports::{ItemProgress, JobAddress, JobLog, JobState, OwnershipLost, RouteTerms};
use crate::runner::texts::versions_fit;

/// First pause after a setback of an item; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(30);
/// Longest pause after a setback.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// Doublings after which the pause is longest for certain.
const DOUBLINGS_MOST: u32 = 6;
/// The longest item of a batch job takes about so many usual runs.
const TAIL_RUNS: f64 = 2.5;
/// An item is given up this much later than its route allows, since clocks of stores differ.
const SHELF_LIFE_MARGIN: Duration = Duration::from_secs(1);

/// The pause after so many setbacks in a row.
pub(crate) fn pause_after(setbacks: u32) -> Duration {
    let doublings = setbacks.saturating_sub(1).min(DOUBLINGS_MOST);
    (FIRST_PAUSE * 2_u32.pow(doublings)).min(LONGEST_PAUSE)
}

/// Stops a task when dropped.
#[derive(Debug)]
pub(crate) struct TaskGuard(pub(crate) AbortHandle);

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// What is known of an item that is not listed.
#[derive(Debug, Default)]
pub(crate) struct ItemWork {
    /// The events to go on from.
    pub(crate) progress: ItemProgress,
    /// Answers of 500 to the item.
    pub(crate) failures: u32,
    /// Answers of 500 to its reward call.
    pub(crate) reward_failures: u32,
    /// Runs in a row that no server took.
    pub(crate) refusals: u32,
    /// Runs or reward calls in a row that brought it no further.
    pub(crate) setbacks: u32,
    /// The request that is under way.
    pub(crate) task: Option<TaskGuard>,
}

/// A batch job that this store runs.
pub(crate) struct ActiveJob {
    pub(crate) id: JobId,
    pub(crate) job: Arc<Job>,
    pub(crate) address: JobAddress,
    pub(crate) order: JobSchedule,
    pub(crate) work: Vec<ItemWork>,
    /// The terms of its route when they were last looked up.
    pub(crate) terms: Option<RouteTerms>,
    age: Duration,
    taken_over: Duration,
    results: mpsc::UnboundedSender<ItemResult>,
    /// Waits for the end of the batch job.
    _watcher: TaskGuard,
}

impl ActiveJob {
    pub(crate) fn new(
        id: JobId,
        job: Arc<Job>,
        address: JobAddress,
        hand_in: HandIn,
        results: mpsc::UnboundedSender<ItemResult>,
        watcher: TaskGuard,
    ) -> Self {
        let work = job.items.iter().map(|_| ItemWork::default()).collect();
        Self {
            id,
            order: JobSchedule::new(&job),
            job,
            address,
            work,
            terms: None,
            age: hand_in.age,
            taken_over: hand_in.taken_over,
            results,
            _watcher: watcher,
        }
    }

    /// Notes the results that earlier owners have listed.
    pub(crate) fn mark_listed(&mut self, listed: &[ItemResult]) {
        let ids: std::collections::HashSet<&str> = listed.iter().map(|result| &*result.id).collect();
        for (index, item) in self.job.items.iter().enumerate() {
            if ids.contains(&*item.id) {
                self.order.set_phase(index, ItemPhase::Recorded);
            }
        }
    }

    pub(crate) fn item(&self, index: ItemIndex) -> &Item {
        &self.job.items[index]
    }

    /// Answers of 500 after which an item may be given up; never while no route is known.
    pub(crate) fn tries(&self) -> u32 {
        self.terms.map_or(u32::MAX, |terms| terms.tries.max(1))
    }

    /// When its items may be given up.
    pub(crate) fn expiry(&self) -> Option<Duration> {
        let shelf_life = self.terms?.shelf_life + SHELF_LIFE_MARGIN;
        Some((self.taken_over + shelf_life).saturating_sub(self.age))
    }

    /// Whether events of these versions may make a text. Without a route the stricter rule counts.
    pub(crate) fn accepts(&self, progress: &ItemProgress) -> bool {
        let single_version = self.terms.is_none_or(|terms| terms.single_version);
        let known =
            self.address.model.is_none() || progress.events.is_empty() || !progress.versions.is_empty();
        known && versions_fit(&progress.versions, self.address.oldest_version, single_version)
    }

    /// The next item with its precedence among those of all batch jobs.
    ///
    /// A run takes `usual_run`, and `places` run at once.
    pub(crate) fn next(
        &self,
        now: Duration,
        usual_run: Duration,
        places: usize,
    ) -> Option<(Precedence, ItemCandidate)> {
        let candidate = self.order.next_item(now)?;
        let needed_remaining = self.order.needed_remaining();
        let rounds = needed_remaining as f64 / places.max(1) as f64;
        let forecast = JobForecast {
            due: (self.taken_over + self.terms?.delivery_due).saturating_sub(self.age),
            needed_remaining,
            streaming: self.order.streaming(),
            item_finished: now + usual_run,
            all_finished: now + usual_run.mul_f64(rounds + TAIL_RUNS),
        };
        Some((Precedence::new(candidate, forecast), candidate))
    }

    /// Puts an item back until `pause` has passed.
    pub(crate) fn wait(&mut self, index: ItemIndex, now: Duration, pause: Duration) {
        self.order.set_phase(index, ItemPhase::Pending(now + pause));
    }

    /// Lists a whole text.
    pub(crate) fn deliver(&mut self, index: ItemIndex, grade: Option<String>) {
        let progress = std::mem::take(&mut self.work[index].progress);
        let result = ItemResult {
            id: self.item(index).id.clone(),
            condition: ItemCondition::Delivered,
            text: joined_text(&progress),
            versions: progress.versions.into_iter().collect(),
            grade,
        };
        self.list(index, result);
    }

    /// Gives an item up.
    pub(crate) fn give_up(&mut self, index: ItemIndex) {
        let result = ItemResult {
            id: self.item(index).id.clone(),
            condition: ItemCondition::Undeliverable,
            text: String::new(),
            versions: Vec::new(),
            grade: None,
        };
        self.list(index, result);
    }

    /// Gives up all items that are not listed.
    pub(crate) fn give_up_rest(&mut self) {
        for index in 0..self.work.len() {
            if self.order.phase(index) != ItemPhase::Recorded {
                self.give_up(index);
            }
        }
    }

    fn list(&mut self, index: ItemIndex, result: ItemResult) {
        self.work[index] = ItemWork::default();
        self.order.set_phase(index, ItemPhase::Recorded);
        // The receiver is gone only when the batch job is no longer ours; then nothing may be listed.
        let _ = self.results.send(result);
    }
}

/// When a batch job was handed in.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HandIn {
    /// How long ago, at the time when this store took it over.
    pub(crate) age: Duration,
    /// When this store took it over.
    pub(crate) taken_over: Duration,
}

fn joined_text(progress: &ItemProgress) -> String {
    let joined = progress.events.join(&b'\n');
    String::from_utf8(joined).unwrap_or_else(|broken| String::from_utf8_lossy(broken.as_bytes()).into_owned())
}

/// Lists results until the batch job is closed; those that come while an append is under way go together.
pub(crate) async fn append_results<Log: JobLog>(
    log: Arc<Log>,
    mut results: mpsc::UnboundedReceiver<ItemResult>,
) -> Result<(), OwnershipLost> {
    let state = log.state();
    while let Some(first) = results.recv().await {
        let mut together = vec![first];
        while let Ok(result) = results.try_recv() {
            together.push(result);
        }
        if *state.borrow() != JobState::Open {
            break;
        }
        log.append(together).await?;
    }
    Ok(())
}
