//! The side that lends itself.

use std::time::Duration;

use crate::{GrantorId, LeaseRelease, LeaseReply, LeaseRequest};

/// One of the grantors. Keeps its state in memory only.
#[derive(Clone, Debug)]
pub struct Grantor {
    ttl: Duration,
    silent_until: Duration,
    grant: Option<Grant>,
    grantors: Vec<GrantorId>,
    /// Candidates that know an older state may count on grantors that are no more.
    least_revision: u64,
}

#[derive(Clone, Debug)]
struct Grant {
    holder: String,
    term: u64,
    ends: Duration,
}

impl Grantor {
    /// A grantor that grants nothing for one `ttl` after `now`, for it may have forgotten a grant that it gave
    /// in an earlier life. Start it anew when its acceptor becomes a member.
    pub fn new(now: Duration, ttl: Duration) -> Self {
        Self { ttl, silent_until: now + ttl, grant: None, grantors: Vec::new(), least_revision: 0 }
    }

    /// Takes note of the grantors as of a revision. Call it when the acceptor of this machine accepts or learns a
    /// value, before that is answered: so a majority knows of a change before it is committed.
    pub fn observe(&mut self, revision: u64, grantors: &[GrantorId]) {
        if revision > self.least_revision && self.grantors != grantors {
            self.least_revision = revision;
            self.grantors = grantors.to_vec();
        }
    }

    /// Answers a request. Nothing longer than the `ttl` of this grantor is granted.
    pub fn handle(&mut self, now: Duration, request: &LeaseRequest) -> LeaseReply {
        if now < self.silent_until {
            return held("", self.silent_until - now);
        }
        let asked = Duration::from_millis(request.ttl_ms);
        if asked > self.ttl || request.revision < self.least_revision {
            return held("", Duration::ZERO);
        }
        let other = self.grant.as_ref().filter(|grant| grant.holder != request.holder && now < grant.ends);
        if let Some(other) = other {
            return held(&other.holder, other.ends - now);
        }
        self.extend(request, now + asked);
        LeaseReply::Granted
    }

    /// Ends the grant of a candidate that gives it back.
    pub fn release(&mut self, release: &LeaseRelease) {
        let is_given_back = |grant: &Grant| grant.holder == release.holder && grant.term <= release.term;
        if self.grant.as_ref().is_some_and(is_given_back) {
            self.grant = None;
        }
    }

    /// Who has the grant, if anybody.
    pub fn holder(&self, now: Duration) -> Option<&str> {
        self.grant.as_ref().filter(|grant| now < grant.ends).map(|grant| grant.holder.as_str())
    }

    /// A request that was overtaken by a later one of the same holder takes nothing back.
    fn extend(&mut self, request: &LeaseRequest, ends: Duration) {
        let own = self.grant.take().filter(|grant| grant.holder == request.holder);
        let (term, ends) = match own {
            Some(grant) => (grant.term.max(request.term), grant.ends.max(ends)),
            None => (request.term, ends),
        };
        self.grant = Some(Grant { holder: request.holder.clone(), term, ends });
    }
}

fn held(holder: &str, remaining: Duration) -> LeaseReply {
    LeaseReply::Held { holder: holder.to_owned(), remaining_ms: remaining.as_millis() as u64 }
}
