//! Stand-in of a trainer: it hands batch jobs in, reads and checks their results, and ends them.

use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use batch::ItemResult;
use reqwest::Method;

use crate::calls::{Call, CallError, Caller};
use crate::entry::Entry;
use crate::ledger::Ledger;
use crate::listing::Listing;
use crate::operator::{Operator, OperatorError};
use crate::settings_file::Timetable;
use crate::steps::{decoded, Group, StepPlan, StepTerms};
use crate::violation::{Rule, Violation};
use crate::wire::{header, ResultPage};

/// A read may be held this long for a result.
const HOLD: Duration = Duration::from_secs(1);
/// Readers wait longer than they allow by this.
const HOLD_MARGIN: Duration = Duration::from_millis(1500);
/// From one read to the next.
const READ_EVERY: Duration = Duration::from_millis(300);
/// One read of so many begins at the first position.
const REREAD_ONE_IN: u32 = 5;
/// How long the trainer tries to hand a batch job in.
const SUBMIT_WITHIN: Duration = Duration::from_secs(15);
/// How long it tries to end one, to name a version, or to read one back.
const ORDER_WITHIN: Duration = Duration::from_secs(15);
/// After this time the trainer goes on without the groups that it waits for.
const STEP_MOST: Duration = Duration::from_secs(30);

/// A step was not done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TrainerError {
    /// No node took the batch job.
    NotTaken(CallError),
    /// A node refused it.
    Refused(u16),
    /// The next version was not acknowledged.
    VersionNotNamed(OperatorError),
}

impl fmt::Display for TrainerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotTaken(error) => write!(f, "the batch job was not taken: {error}"),
            Self::Refused(status) => write!(f, "the batch job was refused with status {status}"),
            Self::VersionNotNamed(error) => write!(f, "the version was not named: {error}"),
        }
    }
}

impl std::error::Error for TrainerError {}

/// What came of a step.
#[derive(Clone, Debug)]
pub struct StepOutcome {
    /// The step.
    pub step: u64,
    /// Whole groups at its end.
    pub groups_whole: usize,
    /// Whole groups that were waited for.
    pub wanted: usize,
    /// All wanted groups came, with those carried from an earlier batch job.
    pub done: bool,
    /// Results that were listed.
    pub results: usize,
    /// From the first send to the last wanted result.
    pub took: Duration,
    /// Groups that were not whole.
    pub left: Vec<Group>,
}

impl fmt::Display for StepOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { step, groups_whole, wanted, results, took, .. } = self;
        let how = if self.done { "done" } else { "NOT DONE" };
        write!(f, "step {step} {how}: {groups_whole} whole groups of {wanted} wanted, {results} results in {took:.2?}")
    }
}

/// A batch job that was taken.
#[derive(Debug)]
struct TakenJob {
    plan: StepPlan,
    listing: Listing,
    sent: Instant,
}

/// The trainer.
#[derive(Debug)]
pub struct Trainer {
    terms: StepTerms,
    timetable: Timetable,
    ledger: Arc<Ledger>,
    caller: Caller,
    entry: Entry,
    operator: Operator,
    taken: Vec<TakenJob>,
}

impl Trainer {
    /// A trainer that enters by `entry`.
    ///
    /// # Errors
    ///
    /// When the HTTP client cannot be set up.
    pub fn new(
        terms: StepTerms,
        timetable: Timetable,
        ledger: Arc<Ledger>,
        entry: Entry,
        operator: Operator,
    ) -> reqwest::Result<Self> {
        let caller = Caller::without_reuse()?;
        Ok(Self { terms, timetable, ledger, caller, entry, operator, taken: Vec::new() })
    }

    /// Runs a step: hands its batch job in, waits for the wanted groups, ends it and names the next version.
    ///
    /// # Errors
    ///
    /// When the batch job is not taken or the next version is not acknowledged.
    pub async fn run_step(&mut self, step: u64, carried: Vec<Group>) -> Result<StepOutcome, TrainerError> {
        let newest = step + 1;
        let plan = StepPlan::draw(&self.terms, step, newest.saturating_sub(1).max(1), carried);
        plan.expect(&self.terms, &self.ledger);
        let sent = Instant::now();
        self.submit(&plan).await?;
        let accepted = Instant::now();
        let mut job = TakenJob { listing: Listing::new(plan.job.items.len()), plan, sent };
        self.check_body(&mut job, accepted).await;
        let done = self.wait_for_groups(&mut job, accepted).await;
        let took = sent.elapsed();
        self.end(&mut job).await;
        self.ledger.name_version(newest + 1);
        let named = self.operator.name_version(&self.terms.model, newest + 1, ORDER_WITHIN).await;
        let outcome = outcome(step, &job, self.terms.wanted, done, took);
        self.taken.push(job);
        named.map(|()| outcome).map_err(TrainerError::VersionNotNamed)
    }

    fn call(&self, method: Method, path: String) -> Call {
        Call::new(method, path).header("Host", self.terms.host.clone())
    }

    async fn submit(&self, plan: &StepPlan) -> Result<(), TrainerError> {
        let call = self.call(Method::POST, format!("{}{}", self.terms.rollout_prefix, plan.id));
        let call = call.header(header::ATTEMPT_ID, plan.id.clone()).timeout(Duration::from_secs(3));
        let call = call
            .json(&plan.job)
            .map_err(|error| TrainerError::NotTaken(CallError::Failed(error.to_string())))?;
        let taken = self.caller.until_clear(|| self.entry.pick(), &call, SUBMIT_WITHIN).await;
        match taken.map_err(TrainerError::NotTaken)? {
            reply if reply.status == 202 => Ok(()),
            reply => Err(TrainerError::Refused(reply.status)),
        }
    }

