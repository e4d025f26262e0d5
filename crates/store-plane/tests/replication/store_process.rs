//! A store in a separate thread with a separate runtime, which can be ended as if its process were killed.

use std::sync::Arc;
use std::thread::JoinHandle;

use register::Member;
use state::View;
use store_plane::{JobStore, OwnedJob, StoreLimits};
use tokio::sync::{mpsc, oneshot, watch};

use crate::disk::MemoryDisk;

/// The state and the connections with which a store is started.
pub struct StoreOptions {
    pub member: Member,
    pub disk: MemoryDisk,
    pub limits: StoreLimits,
    pub view: watch::Receiver<Arc<View>>,
    /// Channel for the batch jobs that the store owns.
    pub owned_jobs: mpsc::UnboundedSender<OwnedJob>,
}

/// A running store.
pub struct StoreProcess {
    thread: JoinHandle<()>,
    kill: oneshot::Sender<()>,
    freeze: mpsc::UnboundedSender<std::sync::mpsc::Receiver<()>>,
    handover: mpsc::UnboundedSender<oneshot::Sender<()>>,
}

/// Guard that keeps the thread of a store blocked until dropped. The store's sockets stay open.
pub struct FrozenStore {
    _resume: std::sync::mpsc::Sender<()>,
}

impl StoreProcess {
    /// Starts a store; returns when its socket is bound.
    pub fn start(options: StoreOptions) -> Self {
        let (kill, killed) = oneshot::channel();
        let (freeze, freezes) = mpsc::unbounded_channel();
        let (handover, handovers) = mpsc::unbounded_channel();
        let (ready, is_ready) = std::sync::mpsc::channel();
        let signals = Signals { killed, freezes, handovers };
        let thread = std::thread::spawn(move || run_store(options, signals, &ready));
        is_ready.recv().expect("the store starts");
        Self { thread, kill, freeze, handover }
    }

    /// Ends the store without a handover, and waits for its thread.
    pub fn kill(self) {
        let _ = self.kill.send(());
        self.thread.join().expect("the store ends");
    }

    /// Blocks the thread of the store until the returned guard is dropped.
    pub fn freeze(&self) -> FrozenStore {
        let (resume, is_resumed) = std::sync::mpsc::channel();
        self.freeze.send(is_resumed).expect("the store runs");
        FrozenStore { _resume: resume }
    }

    /// Makes the store hand its batch jobs over; the receiver is notified when that is complete.
    pub fn hand_over_jobs(&self) -> oneshot::Receiver<()> {
        let (done, is_done) = oneshot::channel();
        self.handover.send(done).expect("the store runs");
        is_done
    }
}

/// The requests of a [`StoreProcess`] to the thread of its store.
struct Signals {
    killed: oneshot::Receiver<()>,
    /// Each message blocks the thread until the other end of the receiver in it is dropped.
    freezes: mpsc::UnboundedReceiver<std::sync::mpsc::Receiver<()>>,
    /// Each message starts a handover; the sender in it is notified when the handover is complete.
    handovers: mpsc::UnboundedReceiver<oneshot::Sender<()>>,
}

fn run_store(options: StoreOptions, mut signals: Signals, ready: &std::sync::mpsc::Sender<()>) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime starts");
    runtime.block_on(async {
        let StoreOptions { member, disk, limits, view, owned_jobs } = options;
        let listener = tokio::net::TcpListener::bind(&member.address).await.expect("the port is free");
        ready.send(()).expect("the test waits for the start");
        let recovered = disk.recover();
        let (store, mut jobs) =
            JobStore::open(member, Arc::new(disk), recovered, rpc::Client::new(), view, limits);
        let served = rpc::serve(listener, store.endpoint());
        let forwarded = async {
            while let Some(job) = jobs.recv().await {
                let _ = owned_jobs.send(job);
            }
        };
        let frozen = async {
            while let Some(is_resumed) = signals.freezes.recv().await {
                let _ = is_resumed.recv();
            }
        };
        let draining_store = store.clone();
        let handed_over = async {
            while let Some(done) = signals.handovers.recv().await {
                draining_store.hand_over_jobs().await;
                let _ = done.send(());
            }
        };
        tokio::select! {
            _ = signals.killed => {}
            () = handed_over => {}
            () = frozen => {}
            _ = served => {}
            () = async { tokio::join!(store.run(), forwarded); } => {}
        }
    });
    runtime.shutdown_background();
}
