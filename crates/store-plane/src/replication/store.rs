//! The handle of a store's part in keeping batch jobs, and what its parts share.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use batch::{Record, ReplicaSet, StoreId};
use register::Member;
use state::{StoreSet, View};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::journal::RecordJournal;
use super::messages::MigrationStatus;
use super::owned::OwnedJob;
use super::replicas::replicas_of;
use super::state::State;
use super::writer::{self, WriteRequest};

/// Times that the operators' sheet gives.
#[derive(Clone, Copy, Debug)]
pub struct StoreLimits {
    /// Results can be read for this long after the batch job was handed in.
    pub result_retention: Duration,
}

/// What all parts of a store share.
pub(super) struct Shared {
    pub me: Member,
    pub rpc: rpc::Client,
    pub view: watch::Receiver<Arc<View>>,
    pub limits: StoreLimits,
    pub started: Instant,
    pub journal: Arc<dyn RecordJournal>,
    pub owned_jobs: mpsc::UnboundedSender<OwnedJob>,
    state: Mutex<State>,
}

/// A store's part in keeping batch jobs. Clones share it.
#[derive(Clone)]
pub struct JobStore {
    pub(super) shared: Arc<Shared>,
    queue: Arc<Mutex<Option<mpsc::UnboundedReceiver<WriteRequest>>>>,
}

impl JobStore {
    /// A store that holds what the records of its journal say, oldest first. The receiver is handed each batch
    /// job whose items are to be run here. Nothing is done before [`Self::run`].
    pub fn open(
        me: Member,
        journal: Arc<dyn RecordJournal>,
        recovered: impl IntoIterator<Item = (u64, Vec<u8>)>,
        rpc: rpc::Client,
        view: watch::Receiver<Arc<View>>,
        limits: StoreLimits,
    ) -> (Self, mpsc::UnboundedReceiver<OwnedJob>) {
        let (owned_jobs, handed_out) = mpsc::unbounded_channel();
        let (writer, queue) = mpsc::unbounded_channel();
        let state = State::recover(recovered, writer);
        let state = Mutex::new(state);
        let started = Instant::now();
        let shared = Shared { me, rpc, view, limits, started, journal, owned_jobs, state };
        let queue = Arc::new(Mutex::new(Some(queue)));
        (Self { shared: Arc::new(shared), queue }, handed_out)
    }

    /// How far this store has moved its batch jobs to the present store set.
    #[must_use]
    pub fn migration_status(&self) -> MigrationStatus {
        self.shared.migration_status()
    }

    /// What is held of each batch job and who owns it, for logs.
    #[must_use]
    pub fn describe(&self) -> String {
        self.shared.lock().describe()
    }

    /// Hands all batch jobs over to other stores, before the process ends. It goes on keeping its copies.
    pub async fn hand_over_jobs(&self) {
        self.shared.hand_over_jobs().await;
    }

    /// Writes records, takes over batch jobs whose owner is silent, renews ownership, moves batch jobs to new
    /// store sets. Runs until dropped.
    pub async fn run(self) {
        let queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner).take();
        let Some(queue) = queue else { return };
        let journal = Arc::clone(&self.shared.journal);
        let writing = writer::run(Arc::clone(&self.shared), journal, queue);
        tokio::join!(writing, self.shared.tend());
    }
}

impl Shared {
    pub fn id(&self) -> StoreId {
        self.me.incarnation.0
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The time that ownerships count in.
    pub fn time(&self, at: Instant) -> Duration {
        at.saturating_duration_since(self.started)
    }

    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.borrow())
    }

    pub fn address_of(&self, store: StoreId) -> Option<String> {
        let view = self.view();
        let sets = [Some(&view.control.stores), view.control.previous_stores.as_ref()];
        let mut members = sets.into_iter().flatten().flat_map(|set| &set.members);
        let found = members.find(|one| one.member.incarnation.0 == store);
        found.map(|one| one.member.address.clone())
    }

    pub fn write_done(&self, records: &[Record], position: Option<u64>) {
        let mut state = self.lock();
        state.settle_write(records);
        if let Some(position) = position {
            state.note_positions(records, position);
        }
    }

    /// Takes note of lost records; `lost` collects them while nothing more can be queued.
    pub fn writes_failed(&self, lost: impl FnOnce() -> Vec<Record>) {
        let mut state = self.lock();
        let records = lost();
        state.settle_write(&records);
        let jobs = records.iter().filter_map(|record| record.job().cloned());
        state.tainted.extend(jobs);
    }

    /// The stores that an owner under the present view asks; `None` if this store doesn't keep the batch job.
    pub fn copies(&self, view: &View, job: &str) -> Option<ReplicaSet> {
        let ids = |set: &StoreSet| -> Vec<StoreId> {
            replicas_of(set, job).iter().map(|store| store.member.incarnation.0).collect()
        };
        let present = ids(&view.control.stores);
        let previous = view.control.previous_stores.as_ref().map(ids).unwrap_or_default();
        present.contains(&self.id()).then_some(ReplicaSet { present, previous })
    }
}
