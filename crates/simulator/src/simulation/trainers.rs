//! Trainers that submit batch jobs, read their results and end them.

use std::time::Duration;

use batch::ItemResult;
use fastrand::Rng;

use super::convergence::Unconverged;
use super::violation::{JobViolation, SimulationViolation};
use crate::model_server::generated_text;
use crate::{ExternalReply, ExternalRequest, Fleet, JobCall};

/// Mixed into the seed, so that these draws differ from the others of a run.
const SEED_SALT: u64 = 0x7472_6169_6e65_7273;
/// Time from one batch job to the next.
const JOB_INTERVAL: Duration = Duration::from_secs(4);
/// A call without a reply within this time counts as failed.
const REPLY_TIMEOUT: Duration = Duration::from_millis(3000);
/// Time from the reply to a call about a batch job to the next call.
const CALL_INTERVAL: Duration = Duration::from_millis(400);
/// A read that is sent sooner after a batch job was accepted may find that there is none (`settleMs`).
const VISIBILITY_DELAY: Duration = Duration::from_millis(1000);
/// Items of a batch job.
const ITEMS: usize = 6;
/// Reads after the end of a batch job.
const READS_AFTER_END: u32 = 2;
/// The model of the batch jobs.
const MODEL: &str = "m";

/// The stage of a batch job at its trainer, which determines the next call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JobStage {
    /// It is submitted until it is accepted.
    Submitting,
    /// Its results are read until all are there.
    Reading,
    /// It is ended.
    Ending,
    /// It was ended; its results must not change.
    Ended,
}

/// A call that waits for its reply.
#[derive(Clone, Copy)]
struct PendingCall {
    call: u64,
    sent: Duration,
    deadline: Duration,
}

/// A batch job as its trainer sees it.
struct TrainerJob {
    id: String,
    body: String,
    stage: JobStage,
    /// Results that were read, by position.
    results: Vec<ItemResult>,
    pending: Option<PendingCall>,
    next_call: Duration,
    /// When it was accepted; [`Duration::MAX`] before.
    accepted: Duration,
    /// Reads that are still to be made after the end.
    reads_left: u32,
}

/// The trainers.
pub(super) struct Trainers {
    random: Rng,
    jobs: Vec<TrainerJob>,
    next_job: Duration,
    accepted_jobs: usize,
}

impl Trainers {
    pub(super) fn new(seed: u64) -> Self {
        let random = Rng::with_seed(seed ^ SEED_SALT);
        Self { random, jobs: Vec::new(), next_job: Duration::ZERO, accepted_jobs: 0 }
    }

    /// How many batch jobs were accepted.
    pub(super) fn accepted_jobs(&self) -> usize {
        self.accepted_jobs
    }

    /// Starts a batch job if one is due, sends calls, and checks replies.
    pub(super) fn tick(
        &mut self,
        fleet: &mut Fleet,
        starts_new_jobs: bool,
    ) -> Result<(), SimulationViolation> {
        if starts_new_jobs && fleet.now >= self.next_job {
            self.next_job = fleet.now + JOB_INTERVAL;
            self.jobs.push(TrainerJob::new(self.jobs.len(), fleet.now));
        }
        for job in &mut self.jobs {
            let was_accepted = job.is_accepted();
            job.tick(fleet, &mut self.random)?;
            if job.is_accepted() && !was_accepted {
                self.accepted_jobs += 1;
            }
        }
        Ok(())
    }

    /// A batch job that is open, or servers without the newest version, if there are any.
    pub(super) fn unconverged(&self, fleet: &Fleet) -> Option<Unconverged> {
        if let Some(job) = self.jobs.iter().find(|job| !job.is_finished()) {
            return Some(Unconverged::OpenJob { job: job.id.clone(), results: job.results.len() });
        }
        let version = fleet.newest_state()?.target_versions.get(MODEL).copied().unwrap_or(1);
        let servers = fleet.servers.iter().filter(|server| server.version(MODEL) < version).count();
        (servers > 0).then_some(Unconverged::StaleServers { servers, version })
    }
}

