//! The role of a store. It replicates batch jobs on disk, and runs the items of the jobs that it owns.

use std::sync::Arc;
use std::time::Duration;

use control_plane::{Capability, PingService};
use data_plane::Forwarder;
use error_stack::{IntoReport, Report};
use poem::Route;
use settings::NodeSettings;
use state::StoreMember;
use store_plane::runner::owned_jobs::run_owned_jobs;
use store_plane::runner::RunnerSettings;
use store_plane::{JobStore, OwnedJob, StoreLimits, StoreRecovery};
use tokio::sync::mpsc::UnboundedReceiver;

use crate::control::{local_member, ControlPlane, OutboundClients, RecoveredDisk};
use crate::signals::{SignalEvent, Signals};
use crate::RoleError;

/// Size of a journal segment in bytes.
const SEGMENT_BYTES: u64 = 16 * 1024 * 1024;
/// Minimum number of journal segments, used for a small disk.
const MIN_SEGMENTS: u64 = 3;
/// Maximum number of journal segments, used for a large disk.
const MAX_SEGMENTS: u64 = 20;
/// Time for which a store still answers calls after it has handed over its batch jobs, because the new owners
/// read its replicas.
const ANSWER_AFTER_HANDOVER: Duration = Duration::from_millis(600);
/// Interval at which a store checks the progress of its migration to a new store set, to report it to the
/// leader.
const MIGRATION_POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Runs a store until the process receives SIGTERM, then shuts down gracefully.
///
/// # Errors
///
/// A [`RoleError`] if the process cannot start: it cannot receive signals, it has no data directory, its
/// journal cannot be opened, or it cannot listen at its internal address.
pub async fn run(settings: NodeSettings) -> Result<(), Report<RoleError>> {
    let mut signals = Signals::listen()?;
    let disk = RecoveredDisk::open_store(&settings, journal_options(&settings))?;
    let disk = disk.ok_or_else(|| RoleError::MissingDataDir.into_report())?;
    let (store, owned_jobs) = BatchStore::new(&settings, disk, OutboundClients::http(&settings));
    let internal_listener = store.control.listen().await?;
    tokio::spawn(rpc::serve(internal_listener, store.internal_routes()));
    store.start(&settings);
    let forwarder = Forwarder::new(store.control.view.subscribe(), settings.zone.as_str().into());
    let runner_settings = RunnerSettings::for_memory(memory_bytes(&settings));
    tokio::spawn(run_owned_jobs(owned_jobs, forwarder, runner_settings));
    log::info!("{} serves", settings.machine_name);
    while signals.next().await == SignalEvent::Reload {
        store.control.reload_settings();
    }
    log::info!("{} shuts down", settings.machine_name);
    store.resign().await;
    Ok(())
}

/// The parts of a store that replicate batch jobs. The caller runs the items of owned jobs, which it receives
/// from [`BatchStore::new`].
pub struct BatchStore {
    /// Control plane of the store, without an acceptor.
    pub control: ControlPlane,
    /// Replicas of batch jobs in this store, and the ownership of jobs.
    pub jobs: JobStore,
    /// Identity of this process as a store: member and zone.
    member: StoreMember,
}

impl BatchStore {
    /// Creates a store with the batch jobs that its disk recovered. The returned receiver yields each batch
    /// job that this store owns, so that the caller can run its items.
    pub fn new(
        settings: &NodeSettings,
        disk: RecoveredDisk<StoreRecovery>,
        clients: OutboundClients,
    ) -> (Self, UnboundedReceiver<OwnedJob>) {
        let member =
            StoreMember { member: local_member(settings, disk.incarnation), zone: settings.zone.clone() };
        let control = ControlPlane::new(settings, None, clients);
        let (jobs, owned_jobs) = JobStore::open(
            member.member.clone(),
            Arc::new(disk.journal),
            disk.content,
            control.clients.rpc.clone(),
            control.view.subscribe(),
            store_limits(settings),
        );
        (Self { control, jobs, member }, owned_jobs)
    }

    /// Returns the endpoints that other processes call.
    pub fn internal_routes(&self) -> Route {
        self.control.internal_routes().nest_no_strip("/batch", self.jobs.endpoint())
    }

    /// Starts the tasks of the control plane, the replication of batch jobs, and the report of migrations.
    pub fn start(&self, settings: &NodeSettings) {
        self.control.start(settings, Some(self.member.member.clone()), Capability::Store);
        tokio::spawn(self.jobs.clone().run());
        tokio::spawn(report_migration(self.jobs.clone(), Arc::clone(&self.control.ping_service)));
    }

    /// Prepares the end of the process: leaves the store set if that has more stores than intended, and hands
    /// all batch jobs over to other stores.
    pub async fn resign(&self) {
        self.control.stop_joining();
        self.control.ping_service.set_shutting_down();
        self.control.store_membership(self.member.clone()).leave().await;
        self.jobs.hand_over_jobs().await;
        tokio::time::sleep(ANSWER_AFTER_HANDOVER).await;
    }
}

fn store_limits(settings: &NodeSettings) -> StoreLimits {
    StoreLimits {
        result_retention: settings.timing_rules.result_retention(),
        memory_bytes: memory_bytes(settings),
    }
}

fn memory_bytes(settings: &NodeSettings) -> usize {
    usize::try_from(settings.resource_limits.memory_bytes()).unwrap_or(usize::MAX)
}

fn journal_options(settings: &NodeSettings) -> storage::RingOptions {
    // A fifth of the disk is left free for records that are rewritten while their old segments are still in
    // use.
    let fitting_segments = settings.resource_limits.disk_bytes() * 4 / 5 / SEGMENT_BYTES;
    let segments = fitting_segments.clamp(MIN_SEGMENTS, MAX_SEGMENTS);
    let segments = usize::try_from(segments).expect("it is at most MAX_SEGMENTS");
    storage::RingOptions { segment_bytes: SEGMENT_BYTES, segments }
}

/// Updates the epoch that this store reports to the leader in its replies to pings: the epoch of the store
/// set to which it has migrated all its batch jobs, or 0 while a migration is in progress.
async fn report_migration(store: JobStore, ping_service: Arc<PingService>) {
    ping_service.set_committed_epoch(0);
    loop {
        tokio::time::sleep(MIGRATION_POLL_INTERVAL).await;
        let migration = store.migration_status();
        ping_service.set_committed_epoch(if migration.is_complete { migration.epoch } else { 0 });
    }
}
