//! The leader lease of this process and the duties that go with it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::future::join_all;
use futures_util::stream::{FuturesUnordered, StreamExt};
use lease::{Candidate, CandidateAction, GrantorId, LeaseRelease, LeaseReply, LeaseRequest};
use register::{Member, Versioned};
use state::change::{
    may_issue_orders_immediately, with_order_issuer, with_raised_fence, LeaderLease, Superseded,
};
use state::ControlState;
use tokio::sync::{watch, Notify};
use tokio::time::Instant;

use crate::core_service::grantors_of;
use crate::messages::paths;
use crate::ping::ping_address;
use crate::server_calls::CALL_TIMEOUT as ORDER_TIMEOUT;
use crate::{ChangeFailure, Proposer, ViewCell};

/// How long a grant lasts.
pub const LEASE_TTL: Duration = Duration::from_millis(1500);
/// How long a grantor may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// The shortest pause between two looks at what to do.
const WAIT_LEAST: Duration = Duration::from_millis(5);
/// How long the holder before may take to tell that it is there.
const FORMER_TIMEOUT: Duration = Duration::from_millis(250);
/// How long raising the fencing token may take.
const FENCE_TIMEOUT: Duration = Duration::from_millis(1000);

/// What must lie between the orders of two holders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderGap {
    /// The time between the last order of one holder and the first of the next.
    pub between_holders: Duration,
    /// Servers refuse orders with a lower fencing token than they have seen. Then only holders that run undisturbed
    /// must keep the time between them.
    pub fence_checked: bool,
}

/// Whether this process leads, told to all its parts.
pub struct Leadership {
    began: Instant,
    view: Arc<ViewCell>,
    held: Mutex<Option<LeaderLease>>,
    stage: watch::Sender<Stage>,
    may_order: Notify,
}

/// Whether this process still wants the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// It seeks or holds it.
    Seeking,
    /// It is to give it back.
    Leaving,
    /// It has given it back.
    Left,
}

impl Leadership {
    /// Of a process that does not lead yet, and knows of other holders what `view` shows.
    #[must_use]
    pub fn new(view: Arc<ViewCell>) -> Self {
        let stage = watch::Sender::new(Stage::Seeking);
        Self { began: Instant::now(), view, held: Mutex::new(None), stage, may_order: Notify::new() }
    }

    /// The fencing token, while the lease is held and no higher token is known to be handed out.
    #[must_use]
    pub fn fence(&self) -> Option<u64> {
        self.held()?.fence_at(self.now()).filter(|fence| !self.is_outdated(*fence))
    }

    /// The fencing token, once no order of another holder can have been sent within the time that must lie between.
    #[must_use]
    pub fn fence_for_orders(&self) -> Option<u64> {
        self.held()?.fence_for_orders_at(self.now()).filter(|fence| !self.is_outdated(*fence))
    }

    /// Whether the lease is held, but the register has a higher fencing token than the one it was won with.
    fn is_superseded(&self) -> bool {
        let fence = self.held().and_then(|held| held.fence_at(self.now()));
        fence.is_some_and(|fence| self.is_outdated(fence))
    }

    fn is_outdated(&self, fence: u64) -> bool {
        self.view.view().control.fence > fence
    }

    /// Gives the lease back before the process ends, so that the next holder need not wait for it to run out.
    /// Orders stop at once; returns when the grantors were told, or after a moment.
    pub async fn resign(&self) {
        *self.lock() = None;
        let mut stage = self.stage.subscribe();
        if self.stage.receiver_count() == 1 {
            return;
        }
        self.stage.send_replace(Stage::Leaving);
        let left = stage.wait_for(|stage| *stage == Stage::Left);
        let _ = tokio::time::timeout(CALL_TIMEOUT * 2, left).await;
    }

    /// Waits until [`Leadership::fence_for_orders`] may have become known.
    pub(crate) async fn may_order(&self) {
        self.may_order.notified().await;
    }

    /// Wakes who waits to send orders.
    fn announce_orders(&self) {
        if self.fence_for_orders().is_some() {
            self.may_order.notify_one();
        }
    }

    /// The steady clock of the lease.
    fn now(&self) -> Duration {
        self.began.elapsed()
    }

