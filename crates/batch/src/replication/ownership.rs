//! The owner's side of the replication of one batch job, as a state machine without I/O.
//!
//! The caller sends the requests that [`Ownership::next_requests`] returns, and reports each reply or its
//! absence.

use std::collections::BTreeMap;
use std::time::Duration;

use super::log::{message_prefix, LogEnd};
use super::log_entry::LogEntry;
use super::log_fetch::LogFetch;
use super::messages::{ReplicaReply, ReplicaRequest};
use super::peer_progress::PeerProgress;
use super::replica_log::ReplicaLog;
use super::replica_set::ReplicaSet;
use super::term::{OwnershipTerm, StoreId};

/// Phase of an ownership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnershipPhase {
    /// The owner collects promises from the replicas.
    Preparing,
    /// A majority has promised, and its most advanced log was adopted. The owner may append entries.
    Leading,
    /// A store has promised this higher term and rejects the owner's requests.
    Superseded(OwnershipTerm),
}

/// The ownership of a batch job by one store under one term, beginning with the claim.
#[derive(Clone, Debug)]
pub struct Ownership {
    term: OwnershipTerm,
    replicas: ReplicaSet,
    /// Replication progress of each store in `replicas`.
    progress: BTreeMap<StoreId, PeerProgress>,
    phase: OwnershipPhase,
    /// End of the adopted log. In the phase `Preparing`: end of the most advanced log so far, the claimant's
    /// included.
    adopted: LogEnd,
    /// The adopted entries, followed by the entries that this owner appended.
    log: Vec<LogEntry>,
    /// The more advanced log of a replica that is being fetched, in the phase `Preparing`.
    fetch: Option<LogFetch>,
    /// Number of entries that a majority has accepted under this term. Never decreases.
    committed: usize,
}

/// The part of a replica's log that a [`ReplicaReply::Promised`] contains.
struct PromisedLog {
    /// End of the replica's complete log.
    end: LogEnd,
    /// Index of the first of `entries` in the replica's log.
    start: usize,
    entries: Vec<LogEntry>,
}

impl PromisedLog {
    /// Whether the first `start` entries of a log that ends at `base`, followed by `entries`, are the
    /// replica's complete log.
    fn completes(&self, base: LogEnd) -> bool {
        let is_prefix_known =
            self.start == 0 || (self.end.accepted == base.accepted && self.start <= base.length);
        is_prefix_known && self.start + self.entries.len() == self.end.length
    }
}

impl Ownership {
    /// Begins to claim a batch job. `own_log` is the claimant's own replica of the log, if it has one.
    #[must_use]
    pub fn claim(term: OwnershipTerm, replicas: ReplicaSet, own_log: Option<&ReplicaLog>) -> Self {
        let own_log = own_log.cloned().unwrap_or_default();
        Self {
            term,
            progress: replicas.iter().map(|store| (store, PeerProgress::default())).collect(),
            replicas,
            phase: OwnershipPhase::Preparing,
            adopted: own_log.end(),
            log: own_log.entries,
            fetch: None,
            committed: 0,
        }
    }

    /// Returns the term under which the batch job is claimed or owned.
    #[must_use]
    pub fn term(&self) -> OwnershipTerm {
        self.term
    }

    /// Returns the stores that replicate the batch job.
    #[must_use]
    pub fn replicas(&self) -> &ReplicaSet {
        &self.replicas
    }

    /// Returns the phase of the ownership.
    #[must_use]
    pub fn phase(&self) -> OwnershipPhase {
        self.phase
    }

    /// Returns all entries of the owner's log, whether committed or not.
    #[must_use]
    pub fn log(&self) -> &[LogEntry] {
        &self.log
    }

    /// Returns the committed entries: a majority has accepted them under this term. They never change.
    #[must_use]
    pub fn committed(&self) -> &[LogEntry] {
        &self.log[..self.committed]
    }

    /// Whether the owner leads and the complete adopted log is committed under its term. Only then do the
    /// committed entries include everything that earlier owners may have returned to trainers.
    #[must_use]
    pub fn is_established(&self) -> bool {
        self.phase == OwnershipPhase::Leading && self.committed >= self.adopted.length
    }

    /// Whether a majority has acknowledged a message that was sent within `lease` before `now`. `now` must be
    /// read from the same clock as the `sent_at` of replies.
    #[must_use]
    pub fn holds_lease(&self, now: Duration, lease: Duration) -> bool {
        self.replicas.current_majority(|store| self.progress[&store].acknowledged_within(lease, now))
    }

    /// Appends entries to the owner's log; they are committed once a majority has accepted them.
    ///
    /// # Panics
    ///
    /// Panics if the ownership is not in the phase [`OwnershipPhase::Leading`].
    pub fn append(&mut self, entries: impl IntoIterator<Item = LogEntry>) {
        assert_eq!(self.phase, OwnershipPhase::Leading, "only a leading owner appends entries");
        self.log.extend(entries);
    }

