//! The first start, and how a machine with a disk joins later.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use register::{with_member, without_member, Ballot, Member, Versioned};
use state::{ControlState, StoreMember, StoreSet};

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
        announced.insert(announcement.member.station.clone(), announcement);
    }

    /// The first value, made of everyone announced so far.
    fn first_value(&self, machines_lost: usize) -> Option<Versioned<ControlState>> {
        let announced = self.announced.lock().unwrap_or_else(PoisonError::into_inner);
        let of = |capability| announced.values().filter(move |a| a.capability == capability);
        let acceptors: Vec<Member> = of(Capability::Acceptor).map(|a| a.member.clone()).collect();
        let members: Vec<StoreMember> = of(Capability::Store)
            .map(|a| StoreMember { member: a.member.clone(), zone: a.zone.clone() })
            .collect();
        if acceptors.is_empty() {
            return None;
        }
        let stores = StoreSet { epoch: 1, wanted: members.len(), members, copies: 2 * machines_lost + 1 };
        let value = ControlState {
            revision: 1,
            acceptors_wanted: acceptors.len(),
            acceptors,
            stores,
            ..ControlState::default()
        };
        Some(Versioned { ballot: FIRST_BALLOT, value: Arc::new(value) })
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

/// Brings the first value to its acceptors. One that holds another first value already wins.
async fn form(mut first: Versioned<ControlState>, view: &ViewCell, client: &rpc::Client) {
    let acceptors = first.value.acceptors.clone();
    let mut taken = 0;
    for member in &acceptors {
        let reply: Result<Versioned<ControlState>, _> =
            client.call(&member.address, paths::FIRST, &first, CALL_TIMEOUT).await;
        match reply {
            Ok(stands) if stands == first => taken += 1,
            Ok(stands) => {
                first = stands;
                taken = 1;
            }
            Err(error) => log::info!("{} has not taken the first value: {error}", member.station),
        }
    }
    if taken * 2 > first.value.acceptors.len() {
        log::info!("first value: {} acceptors, {} stores", acceptors.len(), first.value.stores.members.len());
        view.adopt_control(&first);
    }
}

/// Makes this machine an acceptor, if it is none. Returns when it is one.
pub async fn join_register(member: &Member, view: &ViewCell, proposer: &Proposer) {
    loop {
        let is_member = view.committed().is_some_and(|value| with_acceptor(&value.value, member).is_err());
        if is_member && view.confirmed_age().is_some_and(|age| age < JOIN_TIMEOUT) {
            return;
        }
        if view.committed().is_some() {
            let joined =
                proposer.change(Instant::now() + JOIN_TIMEOUT, |state| with_acceptor(state, member)).await;
            if let Ok(value) = joined {
                log::info!("joined the register as one of {} acceptors", value.value.acceptors.len());
            }
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Adds this machine; then removes its former self, where its disk was lost. One step at a time.
fn with_acceptor(state: &ControlState, member: &Member) -> Result<ControlState, ()> {
    let mut next = state.clone();
    next.revision += 1;
    if !state.acceptors.contains(member) {
        next.acceptors = with_member(&state.acceptors, member.clone());
        return Ok(next);
    }
    let former = state.acceptors.iter().find(|other| other.station == member.station && *other != member);
    next.acceptors = without_member(&state.acceptors, former.ok_or(())?.incarnation);
    Ok(next)
}

/// Makes this machine a member of the store set, if it is none. Returns when it is one.
pub async fn join_stores(member: &StoreMember, view: &ViewCell, proposer: &Proposer) {
    loop {
        let known = view.committed();
        if known.as_ref().is_some_and(|value| value.value.stores.members.contains(member)) {
            return;
        }
        if known.is_some_and(|value| value.value.previous_stores.is_none()) {
            let joined =
                proposer.change(Instant::now() + JOIN_TIMEOUT, |state| with_store(state, member)).await;
            if let Ok(value) = joined {
                let stores = &value.value.stores;
                log::info!("joined the stores of epoch {} as one of {}", stores.epoch, stores.members.len());
            }
        }
        tokio::time::sleep(PAUSE).await;
    }
}

fn with_store(state: &ControlState, member: &StoreMember) -> Result<ControlState, ()> {
    if state.stores.members.contains(member) || state.previous_stores.is_some() {
        return Err(());
    }
    let mut next = state.clone();
    next.revision += 1;
    next.previous_stores = Some(state.stores.clone());
    next.stores.epoch += 1;
    next.stores.members.retain(|other| other.member.station != member.member.station);
    next.stores.members.push(member.clone());
    Ok(next)
}
