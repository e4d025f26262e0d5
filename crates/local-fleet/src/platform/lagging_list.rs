//! The server list as the platform shows it, some time after it has changed.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::protocol::ListedServer;

/// A list that shows what it was some time ago.
#[derive(Debug)]
pub struct LaggingList {
    lag: Duration,
    /// Each version with the time from which it is visible, oldest first; the first is visible now.
    versions: VecDeque<(Instant, Arc<[ListedServer]>)>,
}

impl LaggingList {
    /// An empty list that lags by `lag`.
    #[must_use]
    pub fn new(lag: Duration) -> Self {
        Self { lag, versions: VecDeque::new() }
    }

    /// Replaces the list; the first one is visible at once.
    pub fn replace(&mut self, now: Instant, servers: Vec<ListedServer>) {
        let visible_from = if self.versions.is_empty() { now } else { now + self.lag };
        self.versions.push_back((visible_from, servers.into()));
    }

    /// The version that is visible at `now`.
    pub fn visible(&mut self, now: Instant) -> Arc<[ListedServer]> {
        while self.versions.get(1).is_some_and(|(visible_from, _)| *visible_from <= now) {
            self.versions.pop_front();
        }
        self.versions.front().map_or_else(|| Arc::from([]), |(_, servers)| Arc::clone(servers))
    }
}
