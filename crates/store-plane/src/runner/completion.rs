//! Handles the end of a run of an item, and of its reward call.

use std::sync::Arc;
use std::time::Duration;

use batch::{ItemIndex, ItemPhase};
use bytes::Bytes;

use super::active_job::ActiveJob;
use super::output_cache::CachedOutput;
use super::ports::{ItemExecutor, ItemOutcome, ItemProgress, JobLog, RewardOutcome};
use super::task_guard::TaskGuard;
use super::{JobKey, Runner, RunnerEvent};

/// Divisor that gives the weight of the newest run in the exponentially weighted moving average of run
/// durations.
const AVERAGE_RUN_WEIGHT_DIVISOR: u32 = 8;

impl<Executor: ItemExecutor, Log: JobLog> Runner<Executor, Log> {
    /// Handles the outcome of a run: continues with the reward call, gives the item up, or schedules the next
    /// run.
    pub(super) fn on_run_finished(
        &mut self,
        key: JobKey,
        index: ItemIndex,
        outcome: ItemOutcome,
        duration: Duration,
    ) {
        let now = self.now();
        let Some(job) = self.jobs.get_mut(&key) else { return };
        if job.schedule.phase(index) != ItemPhase::Streaming {
            return;
        }
        job.work[index].task = None;
        if !matches!(outcome, ItemOutcome::NotExecuted { .. }) {
            job.work[index].consecutive_rejections = 0;
        }
        let pause = match outcome {
            ItemOutcome::NotExecuted { retry_after } => job.work[index].on_rejection(retry_after),
            ItemOutcome::Complete(progress) if job.accepts(&progress) => {
                job.work[index].progress = progress;
                self.update_average_run(duration);
                return self.on_output_complete(key, index);
            }
            ItemOutcome::Interrupted(progress) if job.accepts(&progress) => {
                job.work[index].resume_from(progress)
            }
            ItemOutcome::Complete(_) | ItemOutcome::Interrupted(_) => job.work[index].restart(),
            ItemOutcome::Unprocessable => return job.give_up(index),
            ItemOutcome::Failed => {
                if job.record_internal_error(index) >= job.max_attempts() {
                    return job.give_up(index);
                }
                job.work[index].backoff()
            }
        };
        job.postpone(index, now, pause);
    }

    fn update_average_run(&mut self, duration: Duration) {
        self.average_run = Some(match self.average_run {
            None => duration,
            Some(average) => {
                (average * (AVERAGE_RUN_WEIGHT_DIVISOR - 1) + duration) / AVERAGE_RUN_WEIGHT_DIVISOR
            }
        });
    }

    /// Starts the reward call of an item whose output is complete. An item without a reward call is delivered
    /// at once.
    pub(super) fn on_output_complete(&mut self, key: JobKey, index: ItemIndex) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        job.work[index].attempts_without_progress = 0;
        if job.item(index).reward.is_none() {
            return job.deliver(index, None);
        }
        job.schedule.set_phase(index, ItemPhase::Grading);
        self.call_reward(key, index, Duration::ZERO);
    }

    /// Spawns the reward call of an item, which starts after `pause`.
    fn call_reward(&mut self, key: JobKey, index: ItemIndex, pause: Duration) {
        let timeout = self.settings.reward_timeout;
        let Some(job) = self.jobs.get_mut(&key) else { return };
        let Some(request) = job.item(index).reward.clone() else { return };
        let body = Bytes::from(request.decoded_body());
        let executor = Arc::clone(&self.executor);
        let events = self.event_sender.clone();
        let call = tokio::spawn(async move {
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
            let outcome = executor.call_reward(request, body, timeout).await;
            let _ = events.send(RunnerEvent::RewardFinished { key, index, outcome });
        });
        job.work[index].task = Some(TaskGuard(call.abort_handle()));
    }

    /// Handles the outcome of a reward call: delivers the item, gives it up, or repeats the call.
    pub(super) fn on_reward_finished(&mut self, key: JobKey, index: ItemIndex, outcome: RewardOutcome) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        if job.schedule.phase(index) != ItemPhase::Grading {
            return;
        }
        match outcome {
            RewardOutcome::Graded(grade) => return self.deliver_graded(key, index, grade),
            RewardOutcome::Failed { internal_errors } => {
                job.work[index].reward_internal_errors += internal_errors;
                let max_attempts = max_reward_attempts(&*self.executor, job, index);
                if job.work[index].reward_internal_errors >= max_attempts {
                    return job.give_up(index);
                }
            }
            RewardOutcome::Retryable | RewardOutcome::NoRoute => {}
        }
        job.work[index].attempts_without_progress += 1;
        let pause = job.work[index].backoff();
        self.call_reward(key, index, pause);
    }

    /// Delivers an item with its grade and caches its output.
    fn deliver_graded(&mut self, key: JobKey, index: ItemIndex, grade: String) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        let progress: ItemProgress = job.work[index].progress.clone();
        let output = CachedOutput { progress, is_complete: true, grade: Some(grade.clone()) };
        self.output_cache.insert(&job.address, job.item(index), output);
        job.deliver(index, Some(grade));
    }
}

/// Returns the number of responses with status 500 to the reward call after which an item is given up: the
/// larger of the limits of the batch job's route and the reward call's route.
fn max_reward_attempts<Executor: ItemExecutor>(
    executor: &Executor,
    job: &ActiveJob,
    index: ItemIndex,
) -> u32 {
    let reward = job.item(index).reward.as_ref();
    let rules = reward.and_then(|reward| executor.route_rules(&reward.host, &reward.path));
    job.max_attempts().max(rules.map_or(0, |rules| rules.max_attempts))
}
