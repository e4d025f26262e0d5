//! What a store answers to traffic nodes and other stores.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use batch::{Entry, Job, JobId, OwnershipPhase, ReplicaReply, ReplicaRequest, StoreId, SubmittedJob};
use bytes::Bytes;
use futures_util::stream::{FuturesUnordered, StreamExt};
use poem::{post, Route};
use tokio::time::{timeout_at, Instant};

use super::messages::{
    Answer, Call, Heartbeat, ReadRequest, ResultPage, Submission, SubmitReply, TakeOver, BODY_PATH, END_PATH,
    HEARTBEAT_PATH, MIGRATION_STATUS_PATH, READ_PATH, REPLICATE_PATH, SUBMIT_PATH, TAKE_OVER_PATH,
};
use super::owned::JobState;
use super::replicas::replicas_of;
use super::state::{handed_in, has_end, results, Owned};
use super::store::{JobStore, Shared};
use super::tend::OWNER_SILENT;

/// How long an ownership may take to be ready for an answer.
const READY_MOST: Duration = Duration::from_millis(450);
/// How long an entry may take to be committed before the caller is told that nothing is sure.
const COMMIT_MOST: Duration = Duration::from_millis(700);
/// An answer leaves this long before the caller gives up.
const REPLY_MARGIN: Duration = Duration::from_millis(120);
/// How long other stores may take to tell what they know of a batch job.
const QUERY_MOST: Duration = Duration::from_millis(350);
/// An owner answers reads if a majority acknowledged something that it sent within this time.
const READ_LEASE: Duration = Duration::from_millis(900);
/// Largest page of results.
const PAGE_BYTES_MOST: usize = 1_000_000;

/// How it stands with a batch job that a caller asks for.
enum Standing {
    /// This store owns it and may answer.
    Owner,
    NoSuchJob,
    Unknown,
    Elsewhere(StoreId),
}

impl<T> Answer<T> {
    fn instead(standing: Standing) -> Self {
        match standing {
            Standing::NoSuchJob => Self::NoSuchJob,
            Standing::Elsewhere(store) => Self::Elsewhere(store),
            Standing::Owner | Standing::Unknown => Self::Unknown,
        }
    }
}

impl JobStore {
    /// The endpoints for the other stores and for traffic nodes.
    pub fn endpoint(&self) -> Route {
        let shared = &self.shared;
        let replicate =
            on_call(shared, |shared, job, request| async move { shared.replicate(&job, request).await });
        let heartbeat = with_shared(shared, |shared, beat: Heartbeat| async move {
            (beat.to == shared.id()).then(|| shared.answer_heartbeat(&beat))
        });
        let take_over = on_call(shared, |shared, job, request: TakeOver| async move {
            shared.take_over(&job, request);
            Some(())
        });
        let submit =
            on_call(shared, |shared, job, job_body| async move { Some(shared.submit(job, job_body).await) });
        let read =
            on_call(shared, |shared, job, request| async move { Some(shared.read(&job, request).await) });
        let body =
            on_call(shared, |shared, job, item: String| async move { Some(shared.body(&job, &item).await) });
        let end = on_call(shared, |shared, job, ()| async move { Some(shared.end(&job).await) });
        let moved = with_shared(shared, |shared, ()| async move { Some(shared.migration_status()) });
        Route::new()
            .at(REPLICATE_PATH, post(replicate))
            .at(HEARTBEAT_PATH, post(heartbeat))
            .at(TAKE_OVER_PATH, post(take_over))
            .at(SUBMIT_PATH, post(submit))
            .at(READ_PATH, post(read))
            .at(BODY_PATH, post(body))
            .at(END_PATH, post(end))
            .at(MIGRATION_STATUS_PATH, post(moved))
    }
}

fn with_shared<Request, Reply, Function, Answered>(
    shared: &Arc<Shared>,
    function: Function,
) -> impl poem::Endpoint<Output = poem::Response>
where
    Request: serde::de::DeserializeOwned + Send + 'static,
    Reply: serde::Serialize + Send + 'static,
    Function: Fn(Arc<Shared>, Request) -> Answered + Send + Sync + 'static,
    Answered: Future<Output = Option<Reply>> + Send + 'static,
{
    let shared = Arc::clone(shared);
    rpc::handler(move |request: Request| function(Arc::clone(&shared), request))
}

/// An endpoint for calls that only the incarnation that they are meant for carries out.
fn on_call<Request, Reply, Function, Answered>(
    shared: &Arc<Shared>,
    function: Function,
) -> impl poem::Endpoint<Output = poem::Response>
where
    Request: serde::de::DeserializeOwned + Send + 'static,
    Reply: serde::Serialize + Send + 'static,
    Function: Fn(Arc<Shared>, JobId, Request) -> Answered + Send + Sync + 'static,
    Answered: Future<Output = Option<Reply>> + Send + 'static,
{
    with_shared(shared, move |shared, call: Call<Request>| {
        let answered = (call.to == shared.id()).then(|| function(shared, call.job, call.request));
        async move {
            match answered {
                Some(answered) => answered.await,
                None => None,
            }
        }
    })
}

