//! The role of a store of batch jobs.

use std::sync::Arc;
use std::time::Duration;

use control_plane::{leave_stores, Capability, Distribution};
use data_plane::Forwarder;
use error_stack::{IntoReport, Report};
use poem::Route;
use register::Member;
use settings::Settings;
use store_plane::runner::owned_jobs::run_owned_jobs;
use store_plane::runner::RunnerSettings;
use store_plane::{JobStore, OwnedJob, StoreLimits};
use tokio::sync::mpsc::UnboundedReceiver;

use crate::control::{member, open_disk, Control, Disk, Edges};
use crate::signals::{SignalEvent, Signals};
use crate::RoleError;

/// Bytes of a segment of the journal.
const SEGMENT_BYTES: u64 = 16 * 1024 * 1024;
/// Segments at most; fewer where the disk is small.
const SEGMENTS_MOST: u64 = 20;
/// After its batch jobs were handed over, a store still answers for this long: successors read its copies.
const LAST_ANSWERS: Duration = Duration::from_millis(600);
/// How often the progress of a move to a new store set is looked at.
const MOVE_LOOK_EVERY: Duration = Duration::from_millis(300);

/// Serves as a store until the platform ends it.
pub async fn run(settings: Settings) -> Result<(), Report<RoleError>> {
    let mut signals = Signals::listen()?;
    let disk = open_disk(&settings, journal_options(&settings))?;
    let disk = disk.ok_or_else(|| RoleError.into_report().attach("a store needs dataDir in its settings"))?;
    let (store, owned) = Store::new(&settings, disk, Edges::sockets(&settings));
    let internal = store.control.listen().await?;
    tokio::spawn(rpc::serve(internal, store.internal_routes()));
    store.start(&settings);
    let forwarder = Forwarder::new(store.control.view.subscribe(), settings.zone.as_str().into());
    tokio::spawn(run_owned_jobs(owned, forwarder, RunnerSettings::default()));
    log::info!("{} serves", settings.station);
    while signals.next().await == SignalEvent::Reload {
        store.control.reload();
    }
    log::info!("{} ends", settings.station);
    store.resign().await;
    Ok(())
}

/// The parts of a store that keep batch jobs and agree with other processes; those that run items are apart.
pub struct Store {
    /// Its control plane.
    pub control: Control,
    /// Its batch jobs.
    pub jobs: JobStore,
    member: Member,
}

impl Store {
    /// A store with what its disk held. The receiver is handed each batch job whose items are to be run here.
    pub fn new(settings: &Settings, disk: Disk, edges: Edges) -> (Self, UnboundedReceiver<OwnedJob>) {
        let member = member(settings, disk.incarnation);
        let control = Control::new(settings, None, edges);
        let (jobs, owned) = JobStore::open(
            member.clone(),
            Arc::new(disk.journal),
            disk.records.into_iter().map(|(position, bytes)| (position.0, bytes)),
            control.client.clone(),
            control.view.subscribe(),
            StoreLimits { result_retention: settings.timetable.status() },
        );
        (Self { control, jobs, member }, owned)
    }

    /// The endpoints for other processes.
    pub fn internal_routes(&self) -> Route {
        self.control.internal_routes().nest_no_strip("/batch", self.jobs.endpoint())
    }

    /// Starts the tasks.
    pub fn start(&self, settings: &Settings) {
        self.control.start(settings, Some(self.member.clone()), Capability::Store);
        tokio::spawn(self.jobs.clone().run());
        tokio::spawn(report_moves(self.jobs.clone(), Arc::clone(&self.control.distribution)));
    }

    /// Hands all batch jobs over, before the process ends.
    pub async fn resign(&self) {
        self.control.stop_joining();
        self.control.distribution.set_leaving();
        leave_stores(&self.member, &self.control.view, &self.control.proposer).await;
        self.jobs.hand_over_jobs().await;
        tokio::time::sleep(LAST_ANSWERS).await;
    }
}

fn journal_options(settings: &Settings) -> storage::RingOptions {
    // A part of the disk stays free for what is written anew while old segments are still in use.
    let fitting = settings.limits.disk_bytes() * 4 / 5 / SEGMENT_BYTES;
    let segments = fitting.clamp(3, SEGMENTS_MOST);
    storage::RingOptions { segment_bytes: SEGMENT_BYTES, segments: usize::try_from(segments).unwrap_or(3) }
}

/// Tells the leader, by its pings, how far this store has moved its batch jobs.
async fn report_moves(store: JobStore, distribution: Arc<Distribution>) {
    distribution.set_committed_epoch(0);
    loop {
        tokio::time::sleep(MOVE_LOOK_EVERY).await;
        let migration = store.migration_status();
        distribution.set_committed_epoch(if migration.is_complete { migration.epoch } else { 0 });
    }
}
