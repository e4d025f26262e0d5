//! Handover: a store that is about to exit passes its ownerships on to other stores, which otherwise would
//! take the batch jobs over only after a timeout.

use std::sync::Arc;
use std::time::Duration;

use batch::{JobId, StoreId};
use futures_util::future::join_all;

use super::messages::{AddressedRequest, ReleaseNotice, TakeoverRequest, RELEASED_PATH, TAKEOVER_PATH};
use super::node::StoreNode;
use super::placement::replica_ids;

/// Timeout of the notice to one replica that an ownership has ended.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout of the request to one store to take a batch job over.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(400);

impl StoreNode {
    /// Releases all batch jobs that this store owns, stops claiming batch jobs, and asks the next replica
    /// of each to take it over.
    pub async fn hand_over_jobs(&self) {
        let jobs = self.lock().ownerships.drain();
        log::info!(batch_jobs = jobs.len(); "handing batch jobs over");
        let view = self.current_view();
        let successors = |job: &JobId| -> Vec<StoreId> {
            let mut replicas = replica_ids(&view.control.stores, job);
            replicas.retain(|store| *store != self.id());
            replicas
        };
        join_all(jobs.iter().map(|job| self.hand_over(job, successors(job)))).await;
    }

    /// Notifies all other replicas that the ownership has ended, then asks them to take the batch job
    /// over, one after the other, until one acknowledges.
    async fn hand_over(&self, job: &JobId, successors: Vec<StoreId>) {
        join_all(successors.iter().map(|store| self.notify_released(job, *store))).await;
        for store in successors {
            let Some(address) = self.address_of(store) else { continue };
            let request = TakeoverRequest { from: self.id(), is_from_owner: true };
            let request = AddressedRequest { to: store, job: Arc::clone(job), request };
            let acknowledged: Result<(), _> =
                self.rpc.call(&address, TAKEOVER_PATH, &request, HANDOVER_TIMEOUT).await;
            if acknowledged.is_ok() {
                return;
            }
        }
        log::warn!("no store acknowledged the hand-over of batch job {job}");
    }

    /// Notifies a replica that this store no longer answers reads. A failure is ignored: a replica without
    /// the notice delays its promise to the next owner until the read lease would have ended.
    async fn notify_released(&self, job: &JobId, store: StoreId) {
        let Some(address) = self.address_of(store) else { return };
        let request = ReleaseNotice { from: self.id() };
        let request = AddressedRequest { to: store, job: Arc::clone(job), request };
        let notified: Result<(), _> = self.rpc.call(&address, RELEASED_PATH, &request, RELEASE_TIMEOUT).await;
        drop(notified);
    }

    /// Handles the notice that `from` has released a batch job. Ignores it if `from` is not the owner.
    pub fn on_released(&self, job: &JobId, from: StoreId) {
        let mut state = self.lock();
        let owner = state.replicas.log(job).map(|log| log.promised.owner);
        if owner == Some(from) {
            state.job_status.record_released(job);
        }
    }
}
