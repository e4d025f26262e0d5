//! The long poll of a process: how it learns of a newer control state and list of servers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::distribution::NO_BALLOT;
use crate::messages::{paths, PollReply, PollRequest};
use crate::{Leadership, ViewCell};

/// How long a peer may hold a poll.
const HOLD: Duration = Duration::from_millis(450);
/// How much longer the answer may take.
const GRACE: Duration = Duration::from_millis(300);
/// A peer whose last confirmation by a majority is older is left for another.
const CONFIRMED_AGE_MOST: Duration = Duration::from_millis(900);
/// A peer whose list of servers is older is left for another.
const SERVERS_AGE_MOST: Duration = Duration::from_millis(2000);
/// Pause after a failed poll.
const PAUSE: Duration = Duration::from_millis(60);

/// Polls one peer after the other, and stays with one that is confirmed by a majority and has a fresh list.
///
/// `seeds` are asked until the acceptors are known; `this_address` is this process, which is not asked. A process
/// that may lead gives its `leadership`: it polls the leader first, and nobody while it leads itself.
pub async fn run_poller(
    view: Arc<ViewCell>,
    client: rpc::Client,
    seeds: Vec<String>,
    this_address: String,
    leadership: Option<Arc<Leadership>>,
) {
    let mut next: usize = if leadership.is_some() { 0 } else { fastrand::usize(..1024) };
    loop {
        if leadership.as_ref().is_some_and(|leadership| leadership.fence().is_some()) {
            next = 0;
            tokio::time::sleep(HOLD).await;
            continue;
        }
        let peers = peers(&view, &seeds, &this_address, leadership.is_some());
        let Some(peer) = peers.get(next % peers.len().max(1)) else {
            tokio::time::sleep(HOLD).await;
            continue;
        };
        match poll_once(&view, &client, peer).await {
            Some(reply) if is_fresh(&reply) => {}
            Some(_) | None => {
                next += 1;
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

fn is_fresh(reply: &PollReply) -> bool {
    let within =
        |age: Option<u32>, most: Duration| age.is_some_and(|age| u128::from(age) <= most.as_millis());
    within(reply.confirmed_age_ms, CONFIRMED_AGE_MOST) && within(reply.servers_age_ms, SERVERS_AGE_MOST)
}

/// The acceptors, the leader first where wanted; the seeds too where none is known or nothing was confirmed of late.
fn peers(view: &ViewCell, seeds: &[String], this_address: &str, leader_first: bool) -> Vec<String> {
    let control = &view.view().control;
    let mut known: Vec<_> = control.acceptors.iter().collect();
    if leader_first {
        known.sort_by_key(|member| control.fence_holder.as_deref() != Some(&*member.station));
    }
    let known = known.into_iter().map(|member| member.address.clone());
    let mut peers: Vec<String> = known.filter(|address| address != this_address).collect();
    let lost = view.confirmed_age().is_none_or(|age| age > 4 * CONFIRMED_AGE_MOST);
    if peers.is_empty() || lost {
        peers.extend(seeds.iter().filter(|seed| *seed != this_address).cloned());
        peers.dedup();
    }
    peers
}

/// Polls a peer once and adopts what is newer.
pub(crate) async fn poll_once(view: &ViewCell, client: &rpc::Client, peer: &str) -> Option<PollReply> {
    let ballot = view.committed().map_or(NO_BALLOT, |value| value.ballot);
    let held = view.view();
    // The first answer is wanted at once.
    let hold = if view.confirmed_age().is_none() { Duration::ZERO } else { HOLD };
    let request = PollRequest {
        ballot,
        edition: held.control.edition,
        servers: held.servers.version,
        hold_ms: u32::try_from(hold.as_millis()).unwrap_or(0),
    };
    let mut reply: PollReply = client.call(peer, paths::POLL, &request, hold + GRACE).await.ok()?;
    take_over(view, &mut reply, Instant::now());
    Some(reply)
}

/// Adopts what is newer in a reply that came at `now`. A control state that was confirmed at a time is no newer than
/// the one held here; but the age of a list says nothing of another list.
fn take_over(view: &ViewCell, reply: &mut PollReply, now: Instant) {
    if let Some(update) = reply.control.take() {
        let Some(newer) = update.apply(&view.view().control) else { return };
        view.adopt_control(&newer);
    }
    if let Some(newer) = reply.servers.take().and_then(|update| update.apply(&view.view().servers)) {
        view.adopt_servers(newer);
    }
    let ago = |age: u32| now.checked_sub(Duration::from_millis(age.into()));
    if let Some(at) = reply.confirmed_age_ms.and_then(ago) {
        view.confirm(at);
    }
    let holds_same = view.view().servers.version == reply.servers_version;
    if let Some(at) = reply.servers_age_ms.and_then(ago).filter(|_| holds_same) {
        view.servers_read(at);
    }
}
