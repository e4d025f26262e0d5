//! The public handle of a store of batch jobs.

use std::sync::{Arc, Mutex, PoisonError};

use register::Member;
use state::View;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::journal::RecordJournal;
use super::memory_budgets::MemoryBudgets;
use super::messages::MigrationStatus;
use super::node::StoreNode;
use super::owned_job::OwnedJob;
use super::recovery::StoreRecovery;
use super::server;
use super::state::{ReplicationState, WriteRequest};
use super::store_limits::StoreLimits;
use super::writer::JournalWriter;

/// A store of batch jobs. Clones share the same state.
#[derive(Clone)]
pub struct JobStore {
    node: Arc<StoreNode>,
    /// The records to write to the journal; taken by the first call of [`Self::run`].
    write_queue: Arc<Mutex<Option<mpsc::UnboundedReceiver<WriteRequest>>>>,
}

impl JobStore {
    /// Creates a store with the batch jobs that were recovered from its journal. The receiver yields each batch job whose items this store is to run. The store writes no
    /// records and runs no maintenance before [`Self::run`].
    pub fn open(
        member: Member,
        journal: Arc<dyn RecordJournal>,
        recovery: StoreRecovery,
        rpc: rpc::Client,
        view: watch::Receiver<Arc<View>>,
        limits: StoreLimits,
    ) -> (Self, mpsc::UnboundedReceiver<OwnedJob>) {
        let (owned_jobs, owned_jobs_receiver) = mpsc::unbounded_channel();
        let (write_queue_sender, write_queue) = mpsc::unbounded_channel();
        let budgets = MemoryBudgets::new(limits.memory_bytes);
        let state = ReplicationState::recover(recovery, budgets.cache_bytes, write_queue_sender);
        let state = Mutex::new(state);
        let started = Instant::now();
        let node = StoreNode { member, rpc, view, limits, budgets, started, journal, owned_jobs, state };
        let write_queue = Arc::new(Mutex::new(Some(write_queue)));
        (Self { node: Arc::new(node), write_queue }, owned_jobs_receiver)
    }

    /// Returns the progress of this store in migrating its batch jobs to the present store set.
    #[must_use]
    pub fn migration_status(&self) -> MigrationStatus {
        self.node.migration_status()
    }

    /// Describes the log and the owner of each batch job in one line, for diagnosis by people.
    #[must_use]
    pub fn describe(&self) -> String {
        self.node.lock().describe()
    }

    /// Returns the HTTP endpoints for other stores and for traffic nodes.
    pub fn endpoint(&self) -> poem::Route {
        server::endpoint(&self.node)
    }

    /// Hands all owned batch jobs over to other stores, before the process ends. From then on, this store
    /// claims no batch job, but still answers requests to its replicas.
    pub async fn hand_over_jobs(&self) {
        self.node.hand_over_jobs().await;
    }

    /// Writes records to the journal and runs the background maintenance: takes over batch jobs whose owner
    /// failed, renews leases, migrates batch jobs to new store sets. Runs until dropped; a second call
    /// returns immediately.
    pub async fn run(self) {
        let write_queue = self.write_queue.lock().unwrap_or_else(PoisonError::into_inner).take();
        let Some(write_queue) = write_queue else { return };
        let writer = JournalWriter::new(Arc::clone(&self.node), write_queue);
        tokio::join!(writer.run(), self.node.run_maintenance());
    }
}
