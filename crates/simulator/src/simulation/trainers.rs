//! Simulated trainers, which submit batch jobs, read their results and end them.

use std::time::Duration;

use batch::ItemResult;
use fastrand::Rng;

use super::convergence::Unconverged;
use super::violation::{JobViolation, SimulationViolation};
use crate::model_server::generated_text;
use crate::{ExternalReply, ExternalRequest, Fleet, JobCall};

/// XORed with the seed, so that the trainers' random numbers are independent of the others of a run.
const SEED_SALT: u64 = 0x7472_6169_6e65_7273;
/// Time after which a call without a reply counts as failed.
const REPLY_TIMEOUT: Duration = Duration::from_millis(3000);
/// Pause between the reply to a call about a batch job, or the timeout of the call, and the next call.
const CALL_INTERVAL: Duration = Duration::from_millis(400);
/// Time after the acceptance of a batch job in which a read may still report that the job does not exist
/// (setting `settleMs`).
const VISIBILITY_DELAY: Duration = Duration::from_millis(1000);
/// Number of items of a batch job.
const ITEMS: usize = 6;
/// Length by which the ids of the items of a batch job with a long log are longer. A text contains the id of its
/// item.
const LONG_LOG_ID_PADDING: usize = 16_000;
/// Length of the base64 of the request bodies of the items of a batch job with a long submission.
const LONG_SUBMISSION_BODY_LENGTH: usize = 32_000;
/// Number of reads after the end of a batch job.
const READS_AFTER_END: u32 = 2;
/// Name of the model of the batch jobs.
const MODEL: &str = "m";

/// The size of the batch jobs of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobLoad {
    /// A batch job each 4 s. One of six has a log that is longer than a segment of a store's journal.
    Mixed,
    /// A batch job each 2 s, whose submission is nearly as long as a segment.
    Large,
}

impl JobLoad {
    /// Returns the time between the starts of two batch jobs.
    fn interval(self) -> Duration {
        match self {
            Self::Mixed => Duration::from_secs(4),
            Self::Large => Duration::from_secs(2),
        }
    }

    /// Draws the size of a batch job.
    fn draw_size(self, random: &mut Rng) -> JobSize {
        match self {
            Self::Mixed if random.u32(..6) == 0 => JobSize::LongLog,
            Self::Mixed => JobSize::Small,
            Self::Large => JobSize::LongSubmission,
        }
    }
}

/// The size of a batch job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JobSize {
    Small,
    LongLog,
    LongSubmission,
}

impl JobSize {
    /// Returns the length by which the ids of the items are longer, and the length of their bodies in base64.
    fn item_lengths(self) -> (usize, usize) {
        match self {
            Self::Small => (0, 0),
            Self::LongLog => (LONG_LOG_ID_PADDING, 0),
            Self::LongSubmission => (0, LONG_SUBMISSION_BODY_LENGTH),
        }
    }
}

/// The stage of a batch job from the view of its trainer. It determines the next call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JobStage {
    /// The trainer submits the batch job until it is accepted.
    Submitting,
    /// The trainer reads the results until all are complete.
    Reading,
    /// The trainer ends the batch job.
    Ending,
    /// The batch job has been ended. Its results must not change any more.
    Ended,
}

/// A call without a reply so far.
#[derive(Clone, Copy)]
struct PendingCall {
    /// The number of the request.
    call: u64,
    sent: Duration,
    deadline: Duration,
}

/// A batch job from the view of its trainer.
struct TrainerJob {
    id: String,
    /// The body of the submission.
    body: String,
    stage: JobStage,
    /// The results of the last read, by position.
    results: Vec<ItemResult>,
    pending: Option<PendingCall>,
    /// The earliest time of the next call.
    next_call: Duration,
    /// The time of acceptance; [`Duration::MAX`] before.
    accepted: Duration,
    /// Number of reads that remain after the end of the batch job.
    reads_left: u32,
}

/// All trainers of a run, with their batch jobs.
pub(super) struct Trainers {
    random: Rng,
    load: JobLoad,
    jobs: Vec<TrainerJob>,
    /// The time at which the next batch job is due.
    next_job: Duration,
    accepted_jobs: usize,
}

impl Trainers {
    pub(super) fn new(seed: u64, load: JobLoad) -> Self {
        let random = Rng::with_seed(seed ^ SEED_SALT);
        Self { random, load, jobs: Vec::new(), next_job: Duration::ZERO, accepted_jobs: 0 }
    }

    /// Returns the number of accepted batch jobs.
    pub(super) fn accepted_jobs(&self) -> usize {
        self.accepted_jobs
    }

    /// Starts a batch job if one is due and `starts_new_jobs`, sends due calls, and checks replies.
    pub(super) fn tick(
        &mut self,
        fleet: &mut Fleet,
        starts_new_jobs: bool,
    ) -> Result<(), SimulationViolation> {
        if starts_new_jobs && fleet.now >= self.next_job {
            self.next_job = fleet.now + self.load.interval();
            let size = self.load.draw_size(&mut self.random);
            self.jobs.push(TrainerJob::new(self.jobs.len(), size, fleet.now));
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

    /// Returns the first unfinished batch job or, if there is none, the number of servers that do not have
    /// the target version. Returns `None` if there are neither.
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
    fn new(number: usize, size: JobSize, now: Duration) -> Self {
        let id = format!("job-{number}");
        let (id_padding, body_length) = size.item_lengths();
        let (padding, payload) = ("x".repeat(id_padding), "A".repeat(body_length));
        let item =
            |index| format!(r#"{{"id":"{id}-{index}{padding}","lane":"/r/{index}","payload":"{payload}"}}"#);
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

    /// Sends the next call if it is due, or handles the reply to the pending one.
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

    /// Sends the next call to a random node if it is due.
    fn send_if_due(&mut self, fleet: &mut Fleet, random: &mut Rng) {
        if self.is_finished() || self.next_call > fleet.now {
            return;
        }
        let nodes = fleet.present_nodes();
        let node = nodes[random.usize(..nodes.len())];
        let call = fleet.send_request(node, ExternalRequest::Job(self.id.clone(), self.call()));
        self.pending = Some(PendingCall { call, sent: fleet.now, deadline: fleet.now + REPLY_TIMEOUT });
    }

    /// Returns the next call in the present stage.
    fn call(&self) -> JobCall {
        match self.stage {
            JobStage::Submitting => JobCall::Submit(self.body.clone()),
            JobStage::Reading | JobStage::Ended => JobCall::Read(0),
            JobStage::Ending => JobCall::End,
        }
    }

    /// Checks the reply to the call that was sent at `sent`, and advances to the next stage if the present
    /// one is complete.
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

    /// Checks that the results start with the results of the last read, and that each item occurs once with
    /// the text that servers generate for it.
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