impl TrainerJob {
    fn new(number: usize, now: Duration) -> Self {
        let id = format!("job-{number}");
        let item = |index| format!(r#"{{"id":"{id}-{index}","lane":"/r/{index}"}}"#);
        let items: Vec<String> = (0..ITEMS).map(item).collect();
        let body = format!(r#"{{"model":"{MODEL}","oldestEdition":1,"parcels":[{}]}}"#, items.join(","));
        Self {
            id,
            body,
            stage: JobStage::Submitting,
            results: Vec::new(),
            pending: None,
            next_call: now,
            accepted: Duration::MAX,
            reads_left: READS_AFTER_END,
        }
    }

    fn is_accepted(&self) -> bool {
        self.stage != JobStage::Submitting
    }

    fn is_finished(&self) -> bool {
        self.stage == JobStage::Ended && self.reads_left == 0
    }

    fn tick(&mut self, fleet: &mut Fleet, random: &mut Rng) -> Result<(), SimulationViolation> {
        let Some(pending) = self.pending else {
            self.send_if_due(fleet, random);
            return Ok(());
        };
        let reply = fleet.take_reply(pending.call);
        if reply.is_none() && fleet.now < pending.deadline {
            return Ok(());
        }
        self.pending = None;
        self.next_call = fleet.now + CALL_INTERVAL;
        match reply {
            Some(reply) => self.handle_reply(fleet.now, pending.sent, &reply),
            None => Ok(()),
        }
    }

    fn send_if_due(&mut self, fleet: &mut Fleet, random: &mut Rng) {
        if self.is_finished() || self.next_call > fleet.now {
            return;
        }
        let nodes = fleet.present_nodes();
        let node = nodes[random.usize(..nodes.len())];
        let call = fleet.send_request(node, ExternalRequest::Job(self.id.clone(), self.call()));
        self.pending = Some(PendingCall { call, sent: fleet.now, deadline: fleet.now + REPLY_TIMEOUT });
    }

    /// The call that this stage makes.
    fn call(&self) -> JobCall {
        match self.stage {
            JobStage::Submitting => JobCall::Submit(self.body.clone()),
            JobStage::Reading | JobStage::Ended => JobCall::Read(0),
            JobStage::Ending => JobCall::End,
        }
    }

    /// Checks the reply to a call that was sent at `sent`, and moves on to the next stage.
    fn handle_reply(
        &mut self,
        now: Duration,
        sent: Duration,
        reply: &ExternalReply,
    ) -> Result<(), SimulationViolation> {
        match (self.stage, reply) {
            (_, ExternalReply::Status(503 | 504)) => {}
            (JobStage::Reading, ExternalReply::Status(404)) if sent < self.accepted + VISIBILITY_DELAY => {}
            (JobStage::Submitting, ExternalReply::Status(202)) => {
                self.stage = JobStage::Reading;
                self.accepted = now;
            }
            (JobStage::Ending, ExternalReply::Status(200)) => self.stage = JobStage::Ended,
            (JobStage::Reading, ExternalReply::Results(results)) => {
                self.check_results(results)?;
                if self.results.len() == ITEMS {
                    self.stage = JobStage::Ending;
                }
            }
            (JobStage::Ended, ExternalReply::Results(results)) => {
                self.check_results(results)?;
                self.reads_left -= 1;
            }
            (stage, reply) => {
                let request = format!("{} in stage {stage:?}", self.id);
                return Err(SimulationViolation::UnexpectedReply { request, reply: reply.clone() });
            }
        }
        Ok(())
    }

    /// Results start with those that were read before; each occurs once, with the text that servers generate
    /// for it.
    fn check_results(&mut self, results: &[ItemResult]) -> Result<(), JobViolation> {
        if !results.starts_with(&self.results) {
            let (before, now) = (self.results.clone(), results.to_vec());
            return Err(JobViolation::ResultsChanged { job: self.id.clone(), before, now });
        }
        for result in results {
            let occurs_once = results.iter().filter(|other| other.id == result.id).count() == 1;
            if !occurs_once || result.text != generated_text(&result.id) {
                let (job, result) = (self.id.clone(), Box::new(result.clone()));
                return Err(JobViolation::InvalidResult { job, result });
            }
        }
        self.results = results.to_vec();
        Ok(())
    }
}