    fn held(&self) -> Option<LeaderLease> {
        *self.lock()
    }

    fn lock(&self) -> MutexGuard<'_, Option<LeaderLease>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Seeks the lease and renews it, for as long as the process runs.
///
/// `gap` is what must lie between its orders and those of the holder before.
pub async fn run_leader(
    station: String,
    gap: OrderGap,
    leadership: Arc<Leadership>,
    view: Arc<ViewCell>,
    proposer: Arc<Proposer>,
    client: rpc::Client,
) {
    let began = leadership.began;
    let mut stage = leadership.stage.subscribe();
    let name = format!("{station}#{:016x}", fastrand::u64(..));
    let mut candidate = Candidate::new(name, LEASE_TTL);
    loop {
        if *stage.borrow_and_update() == Stage::Leaving {
            let release = candidate.resign(began.elapsed());
            *leadership.lock() = None;
            give_back(release, &view, &client).await;
            leadership.stage.send_replace(Stage::Left);
            return;
        }
        if leadership.is_superseded() {
            log::warn!("gives the lease back: a higher fencing token was handed out");
            let release = candidate.resign(began.elapsed());
            *leadership.lock() = None;
            give_back(release, &view, &client).await;
            continue;
        }
        match candidate.next_action(began.elapsed()) {
            CandidateAction::WaitUntil(until) => {
                let now = began.elapsed();
                let order_wait = leadership
                    .held()
                    .and_then(|held| held.order_issuer_due_at(now).or_else(|| held.orders_allowed_at(now)));
                let wake = order_wait.map_or(until, |end| end.min(until));
                let wait = wake.saturating_sub(began.elapsed()).max(WAIT_LEAST);
                // A change of the stage is seen at the head of the loop.
                let is_leaving = tokio::time::timeout(wait, stage.changed()).await.is_ok();
                if order_wait.is_some() && !is_leaving {
                    note_order_holder(&leadership, &proposer, &station).await;
                    leadership.announce_orders();
                }
            }
            CandidateAction::AbandonRound => give_up(&mut candidate, began, &view, &client).await,
            CandidateAction::StartRound => {
                let control = Arc::clone(&view.view().control);
                if !control.acceptors.iter().any(|member| member.name == station) {
                    tokio::time::sleep(LEASE_TTL / 4).await;
                    continue;
                }
                // A station that may send orders at once saves the servers the wait between two holders.
                candidate.set_deferring(!may_issue_orders_immediately(&control, &station));
                candidate.set_bootstrap_grantors(control.has_initial_acceptors());
                ask_all(&mut candidate, began, &control, &client).await;
                let until = candidate.expires_at();
                if candidate.holds_lease(began.elapsed()) {
                    let winner = Winner { station: &station, proposer: &proposer, client: &client, gap };
                    winner.hold(&leadership, until).await;
                    note_order_holder(&leadership, &proposer, &station).await;
                }
            }
        }
    }
}

/// One round at all acceptors; ends as soon as the lease is won or the round is lost.
async fn ask_all(candidate: &mut Candidate, began: Instant, control: &ControlState, client: &rpc::Client) {
    let acceptors = &control.acceptors;
    let held_before = candidate.expires_at();
    let request = candidate.start_round(began.elapsed(), control.revision, &grantors_of(control));
    let mut calls: FuturesUnordered<_> =
        acceptors.iter().map(|member| ask(client, member.clone(), request.clone())).collect();
    while let Some((member, reply)) = calls.next().await {
        if let Some(reply) = reply {
            candidate.on_reply(request.term, GrantorId(member.incarnation.0), &reply);
        }
        if candidate.expires_at() > held_before {
            return;
        }
    }
}

async fn give_up(candidate: &mut Candidate, began: Instant, view: &ViewCell, client: &rpc::Client) {
    let Some(release) = candidate.abandon_round(began.elapsed()) else { return };
    let (view, client) = (view.view(), client.clone());
    tokio::spawn(async move { tell_all(release, &view.control.acceptors, &client).await });
}

/// Tells all grantors that the lease is not wanted any more.
async fn give_back(release: LeaseRelease, view: &ViewCell, client: &rpc::Client) {
    let control = Arc::clone(&view.view().control);
    tell_all(release, &control.acceptors, client).await;
}

async fn tell_all(release: LeaseRelease, acceptors: &[Member], client: &rpc::Client) {
    let told = acceptors.iter().map(|member| async {
        let told: Result<(), _> = client.call(&member.address, paths::RELEASE, &release, CALL_TIMEOUT).await;
        told.is_ok()
    });
    let told = join_all(told).await;
    log::debug!(
        "{} of {} grantors were told of a release",
        told.iter().filter(|told| **told).count(),
        told.len()
    );
}

/// A process that has won or renewed the lease.
struct Winner<'a> {
    station: &'a str,
    proposer: &'a Proposer,
    client: &'a rpc::Client,
    gap: OrderGap,
}

