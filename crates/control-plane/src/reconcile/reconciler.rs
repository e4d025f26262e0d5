//! Loop in which the leader pings all members and proposes the next reconciliation step.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use register::Member;
use state::change::{next_reconciliation, Observation, QuorumMargin, Reachability};
use state::ControlState;
use tokio::time::{Instant, MissedTickBehavior};

use super::migration_watch::MigrationWatch;
use crate::discovery::send_gossip;
use crate::liveness::ping_address;
use crate::{GossipMessage, Leadership, PingReply, Proposer, ViewCell};

/// Interval at which members are pinged. It is longer than [`PING_TIMEOUT`], so that a failed member does not
/// delay the next round.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(600);
/// Maximum time from the start of a ping to its reply.
const PING_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time for which one change of the control state is retried.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum time from the end of the previous round to the replies of this one. A round that takes longer was
/// interrupted: this process was suspended or starved.
const MAX_ROUND_ELAPSED: Duration = RECONCILE_INTERVAL.saturating_mul(4);

/// Task that reconciles the members while this process is the leader.
pub struct Reconciler {
    /// Leadership of this process, which yields the fencing token while this process is the leader.
    pub leadership: Arc<Leadership>,
    /// The newest control state and server list that this process has adopted.
    pub view: Arc<ViewCell>,
    /// Proposes changes of the control state to the acceptors.
    pub proposer: Arc<Proposer>,
    /// Client for internal calls to other processes.
    pub client: rpc::Client,
    /// Time without a reply after which a store is replaced, if another machine waits to become a store.
    pub store_replacement_timeout: Duration,
}

/// Observations of a leader since it acquired the lease.
struct TermState {
    observed: Observation,
    /// Time at which the previous round ended.
    last_round: Instant,
    /// Quorum margin that was logged last; `None` before the first round.
    logged_margin: Option<QuorumMargin>,
    migration: MigrationWatch,
}

impl Reconciler {
    /// Runs a round at regular intervals while this process is the leader. Runs until the process ends.
    pub async fn run(self) {
        let mut term = self.new_term();
        let mut rounds = tokio::time::interval(RECONCILE_INTERVAL);
        rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            rounds.tick().await;
            match self.leadership.fence() {
                Some(fence) => self.run_round(fence, &mut term).await,
                None => term = self.new_term(),
            }
        }
    }

    fn new_term(&self) -> TermState {
        let reachability =
            Reachability::with_replacement_timeout(RECONCILE_INTERVAL, self.store_replacement_timeout);
        let observed = Observation { reachability, ..Observation::default() };
        TermState {
            observed,
            last_round: Instant::now(),
            logged_margin: None,
            migration: MigrationWatch::default(),
        }
    }

    /// Pings all members and proposes the next step, as the leader with the fencing token `fence`.
    async fn run_round(&self, fence: u64, term: &mut TermState) {
        let control = Arc::clone(&self.view.view().control);
        self.ping_members(&control, term).await;
        term.log_changed_margin(&control);
        term.migration.observe(&control, &term.observed);
        let observed = &term.observed;
        // The lease is checked again: the process may have been suspended.
        let is_still_leader = self.leadership.fence() == Some(fence);
        if is_still_leader && next_reconciliation(&control, fence, observed).is_some() {
            self.propose_step(fence, observed).await;
        }
        term.last_round = Instant::now();
    }

    async fn ping_members(&self, control: &ControlState, term: &mut TermState) {
        let members = Observation::members_to_ping(control);
        let gossip = GossipMessage::of(control);
        let replies = join_all(members.iter().map(|member| self.ping_with_gossip(member, &gossip))).await;
        let mut responders = Vec::new();
        for (member, reply) in members.into_iter().zip(replies) {
            if let Some(reply) = reply {
                term.observed.record_committed_epoch(member.incarnation, reply.committed_epoch);
                responders.push(member);
            }
        }
        let elapsed = term.last_round.elapsed();
        term.observed.reachability.record_round(control, &responders, elapsed, MAX_ROUND_ELAPSED);
    }

    /// Pings a member, and sends it the addresses of the acceptors if its process is out of contact. A
    /// process is out of contact if it has restarted without a control state, or if all acceptors in its
    /// state were replaced while it was unreachable.
    async fn ping_with_gossip(&self, member: &Member, gossip: &GossipMessage) -> Option<PingReply> {
        let reply = ping_address(&self.client, member, PING_TIMEOUT).await?;
        if !reply.is_in_contact {
            send_gossip(&self.client, &member.address, gossip).await;
        }
        // Another incarnation of the machine has another disk and has not migrated the batch jobs of this
        // member, so its reply does not count.
        reply.is_from(member).then_some(reply)
    }

    async fn propose_step(&self, fence: u64, observed: &Observation) {
        let decide = |state: &ControlState| next_reconciliation(state, fence, observed).ok_or(());
        let changed = self.proposer.change(Instant::now() + CHANGE_TIMEOUT, decide).await;
        let Ok(value) = changed else { return };
        let state = &value.value;
        log::info!(
            acceptors = state.acceptors.len(),
            stores = state.stores.members.len(),
            epoch = state.stores.epoch,
            is_migrating = state.previous_stores.is_some();
            "members reconciled"
        );
    }
}

impl TermState {
    /// Logs how many further failures of acceptors are tolerated, whenever that number, the number of
    /// acceptors or the number of acceptors that reply has changed.
    fn log_changed_margin(&mut self, control: &ControlState) {
        let margin = self.observed.reachability.quorum_margin(control);
        if self.logged_margin.replace(margin) == Some(margin) {
            return;
        }
        let QuorumMargin { acceptors, responding, tolerated_failures } = margin;
        match tolerated_failures {
            Some(0) => log::warn!(responding, acceptors; "quorum: no further failure is tolerated"),
            Some(failures) => {
                log::info!(responding, acceptors, tolerated_failures = failures; "quorum: further failures are tolerated");
            }
            None => log::warn!(responding, acceptors; "quorum: no majority of the acceptors replies"),
        }
    }
}