    /// Asks for the body of an item that is not listed yet.
    async fn check_body(&self, job: &mut TakenJob, accepted: Instant) {
        let Some(item) = job.plan.job.items.last().cloned() else { return };
        let call = self.call(Method::GET, format!("/api/items/{}?id={}", job.plan.id, item.id));
        let Ok(reply) = self.caller.until_clear(|| self.entry.pick(), &call, ORDER_WITHIN).await else {
            return;
        };
        match reply.status {
            200 if reply.body == decoded(&item.body) => {}
            200 => self.report(Rule::Mixed, format!("the body of item {} has other bytes", item.id)),
            _ => {
                self.read(job, 0, accepted).await;
                if accepted.elapsed() > self.timetable.settle() && !job.listing.holds(&item.id) {
                    self.report(Rule::Lost, format!("item {} is not listed and has no body", item.id));
                }
            }
        }
    }

    async fn wait_for_groups(&self, job: &mut TakenJob, accepted: Instant) -> bool {
        loop {
            let from = if fastrand::u32(..REREAD_ONE_IN) == 0 { 0 } else { job.listing.count() };
            self.read(job, from, accepted).await;
            if enough(job, self.terms.wanted) {
                return true;
            }
            if job.sent.elapsed() > STEP_MOST {
                return false;
            }
            tokio::time::sleep(READ_EVERY).await;
        }
    }

    /// Reads results from a position on; tells whether some node answered with them.
    async fn read(&self, job: &mut TakenJob, from: usize, accepted: Instant) -> bool {
        let call = self.call(Method::GET, format!("/api/lots/{}?after={from}", job.plan.id));
        let hold = if from < job.listing.count() { Duration::ZERO } else { HOLD };
        let call = call.header(header::HOLD, hold.as_millis().to_string()).timeout(HOLD + HOLD_MARGIN);
        let reply = match self.caller.once(self.entry.pick(), &call).await {
            Ok(reply) => reply,
            Err(error) => {
                log::debug!("batch job {}: {error}", job.plan.id);
                return false;
            }
        };
        match reply.status {
            200 => self.take_page(job, from, &reply.body),
            404 | 410 if accepted.elapsed() > self.timetable.settle() => {
                self.report(Rule::Lost, format!("batch job {} answers {}", job.plan.id, reply.status));
                false
            }
            _ => false,
        }
    }

    fn take_page(&self, job: &mut TakenJob, from: usize, body: &[u8]) -> bool {
        let page: ResultPage = match serde_json::from_slice(body) {
            Ok(page) => page,
            Err(error) => {
                self.report(
                    Rule::Mixed,
                    format!("results of batch job {} cannot be read: {error}", job.plan.id),
                );
                return false;
            }
        };
        let (new, broken) = job.listing.take(&job.plan.id, from, page);
        broken.into_iter().for_each(|violation| self.ledger.report(violation));
        for result in &new {
            self.check(job, result);
        }
        true
    }

    fn check(&self, job: &TakenJob, result: &ItemResult) {
        for violation in crate::verify::check_result(&self.ledger, &job.plan.terms, result) {
            self.ledger.report(violation);
        }
    }

    async fn end(&self, job: &mut TakenJob) {
        // From here on, results may be listed as given up.
        job.plan.terms.may_give_up = true;
        let call = self.call(Method::DELETE, format!("/api/lots/{}", job.plan.id));
        match self.caller.until_clear(|| self.entry.pick(), &call, ORDER_WITHIN).await {
            Ok(reply) if reply.status == 200 => {}
            Ok(reply) => {
                self.report(Rule::Lost, format!("the end of {} is answered {}", job.plan.id, reply.status))
            }
            Err(error) => self.report(Rule::Acknowledged, format!("the end of {}: {error}", job.plan.id)),
        }
        self.ledger.end(job.plan.requests(), Instant::now());
    }

    /// Reads every batch job again that is still kept; each must show what it showed before.
    pub async fn read_back(&mut self) {
        let mut taken = std::mem::take(&mut self.taken);
        for job in taken.iter_mut().filter(|job| job.sent.elapsed() < self.timetable.results_kept()) {
            self.read_all(job).await;
        }
        self.taken = taken;
    }

    async fn read_all(&self, job: &mut TakenJob) {
        let (sent, known) = (job.sent, job.listing.count());
        let until = Instant::now() + ORDER_WITHIN;
        let mut from = 0;
        while from < known {
            if self.read(job, from, sent).await {
                from = job.listing.last_read().max(from);
            } else if Instant::now() > until {
                let id = &job.plan.id;
                return self
                    .report(Rule::Lost, format!("batch job {id} cannot be read back from position {from}"));
            } else {
                tokio::time::sleep(READ_EVERY).await;
            }
        }
    }

    fn report(&self, rule: Rule, seen: String) {
        self.ledger.report(Violation::new(rule, seen));
    }
}

/// Whether all carried groups and as many as are wanted are whole.
fn enough(job: &TakenJob, wanted: usize) -> bool {
    let whole = job.plan.whole_groups(job.listing.ids());
    whole.iter().take(job.plan.carried).all(|whole| *whole)
        && whole.iter().filter(|whole| **whole).count() >= wanted
}

fn outcome(step: u64, job: &TakenJob, wanted: usize, done: bool, took: Duration) -> StepOutcome {
    let whole = job.plan.whole_groups(job.listing.ids());
    let left =
        job.plan.groups.iter().zip(&whole).filter(|(_, whole)| !**whole).map(|(group, _)| group.clone());
    StepOutcome {
        step,
        groups_whole: whole.iter().filter(|whole| **whole).count(),
        wanted,
        done,
        results: job.listing.count(),
        took,
        left: left.collect(),
    }
}
