//! One round of a candidate: the replies to one request sent to all grantors.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::{GrantorId, LeaseReply};

/// The state of a round.
#[derive(Clone, Debug)]
pub(crate) struct Round {
    started_at: Duration,
    grantors: Vec<GrantorId>,
    granted: BTreeSet<GrantorId>,
    rejected: BTreeMap<GrantorId, Rejection>,
    /// Whether no lease that was won with another set of grantors can still be valid, so that a majority of these
    /// grantors is enough. So it is if the lease was held when this round started, if the grantors are the bootstrap
    /// ones, or once a grantor has known for one TTL that they are the committed ones.
    are_grantors_stable: bool,
}

#[derive(Clone, Debug)]
struct Rejection {
    holder: String,
    remaining: Duration,
}

impl Round {
    pub(crate) fn new(now: Duration, grantors: &[GrantorId], are_grantors_stable: bool) -> Self {
        Self {
            started_at: now,
            grantors: grantors.to_vec(),
            granted: BTreeSet::new(),
            rejected: BTreeMap::new(),
            are_grantors_stable,
        }
    }

    /// When the round started. Grants last from then on at least.
    pub(crate) fn started_at(&self) -> Duration {
        self.started_at
    }

    /// Records the reply of a grantor; replies of others do not count.
    pub(crate) fn record(&mut self, from: GrantorId, reply: &LeaseReply, ttl: Duration) {
        if !self.grantors.contains(&from) {
            return;
        }
        match reply {
            LeaseReply::Granted { committed_for_ms } => {
                self.granted.insert(from);
                self.are_grantors_stable |= Duration::from_millis(*committed_for_ms) >= ttl;
            }
            LeaseReply::Rejected { holder, remaining_ms } => {
                let remaining = Duration::from_millis(*remaining_ms);
                self.rejected.insert(from, Rejection { holder: holder.clone(), remaining });
            }
        }
    }

    /// Whether the lease is won.
    pub(crate) fn is_won(&self) -> bool {
        self.are_grantors_stable && self.is_majority(self.granted.len())
    }

    /// Whether so many grantors have rejected the request that no majority is left.
    pub(crate) fn cannot_be_won(&self) -> bool {
        let may_grant = self.grantors.iter().filter(|grantor| !self.rejected.contains_key(grantor)).count();
        !self.is_majority(may_grant)
    }

    /// For how long yet a majority has granted the lease to one other holder; `None` if there is no such holder.
    ///
    /// Grantors that reject without a grant, such as restarted ones, name an empty holder. It counts like any other: while
    /// a majority of the grantors waits after a restart, the candidate waits too.
    pub(crate) fn majority_holder_remaining(&self) -> Option<Duration> {
        let holders = self.rejected.values().map(|rejection| &rejection.holder);
        let holder = holders.max_by_key(|holder| self.rejections_for(holder).count())?;
        if !self.is_majority(self.rejections_for(holder).count()) {
            return None;
        }
        self.rejections_for(holder).map(|rejection| rejection.remaining).max()
    }

    /// The rejections because this holder has the grant.
    fn rejections_for<'a>(&'a self, holder: &'a str) -> impl Iterator<Item = &'a Rejection> {
        self.rejected.values().filter(move |rejection| rejection.holder == holder)
    }

    fn is_majority(&self, count: usize) -> bool {
        count > self.grantors.len() / 2
    }
}
