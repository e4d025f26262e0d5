//! Handles the end of a run of an item, and of its reward call.

use std::sync::Arc;
use std::time::Duration;

use batch::{Item, ItemIndex, ItemPhase, RewardRequest};
use bytes::Bytes;

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
        if !job.item(index).has_reward {
            return job.deliver(index, None);
        }
        job.schedule.set_phase(index, ItemPhase::Grading);
        let output_bytes = job.work[index].progress.events.iter().map(Bytes::len).sum();
        job.work[index].output_share = Some(self.memory.take(output_bytes));
        self.call_reward(key, index, Duration::ZERO);
    }

    /// Spawns the reward call of an item, which starts after `pause`.
    pub(super) fn call_reward(&mut self, key: JobKey, index: ItemIndex, pause: Duration) {
        let timeout = self.settings.reward_timeout;
        let Some(job) = self.jobs.get_mut(&key) else { return };
        let (log, item) = (job.log(), job.item(index).clone());
        let (executor, memory) = (Arc::clone(&self.executor), Arc::clone(&self.memory));
        let events = self.event_sender.clone();
        let call = tokio::spawn(async move {
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
            let _share = memory.take(item.json.len());
            let event = match log.load_item(&item).await {
                Ok(Item { reward: Some(request), .. }) => {
                    let max_attempts = max_reward_attempts(&*executor, &request);
                    let body = Bytes::from(request.decoded_body());
                    let outcome = executor.call_reward(request, body, timeout).await;
                    RunnerEvent::RewardFinished { key, index, outcome, max_attempts }
                }
                Ok(_) => return,
                Err(error) => RunnerEvent::LoadFailed { key, index, error },
            };
            let _ = events.send(event);
        });
        job.work[index].task = Some(TaskGuard(call.abort_handle()));
    }

    /// Handles the outcome of a reward call: delivers the item, gives it up, or repeats the call.
    /// `max_attempts` is the limit of the reward call's route.
    pub(super) fn on_reward_finished(
        &mut self,
        key: JobKey,
        index: ItemIndex,
        outcome: RewardOutcome,
        max_attempts: u32,
    ) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        if job.schedule.phase(index) != ItemPhase::Grading {
            return;
        }
        match outcome {
            RewardOutcome::Graded(grade) => return self.deliver_graded(key, index, grade),
            RewardOutcome::Failed { internal_errors } => {
                job.work[index].reward_internal_errors += internal_errors;
                // The larger of the limits of the batch job's route and the reward call's route.
                if job.work[index].reward_internal_errors >= job.max_attempts().max(max_attempts) {
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

/// Returns the number of responses with status 500 after which the route of a reward call allows to give it up; 0 if
/// no route matches.
fn max_reward_attempts<Executor: ItemExecutor>(executor: &Executor, request: &RewardRequest) -> u32 {
    executor.route_rules(&request.host, &request.path).map_or(0, |rules| rules.max_attempts)
}
