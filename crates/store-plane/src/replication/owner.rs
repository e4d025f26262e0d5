//! Driving the ownership of batch jobs: claims, requests to the stores, hand-over to the runner, listing of results.

use std::sync::Arc;
use std::time::Duration;

use batch::{
    Entry, ItemResult, Job, JobId, Ownership, OwnershipPhase, OwnershipTerm, ReplicaReply, ReplicaRequest,
    ReplicaSet, StoreId,
};
use state::View;
use tokio::sync::watch;
use tokio::time::Instant;

use super::messages::{Call, ReplicateReply, REPLICATE_PATH};
use super::owned::{JobState, OwnedJob, OwnershipLost};
use super::state::{contains, handed_in, has_end, is_of, results, Owned, State};
use super::store::Shared;

/// The owner in a term that only stands for an epoch.
const NOBODY: StoreId = 0;
/// How long a request to another store may take.
const REPLICATE_TIMEOUT: Duration = Duration::from_millis(500);
/// Longer logs may take this much longer for each byte.
const REPLICATE_TIMEOUT_PER_BYTE: Duration = Duration::from_nanos(500);

impl Shared {
    /// Claims a batch job unless it is owned or claimed already. `false` if this store cannot own it.
    pub fn acquire(self: &Arc<Self>, job: &JobId) -> bool {
        let view = self.view();
        let Some(copies) = self.copies(&view, job) else { return false };
        let mut state = self.lock();
        if state.owned.contains_key(job) {
            return true;
        }
        if state.is_leaving {
            return false;
        }
        let Some(ownership) = self.new_claim(&state, &view, job, copies) else { return false };
        state.next_token += 1;
        let owned = Owned {
            token: state.next_token,
            ownership,
            since: Instant::now(),
            job: None,
            state: watch::Sender::new(JobState::Open),
            progress: Arc::new(watch::Sender::new(())),
        };
        state.first_seen.entry(Arc::clone(job)).or_insert_with(Instant::now);
        state.owned.insert(Arc::clone(job), owned);
        drop(state);
        self.drive(job);
        true
    }

    pub fn new_claim(
        &self,
        state: &State,
        view: &View,
        job: &JobId,
        copies: ReplicaSet,
    ) -> Option<Ownership> {
        let log = state.replica.log(job);
        let promised = log.map_or(OwnershipTerm::default(), |log| log.promised);
        let rejected = state.rejected.get(job).copied().unwrap_or_default();
        let highest = promised.max(rejected).max(OwnershipTerm::lowest_of(state.replica.epoch()));
        let epoch = view.control.stores.epoch;
        let term = OwnershipTerm::above(highest, epoch, self.id(), fastrand::u64(..))?;
        Some(Ownership::claim(term, copies, log))
    }

    /// Sends what is to be sent for a batch job that this store owns.
    pub fn drive(self: &Arc<Self>, job: &JobId) {
        let mut guard = self.lock();
        let state = &mut *guard;
        let Some(owned) = state.owned.get_mut(job) else { return };
        let term = owned.ownership.term();
        let unreachable = &state.unreachable;
        let requests = owned.ownership.next_requests(|store| !unreachable.contains(&store));
        drop(guard);
        for (store, request) in requests {
            let (shared, job) = (Arc::clone(self), Arc::clone(job));
            tokio::spawn(async move { shared.deliver(job, term, store, request).await });
        }
    }

    async fn deliver(
        self: Arc<Self>,
        job: JobId,
        term: OwnershipTerm,
        store: StoreId,
        request: ReplicaRequest,
    ) {
        let sent = Instant::now();
        let Some(reply) = self.ask(store, &job, request).await else {
            self.note_no_reply(&job, term, store);
            return;
        };
        self.with_ownership(&job, term, |shared, state| {
            // Counted from now, not from when it was asked: an age must never be more than the truth.
            let now = Instant::now();
            let known_since = now.checked_sub(Duration::from_millis(reply.age_ms)).unwrap_or(now);
            let first_seen = state.first_seen.entry(Arc::clone(&job)).or_insert(known_since);
            *first_seen = (*first_seen).min(known_since);
            if let Some(owned) = state.owned.get_mut(&job) {
                owned.ownership.handle_reply(store, reply.reply, shared.time(sent));
            }
        });
        self.drive(&job);
    }

    /// The store may be asked again. Nobody is told of progress: who waits for it would ask again at once, and a store
    /// that is a member no more gives no reply without any time passing.
    fn note_no_reply(&self, job: &JobId, term: OwnershipTerm, store: StoreId) {
        let mut state = self.lock();
        let owned = state.owned.get_mut(job).filter(|owned| owned.ownership.term() == term);
        if let Some(owned) = owned {
            owned.ownership.handle_no_reply(store);
        }
    }

    /// Changes an ownership, if it is still that of `term`, and acts on what came of it.
    pub fn with_ownership(
        self: &Arc<Self>,
        job: &JobId,
        term: OwnershipTerm,
        change: impl FnOnce(&Self, &mut State),
    ) {
        let mut state = self.lock();
        if state.owned.get(job).is_none_or(|owned| owned.ownership.term() != term) {
            return;
        }
        change(self, &mut state);
        self.after_change(&mut state, job);
    }

