//! The calls of traffic nodes about batch jobs. Each call finds the owner among the replicas, and retries
//! until a deadline.

mod outcome;
mod replica_selector;
mod routing_cache;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use batch::{JobId, StoreId};
use bytes::Bytes;
use rpc::CallError;
use serde::de::DeserializeOwned;
use serde::Serialize;
use state::{StoreMember, View};
use tokio::sync::watch;

use super::messages::{
    AddressedRequest, OwnerReply, ReadRequest, Submission, SubmitReply, BODY_PATH, END_PATH, READ_PATH,
    SUBMIT_PATH,
};
use super::placement::{replicas_of, store_sets};
use replica_selector::{ReplicaSelector, RETRY_PAUSE};
use routing_cache::RoutingCache;

pub use outcome::{BodyOutcome, EndOutcome, ReadOutcome, SubmitOutcome};

/// Timeout of all attempts of one call together, in addition to the duration of a long poll.
const CALL_TIMEOUT: Duration = Duration::from_millis(1400);
/// Timeout of one attempt, in addition to the duration of a long poll.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(650);
/// Timeout of one attempt to submit a batch job. It is longer because the body is sent twice, to the owner
/// and from there to the replicas, and written twice.
const SUBMIT_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1200);

/// Client for calls about batch jobs to the stores that keep them. Clones share the routing cache.
#[derive(Clone)]
pub struct JobClient {
    rpc: rpc::Client,
    view: watch::Receiver<Arc<View>>,
    cache: Arc<Mutex<RoutingCache>>,
}

impl JobClient {
    /// Creates a client that takes the stores from `view`.
    #[must_use]
    pub fn new(rpc: rpc::Client, view: watch::Receiver<Arc<View>>) -> Self {
        Self { rpc, view, cache: Arc::default() }
    }

    /// Submits a batch job. Idempotent: a batch job with the same id is accepted only once.
    pub async fn submit(&self, host: Arc<str>, path: Arc<str>, job: JobId, body: Bytes) -> SubmitOutcome {
        let mut submission = Submission { host, path, body, timeout_ms: 0 };
        let mut selector = self.select_replicas(&job, CALL_TIMEOUT);
        let mut may_be_accepted = false;
        while let Some(store) = selector.next_store().await {
            let timeout = selector.time_left().min(SUBMIT_ATTEMPT_TIMEOUT);
            submission.timeout_ms = u64::try_from(timeout.as_millis()).unwrap_or(0);
            match self.send_request(&store, SUBMIT_PATH, &job, &submission, timeout).await {
                Ok(SubmitReply::Accepted) => {
                    self.lock().record_owner(&job, store.member.incarnation.0);
                    return SubmitOutcome::Accepted;
                }
                Ok(SubmitReply::Invalid(error)) => return SubmitOutcome::Invalid(error),
                Ok(SubmitReply::Redirect(owner)) => selector.redirect_to(owner),
                Ok(SubmitReply::NotAccepted) => {}
                Ok(SubmitReply::Unknown) => may_be_accepted = true,
                Err(error) => may_be_accepted |= error.may_have_run(),
            }
        }
        if may_be_accepted {
            SubmitOutcome::Unknown
        } else {
            SubmitOutcome::NotAccepted
        }
    }

    /// Reads results from position `after` on. If there is none yet, waits at most `long_poll` for one.
    pub async fn read(&self, job: JobId, after: u64, long_poll: Duration) -> ReadOutcome {
        let long_poll_ms = u64::try_from(long_poll.as_millis()).unwrap_or(0);
        let request = ReadRequest { after, long_poll_ms };
        match self.call_owner(READ_PATH, job, &request, long_poll).await {
            OwnerReply::Success(page) => ReadOutcome::Page(page),
            OwnerReply::NoSuchJob => ReadOutcome::NoSuchJob,
            OwnerReply::Unknown | OwnerReply::Redirect(_) => ReadOutcome::Unknown,
        }
    }

    /// Reads the decoded body of an item.
    pub async fn body(&self, job: JobId, item: &str) -> BodyOutcome {
        match self.call_owner(BODY_PATH, job, &item.to_owned(), Duration::ZERO).await {
            OwnerReply::Success(Some(body)) => BodyOutcome::Body(body),
            OwnerReply::Success(None) | OwnerReply::NoSuchJob => BodyOutcome::NoSuchItem,
            OwnerReply::Unknown | OwnerReply::Redirect(_) => BodyOutcome::Unknown,
        }
    }

    /// Ends a batch job, so that no more items are run and no more results accepted. Idempotent.
    pub async fn end(&self, job: JobId) -> EndOutcome {
        match self.call_owner(END_PATH, job, &(), Duration::ZERO).await {
            OwnerReply::Success(()) => EndOutcome::Ended,
            OwnerReply::NoSuchJob => EndOutcome::NoSuchJob,
            OwnerReply::Unknown | OwnerReply::Redirect(_) => EndOutcome::Unknown,
        }
    }

    /// Sends a request to one store after the other until one gives a definite answer; returns `Unknown` if
    /// none does in time. `long_poll` is added to the timeouts, since a store may wait that long before it
    /// answers.
    async fn call_owner<Request, T>(
        &self,
        path: &str,
        job: JobId,
        request: &Request,
        long_poll: Duration,
    ) -> OwnerReply<T>
    where
        Request: Serialize + Clone,
        T: DeserializeOwned,
    {
        let mut selector = self.select_replicas(&job, CALL_TIMEOUT + long_poll);
        while let Some(store) = selector.next_store().await {
            let timeout = selector.time_left().min(ATTEMPT_TIMEOUT + long_poll);
            match self.send_request(&store, path, &job, request, timeout).await {
                Ok(OwnerReply::Redirect(owner)) => selector.redirect_to(owner),
                Ok(OwnerReply::Unknown) | Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
                Ok(reply) => {
                    self.lock().record_owner(&job, store.member.incarnation.0);
                    return reply;
                }
            }
        }
        OwnerReply::Unknown
    }

    /// Makes one attempt at a store, and updates the routing cache by its outcome.
    async fn send_request<Request, Reply>(
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
        let to: StoreId = store.member.incarnation.0;
        let request = AddressedRequest { to, job: Arc::clone(job), request: request.clone() };
        let reply = self.rpc.call(&store.member.address, path, &request, timeout).await;
        match &reply {
            Ok(_) => self.lock().on_answer(to),
            Err(_) => self.lock().on_failure(to, job),
        }
        reply
    }

    /// Creates the selector for a call about a batch job: replicas that recently failed to answer come last,
    /// and all members of the present and the previous store set can be reached by redirects.
    fn select_replicas(&self, job: &JobId, timeout: Duration) -> ReplicaSelector {
        let view = Arc::clone(&self.view.borrow());
        let control = &view.control;
        let mut replicas: Vec<StoreMember> = replicas_of(&control.stores, job).into_iter().cloned().collect();
        let members = store_sets(control).flat_map(|set| set.members.iter().cloned()).collect();
        let cache = self.lock();
        replicas.sort_by_key(|store| cache.is_suspect(store.member.incarnation.0));
        ReplicaSelector::new(replicas, members, cache.owner(job), timeout)
    }

    fn lock(&self) -> MutexGuard<'_, RoutingCache> {
        self.cache.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
