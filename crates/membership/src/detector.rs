//! Failure detection by heartbeats.

use std::collections::BTreeMap;
use std::time::Duration;

/// When a detector suspects a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DetectorTiming {
    /// Time between two heartbeats of a peer.
    pub heartbeat_interval: Duration,
    /// Heartbeats that a peer may miss in a row before it is suspected.
    pub max_missed_heartbeats: u32,
    /// Longest time between two ticks of the detector. After a longer one its own process was frozen.
    pub max_tick_gap: Duration,
}

impl DetectorTiming {
    /// How long after its last heartbeat a peer is suspected.
    #[must_use]
    pub fn failure_timeout(&self) -> Duration {
        self.heartbeat_interval * (self.max_missed_heartbeats + 1)
    }

    /// One heartbeat interval less than the failure timeout. After it a peer counts as unresponsive, though not as
    /// suspected yet.
    fn unresponsive_timeout(&self) -> Duration {
        self.failure_timeout().saturating_sub(self.heartbeat_interval)
    }
}

impl Default for DetectorTiming {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(300),
            max_missed_heartbeats: 4,
            max_tick_gap: Duration::from_millis(900),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    /// The latest heartbeat, or when the timers of this peer were started or restarted.
    last_heartbeat: Duration,
    is_suspected: bool,
}

/// Suspects peers that have failed, by their heartbeats and its own ticks. Times are monotonic and passed in by the
/// caller.
///
/// Missing heartbeats prove little if the cause is probably local:
/// - after a gap in its own ticks, this process was frozen, and all timers restart;
/// - while all peers are unresponsive, this machine is partitioned from them, and none is suspected;
/// - while more than half of the peers are unresponsive, the timeout doubles, and each tick suspects at most half of
///   them.
#[derive(Clone, Debug)]
pub struct Detector {
    timing: DetectorTiming,
    /// By name.
    peers: BTreeMap<String, Peer>,
    /// `None` before the first tick.
    last_tick: Option<Duration>,
}

impl Detector {
    /// Creates a detector without peers.
    #[must_use]
    pub fn new(timing: DetectorTiming) -> Self {
        Self { timing, peers: BTreeMap::new(), last_tick: None }
    }

    /// Sets the peers to watch. The timers of new ones start now; others keep their state.
    pub fn set_peers<Name: AsRef<str>>(&mut self, now: Duration, peers: impl IntoIterator<Item = Name>) {
        let mut earlier = std::mem::take(&mut self.peers);
        for name in peers {
            let name = name.as_ref();
            let peer = earlier.remove(name).unwrap_or(Peer { last_heartbeat: now, is_suspected: false });
            self.peers.insert(name.to_owned(), peer);
        }
    }

    /// Records a heartbeat of a peer, which is no longer suspected then.
    pub fn record_heartbeat(&mut self, now: Duration, peer: &str) {
        if let Some(peer) = self.peers.get_mut(peer) {
            peer.last_heartbeat = peer.last_heartbeat.max(now);
            peer.is_suspected = false;
        }
    }

    /// Checks all peers, and returns those that are suspected from now on. To be called once each heartbeat interval
    /// or more often.
    pub fn tick(&mut self, now: Duration) -> Vec<String> {
        let last_tick = self.last_tick.replace(now);
        if last_tick.is_some_and(|last_tick| now.saturating_sub(last_tick) > self.timing.max_tick_gap) {
            self.restart_timers(now);
            return Vec::new();
        }
        let suspected = self.newly_suspected(now);
        for name in &suspected {
            if let Some(peer) = self.peers.get_mut(name) {
                peer.is_suspected = true;
            }
        }
        suspected
    }

    /// Whether a peer is suspected. One that is not watched is not.
    #[must_use]
    pub fn is_suspected(&self, peer: &str) -> bool {
        self.peers.get(peer).is_some_and(|peer| peer.is_suspected)
    }

    /// The peers that are suspected.
    pub fn suspected(&self) -> impl Iterator<Item = &str> {
        self.peers.iter().filter(|(_, peer)| peer.is_suspected).map(|(name, _)| name.as_str())
    }

    /// The peers that are to be suspected from now on, under the restrictions that [`Detector`] lists.
    fn newly_suspected(&self, now: Duration) -> Vec<String> {
        let trusted = self.peers.values().filter(|peer| !peer.is_suspected).count();
        let unresponsive = self.unresponsive_for(now, self.timing.unresponsive_timeout()).count();
        if unresponsive == trusted && trusted > 1 {
            return Vec::new();
        }
        let timeout = self.timing.failure_timeout();
        if unresponsive * 2 <= trusted || trusted == 1 {
            return self.unresponsive_for(now, timeout).map(str::to_owned).collect();
        }
        self.unresponsive_for(now, timeout * 2).take(trusted / 2).map(str::to_owned).collect()
    }

    /// The peers whose last heartbeat is longer ago than the timeout, and that are not suspected yet.
    fn unresponsive_for(&self, now: Duration, timeout: Duration) -> impl Iterator<Item = &str> {
        let is_unresponsive =
            move |peer: &Peer| !peer.is_suspected && now.saturating_sub(peer.last_heartbeat) > timeout;
        self.peers.iter().filter(move |(_, peer)| is_unresponsive(peer)).map(|(name, _)| name.as_str())
    }

    fn restart_timers(&mut self, now: Duration) {
        for peer in self.peers.values_mut() {
            peer.last_heartbeat = now;
        }
    }
}