    fn after_change(self: &Arc<Self>, state: &mut State, job: &JobId) {
        let Some(owned) = state.owned.get_mut(job) else { return };
        owned.progress.send_replace(());
        if let OwnershipPhase::Superseded(promised) = owned.ownership.phase() {
            if promised.owner == NOBODY {
                // Others know a newer store set; this store claims anew as soon as it does.
                return;
            }
            let rejected = state.rejected.entry(Arc::clone(job)).or_default();
            *rejected = (*rejected).max(promised);
            state.heard.insert(Arc::clone(job), Instant::now());
            state.depose(job);
            return;
        }
        if has_end(owned.ownership.committed()) {
            // Nothing runs any more; what was parsed takes more memory than the log.
            owned.job = None;
            owned.state.send_replace(JobState::Ended);
        } else if owned.job.is_none() && owned.ownership.is_established() {
            self.hand_out(state, job);
        }
    }

    /// Hands the batch job to the runner, once its log is committed under this ownership.
    fn hand_out(self: &Arc<Self>, state: &mut State, id: &JobId) {
        let Some(owned) = state.owned.get_mut(id) else { return };
        let committed = owned.ownership.committed();
        let Some(handed_in) = handed_in(committed) else { return };
        let Ok(job) = Job::parse(&handed_in.body) else { return };
        let job = Arc::new(job);
        owned.job = Some(Arc::clone(&job));
        let listed: Vec<ItemResult> = results(committed).cloned().collect();
        if has_end(owned.ownership.log()) {
            owned.state.send_replace(JobState::Ended);
        }
        if listed.len() >= job.items.len() {
            return;
        }
        let age = state.first_seen.get(id).map_or(Duration::ZERO, Instant::elapsed);
        let handed_out = OwnedJob {
            id: Arc::clone(id),
            job,
            host: Arc::clone(&handed_in.host),
            path: Arc::clone(&handed_in.path),
            age,
            committed_results: listed,
            token: owned.token,
            state: owned.state.subscribe(),
            shared: Arc::clone(self),
        };
        let _ = self.owned_jobs.send(handed_out);
    }

    /// Asks a store, which may be this one.
    pub async fn ask(&self, store: StoreId, job: &JobId, request: ReplicaRequest) -> Option<ReplicateReply> {
        if store == self.id() {
            return self.replicate(job, request).await;
        }
        let address = self.address_of(store)?;
        let timeout = REPLICATE_TIMEOUT + REPLICATE_TIMEOUT_PER_BYTE * size_of_request(&request);
        let call = Call { to: store, job: Arc::clone(job), request };
        let answer = self.rpc.call(&address, REPLICATE_PATH, &call, timeout).await;
        if answer.is_err() {
            self.lock().unreachable.insert(store);
        }
        answer.ok()
    }

    /// Carries out a request of an owner; `None` if it could not be made durable.
    pub async fn replicate(&self, job: &JobId, request: ReplicaRequest) -> Option<ReplicateReply> {
        let (reply, durable, age) = {
            let mut state = self.lock();
            let now = Instant::now();
            let is_owner = matches!(request, ReplicaRequest::Prepare { .. } | ReplicaRequest::Append { .. });
            let (reply, durable) = state.handle(job, request, now);
            if is_owner && !matches!(reply, ReplicaReply::Rejected { .. }) {
                state.heard.insert(Arc::clone(job), now);
            }
            if matches!(reply, ReplicaReply::Deleted { .. }) {
                state.forget(job);
            }
            let age = state.first_seen.get(job).map_or(Duration::ZERO, |since| now - *since);
            (reply, durable, age)
        };
        if let Some(durable) = durable {
            durable.await.ok()?;
        }
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(0);
        Some(ReplicateReply { reply, age_ms })
    }

    /// Lists results; done when they are committed.
    pub async fn list(
        self: &Arc<Self>,
        job: &JobId,
        token: u64,
        results: Vec<ItemResult>,
    ) -> Result<(), OwnershipLost> {
        let mut entries: Vec<Arc<Entry>> = results.into_iter().map(|r| Arc::new(Entry::Result(r))).collect();
        loop {
            let mut progress = {
                let mut state = self.lock();
                let owned =
                    state.owned.get_mut(job).filter(|owned| owned.token == token).ok_or(OwnershipLost)?;
                let progress = owned.progress.subscribe();
                let committed = owned.ownership.committed();
                entries.retain(|entry| !contains(committed, entry));
                entries.retain(|entry| owned.job.as_ref().is_none_or(|job| is_of(job, entry)));
                if entries.is_empty() {
                    return Ok(());
                }
                if has_end(committed) {
                    return Err(OwnershipLost);
                }
                if !has_end(owned.ownership.log()) {
                    owned.append_missing(&entries);
                }
                progress
            };
            self.drive(job);
            progress.changed().await.map_err(|_| OwnershipLost)?;
        }
    }
}

fn size_of_request(request: &ReplicaRequest) -> u32 {
    let ReplicaRequest::Append { entries, .. } = request else { return 0 };
    let sizes = entries.iter().map(|entry| match &**entry {
        Entry::Job(handed_in) => handed_in.body.len(),
        Entry::Result(result) => result.text.len(),
        Entry::End => 0,
    });
    u32::try_from(sizes.sum::<usize>()).unwrap_or(u32::MAX)
}
