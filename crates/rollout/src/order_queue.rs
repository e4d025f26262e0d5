//! Queue of the servers that may get an order in one planning round.
//!
//! The queue is built once per round. A fleet may have thousands of servers, and searching all of them for
//! each order would take time quadratic in their number.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::server::ServerId;
use crate::server_progress::LoadGoal;

/// Server that may get an order in this round.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OrderCandidate {
    /// Number of requests that are running at the server.
    pub(crate) running: u64,
    pub(crate) id: ServerId,
    /// Version that the order would name.
    pub(crate) goal: LoadGoal,
}

/// Candidates of one zone.
#[derive(Debug, Default)]
struct ZoneQueue {
    /// Number of servers of the zone that are loading a version.
    loading: usize,
    /// Candidates in reverse order once sorted: the next one is last.
    candidates: Vec<OrderCandidate>,
}

/// Candidates of all zones, and the number of servers that are loading a version.
#[derive(Debug, Default)]
pub(crate) struct OrderQueue {
    zones: BTreeMap<Arc<str>, ZoneQueue>,
    /// Number of servers that are loading a version, over all zones.
    loading: usize,
}

impl OrderQueue {
    /// Counts a server of this zone as loading.
    pub(crate) fn count_loading(&mut self, zone: &Arc<str>) {
        self.loading += 1;
        self.zone(zone).loading += 1;
    }

    /// Adds a candidate of this zone. The caller calls [`Self::sort`] after the last one.
    pub(crate) fn add(&mut self, zone: &Arc<str>, candidate: OrderCandidate) {
        self.zone(zone).candidates.push(candidate);
    }

    /// Sorts the candidates of each zone by the number of their running requests, then by id, the lowest
    /// first. Must be called after the last [`Self::add`] and before the first [`Self::take_next`].
    pub(crate) fn sort(&mut self) {
        for zone in self.zones.values_mut() {
            zone.candidates.sort_unstable_by(|a, b| (b.running, &b.id).cmp(&(a.running, &a.id)));
        }
    }

    /// Returns the number of servers that are loading a version, over all zones.
    pub(crate) fn loading(&self) -> usize {
        self.loading
    }

    /// Removes and returns the next candidate, or `None` if none is left.
    ///
    /// The next candidate has the fewest running requests. Ties go to the zone in which the fewest servers
    /// are loading, then to the lowest id.
    pub(crate) fn take_next(&mut self) -> Option<OrderCandidate> {
        let rank = |zone: &ZoneQueue| {
            let next = zone.candidates.last()?;
            Some((next.running, zone.loading, ServerId::clone(&next.id)))
        };
        let ranked = self.zones.values_mut().filter_map(|zone| Some((rank(zone)?, zone)));
        let (_, zone) = ranked.min_by(|(a, _), (b, _)| a.cmp(b))?;
        zone.candidates.pop()
    }

    /// Returns the queue of a zone, which is created if it does not exist.
    fn zone(&mut self, zone: &Arc<str>) -> &mut ZoneQueue {
        self.zones.entry(Arc::clone(zone)).or_default()
    }
}
