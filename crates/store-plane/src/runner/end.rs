//! What follows the end of a run of an item and of its reward call.

use std::sync::Arc;
use std::time::Duration;

use batch::{ItemIndex, ItemPhase};
use bytes::Bytes;

use crate::runner::job::{pause_after, ActiveJob, ItemWork, TaskGuard};
use crate::runner::ports::{ItemExecutor, ItemOutcome, ItemProgress, JobLog, RewardOutcome};
use crate::runner::texts::KeptText;
use crate::runner::{Event, JobKey, Runner};

/// Runs that found no server in a row, after which a text is begun anew instead of continued.
const NOT_RUN_MOST: u32 = 3;
/// Longest pause after a run that found no server: what one server says of itself does not bind the others.
const NOT_RUN_PAUSE_MOST: Duration = Duration::from_millis(500);
/// Longest pause after such a run that the runner chooses by itself.
const OWN_NOT_RUN_PAUSE_MOST: Duration = Duration::from_millis(120);
/// Weight of the newest run in the usual length, as one in so many.
const USUAL_RUN_WEIGHT: u32 = 8;

impl<Executor: ItemExecutor, Log: JobLog> Runner<Executor, Log> {
    /// A run of an item has ended.
    pub(crate) fn streamed(&mut self, key: JobKey, index: ItemIndex, end: ItemOutcome, length: Duration) {
        let now = self.now();
        let Some(job) = self.jobs.get_mut(&key) else { return };
        if job.order.phase(index) != ItemPhase::Streaming {
            return;
        }
        job.work[index].task = None;
        if let ItemOutcome::NotRun { retry_after } = end {
            let pause = postpone(&mut job.work[index], retry_after);
            return job.wait(index, now, pause);
        }
        job.work[index].refusals = 0;
        match end {
            ItemOutcome::Complete(progress) if job.accepts(&progress) => {
                job.work[index].progress = progress;
                self.note_run(length);
                return self.finish_text(key, index);
            }
            ItemOutcome::Complete(_) => restart(&mut job.work[index]),
            ItemOutcome::Interrupted(progress) if job.accepts(&progress) => {
                resume(&mut job.work[index], progress)
            }
            ItemOutcome::Interrupted(_) => restart(&mut job.work[index]),
            ItemOutcome::Unprocessable => return job.give_up(index),
            ItemOutcome::Failed => {
                job.work[index].failures += 1;
                job.work[index].setbacks += 1;
                if job.work[index].failures >= job.tries() {
                    return job.give_up(index);
                }
            }
            ItemOutcome::NotRun { .. } => {}
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
    pub(crate) fn finish_text(&mut self, key: JobKey, index: ItemIndex) {
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
        let body = Bytes::from(request.decoded_body());
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

    /// A reward call has ended.
    pub(crate) fn graded(&mut self, key: JobKey, index: ItemIndex, end: RewardOutcome) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        if job.order.phase(index) != ItemPhase::Grading {
            return;
        }
        match end {
            RewardOutcome::Graded(grade) => return self.list_graded(key, index, grade),
            RewardOutcome::Failed { internal_errors } => {
                job.work[index].reward_failures += internal_errors;
                if job.work[index].reward_failures >= reward_tries(&*self.executor, job, index) {
                    return job.give_up(index);
                }
            }
            RewardOutcome::Retryable | RewardOutcome::NoRoute => {}
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
    work.refusals += 1;
    if work.refusals > NOT_RUN_MOST {
        work.progress = ItemProgress::default();
    }
    let own = pause_after(work.refusals).min(OWN_NOT_RUN_PAUSE_MOST);
    retry_after.min(NOT_RUN_PAUSE_MOST).max(own)
}
