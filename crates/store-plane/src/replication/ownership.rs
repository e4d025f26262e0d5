//! The ownerships of a store: claims batch jobs, sends the requests of [`batch::Ownership`] and handles the
//! replies, starts the runner of an established ownership, and appends its results.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use batch::{
    Entry, Item, ItemOutline, ItemResult, JobId, LoadError, LogEntry, Ownership, OwnershipPhase,
    OwnershipTerm, ReplicaReply, ReplicaRequest, ReplicaSet, StoreId,
};
use futures_util::future::BoxFuture;
use state::View;
use tokio::time::Instant;

use super::log_entries::{belongs_to, contains, is_ended};
use super::messages::ReplicateReply;
use super::node::StoreNode;
use super::owned_job::{JobOwner, JobState, OwnershipLost};
use super::state::{OwnedEntry, ReplicationState, NO_OWNER};

/// Interval at which results that wait for the disk check whether it has caught up.
const UNDURABLE_POLL_INTERVAL: Duration = Duration::from_millis(50);

impl StoreNode {
    /// Claims a batch job unless this store owns or claims it already. Returns `false` if this store cannot
    /// own it: it is not one of the replicas, it is draining, or its store set is outdated.
    pub fn acquire(self: &Arc<Self>, job: &JobId) -> bool {
        let view = self.current_view();
        let Some(replicas) = self.replica_set(&view, job) else { return false };
        let mut state = self.lock();
        if state.ownerships.contains(job) {
            return true;
        }
        if state.ownerships.is_draining() {
            return false;
        }
        let Some(claim) = self.new_claim(&state, &view, job, replicas) else { return false };
        state.ownerships.insert(job, claim);
        state.job_status.record_known(job, Instant::now());
        drop(state);
        self.send_due_requests(job);
        true
    }

    /// Creates a claim with a term above all terms that this store has seen; `None` if its store set is
    /// outdated.
    pub fn new_claim(
        &self,
        state: &ReplicationState,
        view: &View,
        job: &JobId,
        replicas: ReplicaSet,
    ) -> Option<Ownership> {
        let log = state.replicas.log(job);
        let promised = log.map_or(OwnershipTerm::default(), |log| log.promised);
        let rejection = state.job_status.get(job).highest_rejection.unwrap_or_default();
        let highest = promised.max(rejection).max(OwnershipTerm::lowest_of(state.replicas.epoch()));
        let epoch = view.control.stores.epoch;
        let term = OwnershipTerm::above(highest, epoch, self.id(), fastrand::u64(..))?;
        Some(Ownership::claim(term, replicas, log))
    }

    /// Sends the requests that are due for a batch job that this store owns or claims.
    pub fn send_due_requests(self: &Arc<Self>, job: &JobId) {
        let mut guard = self.lock();
        let state = &mut *guard;
        let Some(owned) = state.ownerships.get_mut(job) else { return };
        let term = owned.ownership.term();
        let (peers, transfers) = (&state.peers, &mut state.transfers);
        let requests = owned.ownership.next_requests(|store, request| {
            peers.is_reachable(store) && transfers.may_send(job, term, store, request)
        });
        drop(guard);
        for (store, request) in requests {
            let (node, job) = (Arc::clone(self), Arc::clone(job));
            tokio::spawn(async move { node.send_and_handle_reply(job, term, store, request).await });
        }
    }

    /// Sends one request, handles its reply, and sends the requests that are due after it, among them those of
    /// other batch jobs that have waited for the end of a transfer.
    async fn send_and_handle_reply(
        self: Arc<Self>,
        job: JobId,
        term: OwnershipTerm,
        store: StoreId,
        request: ReplicaRequest,
    ) {
        match self.send_request(store, &job, request).await {
            Some((reply, sent)) => {
                self.on_reply(&job, term, store, reply, sent);
                self.send_due_requests(&job);
            }
            None => self.on_no_reply(&job, term, store),
        }
        self.end_transfers(&job, term, store);
    }

