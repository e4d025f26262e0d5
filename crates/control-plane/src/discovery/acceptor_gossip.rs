//! Acceptor gossip: lets a process without any control state find an acceptor even if its seeds have no
//! control state either.
//!
//! A process polls its seeds until it receives the acceptors. Seeds may be nodes without a disk. After a
//! power loss of all machines these have no state, and a process that is configured with only such seeds
//! would poll without success forever. Therefore addresses of the acceptors are also sent in the opposite
//! direction: a process that has them sends them to its own seeds. It does so as soon as it receives them or
//! is configured with other seeds, and repeats it periodically, because a seed may have restarted. Together,
//! polls and gossip spread the addresses to all processes that are connected by seeds in either direction.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::future::join_all;
use serde::{Deserialize, Serialize};
use state::ControlState;
use tokio::sync::watch;

use super::gossip_schedule::GossipSchedule;
use crate::{paths, ViewCell};

/// Maximum time from the start of an internal call to its reply.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Interval at which the schedule is checked for due messages.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Mean time between two repeated messages of a process with an acceptor.
const ACCEPTOR_REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Mean time between two repeated messages of a process without an acceptor.
const REPEAT_INTERVAL: Duration = Duration::from_secs(5);

/// Message with the addresses of the acceptors, sent to a process that may not have them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// Revision of the control state that contains these acceptors. The message with the highest revision is
    /// kept.
    pub revision: u64,
    /// Internal addresses of the acceptors.
    pub acceptors: Vec<String>,
}

impl GossipMessage {
    /// Creates a message with the acceptors of a control state.
    pub(crate) fn of(state: &ControlState) -> Self {
        let acceptors = state.acceptors.iter().map(|member| member.address.clone()).collect();
        Self { revision: state.revision, acceptors }
    }
}

/// Newest acceptors that this process has received by gossip.
#[derive(Default)]
pub struct AcceptorGossip {
    newest: Mutex<GossipMessage>,
}

impl AcceptorGossip {
    /// Records a received message, unless one with a higher revision was received before.
    pub fn receive(&self, message: GossipMessage) {
        let mut newest = self.lock();
        if message.revision >= newest.revision {
            *newest = message;
        }
    }

    /// Returns the internal addresses of the newest acceptors that were received; empty if none were.
    #[must_use]
    pub fn acceptors(&self) -> Vec<String> {
        self.lock().acceptors.clone()
    }

    fn lock(&self) -> MutexGuard<'_, GossipMessage> {
        self.newest.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends a message to the process at an address. Returns whether it was acknowledged.
pub(crate) async fn send_gossip(client: &rpc::Client, address: &str, message: &GossipMessage) -> bool {
    let reply: Result<(), _> = client.call(address, paths::ACCEPTOR_GOSSIP, message, CALL_TIMEOUT).await;
    reply.is_ok()
}

/// Task that sends the addresses of the acceptors to the seeds of this process.
pub struct GossipSender {
    /// The newest control state and server list that this process has adopted.
    pub view: Arc<ViewCell>,
    /// Client for internal calls to other processes.
    pub client: rpc::Client,
    /// Internal addresses of the seeds in the present settings.
    pub seeds: watch::Receiver<Vec<String>>,
    /// Internal address of this process. No message is sent to it, even if it is a seed.
    pub own_address: String,
    /// Whether this process has an acceptor. If so, it repeats its messages more often.
    pub has_acceptor: bool,
}

impl GossipSender {
    /// Sends the addresses of the acceptors to each seed whenever a message to it is due. Runs until the
    /// process ends.
    pub async fn run(mut self) {
        let mut schedule = self.new_schedule();
        loop {
            if self.seeds.has_changed().unwrap_or(false) {
                schedule = self.new_schedule();
            }
            if let Some(known) = self.view.committed() {
                self.send_due(&mut schedule, &GossipMessage::of(&known.value)).await;
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    fn new_schedule(&mut self) -> GossipSchedule {
        let repeat_interval = if self.has_acceptor { ACCEPTOR_REPEAT_INTERVAL } else { REPEAT_INTERVAL };
        GossipSchedule::new(&self.seeds.borrow_and_update(), &self.own_address, repeat_interval)
    }

    async fn send_due(&self, schedule: &mut GossipSchedule, message: &GossipMessage) {
        let due = schedule.due();
        let sent = join_all(due.iter().map(|seed| send_gossip(&self.client, seed, message))).await;
        for (seed, is_acknowledged) in due.iter().zip(sent) {
            schedule.record(seed, is_acknowledged);
        }
    }
}
