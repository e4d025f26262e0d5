//! The emulated trainer: in each training step it submits a batch job, reads and checks the results, ends the
//! batch job, and names the next version of the weights, which the system then rolls out.

mod result_history;
mod step_outcome;
mod step_plan;
mod submitted_job;

use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use reqwest::Method;

use crate::clients::LoadBalancer;
use crate::deployment::TimingRules;
use crate::http::{HttpCall, HttpCallError, HttpCaller};
use crate::operator::{Operator, OperatorError};
use crate::protocol::{header, ResultPage};
use crate::verification::{check_result, RequestLog, Rule, Violation};

pub use result_history::ResultHistory;
pub use step_outcome::StepOutcome;
pub use step_plan::{ItemGroup, JobRouting, JobTemplate, StepPlan};

use step_plan::decode_body;
use submitted_job::SubmittedJob;

/// Time for which a node may delay the response to a read until there is a new result.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time by which the time limit of a read exceeds the duration of its long poll.
const LONG_POLL_MARGIN: Duration = Duration::from_millis(1500);
/// Time between the end of a read and the next read.
const READ_INTERVAL: Duration = Duration::from_millis(300);
/// On average one of this many reads starts again at the first position, to check that earlier results are
/// unchanged.
const READS_PER_REREAD: u32 = 5;
/// Time limit of one attempt to submit a batch job.
const SUBMIT_ATTEMPT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time limit of the submission of a batch job, including retries.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(15);
/// Time limit, including retries, for reading an item's body, ending a batch job, naming a version, or
/// reading a finished batch job again.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
/// Time after the submission at which a step ends without the groups that are still incomplete.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);

/// Error of a training step that was not completed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TrainerError {
    /// No node stated whether the batch job was accepted.
    NotAccepted(HttpCallError),
    /// A node rejected the batch job with this status.
    Rejected(u16),
    /// The request to roll out the next version was not acknowledged.
    VersionNotNamed(OperatorError),
}

impl fmt::Display for TrainerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotAccepted(error) => write!(f, "the batch job was not taken: {error}"),
            Self::Rejected(status) => write!(f, "the batch job was refused with status {status}"),
            Self::VersionNotNamed(error) => write!(f, "the version was not named: {error}"),
        }
    }
}

impl std::error::Error for TrainerError {}

/// A trainer that runs training steps one after the other.
#[derive(Debug)]
pub struct Trainer {
    template: JobTemplate,
    timing: TimingRules,
    request_log: Arc<RequestLog>,
    caller: HttpCaller,
    load_balancer: LoadBalancer,
    operator: Operator,
    /// Batch jobs of earlier steps, which [`Trainer::read_back`] checks.
    finished_jobs: Vec<SubmittedJob>,
}

impl Trainer {
    /// Returns a trainer that calls the nodes through `load_balancer`, and names versions through `operator`.
    ///
    /// # Errors
    ///
    /// When the HTTP client cannot be set up.
    pub fn new(
        template: JobTemplate,
        timing: TimingRules,
        request_log: Arc<RequestLog>,
        load_balancer: LoadBalancer,
        operator: Operator,
    ) -> reqwest::Result<Self> {
        let caller = HttpCaller::without_reuse()?;
        let finished_jobs = Vec::new();
        Ok(Self { template, timing, request_log, caller, load_balancer, operator, finished_jobs })
    }

