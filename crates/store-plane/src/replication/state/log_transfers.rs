//! Limits the logs that are on their way from or to this store at the same time.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use batch::{JobId, OwnershipTerm, ReplicaRequest, StoreId};

/// A log that is transferred in several messages, and the batch jobs that wait for its end.
#[derive(Default)]
struct Lane {
    current: Option<(JobId, OwnershipTerm)>,
    waiting: BTreeSet<JobId>,
}

/// The logs that are transferred in several messages: one at a time to each store, since the store keeps it in
/// memory until it is complete, and one at a time that this store fetches to claim a batch job.
#[derive(Default)]
pub(crate) struct LogTransfers {
    to_stores: BTreeMap<StoreId, Lane>,
    fetch: Lane,
}

impl Lane {
    /// Whether a message of the log may be sent now. If another log is transferred, the batch job waits.
    fn enter(&mut self, job: &JobId, term: OwnershipTerm) -> bool {
        let transfer = (Arc::clone(job), term);
        if *self.current.get_or_insert_with(|| transfer.clone()) == transfer {
            return true;
        }
        self.waiting.insert(Arc::clone(job));
        false
    }

    /// Ends the transfer of a log. Returns the batch jobs that wait.
    fn leave(&mut self, job: &JobId, term: OwnershipTerm) -> BTreeSet<JobId> {
        match &self.current {
            Some((current, current_term)) if current == job && *current_term == term => {
                self.current = None;
                std::mem::take(&mut self.waiting)
            }
            _ => BTreeSet::new(),
        }
    }
}

impl LogTransfers {
    /// Whether a request of the claimant or owner under `term` may be sent to a store now. If not, its batch job
    /// is returned when the transfer before it ends.
    pub fn may_send(
        &mut self,
        job: &JobId,
        term: OwnershipTerm,
        store: StoreId,
        request: &ReplicaRequest,
    ) -> bool {
        match request {
            ReplicaRequest::Stage { .. } => self.to_stores.entry(store).or_default().enter(job, term),
            ReplicaRequest::Fetch { .. } => self.fetch.enter(job, term),
            ReplicaRequest::Prepare { .. }
            | ReplicaRequest::Append { .. }
            | ReplicaRequest::Query
            | ReplicaRequest::Delete { .. } => true,
        }
    }

    /// Ends the transfer of a log to a store, if there is one. Returns the batch jobs that waited for it.
    pub fn end_sending(&mut self, job: &JobId, term: OwnershipTerm, store: StoreId) -> BTreeSet<JobId> {
        self.to_stores.get_mut(&store).map(|lane| lane.leave(job, term)).unwrap_or_default()
    }

    /// Ends the fetch of a log, if there is one. Returns the batch jobs that waited for it.
    pub fn end_fetch(&mut self, job: &JobId, term: OwnershipTerm) -> BTreeSet<JobId> {
        self.fetch.leave(job, term)
    }

    /// Returns the transfers of which `is_over` is true: the batch job, its term, and the store that it is sent
    /// to, or `None` if it is fetched.
    pub fn stale(
        &self,
        is_over: impl Fn(&JobId, OwnershipTerm) -> bool,
    ) -> Vec<(JobId, OwnershipTerm, Option<StoreId>)> {
        let sent = self.to_stores.iter().map(|(store, lane)| (Some(*store), lane));
        let lanes = sent.chain([(None, &self.fetch)]);
        let current = lanes.filter_map(|(store, lane)| {
            let (job, term) = lane.current.as_ref()?;
            Some((Arc::clone(job), *term, store))
        });
        current.filter(|(job, term, _)| is_over(job, *term)).collect()
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/log_transfers.rs"]
mod tests;
