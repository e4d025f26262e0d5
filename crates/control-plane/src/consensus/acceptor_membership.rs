//! Membership of a machine with a disk in the set of acceptors: how it joins, and how it leaves.
//!
//! The set of acceptors grows only up to its intended size. A machine that joins later is a *standby*: it has
//! no vote until it replaces a failed acceptor, in one change of the register. If it were added beside
//! the failed acceptor instead, that acceptor would still count for the majority, and the next failure could
//! leave no majority. The standby itself, not the leader, detects that an acceptor has failed, so that a
//! failed leader is replaced too. The standby pings all acceptors, and a majority of them must report the
//! acceptor as unresponsive, because a network partition may separate the acceptor from the standby alone.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use register::{Incarnation, Member};
use state::change::{with_acceptor, with_standby, without_acceptor};
use state::ControlState;
use tokio::time::Instant;

use super::Proposer;
use crate::liveness::ping;
use crate::ViewCell;

/// Pause between two checks whether this machine can become an acceptor or a standby.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum time from the start of a ping to its reply.
const PING_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum time for which one proposal to join is retried. A later attempt starts a new proposal.
const JOIN_TIMEOUT: Duration = Duration::from_millis(2000);
/// Maximum time for which the proposal to leave is retried before the process shuts down.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Task that maintains the membership of this machine in the set of acceptors.
pub struct AcceptorMembership {
    /// Name, incarnation and internal address of this machine.
    pub member: Member,
    /// The newest control state and server list that this process has adopted.
    pub view: Arc<ViewCell>,
    /// Proposes changes of the control state to the acceptors.
    pub proposer: Arc<Proposer>,
    /// Client for internal calls to other processes.
    pub client: rpc::Client,
}

impl AcceptorMembership {
    /// Makes this machine an acceptor whenever it is not one and the set has too few acceptors or a failed
    /// one, and otherwise registers it as a standby. Runs until the process ends.
    pub async fn run(&self) {
        let mut views = self.view.subscribe();
        loop {
            let control = views.borrow_and_update().control.clone();
            let has_committed_state = self.view.committed().is_some();
            if has_committed_state && control.acceptors.contains(&self.member) {
                if views.changed().await.is_err() {
                    return;
                }
                continue;
            }
            if has_committed_state {
                self.join_or_stand_by(&control).await;
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Replaces this machine as an acceptor by the first standby that replies, before the process shuts down
    /// gracefully. Does nothing if this machine is not an acceptor or no standby replies.
    pub async fn leave(&self) {
        let control = self.view.view().control.clone();
        if !control.acceptors.contains(&self.member) {
            return;
        }
        for standby in &control.standbys {
            if ping(&self.client, standby, PING_TIMEOUT).await.is_some() {
                self.hand_over_to(standby).await;
                return;
            }
        }
    }

    async fn join_or_stand_by(&self, control: &ControlState) {
        let (member, proposer) = (&self.member, &self.proposer);
        let failed = self.majority_reported_failures(control).await;
        let deadline = Instant::now() + JOIN_TIMEOUT;
        if with_acceptor(control, member, &failed).is_ok() {
            let joined = proposer.change(deadline, |state| with_acceptor(state, member, &failed)).await;
            if let Ok(value) = joined {
                log::info!(acceptors = value.value.acceptors.len(); "joined the register");
            }
        } else if with_standby(control, member).is_ok()
            && proposer.change(deadline, |state| with_standby(state, member)).await.is_ok()
        {
            log::info!("standby of the register: its acceptors are complete");
        }
    }

    /// Returns the acceptors that did not reply to a ping of this process and that a majority of all
    /// acceptors reports as unresponsive.
    async fn majority_reported_failures(&self, control: &ControlState) -> Vec<Incarnation> {
        let acceptors = &control.acceptors;
        let pings = acceptors.iter().map(|acceptor| ping(&self.client, acceptor, PING_TIMEOUT));
        let replies = join_all(pings).await;
        let report_count = |acceptor: &Incarnation| {
            replies.iter().flatten().filter(|reply| reply.unresponsive.contains(acceptor)).count()
        };
        let unresponsive = acceptors.iter().zip(&replies).filter(|(_, reply)| reply.is_none());
        let unresponsive = unresponsive.map(|(acceptor, _)| acceptor.incarnation);
        unresponsive.filter(|acceptor| report_count(acceptor) * 2 > acceptors.len()).collect()
    }

    async fn hand_over_to(&self, standby: &Member) {
        let deadline = Instant::now() + LEAVE_TIMEOUT;
        let decide = |state: &ControlState| without_acceptor(state, &self.member, standby);
        match self.proposer.change(deadline, decide).await {
            Ok(_) => log::info!("left the register to {}", standby.name),
            Err(_) => log::warn!("has not left the register: a standby replaces it once it is unresponsive"),
        }
    }
}