    /// Runs a training step: submits a batch job, waits for the required groups, ends the batch job and names
    /// the next version. `incomplete_groups` are groups of the previous step that the batch job may include
    /// again.
    ///
    /// # Errors
    ///
    /// When the batch job is not accepted or the next version is not acknowledged.
    pub async fn run_step(
        &mut self,
        step: u64,
        incomplete_groups: Vec<ItemGroup>,
    ) -> Result<StepOutcome, TrainerError> {
        let newest_version = step + 1;
        let oldest_version = newest_version.saturating_sub(1).max(1);
        let plan = StepPlan::random(&self.template, step, oldest_version, incomplete_groups);
        plan.expect_requests(&self.template.routing, &self.request_log);
        let submitted = Instant::now();
        self.submit(&plan).await?;
        let mut job = SubmittedJob::new(plan, submitted, Instant::now());
        self.check_item_body(&mut job).await;
        let is_done = self.wait_for_groups(&mut job).await;
        let duration = submitted.elapsed();
        self.end_job(&mut job).await;
        self.request_log.name_version(newest_version + 1);
        let acknowledged =
            self.operator.name_version(&self.template.model, newest_version + 1, CALL_TIMEOUT).await;
        let outcome = job.outcome(step, self.template.required_groups, is_done, duration);
        self.finished_jobs.push(job);
        acknowledged.map(|()| outcome).map_err(TrainerError::VersionNotNamed)
    }

    fn call(&self, method: Method, path: String) -> HttpCall {
        HttpCall::new(method, path).header("Host", self.template.routing.host.clone())
    }

    /// Submits a batch job, with retries under the same id.
    async fn submit(&self, plan: &StepPlan) -> Result<(), TrainerError> {
        let path = format!("{}{}", self.template.routing.rollout_prefix, plan.id);
        let call = self
            .call(Method::POST, path)
            .header(header::ATTEMPT_ID, plan.id.clone())
            .timeout(SUBMIT_ATTEMPT_TIMEOUT)
            .json(&plan.job)
            .map_err(|error| TrainerError::NotAccepted(HttpCallError::Failed(error.to_string())))?;
        let reply = self
            .caller
            .call_until_conclusive(|| self.load_balancer.select_node(), &call, SUBMIT_TIMEOUT)
            .await;
        match reply.map_err(TrainerError::NotAccepted)?.status {
            202 => Ok(()),
            status => Err(TrainerError::Rejected(status)),
        }
    }

    /// Reads the body of the last item of a batch job, which nodes must return until the item has a result.
    async fn check_item_body(&self, job: &mut SubmittedJob) {
        let Some(item) = job.plan.job.items.last().cloned() else { return };
        let call = self.call(Method::GET, format!("/api/items/{}?id={}", job.plan.id, item.id));
        let reply =
            self.caller.call_until_conclusive(|| self.load_balancer.select_node(), &call, CALL_TIMEOUT).await;
        let Ok(reply) = reply else { return };
        match reply.status {
            200 if reply.body == decode_body(&item.body) => {}
            200 => self.report(Rule::Mismatch, format!("the body of item {} has other bytes", item.id)),
            _ => {
                self.read_page(job, 0, job.accepted).await;
                if self.must_be_visible(job.accepted) && !job.history.contains(&item.id) {
                    self.report(Rule::Lost, format!("item {} is not listed and has no body", item.id));
                }
            }
        }
    }

    /// Returns whether all nodes must serve a batch job that was accepted at `accepted`.
    fn must_be_visible(&self, accepted: Instant) -> bool {
        accepted.elapsed() > self.timing.batch_job_propagation_timeout()
    }

    /// Reads results until the required groups are complete or [`STEP_TIMEOUT`] has passed; returns whether
    /// they are complete.
    async fn wait_for_groups(&self, job: &mut SubmittedJob) -> bool {
        loop {
            let from = if fastrand::u32(..READS_PER_REREAD) == 0 { 0 } else { job.history.count() };
            self.read_page(job, from, job.accepted).await;
            if job.has_required_groups(self.template.required_groups) {
                return true;
            }
            if job.submitted.elapsed() > STEP_TIMEOUT {
                return false;
            }
            tokio::time::sleep(READ_INTERVAL).await;
        }
    }

