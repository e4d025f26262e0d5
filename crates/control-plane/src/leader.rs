//! The leader lease of this process and the duties that go with it.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use futures_util::stream::{FuturesUnordered, StreamExt};
use lease::{Action, Candidate, GrantorId, LeaseReply, LeaseRequest};
use register::Member;
use state::ControlState;

use crate::messages::paths;
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
        self.held().filter(|held| now < held.until && now >= held.orders_from).map(|held| held.fence)
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
                let acceptors = view.view().control.acceptors.clone();
                if !acceptors.iter().any(|member| member.station == station) {
                    tokio::time::sleep(LEASE_TTL / 4).await;
                    continue;
                }
                ask_all(&mut candidate, began, acceptors, &client).await;
                let until = began + candidate.held_until();
                if candidate.holds(began.elapsed()) {
                    hold(&leadership, until, between_holders, &proposer, &station).await;
                }
            }
        }
    }
}

/// One round at all acceptors; ends as soon as the lease is won or the round is lost.
async fn ask_all(candidate: &mut Candidate, began: Instant, acceptors: Vec<Member>, client: &rpc::Client) {
    let grantors: Vec<GrantorId> = acceptors.iter().map(|member| GrantorId(member.incarnation.0)).collect();
    let held_before = candidate.held_until();
    let request = candidate.begin(began.elapsed(), &grantors);
    let mut calls: FuturesUnordered<_> =
        acceptors.into_iter().map(|member| ask(client, member, request.clone())).collect();
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
    let won_at = Instant::now();
    let raised =
        proposer.change(won_at + FENCE_TIMEOUT, |state| Ok::<_, ()>(with_fence(state, station))).await;
    let Ok(value) = raised else { return };
    let previous = value.value.fence_holder_before.as_deref();
    let is_first = previous.is_none_or(|before| before == station);
    let orders_from = if is_first { won_at } else { won_at + between_holders };
    log::info!("leads with fencing token {}", value.value.fence);
    *leadership.lock() = Some(Held { fence: value.value.fence, until, orders_from });
}

fn with_fence(state: &ControlState, station: &str) -> ControlState {
    let mut next = state.clone();
    next.revision += 1;
    next.fence += 1;
    next.fence_holder_before = next.fence_holder.replace(station.to_owned());
    next
}

async fn ask(client: &rpc::Client, member: Member, request: LeaseRequest) -> (Member, Option<LeaseReply>) {
    let reply = client.call(&member.address, paths::LEASE, &request, CALL_TIMEOUT).await;
    (member, reply.ok())
}

/// When each member was last heard of, by the leader's pings.
#[derive(Default)]
pub(crate) struct Reachability {
    heard_at: HashMap<Member, Instant>,
}

impl Reachability {
    /// Notes an answer, or that a member was first missed.
    pub(crate) fn note(&mut self, member: &Member, answered: bool) {
        let now = Instant::now();
        if answered {
            self.heard_at.insert(member.clone(), now);
        } else {
            self.heard_at.entry(member.clone()).or_insert(now);
        }
    }

    /// How long a member has not been heard of.
    pub(crate) fn silent_for(&self, member: &Member) -> Duration {
        self.heard_at.get(member).map_or(Duration::ZERO, Instant::elapsed)
    }
}