impl Winner<'_> {
    /// Notes that the lease is held; at the first time raises the fencing token.
    async fn hold(&self, leadership: &Leadership, until: Duration) {
        let earlier = leadership.held();
        if let Some(renewed) = earlier.and_then(|held| held.renewed(leadership.now(), until)) {
            *leadership.lock() = Some(renewed);
            return;
        }
        let Some(value) = raise_fence(leadership, until, self.proposer, self.station).await else { return };
        let wait = self.wait_before_orders(&value.value).await;
        log::info!("leads with fencing token {}, orders after {} ms", value.value.fence, wait.as_millis());
        let won =
            LeaderLease::acquired(&value.value, self.station, leadership.now(), until, wait, ORDER_TIMEOUT);
        *leadership.lock() = Some(earlier.map_or(won, |earlier| won.continuing(earlier)));
        leadership.announce_orders();
    }

    /// How long this holder of the lease must wait before it sends orders.
    async fn wait_before_orders(&self, state: &ControlState) -> Duration {
        let is_free = may_issue_orders_immediately(state, self.station)
            || self.gap.fence_checked && self.is_former_out(state).await;
        if is_free {
            Duration::ZERO
        } else {
            self.gap.between_holders + ORDER_TIMEOUT
        }
    }

    /// Whether the process that last was free to send orders does not answer, or does not run undisturbed.
    async fn is_former_out(&self, state: &ControlState) -> bool {
        let Some(former) = &state.order_issuer else { return true };
        let mut members = state.acceptors.iter().chain(&state.standbys);
        let Some(member) = members.find(|member| member.name == *former) else { return true };
        let reply = ping_address(self.client, member, FORMER_TIMEOUT).await;
        !reply.is_some_and(|reply| reply.is_steady)
    }
}

/// Raises the fencing token for the lease that ends at `until`. Each try is conditional on the token that was seen
/// while the lease was held, so that a try that is carried out after its end changes nothing.
async fn raise_fence(
    leadership: &Leadership,
    until: Duration,
    proposer: &Proposer,
    station: &str,
) -> Option<Versioned<ControlState>> {
    let deadline = Instant::now() + FENCE_TIMEOUT;
    loop {
        let seen = leadership.view.view().control.fence;
        if leadership.now() >= until || Instant::now() >= deadline {
            return None;
        }
        let raise = |state: &ControlState| with_raised_fence(state, station, seen);
        match proposer.change(deadline, raise).await {
            Ok(value) => return Some(value),
            Err(ChangeFailure::Declined(Superseded)) => {}
            Err(ChangeFailure::Unclear) => return None,
        }
    }
}

/// Once the time between two holders is over, notes in the register that this station sends orders. Only then does
/// it send any, so that a later holder knows whether it must wait for this one.
async fn note_order_holder(leadership: &Leadership, proposer: &Proposer, station: &str) {
    let due = leadership.held().and_then(|held| held.order_issuer_due(leadership.now()));
    let Some(fence) = due else { return };
    let note = |state: &ControlState| with_order_issuer(state, station, fence);
    if proposer.change(Instant::now() + FENCE_TIMEOUT, note).await.is_ok() {
        if let Some(held) = leadership.lock().as_mut() {
            held.record_order_issuer(fence);
        }
        leadership.announce_orders();
    }
}

async fn ask(client: &rpc::Client, member: Member, request: LeaseRequest) -> (Member, Option<LeaseReply>) {
    let reply = client.call(&member.address, paths::LEASE, &request, CALL_TIMEOUT).await;
    (member, reply.ok())
}
