//! One round of a candidate: the replies to one request sent to all grantors.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::{GrantorId, LeaseReply};

/// State of one round: the grantors that were asked, and their replies.
#[derive(Clone, Debug)]
pub(crate) struct Round {
    started_at: Duration,
    /// Grantors that were sent the request.
    grantors: Vec<GrantorId>,
    /// Grantors that have granted the lease in this round.
    granted_by: BTreeSet<GrantorId>,
    /// Last rejection of each grantor that has rejected the request.
    rejections: BTreeMap<GrantorId, Rejection>,
    /// Whether no other candidate can still hold a lease from another set of grantors, so that a majority of
    /// these grantors suffices. This is the case if the candidate held the lease when the round started, if
    /// the grantors are those of the cluster's first start, or once a grantor has known for one TTL that they
    /// are the committed ones.
    are_grantors_stable: bool,
}

/// Content of a [`LeaseReply::Rejected`].
#[derive(Clone, Debug)]
struct Rejection {
    /// Candidate that has the grant; empty if none has.
    holder: String,
    /// Time until the grant expires, or until the grantor starts to grant after a restart.
    remaining: Duration,
}

impl Round {
    /// Starts a round at `now`, without any replies.
    pub(crate) fn new(now: Duration, grantors: &[GrantorId], are_grantors_stable: bool) -> Self {
        Self {
            started_at: now,
            grantors: grantors.to_vec(),
            granted_by: BTreeSet::new(),
            rejections: BTreeMap::new(),
            are_grantors_stable,
        }
    }

    /// Returns the start of the round. Every grant of the round starts at this time or later.
    pub(crate) fn started_at(&self) -> Duration {
        self.started_at
    }

    /// Records the reply of a grantor of this round. Replies from other grantors are ignored.
    pub(crate) fn record(&mut self, from: GrantorId, reply: &LeaseReply, ttl: Duration) {
        if !self.grantors.contains(&from) {
            return;
        }
        match reply {
            LeaseReply::Granted { committed_for_ms } => {
                self.granted_by.insert(from);
                self.are_grantors_stable |= Duration::from_millis(*committed_for_ms) >= ttl;
            }
            LeaseReply::Rejected { holder, remaining_ms } => {
                let remaining = Duration::from_millis(*remaining_ms);
                self.rejections.insert(from, Rejection { holder: holder.clone(), remaining });
            }
        }
    }

    /// Returns whether the replies so far win the lease.
    pub(crate) fn is_won(&self) -> bool {
        self.are_grantors_stable && self.is_majority(self.granted_by.len())
    }

    /// Returns whether the grantors that have not rejected the request are too few for a majority.
    pub(crate) fn cannot_be_won(&self) -> bool {
        let may_grant = self.grantors.iter().filter(|grantor| !self.rejections.contains_key(grantor)).count();
        !self.is_majority(may_grant)
    }

    /// Returns the time until the last grant to the holder named by a majority expires; `None` if no majority
    /// names the same holder.
    ///
    /// Grantors that reject without a grant, such as restarted ones, name an empty holder. It counts like any
    /// other holder: while a majority of the grantors waits after a restart, the candidate waits too.
    pub(crate) fn majority_holder_remaining(&self) -> Option<Duration> {
        let holders = self.rejections.values().map(|rejection| &rejection.holder);
        let holder = holders.max_by_key(|holder| self.rejections_naming(holder).count())?;
        if !self.is_majority(self.rejections_naming(holder).count()) {
            return None;
        }
        self.rejections_naming(holder).map(|rejection| rejection.remaining).max()
    }

    /// Returns the rejections that name this holder.
    fn rejections_naming<'a>(&'a self, holder: &'a str) -> impl Iterator<Item = &'a Rejection> {
        self.rejections.values().filter(move |rejection| rejection.holder == holder)
    }

    /// Returns whether `count` grantors are a majority of the round's grantors.
    fn is_majority(&self, count: usize) -> bool {
        count > self.grantors.len() / 2
    }
}
