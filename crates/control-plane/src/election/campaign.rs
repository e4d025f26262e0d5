//! Participation of this process in the leader election: it requests the lease, renews it and releases it.

use std::sync::Arc;
use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};
use lease::{Candidate, CandidateAction, GrantorId};
use state::change::may_issue_orders_immediately;
use state::ControlState;
use tokio::sync::watch;

use super::fencing::Fencing;
use super::leadership::ElectionStage;
use super::lease_calls::{broadcast_release, request_lease};
use super::{grantors_of, Leadership, OrderGap, LEASE_TTL};
use crate::{Proposer, ViewCell};

/// Minimum pause between two steps of the election.
const MIN_WAIT: Duration = Duration::from_millis(5);
/// Pause of a process that is not an acceptor and therefore cannot become the leader, before it checks again.
const INELIGIBLE_PAUSE: Duration = Duration::from_millis(375);

/// Participation of this process in the leader election.
pub struct LeaderElection {
    /// Name of this member, as it appears in the control state.
    pub member_name: String,
    /// Delay that is required between the orders of the previous leader and those of this one.
    pub order_gap: OrderGap,
    /// Leadership of this process, through which its other parts read the lease.
    pub leadership: Arc<Leadership>,
    /// The newest control state and server list that this process has adopted.
    pub view: Arc<ViewCell>,
    /// Proposes changes of the control state to the acceptors.
    pub proposer: Arc<Proposer>,
    /// Client for internal calls to other processes.
    pub client: rpc::Client,
}

impl LeaderElection {
    /// Requests the lease and renews it, until [`Leadership::resign`] is called or the process ends.
    pub async fn run(self) {
        Campaign::start(self).run().await;
    }
}

/// State of the running election. Drives the candidate of the lease protocol, and raises the fencing token
/// when the candidate acquires the lease.
struct Campaign {
    member_name: String,
    leadership: Arc<Leadership>,
    view: Arc<ViewCell>,
    client: rpc::Client,
    fencing: Fencing,
    candidate: Candidate,
    stage: watch::Receiver<ElectionStage>,
}

impl Campaign {
    fn start(election: LeaderElection) -> Self {
        let LeaderElection { member_name, order_gap, leadership, view, proposer, client } = election;
        let stage = leadership.subscribe_stage();
        // The random suffix makes the name unique among the incarnations of one member.
        let candidate_name = format!("{member_name}#{:016x}", fastrand::u64(..));
        let fencing = Fencing {
            member_name: member_name.clone(),
            order_gap,
            leadership: Arc::clone(&leadership),
            proposer,
            client: client.clone(),
        };
        let candidate = Candidate::new(candidate_name, LEASE_TTL);
        Self { member_name, leadership, view, client, fencing, candidate, stage }
    }

    async fn run(mut self) {
        while *self.stage.borrow_and_update() != ElectionStage::Resigning {
            if self.leadership.is_superseded() {
                log::warn!("lease released: a higher fencing token was issued");
                self.release_lease().await;
                continue;
            }
            match self.candidate.next_action(self.leadership.now()) {
                CandidateAction::WaitUntil(until) => self.wait(until).await,
                CandidateAction::AbandonRound => self.abandon_round(),
                CandidateAction::StartRound => self.acquire_or_renew_lease().await,
            }
        }
        self.release_lease().await;
        self.leadership.set_resigned();
    }

    /// Waits until the candidate's next step, or until the next step towards sending orders is due. Ends
    /// early if the stage changes.
    async fn wait(&mut self, until: Duration) {
        let orders_due_at = self.orders_due_at();
        let wake_at = orders_due_at.map_or(until, |due_at| due_at.min(until));
        let pause = wake_at.saturating_sub(self.leadership.now()).max(MIN_WAIT);
        let is_stage_changed = tokio::time::timeout(pause, self.stage.changed()).await.is_ok();
        if orders_due_at.is_some() && !is_stage_changed {
            self.fencing.record_order_issuer().await;
            self.leadership.notify_if_orders_allowed();
        }
    }

    /// Returns the time of the next step towards sending orders: recording this leader as the issuer of
    /// orders, or the time from which orders are allowed. Returns `None` if there is nothing to wait for.
    fn orders_due_at(&self) -> Option<Duration> {
        let now = self.leadership.now();
        let lease = self.leadership.lease()?;
        lease.order_issuer_due_at(now).or_else(|| lease.orders_allowed_at(now))
    }

    /// Ends a round in which the lease can no longer be granted. The release is sent in the background.
    fn abandon_round(&mut self) {
        let Some(release) = self.candidate.abandon_round(self.leadership.now()) else { return };
        let (view, client) = (self.view.view(), self.client.clone());
        tokio::spawn(async move { broadcast_release(&client, release, &view.control.acceptors).await });
    }

    /// Requests or renews the lease in one round, if this member is an acceptor. On success, raises the
    /// fencing token and records the issuer of orders where necessary. A process that shuts down renews its
    /// lease, but acquires none.
    async fn acquire_or_renew_lease(&mut self) {
        let control = Arc::clone(&self.view.view().control);
        let is_acceptor = control.acceptors.iter().any(|member| member.name == self.member_name);
        let is_shutting_down = *self.stage.borrow() != ElectionStage::Running;
        if !is_acceptor || is_shutting_down && !self.candidate.holds_lease(self.leadership.now()) {
            tokio::time::sleep(INELIGIBLE_PAUSE).await;
            return;
        }
        // If this member may not send orders immediately, its candidate defers to the others. A leader that
        // may send them immediately avoids the delay between the orders of two leaders.
        self.candidate.set_deferring(!may_issue_orders_immediately(&control, &self.member_name));
        self.candidate.set_bootstrap_grantors(control.has_initial_acceptors());
        self.run_round(&control).await;
        let expires_at = self.candidate.expires_at();
        if self.candidate.holds_lease(self.leadership.now()) {
            self.fencing.on_lease_granted(expires_at).await;
            self.fencing.record_order_issuer().await;
        }
    }

    /// Runs one round of requests to all grantors. Ends as soon as the lease is granted or all calls have
    /// ended.
    async fn run_round(&mut self, control: &ControlState) {
        let client = &self.client;
        let previous_expiry = self.candidate.expires_at();
        let grantors = grantors_of(control);
        let request = self.candidate.start_round(self.leadership.now(), control.revision, &grantors);
        let mut calls: FuturesUnordered<_> = control
            .acceptors
            .iter()
            .map(|member| request_lease(client, member.clone(), request.clone()))
            .collect();
        while let Some((member, reply)) = calls.next().await {
            if let Some(reply) = reply {
                self.candidate.on_reply(request.term, GrantorId(member.incarnation.0), &reply);
            }
            if self.candidate.expires_at() > previous_expiry {
                return;
            }
        }
    }

    /// Releases the lease and notifies all grantors.
    async fn release_lease(&mut self) {
        let release = self.candidate.resign(self.leadership.now());
        self.leadership.set_lease(None);
        let control = Arc::clone(&self.view.view().control);
        broadcast_release(&self.client, release, &control.acceptors).await;
    }
}
