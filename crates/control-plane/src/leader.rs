//! The leader lease of this process and the duties that go with it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use futures_util::stream::{FuturesUnordered, StreamExt};
use lease::{Action, Candidate, GrantorId, LeaseReply, LeaseRequest};
use register::Member;
use state::change::{may_order_at_once, with_fence, with_order_holder};
use state::ControlState;

use crate::messages::paths;
use crate::orders::CALL_TIMEOUT as ORDER_TIMEOUT;
use crate::{Proposer, ViewCell};

/// How long a grant lasts.
pub const LEASE_TTL: Duration = Duration::from_millis(1500);
/// How long a grantor may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// The shortest pause between two looks at what to do.
const WAIT_LEAST: Duration = Duration::from_millis(5);
/// How long raising the fencing token may take.
const FENCE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Whether this process leads, told to all its parts.
#[derive(Default)]
pub struct Leadership {
    held: Mutex<Option<Held>>,
}

#[derive(Clone, Copy)]
struct Held {
    fence: u64,
    until: Instant,
    orders_from: Instant,
    /// The register holds that this station sends orders.
    is_noted: bool,
}

impl Leadership {
    /// The fencing token, while the lease is held.
    #[must_use]
    pub fn fence(&self) -> Option<u64> {
        self.held().filter(|held| Instant::now() < held.until).map(|held| held.fence)
    }

    /// The fencing token, once no order of another holder can have been sent within the time that must lie between.
    #[must_use]
    pub fn fence_for_orders(&self) -> Option<u64> {
        let now = Instant::now();
        let may_order = |held: &Held| held.is_noted && now < held.until && now >= held.orders_from;
        self.held().filter(may_order).map(|held| held.fence)
    }

    fn note_order_holder(&self, fence: u64) {
        if let Some(held) = self.lock().as_mut().filter(|held| held.fence == fence) {
            held.is_noted = true;
        }
    }

    fn held(&self) -> Option<Held> {
        *self.lock()
    }

    fn lock(&self) -> MutexGuard<'_, Option<Held>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Seeks the lease and renews it, for as long as the process runs.
///
/// `between_holders` is the time that must lie between the orders of two holders.
pub async fn run_leader(
    station: String,
    between_holders: Duration,
    leadership: Arc<Leadership>,
    view: Arc<ViewCell>,
    proposer: Arc<Proposer>,
    client: rpc::Client,
) {
    let began = Instant::now();
    let name = format!("{station}#{:016x}", fastrand::u64(..));
    let mut candidate = Candidate::new(name, LEASE_TTL);
    loop {
        match candidate.next_action(began.elapsed()) {
            Action::Wait(until) => {
                tokio::time::sleep(until.saturating_sub(began.elapsed()).max(WAIT_LEAST)).await
            }
            Action::GiveUp => give_up(&mut candidate, began, &view, &client).await,
            Action::Ask => {
                let control = Arc::clone(&view.view().control);
                if !control.acceptors.iter().any(|member| member.station == station) {
                    tokio::time::sleep(LEASE_TTL / 4).await;
                    continue;
                }
                ask_all(&mut candidate, began, &control, &client).await;
                let until = began + candidate.held_until();
                if candidate.holds(began.elapsed()) {
                    hold(&leadership, until, between_holders, &proposer, &station).await;
                    note_order_holder(&leadership, &proposer, &station).await;
                }
            }
        }
    }
}

/// One round at all acceptors; ends as soon as the lease is won or the round is lost.
async fn ask_all(candidate: &mut Candidate, began: Instant, control: &ControlState, client: &rpc::Client) {
    let acceptors = &control.acceptors;
    let grantors: Vec<GrantorId> = acceptors.iter().map(|member| GrantorId(member.incarnation.0)).collect();
    let held_before = candidate.held_until();
    let request = candidate.begin(began.elapsed(), control.revision, &grantors);
    let mut calls: FuturesUnordered<_> =
        acceptors.iter().map(|member| ask(client, member.clone(), request.clone())).collect();
    while let Some((member, reply)) = calls.next().await {
        if let Some(reply) = reply {
            candidate.on_reply(request.term, GrantorId(member.incarnation.0), &reply);
        }
        if candidate.held_until() > held_before {
            return;
        }
    }
}

async fn give_up(candidate: &mut Candidate, began: Instant, view: &ViewCell, client: &rpc::Client) {
    let Some(release) = candidate.give_up(began.elapsed()) else { return };
    for member in view.view().control.acceptors.clone() {
        let (client, release) = (client.clone(), release.clone());
        tokio::spawn(async move {
            let _: Result<(), _> = client.call(&member.address, paths::RELEASE, &release, CALL_TIMEOUT).await;
        });
    }
}

/// Notes that the lease is held; at the first time raises the fencing token.
async fn hold(
    leadership: &Leadership,
    until: Instant,
    between_holders: Duration,
    proposer: &Proposer,
    station: &str,
) {
    let renewed = leadership.held().filter(|held| Instant::now() < held.until);
    if let Some(held) = renewed {
        *leadership.lock() = Some(Held { until, ..held });
        return;
    }
    *leadership.lock() = None;
    let raised = proposer
        .change(Instant::now() + FENCE_TIMEOUT, |state| Ok::<_, ()>(with_fence(state, station)))
        .await;
    let Ok(value) = raised else { return };
    let orders_from = match may_order_at_once(&value.value, station) {
        true => Instant::now(),
        false => Instant::now() + between_holders + ORDER_TIMEOUT,
    };
    log::info!("leads with fencing token {}", value.value.fence);
    let is_noted = value.value.order_holder.as_deref() == Some(station);
    *leadership.lock() = Some(Held { fence: value.value.fence, until, orders_from, is_noted });
}

/// Once the time between two holders is over, notes in the register that this station sends orders. Only then does
/// it send any, so that a later holder knows whether it must wait for this one.
async fn note_order_holder(leadership: &Leadership, proposer: &Proposer, station: &str) {
    let now = Instant::now();
    let due = |held: &Held| !held.is_noted && now < held.until && now >= held.orders_from;
    let Some(held) = leadership.held().filter(due) else { return };
    let note = |state: &ControlState| with_order_holder(state, station, held.fence);
    if proposer.change(now + FENCE_TIMEOUT, note).await.is_ok() {
        leadership.note_order_holder(held.fence);
    }
}

async fn ask(client: &rpc::Client, member: Member, request: LeaseRequest) -> (Member, Option<LeaseReply>) {
    let reply = client.call(&member.address, paths::LEASE, &request, CALL_TIMEOUT).await;
    (member, reply.ok())
}
