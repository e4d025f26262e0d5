//! Stores on loopback sockets, each with a runtime of its own that ends as if killed, on disks in memory.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, AtomicU64, AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use batch::{ItemCondition, ItemResult};
use bytes::Bytes;
use register::{Incarnation, Member};
use state::{ControlState, StoreMember, StoreSet, View};
use store_plane::{
    JobClient, JobStore, JournalFailed, MigrationStatus, OwnedJob, ReadOutcome, RecordJournal, ResultPage,
    StoreLimits, SubmitOutcome, MIGRATION_STATUS_PATH,
};
use tokio::sync::{mpsc, oneshot, watch};

/// How long anything may take before a test fails.
const PATIENCE: Duration = Duration::from_secs(20);

/// A disk is full with this many records.
const DISK_RECORDS: f64 = 100.0;

/// What a disk does with records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskMode {
    Works,
    Fails,
    Stalls,
}

/// A disk in memory; it survives the process.
#[derive(Clone, Default)]
pub struct Disk {
    records: Arc<Mutex<BTreeMap<u64, Vec<u8>>>>,
    written: Arc<AtomicU64>,
    mode: Arc<AtomicU8>,
}

impl Disk {
    /// How many records were written, and how many of them are kept.
    pub fn written_and_kept(&self) -> (u64, usize) {
        (self.written.load(Ordering::SeqCst), self.records.lock().unwrap().len())
    }

    pub fn set(&self, mode: DiskMode) {
        self.mode.store(mode as u8, Ordering::SeqCst);
    }
}

impl RecordJournal for Disk {
    fn append(
        &self,
        record: Vec<u8>,
    ) -> std::pin::Pin<Box<dyn std::future::Future<Output = Result<u64, JournalFailed>> + Send>> {
        let mode = self.mode.load(Ordering::SeqCst);
        if mode == DiskMode::Fails as u8 {
            return Box::pin(async { Err(JournalFailed) });
        }
        if mode == DiskMode::Stalls as u8 {
            return Box::pin(std::future::pending());
        }
        let mut records = self.records.lock().unwrap();
        let position = self.written.fetch_add(1, Ordering::SeqCst) + 1;
        records.insert(position, record);
        Box::pin(async move { Ok(position) })
    }

    fn release(&self, before: u64) {
        let mut records = self.records.lock().unwrap();
        *records = records.split_off(&before);
    }

    fn fill(&self) -> f64 {
        self.records.lock().unwrap().len() as f64 / DISK_RECORDS
    }
}

struct Process {
    thread: JoinHandle<()>,
    kill: oneshot::Sender<()>,
    /// The process stands still from a message here until the sender in it is dropped.
    freeze: mpsc::UnboundedSender<std::sync::mpsc::Receiver<()>>,
    /// The store hands its batch jobs over; the sender in the message is told when it has.
    resign: mpsc::UnboundedSender<oneshot::Sender<()>>,
}

/// A store that stands still until this is dropped.
pub struct Frozen {
    _thaw: std::sync::mpsc::Sender<()>,
}

pub struct Store {
    pub member: Member,
    pub disk: Disk,
    process: Option<Process>,
}

pub struct Fleet {
    pub stores: Vec<Store>,
    view: watch::Sender<Arc<View>>,
    owned_sender: mpsc::UnboundedSender<OwnedJob>,
    pub owned: mpsc::UnboundedReceiver<OwnedJob>,
    pub client: JobClient,
    rpc: rpc::Client,
    next_incarnation: u64,
    limits: StoreLimits,
}

impl Fleet {
    /// Starts `count` stores; each batch job is kept on three.
    pub fn start(count: u64) -> Self {
        Self::start_with(count, Duration::from_secs(120))
    }

    /// As [`Fleet::start`], with results kept for some time only.
    pub fn start_with(count: u64, result_retention: Duration) -> Self {
        let stores: Vec<Store> = (1..=count).map(Store::new).collect();
        let members = stores.iter().map(Store::as_member).collect();
        let control = ControlState {
            stores: StoreSet { epoch: 1, members, replication_factor: 3, target_size: 3 },
            ..ControlState::default()
        };
        let view = watch::Sender::new(Arc::new(View { control: Arc::new(control), ..View::default() }));
        let (owned_sender, owned) = mpsc::unbounded_channel();
        let rpc = rpc::Client::new();
        let client = JobClient::new(rpc.clone(), view.subscribe());
        let mut fleet = Self {
            stores,
            view,
            owned_sender,
            owned,
            client,
            rpc,
            next_incarnation: 100,
            limits: StoreLimits { result_retention },
        };
        (0..fleet.stores.len()).for_each(|index| fleet.restart(index));
        fleet
    }

