//! Acceptor gossip: how a process without any control state finds an acceptor although its seeds have none either.
//!
//! A process polls its seeds until it has the acceptors. Seeds may be nodes without a disk; after a power loss of all
//! machines these have no state, and a process that was configured with only such seeds would poll in vain for ever. So
//! the addresses of the acceptors are also sent the other way: a process that has them sends them to its own seeds, at
//! once when it receives them or is configured with other seeds, and again from time to time, as a seed may have
//! restarted since. Between the two, what one process has reaches all that are connected to it by seeds in either
//! direction.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::future::join_all;
use serde::{Deserialize, Serialize};
use state::ControlState;
use tokio::sync::watch;

use super::gossip_schedule::GossipSchedule;
use crate::{paths, ViewCell};

/// How long a call may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// How often the schedule is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The mean time between two repeated messages of a process with an acceptor ...
const ACCEPTOR_REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// ... and of any other process.
const REPEAT_INTERVAL: Duration = Duration::from_secs(5);

/// The addresses of the acceptors, sent to a process that may not have them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// The revision of the control state that has these acceptors.
    pub revision: u64,
    /// Their internal addresses.
    pub acceptors: Vec<String>,
}

impl GossipMessage {
    /// The acceptors of a state.
    pub(crate) fn of(state: &ControlState) -> Self {
        let acceptors = state.acceptors.iter().map(|member| member.address.clone()).collect();
        Self { revision: state.revision, acceptors }
    }
}

/// The newest acceptors that this process has received by gossip.
#[derive(Default)]
pub struct AcceptorGossip {
    newest: Mutex<GossipMessage>,
}

impl AcceptorGossip {
    /// Records a received message, unless a newer one was received before.
    pub fn receive(&self, message: GossipMessage) {
        let mut newest = self.lock();
        if message.revision >= newest.revision {
            *newest = message;
        }
    }

    /// The internal addresses of the acceptors that were received last.
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
    let reply: Result<(), _> = client.call(address, paths::INTRODUCE, message, CALL_TIMEOUT).await;
    reply.is_ok()
}

/// Sends the acceptors to the seeds of this process.
pub struct GossipSender {
    /// The state that the process acts on.
    pub view: Arc<ViewCell>,
    /// Internal calls.
    pub client: rpc::Client,
    /// The internal addresses of the seeds, as configured now.
    pub seeds: watch::Receiver<Vec<String>>,
    /// The internal address of this process, which is not sent anything.
    pub own_address: String,
    /// Whether this process has an acceptor, and so repeats its messages more often.
    pub has_acceptor: bool,
}

impl GossipSender {
    /// Sends the acceptors to the seeds whenever that is due, for as long as the process runs.
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
