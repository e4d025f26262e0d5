//! The grantor: grants the lease to one holder at a time.

use std::time::Duration;

use crate::{GrantorId, LeaseRelease, LeaseReply, LeaseRequest};

/// One of the grantors. Its state is kept in memory only.
#[derive(Clone, Debug)]
pub struct Grantor {
    id: GrantorId,
    /// Longest duration of a grant.
    ttl: Duration,
    /// Nothing is granted before this time: a grant from before a restart may still be valid.
    grants_from: Duration,
    /// The newest grant, which may have expired.
    grant: Option<Grant>,
    /// The newest set of grantors that was observed, committed or not, in the order of the register's value.
    observed_grantors: Vec<GrantorId>,
    /// Revision in which that set was first observed. Candidates that know an older revision are rejected: they may
    /// count on grantors that were removed.
    min_revision: u64,
    committed: Option<CommittedGrantors>,
}

/// A set of grantors that is known to be committed.
#[derive(Clone, Debug)]
struct CommittedGrantors {
    /// The newest revision with this set.
    revision: u64,
    /// In ascending order.
    grantors: Vec<GrantorId>,
    /// When this grantor first learned that the set is committed.
    known_since: Duration,
}

#[derive(Clone, Debug)]
struct Grant {
    holder: String,
    /// The newest round of the holder.
    term: u64,
    /// The grant is valid before this time.
    expires_at: Duration,
}

impl Grantor {
    /// Creates a grantor that grants nothing for one `ttl` after `now`, since it may have forgotten a grant from
    /// before a restart. Create a new one when its acceptor becomes a member.
    pub fn new(id: GrantorId, now: Duration, ttl: Duration) -> Self {
        Self {
            id,
            ttl,
            grants_from: now + ttl,
            grant: None,
            observed_grantors: Vec::new(),
            min_revision: 0,
            committed: None,
        }
    }

    /// Records the grantors as of a revision that is committed or not.
    ///
    /// Call it when the acceptor of this machine accepts or learns a value, before it replies: then a majority knows
    /// of a change before the change is committed.
    pub fn observe(&mut self, revision: u64, grantors: &[GrantorId]) {
        if revision > self.min_revision && self.observed_grantors != grantors {
            self.min_revision = revision;
            self.observed_grantors = grantors.to_vec();
        }
    }

    /// Records the grantors of a committed revision, as soon as this process knows that it is committed.
    pub fn learn(&mut self, now: Duration, revision: u64, grantors: &[GrantorId]) {
        let grantors = sorted(grantors);
        match &mut self.committed {
            Some(committed) if committed.revision >= revision => {}
            Some(committed) if committed.grantors == grantors => committed.revision = revision,
            committed => *committed = Some(CommittedGrantors { revision, grantors, known_since: now }),
        }
    }

    /// Handles a request.
    ///
    /// Rejects grants longer than the TTL of this grantor, and candidates that ask another grantor, such as one at
    /// the same address whose disk was lost.
    pub fn handle(&mut self, now: Duration, request: &LeaseRequest) -> LeaseReply {
        if now < self.grants_from {
            return rejected("", self.grants_from - now);
        }
        let requested_ttl = Duration::from_millis(request.ttl_ms);
        let is_addressed = request.grantors.contains(&self.id);
        if !is_addressed || requested_ttl > self.ttl || request.revision < self.min_revision {
            return rejected("", Duration::ZERO);
        }
        if let Some(grant) = self.valid_grant(now).filter(|grant| grant.holder != request.holder) {
            return rejected(&grant.holder, grant.expires_at - now);
        }
        self.record_grant(request, now + requested_ttl);
        let committed_for_ms = self.committed_for(now, &request.grantors).as_millis() as u64;
        LeaseReply::Granted { committed_for_ms }
    }

    /// Ends the grant of a candidate that releases it, unless the grant belongs to a later round.
    pub fn release(&mut self, release: &LeaseRelease) {
        let is_released = |grant: &Grant| grant.holder == release.holder && grant.term <= release.term;
        if self.grant.as_ref().is_some_and(is_released) {
            self.grant = None;
        }
    }

    /// The holder of the grant, if there is a valid one.
    pub fn holder(&self, now: Duration) -> Option<&str> {
        self.valid_grant(now).map(|grant| grant.holder.as_str())
    }

    fn valid_grant(&self, now: Duration) -> Option<&Grant> {
        self.grant.as_ref().filter(|grant| now < grant.expires_at)
    }

    /// Grants or renews the lease. A request that arrives after a later one of the same holder shortens nothing.
    fn record_grant(&mut self, request: &LeaseRequest, expires_at: Duration) {
        let own = self.grant.take().filter(|grant| grant.holder == request.holder);
        let (term, expires_at) = match own {
            Some(grant) => (grant.term.max(request.term), grant.expires_at.max(expires_at)),
            None => (request.term, expires_at),
        };
        self.grant = Some(Grant { holder: request.holder.clone(), term, expires_at });
    }

    /// For how long these have been known as the committed grantors; zero if they are not.
    fn committed_for(&self, now: Duration, grantors: &[GrantorId]) -> Duration {
        let committed = self.committed.as_ref().filter(|committed| committed.grantors == sorted(grantors));
        committed.map_or(Duration::ZERO, |committed| now.saturating_sub(committed.known_since))
    }
}

fn sorted(grantors: &[GrantorId]) -> Vec<GrantorId> {
    let mut grantors = grantors.to_vec();
    grantors.sort_unstable();
    grantors
}

fn rejected(holder: &str, remaining: Duration) -> LeaseReply {
    LeaseReply::Rejected { holder: holder.to_owned(), remaining_ms: remaining.as_millis() as u64 }
}
