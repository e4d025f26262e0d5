//! The first start, and how a store joins later.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::future::join_all;
use register::{AcceptorReply, AcceptorRequest, Ballot, Member, ReplyOutcome, Versioned};
use state::change::{choose_initial_value, initial_state, with_store, without_store};
use state::{ControlState, StoreMember};
use tokio::time::Instant;

use crate::messages::{paths, Announcement, Capability};
use crate::{Proposer, ViewCell};

/// The collector waits this long for announcements, from its own start ...
const COLLECT: Duration = Duration::from_millis(2500);
/// ... and each further seed this much longer, before it takes the collector's place.
const SEED_STEP: Duration = Duration::from_millis(4000);
/// Pause between two tries of anything here.
const PAUSE: Duration = Duration::from_millis(250);
/// How long a call may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// How long joining is tried at a stretch.
const JOIN_TIMEOUT: Duration = Duration::from_millis(2000);
/// How long leaving the stores may take.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(1000);
/// The ballot of the first value; every proposal is above it.
const FIRST_BALLOT: Ballot = Ballot { round: 1, proposer: 0 };

/// Who this process is, where it has a disk.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Station, incarnation of the disk, internal address.
    pub member: Member,
    /// Its zone.
    pub zone: String,
    /// What it can do.
    pub capability: Capability,
}

/// Announcements that arrived, kept by every process that is a seed.
#[derive(Default)]
pub struct FirstStart {
    announced: Mutex<BTreeMap<String, Announcement>>,
}

impl FirstStart {
    /// Notes an announcement.
    pub fn announce(&self, announcement: Announcement) {
        let mut announced = self.announced.lock().unwrap_or_else(PoisonError::into_inner);
        announced.insert(announcement.member.name.clone(), announcement);
    }

    /// The first value, made of everyone announced so far.
    fn first_value(&self, machines_lost: usize) -> Option<Versioned<ControlState>> {
        let announced = self.announced.lock().unwrap_or_else(PoisonError::into_inner);
        let of = |capability| announced.values().filter(move |a| a.capability == capability);
        let acceptors = of(Capability::Acceptor).map(|a| a.member.clone()).collect();
        let store = |a: &Announcement| StoreMember { member: a.member.clone(), zone: a.zone.clone() };
        let value = initial_state(acceptors, of(Capability::Store).map(store).collect(), machines_lost)?;
        Some(Versioned::new(FIRST_BALLOT, Arc::new(value)))
    }
}

/// At the first start: announces this machine to the seeds, and forms the first value where this process is
/// the seed whose turn it is. Returns once a committed value is known.
pub async fn start_first(
    identity: Option<Identity>,
    seeds: &[String],
    this_address: &str,
    machines_lost: usize,
    first_start: &FirstStart,
    view: &ViewCell,
    client: &rpc::Client,
) {
    let began = Instant::now();
    let rank = seeds.iter().position(|seed| seed == this_address);
    let announcement =
        identity.map(|who| Announcement { member: who.member, zone: who.zone, capability: who.capability });
    let mut heard = vec![false; seeds.len()];
    while view.committed().is_none() {
        if let Some(announcement) = &announcement {
            announce(announcement, seeds, this_address, &mut heard, first_start, client).await;
        }
        let turn = rank.map(|rank| COLLECT + SEED_STEP * u32::try_from(rank).unwrap_or(u32::MAX));
        if turn.is_some_and(|turn| began.elapsed() >= turn) {
            if let Some(first) = first_start.first_value(machines_lost) {
                form(first, view, client).await;
            }
        }
        tokio::time::sleep(PAUSE).await;
    }
}

async fn announce(
    announcement: &Announcement,
    seeds: &[String],
    this_address: &str,
    heard: &mut [bool],
    first_start: &FirstStart,
    client: &rpc::Client,
) {
    for (seed, heard) in seeds.iter().zip(heard).filter(|(_, heard)| !**heard) {
        if seed == this_address {
            first_start.announce(announcement.clone());
            *heard = true;
            continue;
        }
        let told: Result<(), _> = client.call(seed, paths::ANNOUNCE, announcement, CALL_TIMEOUT).await;
        *heard = told.is_ok();
    }
}

/// Brings a first value to its acceptors: the one that an earlier collector began with, otherwise `own`.
///
/// A majority of the acceptors must answer before, so that a first value that a majority has taken is found.
async fn form(own: Versioned<ControlState>, view: &ViewCell, client: &rpc::Client) {
    let reads = own.value.acceptors.iter().map(|member| read(client, member));
    let shown: Vec<_> = join_all(reads).await.into_iter().flatten().collect();
    let Some(first) = choose_initial_value(own, shown) else {
        log::info!("first value: too few acceptors answer");
        return;
    };
    let acceptors = &first.value.acceptors;
    let offers = acceptors.iter().map(|member| offer(client, member, &first));
    let taken = join_all(offers).await.into_iter().filter(|stands| stands.as_ref() == Some(&first)).count();
    if taken * 2 > acceptors.len() {
        log::info!("first value: {} acceptors, {} stores", acceptors.len(), first.value.stores.members.len());
        view.adopt_control(&first);
    }
}

/// The value that an acceptor holds, if any; `None` when it does not answer.
async fn read(client: &rpc::Client, member: &Member) -> Option<Option<Versioned<ControlState>>> {
    let request: AcceptorRequest<ControlState> = AcceptorRequest::Read;
    let reply: Result<AcceptorReply<ControlState>, _> =
        client.call(&member.address, paths::REGISTER, &request, CALL_TIMEOUT).await;
    match reply.ok()?.outcome {
        ReplyOutcome::Current { accepted, .. } => Some(accepted),
        _ => None,
    }
}

/// Offers a first value to an acceptor; tells which one stands there.
async fn offer(
    client: &rpc::Client,
    member: &Member,
    first: &Versioned<ControlState>,
) -> Option<Versioned<ControlState>> {
    let stands = client.call(&member.address, paths::FIRST, first, CALL_TIMEOUT).await;
    stands.inspect_err(|error| log::info!("{} has not taken the first value: {error}", member.name)).ok()
}

/// Makes this machine a member of the store set whenever it is none, unless the operator has it emptied.
pub async fn join_stores(member: &StoreMember, view: &ViewCell, proposer: &Proposer) {
    let mut views = view.subscribe();
    loop {
        let known = views.borrow_and_update().control.clone();
        if view.committed().is_none() {
            tokio::time::sleep(PAUSE).await;
            continue;
        }
        if with_store(&known, member).is_err() {
            if views.changed().await.is_err() {
                return;
            }
            continue;
        }
        let joined = proposer.change(Instant::now() + JOIN_TIMEOUT, |state| with_store(state, member)).await;
        if let Ok(value) = joined {
            let state = &value.value;
            if state.stores.members.contains(member) {
                log::info!("back in the stores of epoch {}, without its former disk", state.stores.epoch);
            } else {
                log::info!("waits to become one of the stores");
            }
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Takes this machine out of the store set before its process ends, if there are more than wanted: another one has
/// come in its place, and the batch jobs are to be whole without this one as soon as it is gone.
pub async fn leave_stores(member: &Member, view: &ViewCell, proposer: &Proposer) {
    if without_store(&view.view().control, member).is_err() {
        return;
    }
    match proposer.change(Instant::now() + LEAVE_TIMEOUT, |state| without_store(state, member)).await {
        Ok(value) => log::info!("left the stores of epoch {}", value.value.stores.epoch),
        Err(_) => log::warn!("has not left the stores: the leader removes it when it is silent"),
    }
}
