//! Bootstrap of a system: at the first start, machines announce themselves to the seeds, and one seed, the
//! coordinator, forms the initial value of the register.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::future::join_all;
use register::{AcceptorReply, AcceptorRequest, Ballot, Member, ReplyOutcome, Versioned};
use serde::{Deserialize, Serialize};
use state::change::{initial_state, select_initial_value};
use state::{ControlState, StoreMember};
use tokio::time::Instant;

use crate::{paths, ViewCell};

/// Time from its own start for which the first seed collects announcements before it becomes the coordinator.
const COLLECT_TIMEOUT: Duration = Duration::from_millis(2500);
/// Additional time for which each further seed waits before it takes over as the coordinator.
const TAKEOVER_STAGGER: Duration = Duration::from_millis(4000);
/// Pause between two announcements or offers of the initial value.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Maximum time from the start of an internal call to its reply.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Ballot of the initial value. The ballot of every proposal is higher.
const INITIAL_BALLOT: Ballot = Ballot { round: 1, proposer: 0 };

/// Role that a machine with a disk can perform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Capability {
    /// The machine can be an acceptor of the register.
    Acceptor,
    /// The machine can be a store, which keeps batch jobs.
    Store,
}

/// Announcement of a machine with a disk to a seed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name, incarnation and internal address of the announced machine.
    pub member: Member,
    /// Zone of the announced machine; a store keeps it in its entry in the store set.
    pub zone: String,
    /// Role that the announced machine can perform.
    pub capability: Capability,
}

/// Announcements that a seed has received, by the name of the machine.
#[derive(Default)]
pub struct BootstrapAnnouncements {
    by_name: Mutex<BTreeMap<String, Announcement>>,
}

impl BootstrapAnnouncements {
    /// Records an announcement. It replaces an earlier one of a machine with the same name.
    pub fn receive(&self, announcement: Announcement) {
        let mut by_name = self.by_name.lock().unwrap_or_else(PoisonError::into_inner);
        by_name.insert(announcement.member.name.clone(), announcement);
    }

    /// Returns an initial value with all machines that were announced so far, or `None` if none of them is an
    /// acceptor.
    fn initial_value(&self, tolerated_failures: usize) -> Option<Versioned<ControlState>> {
        let by_name = self.by_name.lock().unwrap_or_else(PoisonError::into_inner);
        let with_capability =
            |capability| by_name.values().filter(move |announcement| announcement.capability == capability);
        let acceptors =
            with_capability(Capability::Acceptor).map(|announcement| announcement.member.clone()).collect();
        let store_member = |announcement: &Announcement| StoreMember {
            member: announcement.member.clone(),
            zone: announcement.zone.clone(),
        };
        let stores = with_capability(Capability::Store).map(store_member).collect();
        let value = initial_state(acceptors, stores, tolerated_failures)?;
        Some(Versioned::new(INITIAL_BALLOT, Arc::new(value)))
    }
}

/// Participation of this process in the bootstrap of a system.
pub struct Bootstrap {
    /// Announcement of this machine; `None` if it has no disk.
    pub announcement: Option<Announcement>,
    /// Internal addresses of the seeds, in the order in which they become the coordinator.
    pub seeds: Vec<String>,
    /// Internal address of this process, by which it finds its own position among the seeds.
    pub own_address: String,
    /// Number of failed machines that the system must tolerate.
    pub tolerated_failures: usize,
    /// Announcements that this process has received. Used only if the process is a seed.
    pub announcements: Arc<BootstrapAnnouncements>,
    /// The newest control state and server list that this process has adopted.
    pub view: Arc<ViewCell>,
    /// Client for internal calls to other processes.
    pub client: rpc::Client,
}

