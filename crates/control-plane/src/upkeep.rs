//! Upkeep of the members by the leader: what is lost is removed, what is to be emptied is moved.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use register::Member;
use state::{ControlState, DrainState};

use crate::leader::Reachability;
use crate::messages::{paths, PingReply};
use crate::{Leadership, Proposer, ViewCell};

/// How often members are pinged.
const EVERY: Duration = Duration::from_millis(700);
/// How long a ping may take.
const PING_TIMEOUT: Duration = Duration::from_millis(500);
/// A member that another has replaced is removed after this silence.
const LOST_AFTER: Duration = Duration::from_millis(3500);
/// How long a change may take.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(1500);

/// What the pings of one round told.
struct Round {
    /// Members that were silent for too long.
    lost: Vec<Member>,
    /// The epochs to which each store of the previous set has moved its batch jobs; `None` for a silent one.
    settled: Vec<Option<u64>>,
}

/// Tends the members while this process leads.
pub async fn run_upkeep(
    leadership: Arc<Leadership>,
    view: Arc<ViewCell>,
    proposer: Arc<Proposer>,
    client: rpc::Client,
) {
    let mut reachability = Reachability::default();
    loop {
        tokio::time::sleep(EVERY).await;
        if leadership.fence().is_none() {
            reachability = Reachability::default();
            continue;
        }
        let control = Arc::clone(&view.view().control);
        let round = ping_all(&control, &client, &mut reachability).await;
        if next_state(&control, &round).is_none() {
            continue;
        }
        let decide = |state: &ControlState| next_state(state, &round).ok_or(());
        if let Ok(value) = proposer.change(Instant::now() + CHANGE_TIMEOUT, decide).await {
            let state = &value.value;
            log::info!(
                "upkeep: {} acceptors, {} stores in epoch {}, moving {}",
                state.acceptors.len(),
                state.stores.members.len(),
                state.stores.epoch,
                state.previous_stores.is_some()
            );
        }
    }
}

async fn ping_all(control: &ControlState, client: &rpc::Client, reachability: &mut Reachability) -> Round {
    let previous = control.previous_stores.iter().flat_map(|set| &set.members);
    let stores = control.stores.members.iter().chain(previous).map(|store| &store.member);
    let mut members: Vec<Member> = control.acceptors.iter().chain(stores).cloned().collect();
    members.sort();
    members.dedup();
    let replies = join_all(members.iter().map(|member| ping(client, member))).await;
    for (member, reply) in members.iter().zip(&replies) {
        reachability.note(member, reply.is_some());
    }
    let lost = members.iter().filter(|m| reachability.silent_for(m) >= LOST_AFTER).cloned().collect();
    let settled_of = |member: &Member| {
        let at = members.iter().position(|m| m == member)?;
        replies[at].as_ref().map(|reply| reply.settled_epoch)
    };
    let previous = control.previous_stores.iter().flat_map(|set| &set.members);
    Round { lost, settled: previous.map(|store| settled_of(&store.member)).collect() }
}

async fn ping(client: &rpc::Client, member: &Member) -> Option<PingReply> {
    client.call(&member.address, paths::PING, &(), PING_TIMEOUT).await.ok()
}

/// The one next step that the state wants, if any.
fn next_state(state: &ControlState, round: &Round) -> Option<ControlState> {
    let mut next = state.clone();
    next.revision += 1;
    finish_move(&mut next, round)
        .or_else(|| start_drain(&mut next))
        .or_else(|| remove_store(&mut next, round))
        .or_else(|| remove_acceptor(&mut next, round))?;
    Some(next)
}

/// Ends a move once all stores of the previous set, but as many as may be lost, have moved what they held.
fn finish_move(next: &mut ControlState, round: &Round) -> Option<()> {
    let previous = next.previous_stores.as_ref()?;
    if round.settled.len() != previous.members.len() {
        return None;
    }
    let epoch = next.stores.epoch;
    let unsettled = round.settled.iter().filter(|settled| settled.is_none_or(|at| at < epoch)).count();
    let may_be_lost = previous.copies.saturating_sub(1) / 2;
    if unsettled > may_be_lost {
        return None;
    }
    next.previous_stores = None;
    let present = &next.stores.members;
    for (station, drain) in &mut next.draining {
        if !present.iter().any(|store| store.member.station == *station) {
            *drain = DrainState::Delivered;
        }
    }
    Some(())
}

/// Begins to empty a store machine that the operator wants emptied.
fn start_drain(next: &mut ControlState) -> Option<()> {
    if next.previous_stores.is_some() {
        return None;
    }
    let leaving =
        next.stores.members.iter().position(|store| next.draining.contains_key(&store.member.station))?;
    next.previous_stores = Some(next.stores.clone());
    next.stores.epoch += 1;
    next.stores.members.remove(leaving);
    next.stores.wanted = next.stores.wanted.min(next.stores.members.len());
    Some(())
}

/// Removes a store that another has replaced.
fn remove_store(next: &mut ControlState, round: &Round) -> Option<()> {
    let stores = &next.stores;
    if next.previous_stores.is_some() || stores.members.len() <= stores.wanted.max(stores.copies) {
        return None;
    }
    let lost = stores.members.iter().position(|store| round.lost.contains(&store.member))?;
    next.previous_stores = Some(next.stores.clone());
    next.stores.epoch += 1;
    next.stores.members.remove(lost);
    Some(())
}

/// Removes an acceptor that another has replaced.
fn remove_acceptor(next: &mut ControlState, round: &Round) -> Option<()> {
    if next.acceptors.len() <= next.acceptors_wanted {
        return None;
    }
    let lost = next.acceptors.iter().position(|member| round.lost.contains(member))?;
    next.acceptors.remove(lost);
    Some(())
}