    /// Ends the transfers of a log to `store` and from another store, unless further messages of them are in
    /// flight. Then sends the requests of the batch jobs that have waited for it.
    fn end_transfers(self: &Arc<Self>, job: &JobId, term: OwnershipTerm, store: StoreId) {
        let mut guard = self.lock();
        let state = &mut *guard;
        let owned = state.ownerships.get(job).filter(|owned| owned.ownership.term() == term);
        let ownership = owned.map(|owned| &owned.ownership);
        let mut waiting = BTreeSet::new();
        if !ownership.is_some_and(|ownership| ownership.is_sending_adopted_log(store)) {
            waiting.append(&mut state.transfers.end_sending(job, term, store));
        }
        // What is fetched is in memory until this store has written it as a replica.
        if !ownership.is_some_and(|ownership| ownership.lacks_adopted_log(self.id())) {
            waiting.append(&mut state.transfers.end_fetch(job, term));
        }
        drop(guard);
        waiting.iter().for_each(|job| self.send_due_requests(job));
    }

    /// Ends the transfers of ownerships that this store has released.
    pub fn end_stale_transfers(self: &Arc<Self>) {
        let stale = {
            let state = self.lock();
            state.transfers.stale(|job, term| {
                state.ownerships.get(job).is_none_or(|owned| owned.ownership.term() != term)
            })
        };
        for (job, term, store) in stale {
            self.end_transfers(&job, term, store.unwrap_or_else(|| self.id()));
        }
    }

    /// Passes the reply of a replica to the ownership. `sent` is the time at which the request was sent, from
    /// which the lease is counted.
    fn on_reply(
        self: &Arc<Self>,
        job: &JobId,
        term: OwnershipTerm,
        store: StoreId,
        reply: ReplicateReply,
        sent: Instant,
    ) {
        self.with_ownership(job, term, |node, state| {
            // The age is counted back from now, not from the time at which the request was sent, since the
            // age of a batch job must never be overestimated.
            let now = Instant::now();
            let known_since = now.checked_sub(Duration::from_millis(reply.age_ms)).unwrap_or(now);
            state.job_status.record_known_since(job, known_since);
            if let Some(owned) = state.ownerships.get_mut(job) {
                if matches!(reply.reply, ReplicaReply::Fetched { .. }) {
                    owned.last_claim_progress = now;
                }
                owned.ownership.handle_reply(store, reply.reply, node.lease_time(sent));
            }
        });
    }

    /// Allows the request to be sent to the store again. Does not notify of progress: a waiting task would
    /// send the request again at once, and a request to a store that is no longer a member fails immediately,
    /// so that the two would form a busy loop.
    fn on_no_reply(&self, job: &JobId, term: OwnershipTerm, store: StoreId) {
        let mut state = self.lock();
        let owned = state.ownerships.get_mut(job).filter(|owned| owned.ownership.term() == term);
        if let Some(owned) = owned {
            owned.ownership.handle_no_reply(store);
        }
    }

    /// Applies `change` to an ownership, if its term is still `term`, and acts on its new phase.
    pub fn with_ownership(
        self: &Arc<Self>,
        job: &JobId,
        term: OwnershipTerm,
        change: impl FnOnce(&Self, &mut ReplicationState),
    ) {
        let mut state = self.lock();
        if state.ownerships.get(job).is_none_or(|owned| owned.ownership.term() != term) {
            return;
        }
        change(self, &mut state);
        self.after_change(&mut state, job);
    }

    /// Notifies the tasks that wait for progress; then releases the ownership, marks the batch job as ended
    /// or passes it to the runner, depending on the phase and the committed entries.
    fn after_change(self: &Arc<Self>, state: &mut ReplicationState, job: &JobId) {
        let Some(owned) = state.ownerships.get_mut(job) else { return };
        owned.progress.send_replace(());
        if let OwnershipPhase::Superseded(promised) = owned.ownership.phase() {
            on_ownership_lost(state, job, promised);
        } else if owned.is_ended() {
            // Items no longer run, and the parsed form takes more memory than the log.
            owned.job = None;
            owned.state.send_replace(JobState::Ended);
        } else if owned.has_all_results() {
            owned.job = None;
        } else if owned.job.is_none() && owned.ownership.is_established() {
            self.start_runner(state, job);
        }
    }