impl Bootstrap {
    /// Announces this machine to the seeds. If this process is a seed, it also becomes the coordinator after
    /// its delay and offers an initial value. Returns once the view has a committed value.
    pub async fn run(self) {
        let started_at = Instant::now();
        let coordinator_delay = self.coordinator_delay();
        let mut acknowledged = vec![false; self.seeds.len()];
        while self.view.committed().is_none() {
            self.announce(&mut acknowledged).await;
            if coordinator_delay.is_some_and(|delay| started_at.elapsed() >= delay) {
                if let Some(initial) = self.announcements.initial_value(self.tolerated_failures) {
                    self.commit_initial(initial).await;
                }
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Returns the time from the start of this process until it becomes the coordinator, or `None` if it is
    /// not a seed.
    fn coordinator_delay(&self) -> Option<Duration> {
        let rank = self.seeds.iter().position(|seed| *seed == self.own_address)?;
        Some(COLLECT_TIMEOUT + TAKEOVER_STAGGER * u32::try_from(rank).unwrap_or(u32::MAX))
    }

    /// Announces this machine to the seeds that have not acknowledged it yet.
    async fn announce(&self, acknowledged: &mut [bool]) {
        let Some(announcement) = &self.announcement else { return };
        let pending = self.seeds.iter().zip(acknowledged).filter(|(_, acknowledged)| !**acknowledged);
        for (seed, acknowledged) in pending {
            if *seed == self.own_address {
                self.announcements.receive(announcement.clone());
                *acknowledged = true;
                continue;
            }
            let reply: Result<(), _> =
                self.client.call(seed, paths::ANNOUNCE, announcement, CALL_TIMEOUT).await;
            *acknowledged = reply.is_ok();
        }
    }

    /// Offers an initial value to the acceptors that it lists: the value that an acceptor has accepted from
    /// an earlier coordinator, if any, otherwise `proposed`. Adopts the value if a majority has accepted it.
    ///
    /// A majority of the acceptors must reply to a read first, so that an initial value that a majority has
    /// accepted is always found.
    async fn commit_initial(&self, proposed: Versioned<ControlState>) {
        let reads = proposed.value.acceptors.iter().map(|member| self.read_accepted(member));
        let accepted: Vec<_> = join_all(reads).await.into_iter().flatten().collect();
        let Some(initial) = select_initial_value(proposed, accepted) else {
            log::info!("initial value not committed: too few acceptors reply");
            return;
        };
        let acceptors = &initial.value.acceptors;
        let offers = acceptors.iter().map(|member| self.offer_initial(member, &initial));
        let replies = join_all(offers).await;
        let accepted = replies.iter().filter(|reply| reply.as_ref() == Some(&initial)).count();
        if accepted * 2 > acceptors.len() {
            let stores = initial.value.stores.members.len();
            log::info!(acceptors = acceptors.len(), stores; "initial value committed");
            self.view.adopt_control(&initial);
        }
    }

    /// Reads the value that an acceptor has accepted. The outer `None` means that it did not reply, the inner
    /// one that it has not accepted any value.
    async fn read_accepted(&self, member: &Member) -> Option<Option<Versioned<ControlState>>> {
        let request: AcceptorRequest<ControlState> = AcceptorRequest::Read;
        let reply: Result<AcceptorReply<ControlState>, _> =
            self.client.call(&member.address, paths::REGISTER, &request, CALL_TIMEOUT).await;
        match reply.ok()?.outcome {
            ReplyOutcome::Current { accepted, .. } => Some(accepted),
            _ => None,
        }
    }

    /// Offers an initial value to an acceptor. Returns the value that it has accepted, or `None` if the call
    /// fails.
    async fn offer_initial(
        &self,
        member: &Member,
        initial: &Versioned<ControlState>,
    ) -> Option<Versioned<ControlState>> {
        let reply =
            self.client.call(&member.address, paths::OFFER_INITIAL_VALUE, initial, CALL_TIMEOUT).await;
        reply
            .inspect_err(|error| log::info!("{} has not accepted the initial value: {error}", member.name))
            .ok()
    }
}
