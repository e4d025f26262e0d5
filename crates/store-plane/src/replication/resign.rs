//! A store that is about to end hands its batch jobs to others at once, instead of leaving them to notice its silence.

use std::sync::Arc;
use std::time::Duration;

use batch::{JobId, StoreId};
use futures_util::future::join_all;

use super::messages::{Call, TakeOver, TAKE_OVER_PATH};
use super::replicas::replicas_of;
use super::store::Shared;

/// How long a successor may take to answer.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(400);

impl Shared {
    /// Gives up every batch job that this store owns, owns no other from now on, and asks the next store in the
    /// order of each to take over.
    pub(super) async fn hand_over_jobs(self: &Arc<Self>) {
        let resigned = self.resign_locally();
        log::info!("hands {} batch jobs over", resigned.len());
        join_all(resigned.into_iter().map(|(job, successors)| self.hand_over(job, successors))).await;
    }

    fn resign_locally(&self) -> Vec<(JobId, Vec<StoreId>)> {
        let view = self.view();
        let mut state = self.lock();
        state.is_leaving = true;
        let jobs: Vec<JobId> = state.owned.keys().cloned().collect();
        for job in &jobs {
            state.depose(job);
        }
        drop(state);
        let successors = |job: &JobId| {
            let copies = replicas_of(&view.control.stores, job);
            copies
                .iter()
                .map(|store| store.member.incarnation.0)
                .filter(|store| *store != self.id())
                .collect()
        };
        jobs.iter().map(|job| (Arc::clone(job), successors(job))).collect()
    }

    /// Asks one successor after the other, until one has taken note.
    async fn hand_over(&self, job: JobId, successors: Vec<StoreId>) {
        for store in successors {
            let Some(address) = self.address_of(store) else { continue };
            let request = TakeOver { from: self.id(), resigned: true };
            let call = Call { to: store, job: Arc::clone(&job), request };
            let told: Result<(), _> = self.rpc.call(&address, TAKE_OVER_PATH, &call, HAND_OVER_TIMEOUT).await;
            if told.is_ok() {
                return;
            }
        }
        log::warn!("nobody was found to take batch job {job} over");
    }
}
