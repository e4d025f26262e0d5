//! The owner's side of the replication of one batch job, as a state machine without I/O.
//!
//! The caller sends what [`Ownership::next_requests`] returns, and reports each reply or its absence.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::log::{Entry, LogEnd};
use super::messages::{ReplicaReply, ReplicaRequest};
use super::peer_progress::PeerProgress;
use super::replica_log::ReplicaLog;
use super::replica_set::ReplicaSet;
use super::term::{OwnershipTerm, StoreId};

/// How far an ownership has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnershipPhase {
    /// Promises are being collected.
    Preparing,
    /// A majority promised and its most advanced log was adopted; entries may be appended.
    Leading,
    /// A store has promised this higher term to another owner.
    Superseded(OwnershipTerm),
}

/// One store's ownership of a batch job, from the claim on.
#[derive(Clone, Debug)]
pub struct Ownership {
    term: OwnershipTerm,
    replicas: ReplicaSet,
    /// One for each store of `replicas`.
    progress: BTreeMap<StoreId, PeerProgress>,
    phase: OwnershipPhase,
    /// End of the log that was adopted; while promises are collected, of the most advanced one so far.
    adopted: LogEnd,
    /// The adopted entries, then those that were appended since.
    log: Vec<Arc<Entry>>,
    /// Number of entries that a majority has under this term. Never decreases.
    committed: usize,
}

/// The log in a [`ReplicaReply::Promised`].
struct PromisedLog {
    end: LogEnd,
    /// Index of the first of `entries`.
    start: usize,
    entries: Vec<Arc<Entry>>,
}

impl PromisedLog {
    /// Whether the entries, put behind the first `start` ones of a log that ends at `base`, make up the complete log.
    fn completes(&self, base: LogEnd) -> bool {
        let is_prefix_known =
            self.start == 0 || (self.end.accepted == base.accepted && self.start <= base.length);
        is_prefix_known && self.start + self.entries.len() == self.end.length
    }
}

