//! The long poll of a process: how it learns of a newer control state and list of servers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::distribution::NO_BALLOT;
use crate::messages::{paths, PollReply, PollRequest};
use crate::ViewCell;

/// How long a peer may hold a poll.
const HOLD: Duration = Duration::from_millis(450);
/// How much longer the answer may take.
const GRACE: Duration = Duration::from_millis(300);
/// A peer whose last confirmation by a majority is older is left for another.
const CONFIRMED_AGE_MOST: Duration = Duration::from_millis(900);
/// Pause after a failed poll.
const PAUSE: Duration = Duration::from_millis(60);

/// Polls one peer after the other, and stays with one that is confirmed by a majority.
///
/// `seeds` are asked until the acceptors are known; `this_address` is this process, which is not asked.
pub async fn run_poller(view: Arc<ViewCell>, client: rpc::Client, seeds: Vec<String>, this_address: String) {
    let mut next: usize = fastrand::usize(..1024);
    loop {
        let peers = peers(&view, &seeds, &this_address);
        let Some(peer) = peers.get(next % peers.len().max(1)) else {
            tokio::time::sleep(HOLD).await;
            continue;
        };
        match poll_once(&view, &client, peer).await {
            Some(reply) if is_confirmed(&reply) => {}
            Some(_) => {
                next += 1;
                tokio::time::sleep(PAUSE).await;
            }
            None => {
                next += 1;
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

fn is_confirmed(reply: &PollReply) -> bool {
    reply.confirmed_age_ms.is_some_and(|age| u128::from(age) <= CONFIRMED_AGE_MOST.as_millis())
}

/// The acceptors, or the seeds where none is known; every fourth turn of a lost process goes to a seed.
fn peers(view: &ViewCell, seeds: &[String], this_address: &str) -> Vec<String> {
    let control = &view.view().control;
    let known = control.acceptors.iter().map(|member| member.address.clone());
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
    let servers = view.view().servers.version;
    // The first answer is wanted at once.
    let hold = if view.confirmed_age().is_none() { Duration::ZERO } else { HOLD };
    let request = PollRequest { ballot, servers, hold_ms: u32::try_from(hold.as_millis()).unwrap_or(0) };
    let reply: PollReply = client.call(peer, paths::POLL, &request, hold + GRACE).await.ok()?;
    let now = Instant::now();
    if let Some(newer) = &reply.control {
        view.adopt_control(newer);
    }
    if let Some(newer) = reply.servers.clone() {
        view.adopt_servers(newer);
    }
    let ago = |age: u32| now.checked_sub(Duration::from_millis(age.into()));
    if let Some(at) = reply.confirmed_age_ms.and_then(ago) {
        view.confirm(at);
    }
    if let Some(at) = reply.servers_age_ms.and_then(ago) {
        view.servers_read(at);
    }
    Some(reply)
}
