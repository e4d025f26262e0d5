//! A cluster of stores with the view of a control plane that the test plays.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::Arc;
use std::time::Duration;

use batch::{ItemCondition, ItemResult};
use bytes::Bytes;
use register::{Incarnation, Member};
use state::{ControlState, StoreMember, StoreSet, View};
use store_plane::{
    JobClient, MigrationStatus, OwnedJob, ReadOutcome, ResultPage, StoreLimits, SubmitOutcome,
    MIGRATION_STATUS_PATH,
};
use tokio::sync::{mpsc, watch};

use crate::disk::MemoryDisk;
use crate::store_process::{FrozenStore, StoreOptions, StoreProcess};

/// How long anything may take before a test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// How long results are kept where the test does not say.
const RESULT_RETENTION: Duration = Duration::from_secs(120);

pub struct Store {
    pub member: Member,
    pub disk: MemoryDisk,
    process: Option<StoreProcess>,
}

pub struct Cluster {
    pub stores: Vec<Store>,
    view: watch::Sender<Arc<View>>,
    owned_sender: mpsc::UnboundedSender<OwnedJob>,
    /// The batch jobs that stores own, in the order in which they began to.
    pub owned: mpsc::UnboundedReceiver<OwnedJob>,
    pub client: JobClient,
    rpc: rpc::Client,
    next_incarnation: u64,
    limits: StoreLimits,
}

impl Cluster {
    /// Starts `count` stores; each batch job is kept on three.
    pub fn start(count: u64) -> Self {
        Self::start_with_retention(count, RESULT_RETENTION)
    }

    /// As [`Cluster::start`], with results kept for `result_retention`.
    pub fn start_with_retention(count: u64, result_retention: Duration) -> Self {
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
        let mut cluster = Self {
            stores,
            view,
            owned_sender,
            owned,
            client,
            rpc,
            next_incarnation: 100,
            limits: StoreLimits { result_retention },
        };
        (0..cluster.stores.len()).for_each(|index| cluster.restart(index));
        cluster
    }

    /// As [`Cluster::start`], with a batch job `job` whose owner has committed results of the items with these numbers.
    pub async fn with_owned_job(count: u64, items: &[usize]) -> (Self, OwnedJob) {
        let mut cluster = Self::start(count);
        cluster.submit_until_accepted("job").await;
        let owned = cluster.next_owned().await;
        if !items.is_empty() {
            let results = items.iter().copied().map(result).collect();
            owned.append(results).await.expect("the store owns it");
        }
        (cluster, owned)
    }

    /// Starts a store on what its disk holds.
    pub fn restart(&mut self, index: usize) {
        let store = &mut self.stores[index];
        store.process = Some(StoreProcess::start(StoreOptions {
            member: store.member.clone(),
            disk: store.disk.clone(),
            limits: self.limits,
            view: self.view.subscribe(),
            owned_jobs: self.owned_sender.clone(),
        }));
    }

    /// Stops a store's thread; its sockets stay open.
    pub fn freeze(&self, index: usize) -> FrozenStore {
        self.process(index).freeze()
    }

    /// Lets a store hand its batch jobs over.
    pub async fn hand_over_jobs(&self, index: usize) {
        let done = self.process(index).hand_over_jobs();
        tokio::time::timeout(TEST_TIMEOUT, done).await.expect("in time").expect("the store runs");
    }

    fn process(&self, index: usize) -> &StoreProcess {
        self.stores[index].process.as_ref().expect("the store runs")
    }

    /// Ends a store at once.
    pub fn kill(&mut self, index: usize) {
        if let Some(process) = self.stores[index].process.take() {
            process.kill();
        }
    }

    /// Ends all stores at once, then starts them on what their disks hold.
    pub fn power_cycle(&mut self) {
        (0..self.stores.len()).for_each(|index| self.kill(index));
        (0..self.stores.len()).for_each(|index| self.restart(index));
    }

    /// The index of the store that owns a batch job.
    pub fn index_of_owner(&self, job: &OwnedJob) -> usize {
        let owner = job.owner();
        self.stores
            .iter()
            .position(|store| store.member.incarnation.0 == owner)
            .expect("the owner is a store")
    }

    /// Kills a store; it comes back with an empty disk, and the next store set has it as a new member.
    pub fn replace(&mut self, index: usize) {
        self.kill(index);
        self.next_incarnation += 1;
        let store = &mut self.stores[index];
        store.disk = MemoryDisk::default();
        store.member.incarnation = Incarnation(self.next_incarnation);
        store.member.address = free_address().to_string();
        self.restart(index);
        let members = self.stores.iter().map(Store::as_member).collect();
        self.update_control(|control| {
            let next = StoreSet { epoch: control.stores.epoch + 1, members, ..control.stores.clone() };
            control.previous_stores = Some(std::mem::replace(&mut control.stores, next));
        });
    }

    fn update_control(&self, change: impl FnOnce(&mut ControlState)) {
        let mut control = ControlState::clone(&self.view.borrow().control);
        change(&mut control);
        self.view.send_replace(Arc::new(View { control: Arc::new(control), ..View::default() }));
    }

    /// Waits until all stores have migrated to the present store set, then ends the change.
    pub async fn finish_migration(&self) {
        let epoch = self.view.borrow().control.stores.epoch;
        for store in self.stores.iter().filter(|store| store.process.is_some()) {
            eventually("the store migrates", || async {
                let status = self.migration_status(store).await?;
                (status.is_complete && status.epoch >= epoch).then_some(())
            })
            .await;
        }
        self.update_control(|control| control.previous_stores = None);
    }

    async fn migration_status(&self, store: &Store) -> Option<MigrationStatus> {
        self.rpc.call(&store.member.address, MIGRATION_STATUS_PATH, &(), TEST_TIMEOUT).await.ok()
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
        tokio::time::timeout(TEST_TIMEOUT, self.owned.recv())
            .await
            .expect("a store owns it")
            .expect("it is open")
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

impl Drop for Cluster {
    fn drop(&mut self) {
        (0..self.stores.len()).for_each(|index| self.kill(index));
    }
}

impl Store {
    fn new(number: u64) -> Self {
        let address = free_address().to_string();
        let member = Member { name: format!("vault-{number}"), incarnation: Incarnation(number), address };
        Self { member, disk: MemoryDisk::default(), process: None }
    }

    fn as_member(&self) -> StoreMember {
        StoreMember { member: self.member.clone(), zone: "hall".to_owned() }
    }
}

/// A free port of a loopback address that no other store has and that no connection goes out from, so that a
/// store finds its port free when it comes back.
fn free_address() -> SocketAddr {
    static NEXT_SUBNET: AtomicU16 = AtomicU16::new(1);
    let [high, low] = NEXT_SUBNET.fetch_add(1, Ordering::SeqCst).to_be_bytes();
    let listener =
        std::net::TcpListener::bind((Ipv4Addr::new(127, 77, high, low), 0)).expect("a port is free");
    listener.local_addr().expect("the listener has an address")
}

/// Tries until there is an answer.
pub async fn eventually<T, AttemptFuture>(what: &str, mut attempt: impl FnMut() -> AttemptFuture) -> T
where
    AttemptFuture: std::future::Future<Output = Option<T>>,
{
    let attempts = async {
        loop {
            if let Some(value) = attempt().await {
                return value;
            }
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, attempts).await.unwrap_or_else(|_| panic!("in time: {what}"))
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
