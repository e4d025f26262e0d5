//! A cluster of stores for tests. The test publishes the views that the control plane would publish.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::Arc;
use std::time::Duration;

use batch::{ItemCondition, ItemId, ItemResult};
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

/// Maximum time that a test waits for an event or a call.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Memory that a store may use.
const MEMORY_BYTES: usize = 256_000_000;
/// Retention of results, unless a test sets its own.
const RESULT_RETENTION: Duration = Duration::from_secs(120);

/// A store of the cluster, which may be running or not.
pub struct Store {
    pub member: Member,
    pub disk: MemoryDisk,
    /// Thread that runs the store; `None` while the store does not run.
    process: Option<StoreProcess>,
}

/// Stores that run in this process, and a client that calls them.
pub struct Cluster {
    pub stores: Vec<Store>,
    view: watch::Sender<Arc<View>>,
    owned_sender: mpsc::UnboundedSender<OwnedJob>,
    /// Receiver of the batch jobs that stores have come to own, in that order.
    pub owned: mpsc::UnboundedReceiver<OwnedJob>,
    pub client: JobClient,
    rpc: rpc::Client,
    /// The incarnation of the store whose disk was replaced last; 100 before the first replacement.
    last_incarnation: u64,
    limits: StoreLimits,
}

impl Cluster {
    /// Starts `count` stores; each batch job has three replicas.
    pub fn start(count: u64) -> Self {
        Self::start_with_retention(count, RESULT_RETENTION)
    }

    /// Starts stores as [`Cluster::start`] does, with results kept for `result_retention`.
    pub fn start_with_retention(count: u64, result_retention: Duration) -> Self {
        Self::start_with_limits(count, StoreLimits { result_retention, memory_bytes: MEMORY_BYTES })
    }

    /// Starts stores as [`Cluster::start`] does, with these limits.
    pub fn start_with_limits(count: u64, limits: StoreLimits) -> Self {
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
        let mut cluster =
            Self { stores, view, owned_sender, owned, client, rpc, last_incarnation: 100, limits };
        (0..cluster.stores.len()).for_each(|index| cluster.restart(index));
        cluster
    }

    /// Starts `count` stores, submits a batch job with the id `job` and commits results of the items with the
    /// numbers `items`. Returns the batch job as its owner's runner receives it.
    pub async fn with_owned_job(count: u64, items: &[usize]) -> (Self, OwnedJob) {
        let mut cluster = Self::start(count);
        cluster.submit_until_accepted("job").await;
        let owned = cluster.next_owned().await;
        if !items.is_empty() {
            let results = items.iter().copied().map(result).collect();
            owned.append(results).await.expect("the store owns the batch job");
        }
        (cluster, owned)
    }

    /// Starts a store with the records on its disk.
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

    /// Blocks the thread of a store until the returned guard is dropped. The store's sockets stay open.
    pub fn freeze(&self, index: usize) -> FrozenStore {
        self.process(index).freeze()
    }

    /// Makes a store hand its batch jobs over, and waits until it has done so.
    pub async fn hand_over_jobs(&self, index: usize) {
        let done = self.process(index).hand_over_jobs();
        tokio::time::timeout(TEST_TIMEOUT, done)
            .await
            .expect("the handover completes in time")
            .expect("the store runs");
    }

    fn process(&self, index: usize) -> &StoreProcess {
        self.stores[index].process.as_ref().expect("the store runs")
    }

    /// Ends a store immediately, without a handover.
    pub fn kill(&mut self, index: usize) {
        if let Some(process) = self.stores[index].process.take() {
            process.kill();
        }
    }

    /// Ends all stores, then starts them again with the records on their disks.
    pub fn power_cycle(&mut self) {
        (0..self.stores.len()).for_each(|index| self.kill(index));
        (0..self.stores.len()).for_each(|index| self.restart(index));
    }

    /// Returns the index of the store that owns a batch job.
    pub fn index_of_owner(&self, job: &OwnedJob) -> usize {
        let owner = job.owner();
        self.stores
            .iter()
            .position(|store| store.member.incarnation.0 == owner)
            .expect("the owner is a store of the cluster")
    }