    /// Starts a store on what its disk holds.
    pub fn restart(&mut self, index: usize) {
        let view = self.view.subscribe();
        let owned = self.owned_sender.clone();
        let store = &mut self.stores[index];
        let (kill, killed) = oneshot::channel();
        let (member, disk) = (store.member.clone(), store.disk.clone());
        let (ready, is_ready) = std::sync::mpsc::channel();
        let (freeze, freezes) = mpsc::unbounded_channel();
        let (resign, resigns) = mpsc::unbounded_channel();
        let signals = Signals { killed, freezes, resigns };
        let limits = self.limits;
        let thread =
            std::thread::spawn(move || run_store(member, disk, limits, view, owned, signals, &ready));
        is_ready.recv().expect("the store starts");
        store.process = Some(Process { thread, kill, freeze, resign });
    }

    /// Stops a store's thread; its sockets stay open.
    pub fn freeze(&self, index: usize) -> Frozen {
        let (thaw, thawed) = std::sync::mpsc::channel();
        if let Some(process) = &self.stores[index].process {
            process.freeze.send(thawed).expect("the store runs");
        }
        Frozen { _thaw: thaw }
    }

    /// Lets a store hand its batch jobs over.
    pub async fn resign(&self, index: usize) {
        let (done, is_done) = oneshot::channel();
        if let Some(process) = &self.stores[index].process {
            process.resign.send(done).expect("the store runs");
        }
        tokio::time::timeout(PATIENCE, is_done).await.expect("in time").expect("the store runs");
    }

    /// Ends a store at once.
    pub fn kill(&mut self, index: usize) {
        if let Some(process) = self.stores[index].process.take() {
            let _ = process.kill.send(());
            process.thread.join().expect("the store ends");
        }
    }

    /// Which store has this incarnation.
    pub fn index_of(&self, owner: &OwnedJob) -> usize {
        let id = owner.owner();
        self.stores.iter().position(|store| store.member.incarnation.0 == id).expect("the owner is a store")
    }

    /// Kills a store; it comes back with an empty disk, and the next store set has it as a new member.
    pub fn replace(&mut self, index: usize) {
        self.kill(index);
        self.next_incarnation += 1;
        let store = &mut self.stores[index];
        store.disk = Disk::default();
        store.member.incarnation = Incarnation(self.next_incarnation);
        store.member.address = free_address().to_string();
        self.restart(index);
        let members = self.stores.iter().map(Store::as_member).collect();
        self.change(|control| {
            let previous = std::mem::replace(&mut control.stores.members, members);
            let epoch = control.stores.epoch;
            control.previous_stores = Some(StoreSet {
                epoch,
                members: previous,
                replication_factor: control.stores.replication_factor,
                target_size: 3,
            });
            control.stores.epoch = epoch + 1;
        });
    }

    fn change(&self, change: impl FnOnce(&mut ControlState)) {
        let mut control = ControlState::clone(&self.view.borrow().control);
        change(&mut control);
        self.view.send_replace(Arc::new(View { control: Arc::new(control), ..View::default() }));
    }

    /// Waits until all stores have moved to the present store set, then ends the change.
    pub async fn finish_move(&self) {
        let epoch = self.view.borrow().control.stores.epoch;
        for store in self.stores.iter().filter(|store| store.process.is_some()) {
            let address = &store.member.address;
            eventually("the store moves", || async {
                let moved = self
                    .rpc
                    .call::<_, MigrationStatus>(address, MIGRATION_STATUS_PATH, &(), PATIENCE)
                    .await
                    .ok()?;
                (moved.is_complete && moved.epoch >= epoch).then_some(())
            })
            .await;
        }
        self.change(|control| control.previous_stores = None);
    }

    pub async fn submit(&self, id: &str) -> SubmitOutcome {
        self.client.submit("h.example".into(), "/jobs/1".into(), id.into(), job_body()).await
    }

    pub async fn submit_until_accepted(&self, id: &str) {
        eventually("the batch job is taken", || async {
            (self.submit(id).await == SubmitOutcome::Accepted).then_some(())
        })
        .await;
    }