    /// Reads a page of results from position `from`, and checks it; returns whether a node sent a valid page.
    /// A node that does not find the batch job breaks a rule only if the job must be visible, see
    /// [`Self::must_be_visible`].
    async fn read_page(&self, job: &mut SubmittedJob, from: usize, accepted: Instant) -> bool {
        let long_poll = if from < job.history.count() { Duration::ZERO } else { LONG_POLL_TIMEOUT };
        let call = self
            .call(Method::GET, format!("/api/lots/{}?after={from}", job.plan.id))
            .header(header::LONG_POLL_TIMEOUT, long_poll.as_millis().to_string())
            .timeout(LONG_POLL_TIMEOUT + LONG_POLL_MARGIN);
        let reply = match self.caller.call_once(self.load_balancer.select_node(), &call).await {
            Ok(reply) => reply,
            Err(error) => {
                log::debug!("reading results of batch job {} failed: {error}", job.plan.id);
                return false;
            }
        };
        match reply.status {
            200 => self.add_page(job, from, &reply.body),
            404 | 410 if self.must_be_visible(accepted) => {
                self.report(Rule::Lost, format!("batch job {} answers {}", job.plan.id, reply.status));
                false
            }
            _ => false,
        }
    }

    /// Checks a page of results and adds it to the history; returns whether it can be parsed.
    fn add_page(&self, job: &mut SubmittedJob, from: usize, body: &[u8]) -> bool {
        let page: ResultPage = match serde_json::from_slice(body) {
            Ok(page) => page,
            Err(error) => {
                let description = format!("results of batch job {} cannot be read: {error}", job.plan.id);
                self.report(Rule::Mismatch, description);
                return false;
            }
        };
        let (new, violations) = job.history.add_page(&job.plan.id, from, page);
        let results =
            new.iter().flat_map(|result| check_result(&self.request_log, &job.plan.expectations, result));
        violations
            .into_iter()
            .chain(results)
            .for_each(|violation| self.request_log.record_violation(violation));
        true
    }

    /// Ends a batch job, and records the end of its requests in the request log, even if the call failed.
    async fn end_job(&self, job: &mut SubmittedJob) {
        // From here on, items may be listed as undeliverable.
        job.plan.expectations.may_be_undeliverable = true;
        let id = &job.plan.id;
        let call = self.call(Method::DELETE, format!("/api/lots/{id}"));
        match self
            .caller
            .call_until_conclusive(|| self.load_balancer.select_node(), &call, CALL_TIMEOUT)
            .await
        {
            Ok(reply) if reply.status == 200 => {}
            Ok(reply) => self.report(Rule::Lost, format!("the end of {id} is answered {}", reply.status)),
            Err(error) => self.report(Rule::Acknowledged, format!("the end of {id}: {error}")),
        }
        self.request_log.record_end(job.plan.request_ids(), Instant::now());
    }

    /// Reads every finished batch job again whose results must still be retained, and checks that they are
    /// unchanged.
    pub async fn read_back(&mut self) {
        let retention = self.timing.result_retention();
        let mut jobs = std::mem::take(&mut self.finished_jobs);
        for job in jobs.iter_mut().filter(|job| job.submitted.elapsed() < retention) {
            self.read_all_pages(job).await;
        }
        self.finished_jobs = jobs;
    }

    /// Reads all results again that were read before; reports a violation if this takes longer than
    /// [`CALL_TIMEOUT`].
    async fn read_all_pages(&self, job: &mut SubmittedJob) {
        let (submitted, result_count) = (job.submitted, job.history.count());
        let deadline = Instant::now() + CALL_TIMEOUT;
        let mut from = 0;
        while from < result_count {
            if self.read_page(job, from, submitted).await {
                from = job.history.last_page_end().max(from);
            } else if Instant::now() > deadline {
                let description =
                    format!("batch job {} cannot be read back from position {from}", job.plan.id);
                return self.report(Rule::Lost, description);
            } else {
                tokio::time::sleep(READ_INTERVAL).await;
            }
        }
    }

    fn report(&self, rule: Rule, description: String) {
        self.request_log.record_violation(Violation::new(rule, description));
    }
}