    /// Kills a store, starts it with an empty disk, and begins the change to a store set with it as a new
    /// member.
    pub fn replace(&mut self, index: usize) {
        self.kill(index);
        self.last_incarnation += 1;
        let store = &mut self.stores[index];
        store.disk = MemoryDisk::default();
        store.member.incarnation = Incarnation(self.last_incarnation);
        store.member.address = free_address().to_string();
        self.restart(index);
        let members = self.stores.iter().map(Store::as_member).collect();
        self.update_control(|control| {
            let next = StoreSet { epoch: control.stores.epoch + 1, members, ..control.stores.clone() };
            control.previous_stores = Some(std::mem::replace(&mut control.stores, next));
        });
    }

    /// Publishes a view with a changed control state.
    fn update_control(&self, change: impl FnOnce(&mut ControlState)) {
        let mut control = ControlState::clone(&self.view.borrow().control);
        change(&mut control);
        self.view.send_replace(Arc::new(View { control: Arc::new(control), ..View::default() }));
    }

    /// Waits until all running stores have migrated to the present store set, then removes the previous store
    /// set.
    pub async fn finish_migration(&self) {
        let epoch = self.view.borrow().control.stores.epoch;
        for store in self.stores.iter().filter(|store| store.process.is_some()) {
            eventually("the store has migrated its batch jobs", || async {
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
        eventually("the batch job is accepted", || async {
            (self.submit(id).await == SubmitOutcome::Accepted).then_some(())
        })
        .await;
    }

    /// Waits for the next batch job that a store has come to own.
    pub async fn next_owned(&mut self) -> OwnedJob {
        tokio::time::timeout(TEST_TIMEOUT, self.owned.recv())
            .await
            .expect("a store owns a batch job in time")
            .expect("the channel is open")
    }

    /// Reads the first page of results, until the outcome is definite.
    pub async fn results(&self, id: &str) -> Vec<ItemResult> {
        let page = self.read(id, 0).await;
        serde_json::from_slice(&page.deliveries).expect("a page of results")
    }

    /// Reads results from a position on, until the outcome is definite.
    pub async fn read(&self, id: &str, after: u64) -> ResultPage {
        eventually("the results can be read", || async {
            match self.client.read(id.into(), after, Duration::ZERO).await {
                ReadOutcome::Page(page) => Some(page),
                ReadOutcome::NoSuchJob => panic!("batch job {id} does not exist"),
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

/// Returns a free port of a loopback address that no other store uses and that is not the source address of
/// any connection, so that the port is still free when the store is restarted.
fn free_address() -> SocketAddr {
    static NEXT_SUBNET: AtomicU16 = AtomicU16::new(1);
    let [high, low] = NEXT_SUBNET.fetch_add(1, Ordering::SeqCst).to_be_bytes();
    let listener =
        std::net::TcpListener::bind((Ipv4Addr::new(127, 77, high, low), 0)).expect("a port is free");
    listener.local_addr().expect("the listener has an address")
}

/// Repeats `attempt` until it returns a value. Panics after [`TEST_TIMEOUT`]; `what` is the awaited
/// condition.
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
    tokio::time::timeout(TEST_TIMEOUT, attempts)
        .await
        .unwrap_or_else(|_| panic!("timed out waiting until {what}"))
}

/// Returns the JSON of a batch job with the items `item-0` to `item-9`.
pub fn job_body() -> Bytes {
    let items: Vec<String> = (0..10)
        .map(|number| format!(r#"{{"id":"item-{number}","lane":"/jobs/x","payload":"aGVsbG8="}}"#))
        .collect();
    Bytes::from(format!(r#"{{"parcels":[{}]}}"#, items.join(",")))
}

/// Returns the ids of the items `item-NUMBER`.
pub fn item_ids(numbers: &[usize]) -> Vec<ItemId> {
    numbers.iter().map(|number| result(*number).id).collect()
}

/// Returns a result of the item `item-NUMBER`.
pub fn result(number: usize) -> ItemResult {
    ItemResult {
        id: format!("item-{number}").into(),
        condition: ItemCondition::Delivered,
        text: format!("text {number}"),
        versions: vec![1],
        grade: Some("stamp".to_owned()),
    }
}