impl Ownership {
    /// Begins to claim a batch job. `own_log` is what the claimant itself keeps of it.
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
            committed: 0,
        }
    }

    /// The term of this ownership.
    #[must_use]
    pub fn term(&self) -> OwnershipTerm {
        self.term
    }

    /// The stores that replicate the batch job.
    #[must_use]
    pub fn replicas(&self) -> &ReplicaSet {
        &self.replicas
    }

    /// How far the ownership has come.
    #[must_use]
    pub fn phase(&self) -> OwnershipPhase {
        self.phase
    }

    /// All entries, including those that are not committed.
    #[must_use]
    pub fn log(&self) -> &[Arc<Entry>] {
        &self.log
    }

    /// The entries that a majority has under this term. They never change.
    #[must_use]
    pub fn committed(&self) -> &[Arc<Entry>] {
        &self.log[..self.committed]
    }

    /// Whether it leads, and the complete adopted log is committed under its term. Only then does the committed part
    /// include everything that earlier owners may have returned to trainers.
    #[must_use]
    pub fn is_established(&self) -> bool {
        self.phase == OwnershipPhase::Leading && self.committed >= self.adopted.length
    }

    /// Whether a majority has acknowledged a request that was sent within `lease` before `now`, on the clock that the
    /// caller gives `sent_at` by.
    #[must_use]
    pub fn holds_lease(&self, now: Duration, lease: Duration) -> bool {
        self.replicas.present_majority(|store| self.progress[&store].acknowledged_within(lease, now))
    }

    /// Appends entries; they are committed once a majority has them.
    ///
    /// # Panics
    ///
    /// If the ownership is not in the phase [`OwnershipPhase::Leading`].
    pub fn append(&mut self, entries: impl IntoIterator<Item = Arc<Entry>>) {
        assert_eq!(self.phase, OwnershipPhase::Leading, "only a leading owner appends entries");
        self.log.extend(entries);
    }

    /// The requests to send now to the stores that can be reached, one at most for each. A store gets no further
    /// request until [`Self::handle_reply`] or [`Self::handle_no_reply`] is called for it.
    pub fn next_requests(
        &mut self,
        is_reachable: impl Fn(StoreId) -> bool,
    ) -> Vec<(StoreId, ReplicaRequest)> {
        let stores: Vec<StoreId> = self.progress.keys().copied().collect();
        let mut requests = Vec::new();
        for store in stores {
            if self.progress[&store].is_request_in_flight || !is_reachable(store) {
                continue;
            }
            if let Some(request) = self.request_for(store) {
                self.progress_of(store).is_request_in_flight = true;
                requests.push((store, request));
            }
        }
        requests
    }

    fn request_for(&self, store: StoreId) -> Option<ReplicaRequest> {
        match self.phase {
            OwnershipPhase::Superseded(_) => None,
            OwnershipPhase::Preparing => self.prepare_request(store),
            OwnershipPhase::Leading if self.replicas.is_present(store) => self.append_request(store),
            OwnershipPhase::Leading => self.delete_request(store),
        }
    }

    fn prepare_request(&self, store: StoreId) -> Option<ReplicaRequest> {
        let LogEnd { accepted, length } = self.adopted;
        let request = ReplicaRequest::Prepare { term: self.term, accepted, length };
        (!self.progress[&store].has_promised).then_some(request)
    }

    fn append_request(&self, store: StoreId) -> Option<ReplicaRequest> {
        let progress = &self.progress[&store];
        let is_up_to_date = progress.length_under(self.term).is_some_and(|length| length >= self.log.len());
        if is_up_to_date || self.log.is_empty() {
            return None;
        }
        let start = progress.next_index(self.term, self.adopted);
        let entries = self.log[start..].to_vec();
        Some(ReplicaRequest::Append { term: self.term, adopted: self.adopted.accepted, start, entries })
    }

    /// Stores that are no longer replicas delete the batch job, once the present ones have all of it.
    fn delete_request(&self, store: StoreId) -> Option<ReplicaRequest> {
        let may_delete = self.is_established() && self.committed > 0;
        let is_due = may_delete && !self.progress[&store].has_deleted;
        is_due.then_some(ReplicaRequest::Delete { term: self.term })
    }

    /// Handles the absence of a reply to a request: the store may be sent another one.
    pub fn handle_no_reply(&mut self, from: StoreId) {
        if let Some(progress) = self.progress.get_mut(&from) {
            progress.is_request_in_flight = false;
        }
    }

    /// Handles the reply to a request that was sent at `sent_at`.
    pub fn handle_reply(&mut self, from: StoreId, reply: ReplicaReply, sent_at: Duration) {
        self.handle_no_reply(from);
        self.observe_reply(from, reply, sent_at);
    }

    /// Handles what a store replied to something other than a request of [`Self::next_requests`], such as a heartbeat,
    /// that was sent at `sent_at`. Replies under other terms are ignored.
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
            // The claimant's log has changed since the request was sent. The store is asked again.
            return;
        }
        self.progress_of(from).has_promised = true;
        if is_ahead {
            self.log.truncate(promised.start);
            self.log.extend(promised.entries);
            self.adopted = promised.end;
        }
        if self.replicas.joint_majority(|store| self.progress[&store].has_promised) {
            self.phase = OwnershipPhase::Leading;
        }
    }

    fn observe_log_end(&mut self, from: StoreId, end: LogEnd) {
        let term = self.term;
        self.progress_of(from).observe_log_end(term, end);
        if self.phase == OwnershipPhase::Leading {
            self.advance_commit();
        }
    }

    fn advance_commit(&mut self) {
        let length_at = |store| self.progress[&store].length_under(self.term).unwrap_or(0);
        self.committed = self.committed.max(self.replicas.majority_length(length_at));
    }
}
