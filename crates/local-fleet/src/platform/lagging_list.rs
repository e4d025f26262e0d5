//! The server list as the platform returns it: changes become visible after a lag.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::protocol::ListedServer;

/// A server list whose changes become visible after a fixed lag.
#[derive(Debug)]
pub struct LaggingList {
    lag: Duration,
    /// Each version of the list with the time from which it is visible, oldest first. Each version is visible
    /// until the time of the next one.
    versions: VecDeque<(Instant, Arc<[ListedServer]>)>,
}

impl LaggingList {
    /// Returns an empty list whose changes become visible after `lag`.
    #[must_use]
    pub fn new(lag: Duration) -> Self {
        Self { lag, versions: VecDeque::new() }
    }

    /// Replaces the list at `now`. The first list is visible at once, later ones after the lag.
    pub fn replace(&mut self, now: Instant, servers: Vec<ListedServer>) {
        let visible_from = if self.versions.is_empty() { now } else { now + self.lag };
        self.versions.push_back((visible_from, servers.into()));
    }

    /// Returns the version that is visible at `now`, and drops older ones; `now` must not decrease between
    /// calls.
    pub fn visible(&mut self, now: Instant) -> Arc<[ListedServer]> {
        while self.versions.get(1).is_some_and(|(visible_from, _)| *visible_from <= now) {
            self.versions.pop_front();
        }
        self.versions.front().map_or_else(|| Arc::from([]), |(_, servers)| Arc::clone(servers))
    }
}
