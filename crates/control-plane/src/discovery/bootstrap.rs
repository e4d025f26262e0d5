//! The first start of a system: its machines announce themselves to the seeds, and one seed forms the initial value of
//! the register.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::future::join_all;
use register::{AcceptorReply, AcceptorRequest, Ballot, Member, ReplyOutcome, Versioned};
use serde::{Deserialize, Serialize};
use state::change::{choose_initial_value, initial_state};
use state::{ControlState, StoreMember};
use tokio::time::Instant;

use crate::{paths, ViewCell};

/// The first seed waits this long for announcements, from its own start, before it becomes the coordinator ...
const COLLECT_TIMEOUT: Duration = Duration::from_millis(2500);
/// ... and each further seed this much longer, before it takes over.
const TAKEOVER_STAGGER: Duration = Duration::from_millis(4000);
/// The pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// How long a call may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// The ballot of the initial value; every proposal is above it.
const INITIAL_BALLOT: Ballot = Ballot { round: 1, proposer: 0 };

/// What a machine with a disk can do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Capability {
    /// It accepts values of the register.
    Acceptor,
    /// It stores batch jobs.
    Store,
}

/// A machine with a disk announces itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Its name, incarnation and address.
    pub member: Member,
    /// Its zone.
    pub zone: String,
    /// What it can do.
    pub capability: Capability,
}

/// The announcements that a seed has received.
#[derive(Default)]
pub struct BootstrapAnnouncements {
    by_name: Mutex<BTreeMap<String, Announcement>>,
}

impl BootstrapAnnouncements {
    /// Records an announcement; it replaces an earlier one of the same machine.
    pub fn receive(&self, announcement: Announcement) {
        let mut by_name = self.by_name.lock().unwrap_or_else(PoisonError::into_inner);
        by_name.insert(announcement.member.name.clone(), announcement);
    }

    /// The initial value with all machines that were announced so far; `None` without any acceptor.
    fn initial_value(&self, tolerated_failures: usize) -> Option<Versioned<ControlState>> {
        let by_name = self.by_name.lock().unwrap_or_else(PoisonError::into_inner);
        let with = |capability| by_name.values().filter(move |a| a.capability == capability);
        let acceptors = with(Capability::Acceptor).map(|a| a.member.clone()).collect();
        let store = |a: &Announcement| StoreMember { member: a.member.clone(), zone: a.zone.clone() };
        let stores = with(Capability::Store).map(store).collect();
        let value = initial_state(acceptors, stores, tolerated_failures)?;
        Some(Versioned::new(INITIAL_BALLOT, Arc::new(value)))
    }
}

/// The part of this process in the first start of a system.
pub struct Bootstrap {
    /// What this process announces, if it has a disk.
    pub announcement: Option<Announcement>,
    /// The internal addresses of the seeds, in the order in which they become coordinators.
    pub seeds: Vec<String>,
    /// The internal address of this process.
    pub own_address: String,
    /// The number of machines whose loss the system must survive.
    pub tolerated_failures: usize,
    /// What this process receives if it is a seed.
    pub announcements: Arc<BootstrapAnnouncements>,
    /// The state that the process acts on.
    pub view: Arc<ViewCell>,
    /// Internal calls.
    pub client: rpc::Client,
}

impl Bootstrap {
    /// Announces this machine to the seeds, and forms the initial value once it is this process's turn as a seed.
    /// Returns once a committed value is known.
    pub async fn run(self) {
        let started_at = Instant::now();
        let coordinates_after = self.coordinates_after();
        let mut acknowledged = vec![false; self.seeds.len()];
        while self.view.committed().is_none() {
            self.announce(&mut acknowledged).await;
            if coordinates_after.is_some_and(|after| started_at.elapsed() >= after) {
                if let Some(initial) = self.announcements.initial_value(self.tolerated_failures) {
                    self.commit_initial(initial).await;
                }
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// The time from the start after which this process becomes the coordinator; `None` if it is no seed.
    fn coordinates_after(&self) -> Option<Duration> {
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

    /// Offers an initial value to its acceptors: the one that an earlier coordinator has offered, otherwise `own`.
    ///
    /// A majority of the acceptors must reply before, so that an initial value that a majority has accepted is found.
    async fn commit_initial(&self, own: Versioned<ControlState>) {
        let reads = own.value.acceptors.iter().map(|member| self.read_accepted(member));
        let accepted: Vec<_> = join_all(reads).await.into_iter().flatten().collect();
        let Some(initial) = choose_initial_value(own, accepted) else {
            log::info!("initial value not committed: too few acceptors reply");
            return;
        };
        let acceptors = &initial.value.acceptors;
        let offers = acceptors.iter().map(|member| self.offer(member, &initial));
        let replies = join_all(offers).await;
        let accepted = replies.iter().filter(|reply| reply.as_ref() == Some(&initial)).count();
        if accepted * 2 > acceptors.len() {
            let stores = initial.value.stores.members.len();
            log::info!(acceptors = acceptors.len(), stores; "initial value committed");
            self.view.adopt_control(&initial);
        }
    }

    /// The value that an acceptor has accepted, if any; `None` when it does not reply.
    async fn read_accepted(&self, member: &Member) -> Option<Option<Versioned<ControlState>>> {
        let request: AcceptorRequest<ControlState> = AcceptorRequest::Read;
        let reply: Result<AcceptorReply<ControlState>, _> =
            self.client.call(&member.address, paths::REGISTER, &request, CALL_TIMEOUT).await;
        match reply.ok()?.outcome {
            ReplyOutcome::Current { accepted, .. } => Some(accepted),
            _ => None,
        }
    }

    /// Offers an initial value to an acceptor. Returns the value that it has then.
    async fn offer(
        &self,
        member: &Member,
        initial: &Versioned<ControlState>,
    ) -> Option<Versioned<ControlState>> {
        let reply = self.client.call(&member.address, paths::FIRST, initial, CALL_TIMEOUT).await;
        reply
            .inspect_err(|error| log::info!("{} has not accepted the initial value: {error}", member.name))
            .ok()
    }
}
