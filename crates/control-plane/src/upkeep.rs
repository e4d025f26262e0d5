//! Upkeep of the members by the leader: what is lost is removed, what is to be emptied is moved.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use register::Member;
use state::change::{next_reconciliation, Observation, QuorumMargin, Reachability};
use state::ControlState;
use tokio::time::{Instant, MissedTickBehavior};

use crate::introductions::introduce;
use crate::messages::{GossipMessage, PingReply};
use crate::ping::ping_address;
use crate::{Leadership, Proposer, ViewCell};

/// How often members are pinged. A round with a member that is gone must not take longer than any other.
const EVERY: Duration = Duration::from_millis(600);
/// How long a ping may take.
const PING_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a change may take.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(1500);

/// A round that takes longer was interrupted: this process was frozen or starved.
const ROUND_MOST: Duration = Duration::from_millis(4 * 600);

/// Tends the members while this process leads. A store that is silent for the time `silence` is replaced where another
/// machine waits to take its place.
pub async fn run_reconciler(
    leadership: Arc<Leadership>,
    view: Arc<ViewCell>,
    proposer: Arc<Proposer>,
    client: rpc::Client,
    silence: Duration,
) {
    let nothing = Observation {
        reachability: Reachability::with_replacement_timeout(EVERY, silence),
        ..Observation::default()
    };
    let mut observed = nothing.clone();
    let mut last_round = Instant::now();
    let mut told_margin = None;
    let mut rounds = tokio::time::interval(EVERY);
    rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        rounds.tick().await;
        let Some(fence) = leadership.fence() else {
            observed = nothing.clone();
            last_round = Instant::now();
            told_margin = None;
            continue;
        };
        let control = Arc::clone(&view.view().control);
        ping_all(&control, &client, &mut observed, last_round).await;
        tell_margin(observed.reachability.quorum_margin(&control), &mut told_margin);
        // The lease is looked up anew: the process may have been frozen.
        if leadership.fence() == Some(fence) && next_reconciliation(&control, fence, &observed).is_some() {
            change(&proposer, fence, &observed).await;
        }
        last_round = Instant::now();
    }
}

/// Logs how many further losses are borne, whenever that has changed.
fn tell_margin(margin: QuorumMargin, told: &mut Option<QuorumMargin>) {
    if told.replace(margin) == Some(margin) {
        return;
    }
    let QuorumMargin { acceptors, responding, tolerated_failures: further_losses } = margin;
    match further_losses {
        Some(0) => {
            log::warn!("quorum: {responding} of {acceptors} acceptors answer, no further loss is borne");
        }
        Some(losses) => {
            log::info!(
                "quorum: {responding} of {acceptors} acceptors answer, further losses borne: {losses}"
            );
        }
        None => log::warn!("quorum: no majority of {acceptors} acceptors answers"),
    }
}

async fn change(proposer: &Proposer, fence: u64, observed: &Observation) {
    let decide = |state: &ControlState| next_reconciliation(state, fence, observed).ok_or(());
    let Ok(value) = proposer.change(Instant::now() + CHANGE_TIMEOUT, decide).await else { return };
    let state = &value.value;
    log::info!(
        "upkeep: {} acceptors, {} stores in epoch {}, moving {}",
        state.acceptors.len(),
        state.stores.members.len(),
        state.stores.epoch,
        state.previous_stores.is_some()
    );
}

async fn ping_all(
    control: &ControlState,
    client: &rpc::Client,
    observed: &mut Observation,
    last_round: Instant,
) {
    let members = Observation::members_to_ping(control);
    let introduction = GossipMessage::of(control);
    let replies =
        join_all(members.iter().map(|member| ping_and_introduce(client, member, &introduction))).await;
    let answers =
        || members.iter().zip(&replies).filter_map(|(member, reply)| Some((member, reply.as_ref()?)));
    answers()
        .for_each(|(member, reply)| observed.record_committed_epoch(member.incarnation, reply.settled_epoch));
    let answered: Vec<Member> = answers().map(|(member, _)| member.clone()).collect();
    observed.reachability.record_round(control, &answered, last_round.elapsed(), ROUND_MOST);
}

/// Pings a member. Where its process knows nothing after a restart, the acceptors are introduced to it.
async fn ping_and_introduce(
    client: &rpc::Client,
    member: &Member,
    introduction: &GossipMessage,
) -> Option<PingReply> {
    let reply = ping_address(client, member, PING_TIMEOUT).await?;
    if !reply.knows_control {
        introduce(client, &member.address, introduction).await;
    }
    // Its former self, or its successor with another disk, has not moved what this member held.
    reply.is_of(member).then_some(reply)
}
