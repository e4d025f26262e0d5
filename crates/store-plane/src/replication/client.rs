//! The calls of traffic nodes about batch jobs.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use batch::{JobError, JobId, StoreId};
use bytes::Bytes;
use rpc::CallError;
use serde::de::DeserializeOwned;
use serde::Serialize;
use state::{StoreMember, StoreSet, View};
use tokio::sync::watch;
use tokio::time::Instant;

use super::messages::{
    Answer, Call, ReadRequest, ResultPage, Submission, SubmitReply, BODY_PATH, END_PATH, READ_PATH,
    SUBMIT_PATH,
};
use super::replicas::replicas_of;

/// How long all attempts of one call take together, apart from what it holds.
const CALL_MOST: Duration = Duration::from_millis(1400);
/// How long one store may take.
const HOP_MOST: Duration = Duration::from_millis(650);
/// Taking a batch job may take longer: its body travels twice and is written twice.
const SUBMIT_HOP_MOST: Duration = Duration::from_millis(1200);
/// No store is asked with less time than this left.
const HOP_LEAST: Duration = Duration::from_millis(300);
/// A store that did not answer is asked last for this long.
const SUSPECT_FOR: Duration = Duration::from_secs(2);
/// Pause when all stores were asked in vain.
const PAUSE: Duration = Duration::from_millis(100);
/// Owners that are remembered.
const OWNERS_MOST: usize = 4096;

/// What came of handing in a batch job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// All of it is kept from now on.
    Accepted,
    /// It is no batch job.
    Invalid(JobError),
    /// None of it runs, ever, on account of this call.
    NotAccepted,
    /// It may have been taken.
    Unknown,
}

/// What came of reading results.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The results.
    Page(ResultPage),
    /// There is no such batch job.
    NoSuchJob,
    /// Nothing is sure.
    Unknown,
}

/// What came of reading the body of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyOutcome {
    /// The body.
    Body(Bytes),
    /// There is no such batch job, or it has no such item.
    NoSuchItem,
    /// Nothing is sure.
    Unknown,
}

/// What came of ending a batch job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndOutcome {
    /// It is ended, durably.
    Ended,
    /// There is no such batch job.
    NoSuchJob,
    /// Nothing is sure.
    Unknown,
}

/// Makes calls about batch jobs to the stores that keep them. Clones share what is known of the stores.
#[derive(Clone)]
pub struct JobClient {
    rpc: rpc::Client,
    view: watch::Receiver<Arc<View>>,
    known: Arc<Mutex<Known>>,
}

#[derive(Default)]
struct Known {
    owners: HashMap<JobId, StoreId>,
    suspects: HashMap<StoreId, Instant>,
}

/// The stores that one call may go to, and where it goes next.
struct Itinerary {
    stores: Vec<StoreMember>,
    next: Option<StoreId>,
    asked: Vec<StoreId>,
    /// Those that are only gone to when a store names them.
    others: Vec<StoreId>,
    deadline: Instant,
}

impl JobClient {
    /// A client that finds the stores in `view`.
    #[must_use]
    pub fn new(rpc: rpc::Client, view: watch::Receiver<Arc<View>>) -> Self {
        Self { rpc, view, known: Arc::default() }
    }

    /// Hands in a batch job. Repeating it is harmless: it is taken once.
    pub async fn submit(&self, host: Arc<str>, path: Arc<str>, job: JobId, body: Bytes) -> SubmitOutcome {
        let mut submission = Submission { host, path, body, wait_ms: 0 };
        let mut itinerary = self.itinerary(&job, CALL_MOST);
        let mut may_be_taken = false;
        while let Some(store) = itinerary.next_store().await {
            let time = itinerary.time_left().min(SUBMIT_HOP_MOST);
            submission.wait_ms = u64::try_from(time.as_millis()).unwrap_or(0);
            match self.ask(&store, SUBMIT_PATH, &job, &submission, time).await {
                Ok(SubmitReply::Accepted) => {
                    self.remember_owner(&job, store.member.incarnation.0);
                    return SubmitOutcome::Accepted;
                }
                Ok(SubmitReply::Invalid(error)) => return SubmitOutcome::Invalid(error),
                Ok(SubmitReply::Elsewhere(owner)) => itinerary.go_to(owner),
                Ok(SubmitReply::NotAccepted) => {}
                Ok(SubmitReply::Unknown) => may_be_taken = true,
                Err(error) => may_be_taken |= error.may_have_run(),
            }
        }
        if may_be_taken {
            SubmitOutcome::Unknown
        } else {
            SubmitOutcome::NotAccepted
        }
    }

    /// Reads results from position `after` on; waits for `hold` if there is none yet.
    pub async fn read(&self, job: JobId, after: u64, hold: Duration) -> ReadOutcome {
        let hold_ms = u64::try_from(hold.as_millis()).unwrap_or(0);
        let request = ReadRequest { after, hold_ms };
        match self.call(READ_PATH, job, &request, hold).await {
            Answer::Is(page) => ReadOutcome::Page(page),
            Answer::NoSuchJob => ReadOutcome::NoSuchJob,
            Answer::Unknown | Answer::Elsewhere(_) => ReadOutcome::Unknown,
        }
    }

