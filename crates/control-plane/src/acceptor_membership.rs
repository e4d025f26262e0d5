//! How a machine with a disk becomes an acceptor, and how it stops being one.
//!
//! The set of acceptors keeps its size. A machine that comes later is a *standby*: it has no vote until it takes the place
//! of an acceptor that is gone, in one step of the register. Were it added beside the others, the lost one would go on
//! counting for the majority, and the next loss could leave none. The standby itself finds that an acceptor is gone,
//! so that it also does when that one held the leader lease: it asks all acceptors, and a majority of them must say that
//! they have not heard of it for long, as a machine may be cut off from the standby alone.

use std::time::Duration;

use futures_util::future::join_all;
use register::{Incarnation, Member};
use state::change::{with_acceptor, with_standby, without_acceptor};
use state::ControlState;
use tokio::time::Instant;

use crate::ping::ping;
use crate::{Proposer, ViewCell};

/// Pause between two looks of a standby.
const LOOK_EVERY: Duration = Duration::from_millis(250);
/// How long an acceptor may take to answer a ping.
const PING_TIMEOUT: Duration = Duration::from_millis(400);
/// How long joining is tried at a stretch.
const JOIN_TIMEOUT: Duration = Duration::from_millis(2000);
/// How long leaving may take.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Makes this machine an acceptor as soon as there is a place for it, whenever it is none.
pub async fn join_register(member: &Member, view: &ViewCell, proposer: &Proposer, client: &rpc::Client) {
    let mut views = view.subscribe();
    loop {
        let known = views.borrow_and_update().control.clone();
        let is_known = view.committed().is_some();
        if is_known && known.acceptors.contains(member) {
            if views.changed().await.is_err() {
                return;
            }
            continue;
        }
        if is_known {
            look_for_place(member, &known, proposer, client).await;
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

async fn look_for_place(member: &Member, known: &ControlState, proposer: &Proposer, client: &rpc::Client) {
    let gone = agreed_gone(known, client).await;
    let deadline = Instant::now() + JOIN_TIMEOUT;
    if with_acceptor(known, member, &gone).is_ok() {
        let joined = proposer.change(deadline, |state| with_acceptor(state, member, &gone)).await;
        if let Ok(value) = joined {
            log::info!("joined the register as one of {} acceptors", value.value.acceptors.len());
        }
    } else if with_standby(known, member).is_ok()
        && proposer.change(deadline, |state| with_standby(state, member)).await.is_ok()
    {
        log::info!("stands by for the register: all its acceptors are there");
    }
}

/// The acceptors that do not answer here, and of which a majority of all acceptors says that they are silent.
async fn agreed_gone(known: &ControlState, client: &rpc::Client) -> Vec<Incarnation> {
    let acceptors = &known.acceptors;
    let replies = join_all(acceptors.iter().map(|acceptor| ping(client, acceptor, PING_TIMEOUT))).await;
    let votes =
        |gone: Incarnation| replies.iter().flatten().filter(|reply| reply.silent.contains(&gone)).count();
    let unheard = acceptors.iter().zip(&replies).filter(|(_, reply)| reply.is_none());
    let unheard = unheard.map(|(acceptor, _)| acceptor.incarnation);
    unheard.filter(|gone| votes(*gone) * 2 > acceptors.len()).collect()
}

/// Hands the place of this machine among the acceptors to a standby before its process ends, if there is one.
pub async fn leave_register(member: &Member, view: &ViewCell, proposer: &Proposer, client: &rpc::Client) {
    let known = view.view().control.clone();
    if !known.acceptors.contains(member) {
        return;
    }
    for standby in &known.standbys {
        if ping(client, standby, PING_TIMEOUT).await.is_none() {
            continue;
        }
        let deadline = Instant::now() + LEAVE_TIMEOUT;
        match proposer.change(deadline, |state| without_acceptor(state, member, standby)).await {
            Ok(_) => log::info!("left the register to {}", standby.name),
            Err(_) => log::warn!("has not left the register: a standby takes its place when it is silent"),
        }
        return;
    }
}
