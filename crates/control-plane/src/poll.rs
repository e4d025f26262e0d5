//! The long poll of a process: how it learns of a newer control state and list of servers.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use crate::distribution::NO_BALLOT;
use crate::messages::{paths, PollReply, PollRequest, CONFIRMED_AGE_MOST};
use crate::{AcceptorGossip, Leadership, ViewCell};

/// How long a peer may hold a poll.
const HOLD: Duration = Duration::from_millis(450);
/// How much longer the answer may take.
const GRACE: Duration = Duration::from_millis(300);
/// Pause after a failed poll.
const PAUSE: Duration = Duration::from_millis(60);
/// A process that finds no fresh peer says so after this time, and again each time that it has passed.
const WARN_EVERY: Duration = Duration::from_secs(3);

/// Polls one peer after the other, and stays with one that is confirmed by a majority and has a fresh list.
///
/// `seeds`, and the acceptors that others introduced, are asked until the acceptors are known; `this_address` is this process, which is not asked. A process
/// that may lead gives its `leadership`: it polls the leader first, and nobody while it leads itself.
pub async fn run_poller(
    view: Arc<ViewCell>,
    client: rpc::Client,
    seeds: watch::Receiver<Vec<String>>,
    introductions: Arc<AcceptorGossip>,
    this_address: String,
    leadership: Option<Arc<Leadership>>,
) {
    let mut next: usize = if leadership.is_some() { 0 } else { fastrand::usize(..1024) };
    let mut leader = None;
    let mut search = Search::begin();
    loop {
        if leadership.as_ref().is_some_and(|leadership| leadership.fence().is_some()) {
            next = 0;
            search = Search::begin();
            tokio::time::sleep(HOLD).await;
            continue;
        }
        let present = view.view().control.fence_owner.clone();
        if leadership.is_some() && present != leader {
            (next, leader) = (0, present);
        }
        let mut others = introductions.acceptors();
        others.extend(seeds.borrow().iter().cloned());
        let peers = peers(&view, &others, &this_address, leadership.is_some());
        let Some(peer) = peers.get(next % peers.len().max(1)) else {
            tokio::time::sleep(HOLD).await;
            continue;
        };
        match poll_once(&view, &client, peer).await {
            Some(reply) if reply.is_fresh() => search = Search::begin(),
            Some(_) | None => {
                next += 1;
                search.warn_if_long(&view, &peers);
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// The search for a peer that is confirmed by a majority and has a fresh list.
struct Search {
    began: Instant,
    warned: Instant,
}

impl Search {
    fn begin() -> Self {
        let now = Instant::now();
        Self { began: now, warned: now }
    }

    /// Tells now and then that it goes on for long, so that a process that has lost the others can be seen.
    fn warn_if_long(&mut self, view: &ViewCell, peers: &[String]) {
        if self.warned.elapsed() < WARN_EVERY {
            return;
        }
        self.warned = Instant::now();
        log::warn!(
            "for {} ms no peer has told a confirmed state and a fresh list; {} acceptors are known, asked are {}",
            self.began.elapsed().as_millis(),
            view.view().control.acceptors.len(),
            peers.join(" ")
        );
    }
}

/// The acceptors, the leader first where wanted; `others` too where none is known or nothing was confirmed of late.
fn peers(view: &ViewCell, others: &[String], this_address: &str, leader_first: bool) -> Vec<String> {
    let control = &view.view().control;
    let mut known: Vec<_> = control.acceptors.iter().collect();
    if leader_first {
        known.sort_by_key(|member| control.fence_owner.as_deref() != Some(&*member.name));
    }
    let known = known.into_iter().map(|member| member.address.clone());
    let mut peers: Vec<String> = known.filter(|address| address != this_address).collect();
    let lost = view.confirmed_age().is_none_or(|age| age > 4 * CONFIRMED_AGE_MOST);
    if peers.is_empty() || lost {
        for other in others.iter().filter(|other| *other != this_address) {
            if !peers.contains(other) {
                peers.push(other.clone());
            }
        }
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
        edition: held.control.configuration_version,
        servers: held.servers.version,
        hold_ms: u32::try_from(hold.as_millis()).unwrap_or(0),
    };
    let reply: PollReply = client.call(peer, paths::POLL, &request, hold + GRACE).await.ok()?;
    view.adopt_reply(&reply, Instant::now());
    Some(reply)
}
