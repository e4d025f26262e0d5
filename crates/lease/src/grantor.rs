//! The side that lends itself.

use std::time::Duration;

use crate::{GrantorId, LeaseRelease, LeaseReply, LeaseRequest};

/// One of the grantors. Keeps its state in memory only.
#[derive(Clone, Debug)]
pub struct Grantor {
    id: GrantorId,
    ttl: Duration,
    silent_until: Duration,
    grant: Option<Grant>,
    grantors: Vec<GrantorId>,
    /// Candidates that know an older state may count on grantors that are no more.
    least_revision: u64,
    settled: Option<Settled>,
}

/// A set of grantors that is known to be committed.
#[derive(Clone, Debug)]
struct Settled {
    revision: u64,
    grantors: Vec<GrantorId>,
    since: Duration,
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
    pub fn new(id: GrantorId, now: Duration, ttl: Duration) -> Self {
        Self {
            id,
            ttl,
            silent_until: now + ttl,
            grant: None,
            grantors: Vec::new(),
            least_revision: 0,
            settled: None,
        }
    }

    /// Takes note of the grantors as of a revision. Call it when the acceptor of this machine accepts or learns a
    /// value, before that is answered: so a majority knows of a change before it is committed.
    pub fn observe(&mut self, revision: u64, grantors: &[GrantorId]) {
        if revision > self.least_revision && self.grantors != grantors {
            self.least_revision = revision;
            self.grantors = grantors.to_vec();
        }
    }

    /// Takes note of the grantors of a committed state, as soon as this process knows that it is committed.
    pub fn learn(&mut self, now: Duration, revision: u64, grantors: &[GrantorId]) {
        let grantors = sorted(grantors);
        match &mut self.settled {
            Some(settled) if settled.revision >= revision => {}
            Some(settled) if settled.grantors == grantors => settled.revision = revision,
            settled => *settled = Some(Settled { revision, grantors, since: now }),
        }
    }

    /// For how long these have been known as the committed grantors.
    fn settled_for(&self, now: Duration, grantors: &[GrantorId]) -> Duration {
        let settled = self.settled.as_ref().filter(|settled| settled.grantors == sorted(grantors));
        settled.map_or(Duration::ZERO, |settled| now.saturating_sub(settled.since))
    }

    /// Answers a request. Nothing longer than the `ttl` of this grantor is granted, and nothing to a candidate that
    /// asks another grantor, such as a former one at the same address whose disk was lost.
    pub fn handle(&mut self, now: Duration, request: &LeaseRequest) -> LeaseReply {
        if now < self.silent_until {
            return held("", self.silent_until - now);
        }
        let asked = Duration::from_millis(request.ttl_ms);
        let is_meant = request.grantors.contains(&self.id);
        if !is_meant || asked > self.ttl || request.revision < self.least_revision {
            return held("", Duration::ZERO);
        }
        let other = self.grant.as_ref().filter(|grant| grant.holder != request.holder && now < grant.ends);
        if let Some(other) = other {
            return held(&other.holder, other.ends - now);
        }
        self.extend(request, now + asked);
        let settled_ms = self.settled_for(now, &request.grantors).as_millis() as u64;
        LeaseReply::Granted { settled_ms }
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

fn sorted(grantors: &[GrantorId]) -> Vec<GrantorId> {
    let mut grantors = grantors.to_vec();
    grantors.sort_unstable();
    grantors
}

fn held(holder: &str, remaining: Duration) -> LeaseReply {
    LeaseReply::Held { holder: holder.to_owned(), remaining_ms: remaining.as_millis() as u64 }
}
