//! Failure detection: suspects peers whose heartbeats are missing.

use std::collections::BTreeMap;
use std::time::Duration;

/// Intervals and limits by which a [`Detector`] suspects peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DetectorTiming {
    /// Time between two consecutive heartbeats that a peer sends.
    pub heartbeat_interval: Duration,
    /// Number of consecutive heartbeats that a peer may miss without being suspected.
    pub max_missed_heartbeats: u32,
    /// Maximum time between two ticks of a running detector. A longer gap means that the process was frozen,
    /// and restarts all timers.
    pub max_tick_gap: Duration,
}

impl DetectorTiming {
    /// Returns the time after the last heartbeat at which a peer is normally suspected: one interval more
    /// than the permitted missed heartbeats take.
    #[must_use]
    pub fn failure_timeout(&self) -> Duration {
        self.heartbeat_interval * (self.max_missed_heartbeats + 1)
    }

    /// Returns the time after the last heartbeat at which a peer counts as unresponsive: one heartbeat
    /// interval less than the failure timeout.
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

/// Detector state of one peer.
#[derive(Clone, Copy, Debug)]
struct Peer {
    /// Time of the latest heartbeat, or of the start or restart of this peer's timer if that is later.
    last_heartbeat: Duration,
    is_suspected: bool,
}

/// Suspects peers whose heartbeats are missing. The caller records heartbeats, calls [`Detector::tick`] and
/// passes in the time, which is monotonic.
///
/// Missing heartbeats are weak evidence when their cause is probably local, so suspicion is restricted:
/// - A gap between ticks longer than [`DetectorTiming::max_tick_gap`] means that this process was frozen: all
///   timers restart.
/// - While all peers that are not suspected are unresponsive, this machine is assumed to be partitioned from
///   them: none is suspected.
/// - While more than half of the peers that are not suspected are unresponsive, the failure timeout doubles,
///   and each tick suspects at most half of the peers that were not suspected before.
///
/// The last two rules do not apply if only one peer is not suspected.
#[derive(Clone, Debug)]
pub struct Detector {
    timing: DetectorTiming,
    /// Watched peers by name.
    peers: BTreeMap<String, Peer>,
    /// Time of the last tick; `None` before the first.
    last_tick: Option<Duration>,
}

impl Detector {
    /// Creates a detector that watches no peers.
    #[must_use]
    pub fn new(timing: DetectorTiming) -> Self {
        Self { timing, peers: BTreeMap::new(), last_tick: None }
    }

    /// Replaces the set of watched peers. The timers of new peers start at `now`; peers that were watched
    /// before keep their state.
    pub fn set_peers<Name: AsRef<str>>(&mut self, now: Duration, peers: impl IntoIterator<Item = Name>) {
        let mut earlier = std::mem::take(&mut self.peers);
        for name in peers {
            let name = name.as_ref();
            let peer = earlier.remove(name).unwrap_or(Peer { last_heartbeat: now, is_suspected: false });
            self.peers.insert(name.to_owned(), peer);
        }
    }

    /// Records a heartbeat of a peer and clears its suspicion. Heartbeats of peers that are not watched are
    /// ignored.
    pub fn record_heartbeat(&mut self, now: Duration, peer: &str) {
        if let Some(peer) = self.peers.get_mut(peer) {
            peer.last_heartbeat = peer.last_heartbeat.max(now);
            peer.is_suspected = false;
        }
    }

    /// Checks all peers and returns the names of those that become suspected. The caller calls it at least
    /// once per heartbeat interval.
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

    /// Returns whether a peer is suspected; `false` for a peer that is not watched.
    #[must_use]
    pub fn is_suspected(&self, peer: &str) -> bool {
        self.peers.get(peer).is_some_and(|peer| peer.is_suspected)
    }

    /// Returns the names of the suspected peers, in ascending order.
    pub fn suspected(&self) -> impl Iterator<Item = &str> {
        self.peers.iter().filter(|(_, peer)| peer.is_suspected).map(|(name, _)| name.as_str())
    }

    /// Returns the peers that become suspected now, under the restrictions in the description of
    /// [`Detector`].
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

    /// Returns the peers that are not suspected and whose last heartbeat was received longer ago than
    /// `timeout`.
    fn unresponsive_for(&self, now: Duration, timeout: Duration) -> impl Iterator<Item = &str> {
        let is_unresponsive =
            move |peer: &Peer| !peer.is_suspected && now.saturating_sub(peer.last_heartbeat) > timeout;
        self.peers.iter().filter(move |(_, peer)| is_unresponsive(peer)).map(|(name, _)| name.as_str())
    }

    /// Restarts the timers of all peers. Suspected peers stay suspected.
    fn restart_timers(&mut self, now: Duration) {
        for peer in self.peers.values_mut() {
            peer.last_heartbeat = now;
        }
    }
}
