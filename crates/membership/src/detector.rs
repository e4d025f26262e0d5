//! Failure detection by heartbeats.

use std::collections::BTreeMap;
use std::time::Duration;

/// How patient a detector is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Time between two heartbeats of a peer.
    pub beat: Duration,
    /// Heartbeats that a peer may miss in a row before it is suspected.
    pub missed_most: u32,
    /// Longest time between two ticks of the detector; after a longer one its own process was frozen.
    pub tick_gap_most: Duration,
}

impl Timing {
    /// How long a peer may be silent.
    #[must_use]
    pub fn failure_timeout(&self) -> Duration {
        self.beat * (self.missed_most + 1)
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self { beat: Duration::from_millis(300), missed_most: 4, tick_gap_most: Duration::from_millis(900) }
    }
}

#[derive(Clone, Copy, Debug)]
struct Peer {
    record_heartbeat: Duration,
    suspected: bool,
}

/// Judges which peers have failed, from their heartbeats and its own ticks. Times are steady and given by the
/// caller.
///
/// Silence proves little if the cause is likely here:
/// - after a gap in its own ticks, this process was frozen, and all timers start anew;
/// - while all peers are silent, this machine is cut off, and nobody is suspected;
/// - while more than half of the peers are silent, they get twice the time, and no more than half of them are
///   suspected at one tick.
#[derive(Clone, Debug)]
pub struct Detector {
    timing: Timing,
    peers: BTreeMap<String, Peer>,
    ticked: Option<Duration>,
}

impl Detector {
    /// A detector without peers.
    #[must_use]
    pub fn new(timing: Timing) -> Self {
        Self { timing, peers: BTreeMap::new(), ticked: None }
    }

    /// Sets the peers to watch. New ones start as if they had just been heard; others keep their state.
    pub fn set_peers<Name: AsRef<str>>(&mut self, now: Duration, peers: impl IntoIterator<Item = Name>) {
        let mut earlier = std::mem::take(&mut self.peers);
        for name in peers {
            let name = name.as_ref();
            let peer = earlier.remove(name).unwrap_or(Peer { record_heartbeat: now, suspected: false });
            self.peers.insert(name.to_owned(), peer);
        }
    }

    /// A heartbeat came; it ends a suspicion.
    pub fn record_heartbeat(&mut self, now: Duration, peer: &str) {
        if let Some(peer) = self.peers.get_mut(peer) {
            peer.record_heartbeat = peer.record_heartbeat.max(now);
            peer.suspected = false;
        }
    }

    /// Judges all peers; to be called once a heartbeat or more often. Tells those that are newly suspected.
    pub fn tick(&mut self, now: Duration) -> Vec<String> {
        let last = self.ticked.replace(now);
        if last.is_some_and(|last| now.saturating_sub(last) > self.timing.tick_gap_most) {
            self.restart_timers(now);
            return Vec::new();
        }
        let failed = self.failed(now);
        for name in &failed {
            if let Some(peer) = self.peers.get_mut(name) {
                peer.suspected = true;
            }
        }
        failed
    }

    /// Whether a peer is suspected. One that isn't watched is not.
    #[must_use]
    pub fn is_suspected(&self, peer: &str) -> bool {
        self.peers.get(peer).is_some_and(|peer| peer.suspected)
    }

    /// The peers that are suspected.
    pub fn suspected(&self) -> impl Iterator<Item = &str> {
        self.peers.iter().filter(|(_, peer)| peer.suspected).map(|(name, _)| name.as_str())
    }

    /// The peers that are to be suspected from now on.
    fn failed(&self, now: Duration) -> Vec<String> {
        let watched = self.peers.values().filter(|peer| !peer.suspected).count();
        let quiet =
            self.silent_for(now, self.timing.failure_timeout().saturating_sub(self.timing.beat)).count();
        if quiet == watched && watched > 1 {
            return Vec::new();
        }
        if quiet * 2 <= watched || watched == 1 {
            return self.silent_for(now, self.timing.failure_timeout()).map(str::to_owned).collect();
        }
        self.silent_for(now, self.timing.failure_timeout() * 2).take(watched / 2).map(str::to_owned).collect()
    }

    /// The peers that have been silent for longer and are not suspected yet.
    fn silent_for(&self, now: Duration, silence: Duration) -> impl Iterator<Item = &str> {
        let silent =
            move |peer: &Peer| !peer.suspected && now.saturating_sub(peer.record_heartbeat) > silence;
        self.peers.iter().filter(move |(_, peer)| silent(peer)).map(|(name, _)| name.as_str())
    }

    fn restart_timers(&mut self, now: Duration) {
        for peer in self.peers.values_mut() {
            peer.record_heartbeat = now;
        }
    }
}