    /// The decoded body of an item.
    pub async fn body(&self, job: JobId, item: &str) -> BodyOutcome {
        match self.call(BODY_PATH, job, &item.to_owned(), Duration::ZERO).await {
            Answer::Is(Some(body)) => BodyOutcome::Body(body),
            Answer::Is(None) | Answer::NoSuchJob => BodyOutcome::NoSuchItem,
            Answer::Unknown | Answer::Elsewhere(_) => BodyOutcome::Unknown,
        }
    }

    /// Ends a batch job.
    pub async fn end(&self, job: JobId) -> EndOutcome {
        match self.call(END_PATH, job, &(), Duration::ZERO).await {
            Answer::Is(()) => EndOutcome::Ended,
            Answer::NoSuchJob => EndOutcome::NoSuchJob,
            Answer::Unknown | Answer::Elsewhere(_) => EndOutcome::Unknown,
        }
    }

    async fn call<Request, T>(&self, path: &str, job: JobId, request: &Request, hold: Duration) -> Answer<T>
    where
        Request: Serialize + Clone,
        T: DeserializeOwned,
    {
        let mut itinerary = self.itinerary(&job, CALL_MOST + hold);
        while let Some(store) = itinerary.next_store().await {
            let time = itinerary.time_left().min(HOP_MOST + hold);
            match self.ask(&store, path, &job, request, time).await {
                Ok(Answer::Elsewhere(owner)) => itinerary.go_to(owner),
                Ok(Answer::Unknown) | Err(_) => tokio::time::sleep(PAUSE).await,
                Ok(answer) => {
                    self.remember_owner(&job, store.member.incarnation.0);
                    return answer;
                }
            }
        }
        Answer::Unknown
    }

    async fn ask<Request, Reply>(
        &self,
        store: &StoreMember,
        path: &str,
        job: &JobId,
        request: &Request,
        timeout: Duration,
    ) -> Result<Reply, CallError>
    where
        Request: Serialize + Clone,
        Reply: DeserializeOwned,
    {
        let to = store.member.incarnation.0;
        let call = Call { to, job: Arc::clone(job), request: request.clone() };
        let reply = self.rpc.call(&store.member.address, path, &call, timeout).await;
        let mut known = self.lock();
        match &reply {
            Ok(_) => drop(known.suspects.remove(&to)),
            Err(_) => {
                known.suspects.insert(to, Instant::now());
                known.owners.remove(job);
            }
        }
        reply
    }

    fn itinerary(&self, job: &JobId, time: Duration) -> Itinerary {
        let view = Arc::clone(&self.view.borrow());
        let control = &view.control;
        let mut stores: Vec<StoreMember> = replicas_of(&control.stores, job).into_iter().cloned().collect();
        let copies = stores.len();
        let known = self.lock();
        let is_suspect = |store: &StoreMember| {
            known.suspects.get(&store.member.incarnation.0).is_some_and(|since| since.elapsed() < SUSPECT_FOR)
        };
        stores.sort_by_key(is_suspect);
        let sets = [Some(&control.stores), control.previous_stores.as_ref()];
        let others = sets.into_iter().flatten().flat_map(|set: &StoreSet| set.members.iter().cloned());
        stores.extend(others);
        let owner = known.owners.get(job).copied();
        drop(known);
        let ids = |stores: &[StoreMember]| -> Vec<StoreId> {
            stores.iter().map(|store| store.member.incarnation.0).collect()
        };
        let own = ids(&stores[..copies]);
        let mut others = ids(&stores[copies..]);
        others.retain(|store| !own.contains(store));
        Itinerary { stores, next: owner, asked: others.clone(), others, deadline: Instant::now() + time }
    }

    fn remember_owner(&self, job: &JobId, owner: StoreId) {
        let mut known = self.lock();
        if known.owners.len() >= OWNERS_MOST {
            known.owners.clear();
        }
        known.owners.insert(Arc::clone(job), owner);
    }

    fn lock(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Itinerary {
    /// The store to ask next: the one that was named, then each copy once, and all of them again after a pause,
    /// until the time is over.
    async fn next_store(&mut self) -> Option<StoreMember> {
        let store = match self.find_next() {
            Some(store) => store,
            None => {
                tokio::time::sleep(PAUSE).await;
                self.asked.clone_from(&self.others);
                self.find_next()?
            }
        };
        (self.time_left() > HOP_LEAST).then_some(store)
    }

    fn find_next(&mut self) -> Option<StoreMember> {
        let named = self.next.take().and_then(|id| self.find(|store| store.member.incarnation.0 == id));
        let store = match named {
            Some(store) => store,
            None => self.find(|store| !self.asked.contains(&store.member.incarnation.0))?,
        };
        self.asked.push(store.member.incarnation.0);
        Some(store)
    }

    fn find(&self, wanted: impl Fn(&StoreMember) -> bool) -> Option<StoreMember> {
        self.stores.iter().find(|store| wanted(store)).cloned()
    }

    /// Goes to the store that another one named, a few times at most.
    fn go_to(&mut self, store: StoreId) {
        const SAME_MOST: usize = 2;
        if self.asked.iter().filter(|asked| **asked == store).count() < SAME_MOST {
            self.next = Some(store);
        }
    }

    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}