impl Shared {
    /// Takes a batch job. `NotAccepted` only if nothing of it was sent to any store by this call.
    async fn submit(self: &Arc<Self>, id: JobId, submission: Submission) -> SubmitReply {
        let wait = Duration::from_millis(submission.wait_ms).saturating_sub(REPLY_MARGIN);
        let answer_by = Instant::now() + wait.min(READY_MOST + COMMIT_MOST);
        let propose_by = Instant::now() + (wait / 2).min(READY_MOST);
        let job = match Job::parse(&submission.body) {
            Ok(job) => job,
            Err(error) => return SubmitReply::Invalid(error),
        };
        let total = u32::try_from(job.items.len()).unwrap_or(u32::MAX);
        let Submission { host, path, body, .. } = submission;
        let entry = Arc::new(Entry::Job(SubmittedJob { host, path, body, total }));
        if let Err(store) = self.acquire_unless_owned(&id) {
            return store.map_or(SubmitReply::NotAccepted, SubmitReply::Elsewhere);
        }
        let proposed = self.wait_owned(&id, propose_by, |owned| match owned.ownership.phase() {
            OwnershipPhase::Leading if owned.ownership.log().is_empty() => {
                owned.ownership.append([Arc::clone(&entry)]);
                Some(())
            }
            OwnershipPhase::Leading => Some(()),
            OwnershipPhase::Preparing | OwnershipPhase::Superseded(_) => None,
        });
        if proposed.await.is_none() {
            return self.owner_elsewhere(&id).map_or(SubmitReply::NotAccepted, SubmitReply::Elsewhere);
        }
        self.drive(&id);
        let is_committed = |owned: &mut Owned| {
            (owned.ownership.is_established() && !owned.ownership.committed().is_empty()).then_some(())
        };
        match self.wait_owned(&id, answer_by, is_committed).await {
            Some(()) => SubmitReply::Accepted,
            None => SubmitReply::Unknown,
        }
    }

    async fn read(self: &Arc<Self>, id: &JobId, request: ReadRequest) -> Answer<ResultPage> {
        let held_until = Instant::now() + Duration::from_millis(request.hold_ms);
        match self.standing(id).await {
            Standing::Owner => {}
            other => return Answer::instead(other),
        }
        let after = usize::try_from(request.after).unwrap_or(usize::MAX);
        let has_some = |owned: &mut Owned| {
            let listed = results(owned.ownership.committed()).count();
            (listed > after && owned.ownership.is_established()).then_some(())
        };
        self.wait_owned(id, held_until, has_some).await;
        // The lease must hold at the moment of the answer.
        match self.standing(id).await {
            Standing::Owner => {}
            other => return Answer::instead(other),
        }
        let state = self.lock();
        let committed = state.owned.get(id).map(|owned| owned.ownership.committed().to_vec());
        drop(state);
        committed.and_then(|committed| page(&committed, after)).map_or(Answer::Unknown, Answer::Is)
    }

    /// The decoded body of an item; `None` inside the answer if the batch job has no such item.
    async fn body(self: &Arc<Self>, id: &JobId, item: &str) -> Answer<Option<Bytes>> {
        match self.standing(id).await {
            Standing::Owner => {}
            other => return Answer::instead(other),
        }
        let Some(job) = self.job_of(id) else { return Answer::Unknown };
        let found = job.items.iter().find(|one| *one.id == *item);
        Answer::Is(found.map(|one| Bytes::from(one.decoded_body())))
    }

    /// The batch job, read anew from its log where it is over.
    fn job_of(&self, id: &JobId) -> Option<Arc<Job>> {
        let body = {
            let state = self.lock();
            let owned = state.owned.get(id)?;
            if owned.job.is_some() {
                return owned.job.clone();
            }
            handed_in(owned.ownership.committed())?.body.clone()
        };
        Job::parse(&body).ok().map(Arc::new)
    }

    async fn end(self: &Arc<Self>, id: &JobId) -> Answer<()> {
        match self.standing(id).await {
            Standing::Owner => {}
            other => return Answer::instead(other),
        }
        let end = Arc::new(Entry::End);
        if let Some(owned) = self.lock().owned.get_mut(id) {
            owned.append_missing(&[end]);
            owned.state.send_replace(JobState::Ended);
        }
        self.drive(id);
        let deadline = Instant::now() + COMMIT_MOST;
        let is_ended = |owned: &mut Owned| has_end(owned.ownership.committed()).then_some(());
        self.wait_owned(id, deadline, is_ended).await.map_or(Answer::Unknown, Answer::Is)
    }