    /// Whether so many entries wait until they are durable on this store that no further ones may be appended here.
    pub fn has_undurable_backlog(&self) -> bool {
        self.lock().durability.pending_append_bytes() > self.budgets.undurable_bytes
    }

    /// Whether this store owns or claims a batch job under the ownership that `token` identifies.
    fn owns(&self, job: &JobId, token: u64) -> bool {
        self.lock().ownerships.get(job).is_some_and(|owned| owned.token == token)
    }

    /// Appends results and waits until each is committed, or another result of its item is. Results that
    /// don't belong to the batch job are dropped. Waits first while the entries before them are not durable here: the
    /// other replicas may be faster than this store's disk.
    async fn append_until_committed(
        self: Arc<Self>,
        job: JobId,
        token: u64,
        results: Vec<ItemResult>,
    ) -> Result<(), OwnershipLost> {
        let mut entries: Vec<LogEntry> =
            results.into_iter().map(|result| LogEntry::from(Entry::Result(result))).collect();
        while self.has_undurable_backlog() && self.owns(&job, token) {
            tokio::time::sleep(UNDURABLE_POLL_INTERVAL).await;
        }
        loop {
            let mut progress = {
                let mut state = self.lock();
                let owned = state.ownerships.get_mut(&job).filter(|owned| owned.token == token);
                let owned = owned.ok_or(OwnershipLost)?;
                let progress = owned.progress.subscribe();
                if !append_uncommitted(owned, &mut entries)? {
                    return Ok(());
                }
                progress
            };
            self.send_due_requests(&job);
            progress.changed().await.map_err(|_| OwnershipLost)?;
        }
    }
}

impl JobOwner for StoreNode {
    fn id(&self) -> StoreId {
        Self::id(self)
    }

    fn append_results(
        self: Arc<Self>,
        job: JobId,
        token: u64,
        results: Vec<ItemResult>,
    ) -> BoxFuture<'static, Result<(), OwnershipLost>> {
        Box::pin(self.append_until_committed(job, token, results))
    }

    fn load_item(
        self: Arc<Self>,
        job: JobId,
        submission: LogEntry,
        item: ItemOutline,
    ) -> BoxFuture<'static, Result<Item, LoadError>> {
        Box::pin(async move { Self::load_item(&self, &job, submission, &item).await })
    }
}

/// Handles the promise of a higher term by a replica: releases the ownership if another store claims the
/// batch job.
fn on_ownership_lost(state: &mut ReplicationState, job: &JobId, promised: OwnershipTerm) {
    if promised.owner == NO_OWNER {
        // Replicas have a newer store set. This store claims the batch job again once it has received that
        // store set.
        return;
    }
    state.job_status.record_rejection(job, promised);
    state.job_status.record_owner_contact(job, Instant::now());
    state.ownerships.release(job);
}

/// Removes the entries that are committed or do not belong to the batch job from `entries`, and appends the
/// others to the log. Returns `false` if none are left.
///
/// # Errors
///
/// Fails if some are left and the trainer has ended the batch job, which then accepts no more results.
fn append_uncommitted(owned: &mut OwnedEntry, entries: &mut Vec<LogEntry>) -> Result<bool, OwnershipLost> {
    let committed = owned.ownership.committed();
    entries.retain(|entry| !contains(committed, entry));
    entries.retain(|entry| owned.job.as_ref().is_none_or(|job| belongs_to(job, entry)));
    if entries.is_empty() {
        return Ok(false);
    }
    if is_ended(committed) {
        return Err(OwnershipLost);
    }
    if !is_ended(owned.ownership.log()) {
        owned.append_missing(entries);
    }
    Ok(true)
}