    /// Returns the requests to send now, at most one for each store, without those that `may_send` holds back.
    /// A store gets no further request until [`Self::handle_reply`] or [`Self::handle_no_reply`] is called for
    /// it.
    pub fn next_requests(
        &mut self,
        mut may_send: impl FnMut(StoreId, &ReplicaRequest) -> bool,
    ) -> Vec<(StoreId, ReplicaRequest)> {
        let stores: Vec<StoreId> = self.progress.keys().copied().collect();
        let mut requests = Vec::new();
        for store in stores {
            if self.progress[&store].is_request_in_flight {
                continue;
            }
            if let Some(request) = self.request_for(store).filter(|request| may_send(store, request)) {
                self.progress_of(store).is_request_in_flight = true;
                requests.push((store, request));
            }
        }
        requests
    }

    /// Whether a request to a store is in flight while the store lacks the adopted log.
    #[must_use]
    pub fn is_sending_adopted_log(&self, store: StoreId) -> bool {
        let is_in_flight = self.progress.get(&store).is_some_and(|progress| progress.is_request_in_flight);
        is_in_flight && self.lacks_adopted_log(store)
    }

    /// Whether a store has not confirmed that it has the adopted log under the owner's term.
    #[must_use]
    pub fn lacks_adopted_log(&self, store: StoreId) -> bool {
        self.progress.get(&store).is_none_or(|progress| progress.length_under(self.term).is_none())
    }

    fn request_for(&self, store: StoreId) -> Option<ReplicaRequest> {
        match self.phase {
            OwnershipPhase::Superseded(_) => None,
            OwnershipPhase::Preparing => self.prepare_request(store),
            OwnershipPhase::Leading if self.replicas.is_current(store) => self.append_request(store),
            OwnershipPhase::Leading => self.delete_request(store),
        }
    }

    /// Returns the request to a store that has not promised yet. One log is fetched at a time; other stores
    /// whose logs are more advanced than the claimant's are asked again after that.
    fn prepare_request(&self, store: StoreId) -> Option<ReplicaRequest> {
        let progress = &self.progress[&store];
        if progress.has_promised {
            return None;
        }
        match &self.fetch {
            Some(fetch) if fetch.source == store => return Some(fetch.request(self.term)),
            Some(_) if progress.is_ahead_of(self.adopted) => return None,
            _ => {}
        }
        let LogEnd { accepted, length } = self.adopted;
        Some(ReplicaRequest::Prepare { term: self.term, accepted, length })
    }

    fn append_request(&self, store: StoreId) -> Option<ReplicaRequest> {
        let progress = &self.progress[&store];
        let is_up_to_date = progress.length_under(self.term).is_some_and(|length| length >= self.log.len());
        if is_up_to_date || self.log.is_empty() {
            return None;
        }
        let start = progress.next_index(self.term, self.adopted);
        let entries = message_prefix(&self.log[start..]).to_vec();
        let (term, adopted) = (self.term, self.adopted.accepted);
        let has_adopted_log = progress.length_under(term).is_some();
        if has_adopted_log || start + entries.len() >= self.adopted.length {
            Some(ReplicaRequest::Append { term, adopted, start, entries })
        } else {
            Some(ReplicaRequest::Stage { term, adopted, start, entries })
        }
    }

    /// Returns the request to a store that is a replica only under the previous store set: it may delete the
    /// batch job once the complete adopted log is committed on the current set.
    fn delete_request(&self, store: StoreId) -> Option<ReplicaRequest> {
        let may_delete = self.is_established() && self.committed > 0;
        let is_due = may_delete && !self.progress[&store].has_deleted;
        is_due.then_some(ReplicaRequest::Delete { term: self.term })
    }

    /// Handles a request that failed or timed out without a reply. The store may then get another request.
    pub fn handle_no_reply(&mut self, from: StoreId) {
        self.end_request(from);
        self.stop_fetch_from(from);
    }

    fn end_request(&mut self, store: StoreId) {
        if let Some(progress) = self.progress.get_mut(&store) {
            progress.is_request_in_flight = false;
        }
    }

    /// Stops the fetch of the log of `store`, so that the log of any replica can be fetched.
    fn stop_fetch_from(&mut self, store: StoreId) {
        self.fetch.take_if(|fetch| fetch.source == store);
    }

    /// Handles the reply to a request of [`Self::next_requests`] that was sent at `sent_at`.
    pub fn handle_reply(&mut self, from: StoreId, reply: ReplicaReply, sent_at: Duration) {
        self.end_request(from);
        if matches!(reply, ReplicaReply::LogMismatch { .. }) {
            // The store has restarted or its log has changed, so what was staged or fetched is of no use.
            self.stop_fetch_from(from);
            self.progress.entry(from).and_modify(|progress| progress.staged_length = None);
        }
        self.observe_reply(from, reply, sent_at);
    }

