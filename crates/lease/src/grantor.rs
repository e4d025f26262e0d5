//! The grantor: grants the lease to one holder at a time.

use std::time::Duration;

use crate::{GrantorId, LeaseRelease, LeaseReply, LeaseRequest};

/// Grantor of the lease, which runs beside one acceptor of the register. Its state is kept in memory only.
#[derive(Clone, Debug)]
pub struct Grantor {
    /// Incarnation of the acceptor beside which this grantor runs.
    id: GrantorId,
    /// Longest duration of a grant.
    ttl: Duration,
    /// Earliest time of a grant. Before it, a grant from before a restart may still be valid.
    earliest_grant_at: Duration,
    /// Newest grant, which may have expired. `None` if there was none, or if the last one was released.
    grant: Option<Grant>,
    /// Newest set of grantors that was observed, whether committed or not, in the order of the register's
    /// value.
    observed_grantors: Vec<GrantorId>,
    /// Revision in which `observed_grantors` was first observed. Requests with an older revision are
    /// rejected, since they may rely on grantors that were removed.
    min_revision: u64,
    /// Newest set of grantors that is known to be committed; `None` if none was learned.
    committed: Option<CommittedGrantors>,
}

/// Set of grantors that is known to be committed.
#[derive(Clone, Debug)]
struct CommittedGrantors {
    /// Newest revision of the register with this set.
    revision: u64,
    /// Grantors of the set, in ascending order.
    grantors: Vec<GrantorId>,
    /// Time at which this grantor first learned that the set is committed.
    known_since: Duration,
}

/// Grant of the lease to one candidate.
#[derive(Clone, Debug)]
struct Grant {
    /// Name of the candidate.
    holder: String,
    /// Newest round of the holder that was granted.
    term: u64,
    /// End of the grant, exclusive.
    expires_at: Duration,
}

impl Grantor {
    /// Creates a grantor that rejects all requests for one `ttl` after `now`, because grants are not
    /// stored and one from before a restart may still be valid. Create a new grantor when the acceptor beside
    /// it becomes a member.
    pub fn new(id: GrantorId, now: Duration, ttl: Duration) -> Self {
        Self {
            id,
            ttl,
            earliest_grant_at: now + ttl,
            grant: None,
            observed_grantors: Vec::new(),
            min_revision: 0,
            committed: None,
        }
    }

    /// Records the grantors as of a revision, whether that revision is committed or not.
    ///
    /// Call it when the acceptor of this machine accepts or learns a value, before the acceptor replies. A
    /// majority of the grantors has then observed a change before the change is committed.
    pub fn observe(&mut self, revision: u64, grantors: &[GrantorId]) {
        if revision > self.min_revision && self.observed_grantors != grantors {
            self.min_revision = revision;
            self.observed_grantors = grantors.to_vec();
        }
    }

    /// Records the grantors of a committed revision. Call it as soon as this process has learned of the
    /// commit.
    pub fn learn(&mut self, now: Duration, revision: u64, grantors: &[GrantorId]) {
        let grantors = sorted(grantors);
        match &mut self.committed {
            Some(committed) if committed.revision >= revision => {}
            Some(committed) if committed.grantors == grantors => committed.revision = revision,
            committed => *committed = Some(CommittedGrantors { revision, grantors, known_since: now }),
        }
    }

    /// Handles a request for the lease, and returns the reply to send to the candidate.
    ///
    /// Rejects all requests until one TTL after the start, and requests of other candidates while a grant is
    /// valid. Also rejects requests for longer grants than the TTL, requests with an outdated revision, and
    /// requests that do not name this grantor, for example because they name an earlier one that ran at the
    /// same address on a disk that was lost.
    pub fn handle(&mut self, now: Duration, request: &LeaseRequest) -> LeaseReply {
        if now < self.earliest_grant_at {
            return rejection("", self.earliest_grant_at - now);
        }
        let requested_ttl = Duration::from_millis(request.ttl_ms);
        let is_named_in_request = request.grantors.contains(&self.id);
        if !is_named_in_request || requested_ttl > self.ttl || request.revision < self.min_revision {
            return rejection("", Duration::ZERO);
        }
        if let Some(grant) = self.valid_grant(now).filter(|grant| grant.holder != request.holder) {
            return rejection(&grant.holder, grant.expires_at - now);
        }
        self.record_grant(request, now + requested_ttl);
        let committed_for_ms = self.committed_for(now, &request.grantors).as_millis() as u64;
        LeaseReply::Granted { committed_for_ms }
    }

    /// Ends the grant of the candidate that sent `release`, unless the grant belongs to a later round.
    pub fn release(&mut self, release: &LeaseRelease) {
        let is_released = |grant: &Grant| grant.holder == release.holder && grant.term <= release.term;
        if self.grant.as_ref().is_some_and(is_released) {
            self.grant = None;
        }
    }

    /// Returns the name of the candidate whose grant is valid at `now`, if any.
    pub fn holder(&self, now: Duration) -> Option<&str> {
        self.valid_grant(now).map(|grant| grant.holder.as_str())
    }

    fn valid_grant(&self, now: Duration) -> Option<&Grant> {
        self.grant.as_ref().filter(|grant| now < grant.expires_at)
    }

    /// Grants or renews the lease. A delayed request, handled after a later one of the same holder, neither
    /// lowers the term nor shortens the grant.
    fn record_grant(&mut self, request: &LeaseRequest, expires_at: Duration) {
        let previous = self.grant.take().filter(|grant| grant.holder == request.holder);
        let (term, expires_at) = match previous {
            Some(grant) => (grant.term.max(request.term), grant.expires_at.max(expires_at)),
            None => (request.term, expires_at),
        };
        self.grant = Some(Grant { holder: request.holder.clone(), term, expires_at });
    }

    /// Returns for how long this grantor has known that these are the committed grantors; zero if the newest
    /// committed set that it learned is another one, or if it learned none.
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

fn rejection(holder: &str, remaining: Duration) -> LeaseReply {
    LeaseReply::Rejected { holder: holder.to_owned(), remaining_ms: remaining.as_millis() as u64 }
}