    /// The next batch job that a store is to run.
    pub async fn next_owned(&mut self) -> OwnedJob {
        tokio::time::timeout(PATIENCE, self.owned.recv()).await.expect("a store owns it").expect("it is open")
    }

    /// Reads from a position until an answer is sure.
    pub async fn read(&self, id: &str, after: u64) -> ResultPage {
        eventually("the results can be read", || async {
            match self.client.read(id.into(), after, Duration::ZERO).await {
                ReadOutcome::Page(page) => Some(page),
                ReadOutcome::NoSuchJob => panic!("the batch job is gone"),
                ReadOutcome::Unknown => None,
            }
        })
        .await
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        (0..self.stores.len()).for_each(|index| self.kill(index));
    }
}

impl Store {
    fn new(number: u64) -> Self {
        let address = free_address().to_string();
        let station = format!("vault-{number}");
        let member = Member { name: station, incarnation: Incarnation(number), address };
        Self { member, disk: Disk::default(), process: None }
    }

    fn as_member(&self) -> StoreMember {
        StoreMember { member: self.member.clone(), zone: "hall".to_owned() }
    }
}

/// A free port of a loopback address that no other store has and that no connection goes out from, so that a
/// store finds its port free when it comes back.
fn free_address() -> SocketAddr {
    static TAKEN: AtomicU16 = AtomicU16::new(1);
    let [high, low] = TAKEN.fetch_add(1, Ordering::SeqCst).to_be_bytes();
    let listener =
        std::net::TcpListener::bind((Ipv4Addr::new(127, 77, high, low), 0)).expect("a port is free");
    listener.local_addr().expect("the listener has an address")
}

struct Signals {
    killed: oneshot::Receiver<()>,
    freezes: mpsc::UnboundedReceiver<std::sync::mpsc::Receiver<()>>,
    resigns: mpsc::UnboundedReceiver<oneshot::Sender<()>>,
}

fn run_store(
    member: Member,
    disk: Disk,
    limits: StoreLimits,
    view: watch::Receiver<Arc<View>>,
    owned: mpsc::UnboundedSender<OwnedJob>,
    mut signals: Signals,
    ready: &std::sync::mpsc::Sender<()>,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let listener = tokio::net::TcpListener::bind(&member.address).await.expect("the port is free");
        ready.send(()).expect("the test waits");
        let recovered: Vec<(u64, Vec<u8>)> = disk
            .records
            .lock()
            .unwrap()
            .iter()
            .map(|(position, record)| (*position, record.clone()))
            .collect();
        let journal = Arc::new(disk);
        let (store, mut jobs) = JobStore::open(member, journal, recovered, rpc::Client::new(), view, limits);
        let served = rpc::serve(listener, store.endpoint());
        let forwarded = async {
            while let Some(job) = jobs.recv().await {
                let _ = owned.send(job);
            }
        };
        let frozen = async {
            while let Some(thawed) = signals.freezes.recv().await {
                let _ = thawed.recv();
            }
        };
        let resigning = store.clone();
        let resigned = async {
            while let Some(done) = signals.resigns.recv().await {
                resigning.hand_over_jobs().await;
                let _ = done.send(());
            }
        };
        tokio::select! {
            _ = signals.killed => {}
            () = resigned => {}
            () = frozen => {}
            _ = served => {}
            () = async { tokio::join!(store.run(), forwarded); } => {}
        }
    });
    runtime.shutdown_background();
}

/// Tries until there is an answer.
pub async fn eventually<T, Answered>(what: &str, mut attempt: impl FnMut() -> Answered) -> T
where
    Answered: std::future::Future<Output = Option<T>>,
{
    let attempts = async {
        loop {
            if let Some(value) = attempt().await {
                return value;
            }
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(PATIENCE, attempts).await.unwrap_or_else(|_| panic!("in time: {what}"))
}

pub fn job_body() -> Bytes {
    let items: Vec<String> = (0..10)
        .map(|number| format!(r#"{{"id":"item-{number}","lane":"/jobs/x","payload":"aGVsbG8="}}"#))
        .collect();
    Bytes::from(format!(r#"{{"parcels":[{}]}}"#, items.join(",")))
}

pub fn result(number: usize) -> ItemResult {
    ItemResult {
        id: format!("item-{number}").into(),
        condition: ItemCondition::Delivered,
        text: format!("text {number}"),
        versions: vec![1],
        grade: Some("stamp".to_owned()),
    }
}
