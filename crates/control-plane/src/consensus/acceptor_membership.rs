//! How a machine with a disk becomes an acceptor, and how it stops being one.
//!
//! The set of acceptors keeps its size. A machine that joins later is a *standby*: it has no vote until it replaces a
//! failed acceptor, in one step of the register. Were it added beside the others, the failed one would still count for
//! the majority, and the next failure could leave none. The standby itself detects that an acceptor has failed, so that
//! it also does when the failed one was the leader: it asks all acceptors, and a majority of them must report that
//! they have not received a reply from it for long, as a machine may be partitioned from the standby alone.

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

/// The interval between two checks of a standby.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How long an acceptor may take to reply to a ping.
const PING_TIMEOUT: Duration = Duration::from_millis(400);
/// How long one proposal to join is retried.
const JOIN_TIMEOUT: Duration = Duration::from_millis(2000);
/// How long leaving may take.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(1500);

/// The membership of this machine in the register.
pub struct AcceptorMembership {
    /// This machine.
    pub member: Member,
    /// The state that the process acts on.
    pub view: Arc<ViewCell>,
    /// Changes of the register.
    pub proposer: Arc<Proposer>,
    /// Internal calls.
    pub client: rpc::Client,
}

impl AcceptorMembership {
    /// Makes this machine an acceptor whenever it is none and there is a vacancy, for as long as the process runs.
    pub async fn run(&self) {
        let mut views = self.view.subscribe();
        loop {
            let known = views.borrow_and_update().control.clone();
            let is_known = self.view.committed().is_some();
            if is_known && known.acceptors.contains(&self.member) {
                if views.changed().await.is_err() {
                    return;
                }
                continue;
            }
            if is_known {
                self.join_or_stand_by(&known).await;
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Hands over to a standby before the process shuts down gracefully, if this machine is an acceptor and a standby
    /// replies.
    pub async fn leave(&self) {
        let known = self.view.view().control.clone();
        if !known.acceptors.contains(&self.member) {
            return;
        }
        for standby in &known.standbys {
            if ping(&self.client, standby, PING_TIMEOUT).await.is_some() {
                self.hand_over_to(standby).await;
                return;
            }
        }
    }

    async fn join_or_stand_by(&self, known: &ControlState) {
        let (member, proposer) = (&self.member, &self.proposer);
        let failed = self.agreed_failed(known).await;
        let deadline = Instant::now() + JOIN_TIMEOUT;
        if with_acceptor(known, member, &failed).is_ok() {
            let joined = proposer.change(deadline, |state| with_acceptor(state, member, &failed)).await;
            if let Ok(value) = joined {
                log::info!(acceptors = value.value.acceptors.len(); "joined the register");
            }
        } else if with_standby(known, member).is_ok()
            && proposer.change(deadline, |state| with_standby(state, member)).await.is_ok()
        {
            log::info!("standby of the register: its acceptors are complete");
        }
    }

    /// The acceptors that do not reply here, and that a majority of all acceptors reports as unresponsive.
    async fn agreed_failed(&self, known: &ControlState) -> Vec<Incarnation> {
        let acceptors = &known.acceptors;
        let pings = acceptors.iter().map(|acceptor| ping(&self.client, acceptor, PING_TIMEOUT));
        let replies = join_all(pings).await;
        let reports = |acceptor: &Incarnation| {
            replies.iter().flatten().filter(|reply| reply.unresponsive.contains(acceptor)).count()
        };
        let unresponsive = acceptors.iter().zip(&replies).filter(|(_, reply)| reply.is_none());
        let unresponsive = unresponsive.map(|(acceptor, _)| acceptor.incarnation);
        unresponsive.filter(|acceptor| reports(acceptor) * 2 > acceptors.len()).collect()
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
