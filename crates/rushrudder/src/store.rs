//! The role of a store of batch jobs.

use std::sync::Arc;
use std::time::Duration;

use batch::ItemResult;
use control_plane::{Capability, Distribution};
use data_plane::Sender;
use error_stack::{IntoReport, Report};
use register::Member;
use settings::Settings;
use storage::{Journal, Position};
use store_plane::runner::{Runner, RunnerHandle, RunnerSettings};
use store_plane::runner_ports::{self, JobLog, RunnableJob};
use store_plane::runner_sender::SenderExecutor;
use store_plane::{Appended, JobStore, JournalFailed, Limits, MovedReply, OwnedJob, RecordJournal, MOVED_PATH};
use tokio::sync::{mpsc, watch};

use crate::command::RoleError;
use crate::control::{open_disk, Control};
use crate::signals::{Signals, Told};

/// Bytes of a segment of the journal.
const SEGMENT_BYTES: u64 = 16 * 1024 * 1024;
/// Segments at most; fewer where the disk is small.
const SEGMENTS_MOST: u64 = 20;
/// How often the progress of a move to a new store set is looked at.
const MOVE_LOOK_EVERY: Duration = Duration::from_millis(300);

/// Serves as a store until the platform ends it.
pub async fn run(settings: Settings) -> Result<(), Report<RoleError>> {
    let mut signals = Signals::listen()?;
    let disk = open_disk(&settings, journal_options(&settings))?;
    let disk = disk.ok_or_else(|| RoleError.into_report().attach("a store needs dataDir in its settings"))?;
    let member = Member {
        station: settings.station.clone(),
        incarnation: disk.incarnation,
        address: crate::control::internal_address(&settings),
    };
    let control = Control::new(&settings, None);
    let internal = control.listen().await?;
    let (store, owned) = JobStore::open(
        member.clone(),
        Arc::new(RingJournal(disk.journal)),
        disk.records.into_iter().map(|(position, bytes)| (position.0, bytes)),
        control.client.clone(),
        control.view.subscribe(),
        Limits { results_kept: settings.timetable.status() },
    );
    tokio::spawn(rpc::serve(internal, control.internal_routes().nest_no_strip("/batch", store.endpoint())));
    control.start(&settings, Some(member), Capability::Store);
    start_runner(&settings, &control, owned);
    tokio::spawn(store.run());
    tokio::spawn(report_moves(control.client.clone(), control.address.clone(), Arc::clone(&control.distribution)));
    log::info!("{} serves", settings.station);
    while signals.next().await != Told::Terminate {}
    log::info!("{} ends", settings.station);
    Ok(())
}

fn journal_options(settings: &Settings) -> storage::Options {
    // A part of the disk stays free for what is written anew while old segments are still in use.
    let fitting = settings.limits.disk_bytes() * 4 / 5 / SEGMENT_BYTES;
    let segments = fitting.clamp(3, SEGMENTS_MOST);
    storage::Options { segment_bytes: SEGMENT_BYTES, segments: usize::try_from(segments).unwrap_or(3) }
}

/// Runs the items of the batch jobs that this store owns.
fn start_runner(settings: &Settings, control: &Control, mut owned: mpsc::UnboundedReceiver<OwnedJob>) {
    let sender = Sender::new(control.view.subscribe(), settings.zone.as_str().into());
    let executor = Arc::new(SenderExecutor::new(sender));
    let (runner, handle): (_, RunnerHandle<OwnedLog>) = Runner::new(executor, RunnerSettings::default());
    tokio::spawn(runner.run());
    tokio::spawn(async move {
        while let Some(job) = owned.recv().await {
            log::info!("batch job {}: {} items, {} listed", job.id, job.job.items.len(), job.listed.len());
            handle.take_over(runnable(job));
        }
    });
}

fn runnable(owned: OwnedJob) -> RunnableJob<OwnedLog> {
    RunnableJob {
        id: Arc::clone(&owned.id),
        job: Arc::clone(&owned.job),
        host: Arc::clone(&owned.host),
        path: Arc::clone(&owned.path),
        age: owned.age,
        listed: owned.listed.clone(),
        log: OwnedLog::new(owned),
    }
}

/// The log of an owned batch job, as the runner sees it.
struct OwnedLog {
    owned: OwnedJob,
    state: watch::Receiver<runner_ports::JobState>,
}

impl OwnedLog {
    fn new(owned: OwnedJob) -> Self {
        let mut states = owned.state();
        let (sender, state) = watch::channel(translate(*states.borrow_and_update()));
        tokio::spawn(async move {
            while states.changed().await.is_ok() {
                sender.send_replace(translate(*states.borrow_and_update()));
            }
            sender.send_if_modified(|state| {
                let was_open = *state == runner_ports::JobState::Open;
                if was_open {
                    *state = runner_ports::JobState::Deposed;
                }
                was_open
            });
        });
        Self { owned, state }
    }
}

fn translate(state: store_plane::JobState) -> runner_ports::JobState {
    match state {
        store_plane::JobState::Open => runner_ports::JobState::Open,
        store_plane::JobState::Ended => runner_ports::JobState::Ended,
        store_plane::JobState::Deposed => runner_ports::JobState::Deposed,
    }
}

impl JobLog for OwnedLog {
    async fn append(&self, results: Vec<ItemResult>) -> Result<(), runner_ports::Deposed> {
        self.owned.append(results).await.map_err(|_| runner_ports::Deposed)
    }

    fn state(&self) -> watch::Receiver<runner_ports::JobState> {
        self.state.clone()
    }
}

/// The journal of this process, as the replication sees it.
struct RingJournal(Journal);

impl RecordJournal for RingJournal {
    fn append(&self, record: Vec<u8>) -> Appended {
        let append = self.0.append(record);
        Box::pin(async move {
            append.await.map(|position| position.0).map_err(|error| {
                log::warn!("the journal takes no record: {error}");
                JournalFailed
            })
        })
    }

    fn release(&self, before: u64) {
        self.0.release(Position(before));
    }

    fn fill(&self) -> f64 {
        let usage = self.0.usage();
        usage.used_bytes as f64 / usage.capacity_bytes.max(1) as f64
    }
}

/// Tells the leader, by its pings, how far this store has moved its batch jobs.
async fn report_moves(client: rpc::Client, address: String, distribution: Arc<Distribution>) {
    distribution.set_settled_epoch(0);
    loop {
        tokio::time::sleep(MOVE_LOOK_EVERY).await;
        let moved: Result<MovedReply, _> = client.call(&address, MOVED_PATH, &(), MOVE_LOOK_EVERY).await;
        if let Ok(moved) = moved {
            distribution.set_settled_epoch(if moved.moved { moved.epoch } else { 0 });
        }
    }
}