    /// Handles the reply to any message, such as a heartbeat, that was sent at `sent_at`. Unlike
    /// [`Self::handle_reply`], it does not end a pending request of [`Self::next_requests`]. Replies under
    /// other terms are ignored, except rejections.
    pub fn observe_reply(&mut self, from: StoreId, reply: ReplicaReply, sent_at: Duration) {
        let is_superseded = matches!(self.phase, OwnershipPhase::Superseded(_));
        if is_superseded || !self.progress.contains_key(&from) {
            return;
        }
        match reply {
            ReplicaReply::Rejected { promised } if promised > self.term => {
                self.phase = OwnershipPhase::Superseded(promised);
            }
            ReplicaReply::Promised { term, accepted, length, start, entries } if term == self.term => {
                self.progress_of(from).acknowledge(sent_at);
                let end = LogEnd { accepted, length };
                self.handle_promise(from, PromisedLog { end, start, entries });
            }
            ReplicaReply::Appended { term, length } if term == self.term => {
                self.progress_of(from).acknowledge(sent_at);
                self.observe_log_end(from, LogEnd { accepted: term, length });
            }
            ReplicaReply::LogMismatch { term, accepted, length } if term == self.term => {
                self.progress_of(from).acknowledge(sent_at);
                self.observe_log_end(from, LogEnd { accepted, length });
            }
            ReplicaReply::Staged { term, length } if term == self.term => {
                let progress = self.progress_of(from);
                progress.acknowledge(sent_at);
                progress.staged_length = Some(length);
            }
            ReplicaReply::Fetched { term, accepted, start, entries } if term == self.term => {
                self.progress_of(from).acknowledge(sent_at);
                self.handle_fetched(from, accepted, start, entries);
            }
            ReplicaReply::Deleted { term } if term == self.term => {
                self.progress_of(from).acknowledge(sent_at);
                self.progress_of(from).has_deleted = true;
            }
            _ => {}
        }
    }

    fn progress_of(&mut self, store: StoreId) -> &mut PeerProgress {
        self.progress.entry(store).or_default()
    }

    fn handle_promise(&mut self, from: StoreId, promised: PromisedLog) {
        self.observe_log_end(from, promised.end);
        if self.phase != OwnershipPhase::Preparing {
            return;
        }
        let is_ahead = promised.end > self.adopted;
        if is_ahead && !promised.completes(self.adopted) {
            // The entries are too large for one message, or no longer follow the claimant's log, which has
            // changed since the request was sent.
            self.fetch.get_or_insert_with(|| LogFetch::new(from, promised.end, self.adopted));
            return;
        }
        if is_ahead {
            self.adopt(promised);
        }
        self.record_promise(from);
    }

    /// Adds entries of the log that is being fetched, and adopts the log once it is complete.
    fn handle_fetched(
        &mut self,
        from: StoreId,
        accepted: OwnershipTerm,
        start: usize,
        entries: Vec<LogEntry>,
    ) {
        let Some(fetch) = self.fetch.as_mut().filter(|fetch| fetch.source == from) else { return };
        fetch.add(accepted, start, entries);
        let Some(LogFetch { end, start, entries, .. }) = self.fetch.take_if(|fetch| fetch.is_complete())
        else {
            return;
        };
        self.adopt(PromisedLog { end, start, entries });
        self.record_promise(from);
    }

    /// Adopts a log that is more advanced than the claimant's. Another log that is being fetched may have
    /// begun with the entries that are replaced here; its replica is asked again.
    fn adopt(&mut self, promised: PromisedLog) {
        self.fetch = None;
        self.log.truncate(promised.start);
        self.log.extend(promised.entries);
        self.adopted = promised.end;
    }

    /// Records the promise of a store whose log is not more advanced than the adopted one.
    fn record_promise(&mut self, from: StoreId) {
        self.progress_of(from).has_promised = true;
        if self.replicas.joint_majority(|store| self.progress[&store].has_promised) {
            self.phase = OwnershipPhase::Leading;
            self.fetch = None;
        }
    }

    fn observe_log_end(&mut self, from: StoreId, end: LogEnd) {
        let term = self.term;
        self.progress_of(from).observe_log_end(term, end);
        if self.phase == OwnershipPhase::Leading {
            self.advance_commit();
        }
    }

    /// Raises `committed` to the length that a majority has accepted under this term.
    fn advance_commit(&mut self) {
        let length_at = |store| self.progress[&store].length_under(self.term).unwrap_or(0);
        self.committed = self.committed.max(self.replicas.majority_length(length_at));
    }
}
