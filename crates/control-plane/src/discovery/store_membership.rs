//! Membership of a store machine in the store set: how it joins after the first start, and how it leaves.

use std::sync::Arc;
use std::time::Duration;

use state::change::{with_store, without_store};
use state::{ControlState, StoreMember};
use tokio::time::Instant;

use crate::{Proposer, ViewCell};

/// Pause between two attempts to join, or between two checks for a committed control state.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Maximum time for which one proposal to join is retried. A later attempt starts a new proposal.
const JOIN_TIMEOUT: Duration = Duration::from_millis(2000);
/// Maximum time for which the proposal to leave is retried before the process shuts down.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Task that maintains the membership of this machine in the store set.
pub struct StoreMembership {
    /// Name, incarnation, internal address and zone of this machine.
    pub member: StoreMember,
    /// The newest control state and server list that this process has adopted.
    pub view: Arc<ViewCell>,
    /// Proposes changes of the control state to the acceptors.
    pub proposer: Arc<Proposer>,
}

impl StoreMembership {
    /// Registers this machine for the store set whenever it is not a member, unless the operator drains it.
    /// Runs until the process ends.
    pub async fn run(&self) {
        let mut views = self.view.subscribe();
        loop {
            let control = views.borrow_and_update().control.clone();
            if self.view.committed().is_none() {
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
            if with_store(&control, &self.member).is_err() {
                if views.changed().await.is_err() {
                    return;
                }
                continue;
            }
            self.join().await;
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn join(&self) {
        let decide = |state: &ControlState| with_store(state, &self.member);
        let Ok(value) = self.proposer.change(Instant::now() + JOIN_TIMEOUT, decide).await else { return };
        let stores = &value.value.stores;
        if stores.members.contains(&self.member) {
            log::info!(epoch = stores.epoch; "rejoined the stores without its former disk");
        } else {
            log::info!("waits to become one of the stores");
        }
    }

    /// Leaves the store set before the process shuts down gracefully, if the set has more stores than
    /// intended. Another store has then replaced this machine, and the other stores complete the replicas of
    /// its batch jobs once it has stopped.
    pub async fn leave(&self) {
        let member = &self.member.member;
        if without_store(&self.view.view().control, member).is_err() {
            return;
        }
        let decide = |state: &ControlState| without_store(state, member);
        match self.proposer.change(Instant::now() + LEAVE_TIMEOUT, decide).await {
            Ok(value) => log::info!(epoch = value.value.stores.epoch; "left the stores"),
            Err(_) => log::warn!("has not left the stores: the leader removes it once it is unresponsive"),
        }
    }
}
