//! Polling side of the long poll, and the selection of the peer to poll.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use super::messages::{PollReply, PollRequest, NO_BALLOT};
use crate::{paths, AcceptorGossip, Leadership, ViewCell};

/// Maximum time for which a peer may delay its reply. Also the pause while this process is the leader or has
/// no peer to poll.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(450);
/// Additional time after which a poll without a reply fails.
const REPLY_GRACE: Duration = Duration::from_millis(300);
/// Minimum pause after a poll that failed or whose peer is not fresh.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// The pause after a poll is the time that the search for a fresh peer has taken, divided by this number,
/// between [`RETRY_PAUSE`] and [`MAX_RETRY_PAUSE`].
const RETRY_PAUSE_DIVISOR: u32 = 40;
/// Maximum pause after a poll that failed or whose peer is not fresh. The growing pause limits the load of
/// polls in a fleet without a majority.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Duration of a search for a fresh peer after which a warning is logged. The warning is repeated at this
/// interval.
const WARN_INTERVAL: Duration = Duration::from_secs(3);
/// Duration of a search for a fresh peer after which a process that is out of contact polls all other members
/// too.
const ALL_MEMBERS_AFTER: Duration = Duration::from_millis(3600);
/// Number of start positions in the list of peers. A process that cannot become the leader draws one at
/// random, so that such processes are spread over the peers.
const START_POSITION_COUNT: usize = 1024;

/// Task that polls one peer after the other, and stays with a peer as long as it is fresh.
pub struct Poller {
    /// View that adopts the newer parts of replies.
    pub view: Arc<ViewCell>,
    /// Client for internal calls to other processes.
    pub client: rpc::Client,
    /// Internal addresses of the seeds in the present settings. They are polled if no acceptor in another
    /// process is known or this process is out of contact.
    pub seeds: watch::Receiver<Vec<String>>,
    /// Addresses of acceptors that this process has received by gossip; polled like seeds.
    pub gossip: Arc<AcceptorGossip>,
    /// Internal address of this process, which it does not poll.
    pub own_address: String,
    /// Leadership of this process; `None` if it cannot become the leader. A process that can become the
    /// leader polls the leader first, and no peer while it is the leader itself.
    pub leadership: Option<Arc<Leadership>>,
}

impl Poller {
    /// Polls peers until the process ends.
    pub async fn run(self) {
        let mut next_peer: usize = if self.may_lead() { 0 } else { fastrand::usize(..START_POSITION_COUNT) };
        let mut previous_leader = None;
        let mut search = PeerSearch::start();
        loop {
            if self.is_leader() {
                next_peer = 0;
                search = PeerSearch::start();
                tokio::time::sleep(LONG_POLL_TIMEOUT).await;
                continue;
            }
            let leader = self.view.view().control.fence_owner.clone();
            if self.may_lead() && leader != previous_leader {
                (next_peer, previous_leader) = (0, leader);
            }
            let peers = self.peers(&search);
            let Some(peer) = peers.get(next_peer % peers.len().max(1)) else {
                tokio::time::sleep(LONG_POLL_TIMEOUT).await;
                continue;
            };
            if self.poll(peer).await.is_some_and(|reply| reply.is_fresh()) {
                search = PeerSearch::start();
            } else {
                next_peer += 1;
                search.warn_if_long(&self.view, &peers);
                tokio::time::sleep(search.retry_pause()).await;
            }
        }
    }

    fn may_lead(&self) -> bool {
        self.leadership.is_some()
    }

    fn is_leader(&self) -> bool {
        self.leadership.as_ref().is_some_and(|leadership| leadership.fence().is_some())
    }

    /// Returns the internal addresses of the peers to poll: the acceptors in other processes, with the leader
    /// first if this process can become the leader. If there is no such acceptor or this process is out of
    /// contact, gossiped acceptors and seeds follow, and in a long search all other members in the control
    /// state, because they may still be members after all acceptors were replaced.
    fn peers(&self, search: &PeerSearch) -> Vec<String> {
        let control = &self.view.view().control;
        let mut acceptors: Vec<_> = control.acceptors.iter().collect();
        if self.may_lead() {
            acceptors.sort_by_key(|member| control.fence_owner.as_deref() != Some(&*member.name));
        }
        let addresses = acceptors.into_iter().map(|member| member.address.clone());
        let mut peers: Vec<String> = addresses.filter(|address| *address != self.own_address).collect();
        if peers.is_empty() || self.view.is_out_of_contact() {
            let mut others = self.gossip.acceptors();
            others.extend(self.seeds.borrow().iter().cloned());
            if search.started_at.elapsed() > ALL_MEMBERS_AFTER {
                others.extend(control.members().map(|member| member.address.clone()));
            }
            for other in others {
                if other != self.own_address && !peers.contains(&other) {
                    peers.push(other);
                }
            }
        }
        peers
    }

    /// Polls a peer once and adopts what is newer. Returns `None` if the call fails.
    async fn poll(&self, peer: &str) -> Option<PollReply> {
        let view = self.view.view();
        // A process that is out of contact searches for a fresh peer and needs the reply immediately.
        let max_wait = if self.view.is_out_of_contact() { Duration::ZERO } else { LONG_POLL_TIMEOUT };
        let request = PollRequest {
            ballot: self.view.committed().map_or(NO_BALLOT, |value| value.ballot),
            configuration_version: view.control.configuration_version,
            servers: view.servers.version,
            servers_base: self.view.leader_servers().version,
            max_wait_ms: u32::try_from(max_wait.as_millis()).unwrap_or(0),
        };
        let timeout = max_wait + REPLY_GRACE;
        let reply: PollReply = self.client.call(peer, paths::POLL, &request, timeout).await.ok()?;
        reply.apply_to(&self.view, Instant::now());
        Some(reply)
    }
}

/// Ongoing search for a fresh peer.
struct PeerSearch {
    started_at: Instant,
    warned_at: Instant,
}

impl PeerSearch {
    fn start() -> Self {
        let now = Instant::now();
        Self { started_at: now, warned_at: now }
    }

    /// Returns the pause after a poll that has not found a fresh peer.
    fn retry_pause(&self) -> Duration {
        let pause = self.started_at.elapsed() / RETRY_PAUSE_DIVISOR;
        pause.clamp(RETRY_PAUSE, MAX_RETRY_PAUSE)
    }

    /// Logs a warning at intervals of [`WARN_INTERVAL`] during a search, so that operators can detect a
    /// process that is not in contact with the others.
    fn warn_if_long(&mut self, view: &ViewCell, peers: &[String]) {
        if self.warned_at.elapsed() < WARN_INTERVAL {
            return;
        }
        self.warned_at = Instant::now();
        log::warn!(
            elapsed_ms = self.started_at.elapsed().as_millis() as u64,
            acceptors = view.view().control.acceptors.len();
            "no peer has reported a confirmed state and a fresh list, polled are {}",
            peers.join(" ")
        );
    }
}
