//! A trainer that hands in batch jobs, reads their results and ends them.

use std::time::Duration;

use batch::ItemResult;
use fastrand::Rng;

use crate::servers::text_of;
use crate::{Fleet, JobCall, Reply, Request};

/// The time between two batch jobs.
const JOB_EVERY: Duration = Duration::from_secs(4);
/// An answer that has not come by then counts as lost.
const PATIENCE: Duration = Duration::from_millis(3000);
/// The pause between two calls about a batch job.
const PAUSE: Duration = Duration::from_millis(400);
/// A read that is sent sooner after the batch job was accepted may still be told that there is none (`settleMs`).
const SETTLES_IN: Duration = Duration::from_millis(1000);
const ITEMS: usize = 6;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// It is handed in until it is accepted.
    HandingIn,
    /// Its results are read until all are there.
    Reading,
    /// It is ended.
    Ending,
    /// It was ended; what was read must stay.
    Ended,
}

struct Job {
    id: String,
    body: String,
    stage: Stage,
    /// Results that were read, in their places.
    seen: Vec<ItemResult>,
    call: Option<(u64, Duration)>,
    /// When the present call was sent, and when the batch job was accepted.
    sent_at: Duration,
    accepted_at: Duration,
    next_try: Duration,
    /// Reads that are still made after the end.
    checks: u32,
}

/// The trainers.
pub(super) struct Trainers {
    random: Rng,
    jobs: Vec<Job>,
    next_job: Duration,
    accepted: usize,
}

impl Trainers {
    pub(super) fn new(seed: u64) -> Self {
        let random = Rng::with_seed(seed ^ 0x7472_6169_6e65_7273);
        Self { random, jobs: Vec::new(), next_job: Duration::ZERO, accepted: 0 }
    }

    pub(super) fn accepted(&self) -> usize {
        self.accepted
    }

    pub(super) fn look(&mut self, fleet: &mut Fleet, starts_new: bool) -> Result<(), String> {
        if starts_new && fleet.now >= self.next_job {
            self.next_job = fleet.now + JOB_EVERY;
            self.add_job(fleet.now);
        }
        for index in 0..self.jobs.len() {
            self.look_at(fleet, index)?;
        }
        Ok(())
    }

    /// Something that is not finished, if anything.
    pub(super) fn unfinished(&self, fleet: &Fleet) -> Option<String> {
        let open = self.jobs.iter().find(|job| job.stage != Stage::Ended || job.checks > 0);
        if let Some(job) = open {
            return Some(format!(
                "batch job {} is at {:?} with {} results",
                job.id,
                job.stage,
                job.seen.len()
            ));
        }
        let named = fleet.newest_state()?.target_versions.get("m").copied().unwrap_or(1);
        let behind = fleet.servers.iter().filter(|server| server.version("m") < named).count();
        (behind > 0).then(|| format!("{behind} servers lack version {named}"))
    }

    fn add_job(&mut self, now: Duration) {
        let id = format!("job-{}", self.jobs.len());
        let item = |index| format!(r#"{{"id":"{id}-{index}","lane":"/r/{index}"}}"#);
        let items: Vec<String> = (0..ITEMS).map(item).collect();
        let body = format!(r#"{{"model":"m","oldestEdition":1,"parcels":[{}]}}"#, items.join(","));
        let (stage, seen, checks) = (Stage::HandingIn, Vec::new(), 2);
        let (sent_at, accepted_at) = (now, Duration::MAX);
        self.jobs.push(Job {
            id,
            body,
            stage,
            seen,
            call: None,
            sent_at,
            accepted_at,
            next_try: now,
            checks,
        });
    }

    fn look_at(&mut self, fleet: &mut Fleet, index: usize) -> Result<(), String> {
        let job = &mut self.jobs[index];
        let Some((call, until)) = job.call else {
            let is_over = job.stage == Stage::Ended && job.checks == 0;
            if !is_over && job.next_try <= fleet.now {
                let nodes: Vec<usize> = fleet.present_nodes();
                let node = nodes[self.random.usize(..nodes.len())];
                let call = fleet.request(node, Request::Job(job.id.clone(), job.next_call()));
                job.call = Some((call, fleet.now + PATIENCE));
                job.sent_at = fleet.now;
            }
            return Ok(());
        };
        let reply = fleet.reply(call);
        if reply.is_none() && fleet.now < until {
            return Ok(());
        }
        job.call = None;
        job.next_try = fleet.now + PAUSE;
        let was = job.stage;
        if let Some(reply) = reply {
            job.take(&reply)?;
        }
        if was == Stage::HandingIn && job.stage == Stage::Reading {
            self.accepted += 1;
            job.accepted_at = fleet.now;
        }
        Ok(())
    }
}

impl Job {
    fn next_call(&self) -> JobCall {
        match self.stage {
            Stage::HandingIn => JobCall::Submit(self.body.clone()),
            Stage::Reading | Stage::Ended => JobCall::Read(0),
            Stage::Ending => JobCall::End,
        }
    }

    fn take(&mut self, reply: &Reply) -> Result<(), String> {
        match (self.stage, reply) {
            (_, Reply::Status(503 | 504)) => {}
            (Stage::Reading, Reply::Status(404)) if self.sent_at < self.accepted_at + SETTLES_IN => {}
            (Stage::HandingIn, Reply::Status(202)) => self.stage = Stage::Reading,
            (Stage::Ending, Reply::Status(200)) => self.stage = Stage::Ended,
            (Stage::Reading | Stage::Ended, Reply::Results(results)) => {
                self.check_results(results)?;
                match self.stage {
                    Stage::Reading if self.seen.len() == ITEMS => self.stage = Stage::Ending,
                    Stage::Ended => self.checks -= 1,
                    _ => {}
                }
            }
            (stage, reply) => return Err(format!("{} at {stage:?} was answered with {reply:?}", self.id)),
        }
        Ok(())
    }

    fn check_results(&mut self, results: &[ItemResult]) -> Result<(), String> {
        if !results.starts_with(&self.seen) {
            return Err(format!("{}: {results:?} does not go on from {:?}", self.id, self.seen));
        }
        for result in results {
            let is_once = results.iter().filter(|other| other.id == result.id).count() == 1;
            if !is_once || result.text != text_of(&result.id) {
                return Err(format!("{}: result {result:?} among {results:?}", self.id));
            }
        }
        self.seen = results.to_vec();
        Ok(())
    }
}