    /// Whether this store may answer about a batch job. It claims the batch job if nobody else seems to own it.
    async fn standing(self: &Arc<Self>, id: &JobId) -> Standing {
        let is_known = {
            let state = self.lock();
            let has_entries = state.replica.log(id).is_some_and(|log| !log.entries.is_empty());
            has_entries || state.owned.contains_key(id)
        };
        if !is_known {
            return self.ask_others(id).await;
        }
        if let Err(store) = self.acquire_unless_owned(id) {
            return store.map_or(Standing::Unknown, Standing::Elsewhere);
        }
        let now_leased = |owned: &mut Owned| {
            let leased = owned.ownership.holds_lease(self.time(Instant::now()), READ_LEASE);
            let decided = owned.ownership.is_established() && leased;
            let is_empty = owned.ownership.log().is_empty();
            let has_job = !owned.ownership.committed().is_empty();
            (decided && (is_empty || has_job)).then_some(has_job)
        };
        match self.wait_owned(id, Instant::now() + READY_MOST, now_leased).await {
            Some(true) => Standing::Owner,
            Some(false) => Standing::NoSuchJob,
            None => self.owner_elsewhere(id).map_or(Standing::Unknown, Standing::Elsewhere),
        }
    }

    /// Claims a batch job unless another store owns it, which is the error; `None` if nobody can be named.
    fn acquire_unless_owned(self: &Arc<Self>, id: &JobId) -> Result<(), Option<StoreId>> {
        if self.lock().owned.contains_key(id) {
            return Ok(());
        }
        if let Some(owner) = self.owner_elsewhere(id) {
            return Err(Some(owner));
        }
        self.acquire(id).then_some(()).ok_or(None)
    }

    /// The owner of a batch job, if it is another store that was heard of lately.
    fn owner_elsewhere(&self, id: &JobId) -> Option<StoreId> {
        let state = self.lock();
        let heard = state.heard.get(id).is_some_and(|heard| heard.elapsed() < OWNER_SILENT);
        let promised = state.replica.log(id).map(|log| log.promised);
        let highest = promised.max(state.rejected.get(id).copied())?;
        let is_other = highest.owner != self.id() && highest.owner != 0;
        (heard && is_other).then_some(highest.owner)
    }

    /// Asks the stores that keep a batch job whether they know of it. `NoSuchJob` takes a majority.
    async fn ask_others(self: &Arc<Self>, id: &JobId) -> Standing {
        let view = self.view();
        let sets: Vec<Vec<StoreId>> = [Some(&view.control.stores), view.control.previous_stores.as_ref()]
            .into_iter()
            .flatten()
            .map(|set| replicas_of(set, id).iter().map(|store| store.member.incarnation.0).collect())
            .collect();
        let mut stores: Vec<StoreId> = sets.iter().flatten().copied().collect();
        stores.sort_unstable();
        stores.dedup();
        let ask = |store| async move { (store, self.ask(store, id, ReplicaRequest::Query).await) };
        let mut replies: FuturesUnordered<_> = stores.into_iter().map(ask).collect();
        let deadline = Instant::now() + QUERY_MOST;
        let mut without = Vec::new();
        while let Ok(Some((store, reply))) = timeout_at(deadline, replies.next()).await {
            let Some(ReplicaReply::Status { promised, length }) = reply.map(|reply| reply.reply) else {
                continue;
            };
            if promised.epoch > view.control.stores.epoch {
                return Standing::Unknown;
            }
            if length > 0 {
                return Standing::Elsewhere(store);
            }
            without.push(store);
            let is_majority = |set: &Vec<StoreId>| {
                !set.is_empty() && set.iter().filter(|store| without.contains(store)).count() > set.len() / 2
            };
            if sets.iter().all(is_majority) {
                return Standing::NoSuchJob;
            }
        }
        Standing::Unknown
    }

    /// Waits until `found` gives something about a batch job that this store owns. `None` once the time is over
    /// or it is owned no more.
    async fn wait_owned<T>(
        &self,
        id: &JobId,
        deadline: Instant,
        mut found: impl FnMut(&mut Owned) -> Option<T>,
    ) -> Option<T> {
        loop {
            let mut progress = {
                let mut state = self.lock();
                let owned = state.owned.get_mut(id)?;
                if let Some(value) = found(owned) {
                    return Some(value);
                }
                owned.progress.subscribe()
            };
            timeout_at(deadline, progress.changed()).await.ok()?.ok()?;
        }
    }
}

/// The results from position `after` on, as many as fit.
fn page(committed: &[Arc<Entry>], after: usize) -> Option<ResultPage> {
    let handed_in = handed_in(committed)?;
    let mut deliveries = Vec::from(b"[");
    let mut next = after;
    for result in results(committed).skip(after) {
        let encoded = serde_json::to_vec(result).ok()?;
        if next > after && deliveries.len() + encoded.len() + 2 > PAGE_BYTES_MOST {
            break;
        }
        if next > after {
            deliveries.push(b',');
        }
        deliveries.extend_from_slice(&encoded);
        next += 1;
    }
    deliveries.push(b']');
    let next = u64::try_from(next).ok()?;
    Some(ResultPage { total: handed_in.total, next, deliveries: deliveries.into() })
}
