//! The side that asks.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fastrand::Rng;
use xxhash_rust::xxh3::xxh3_64;

use crate::{GrantorId, LeaseRelease, LeaseReply, LeaseRequest};

/// A lease is held for its ttl less one part in this many, for clocks that run apart.
const MARGIN_PART: u32 = 10;
/// A holder renews after one part in this many of the ttl.
const RENEW_PART: u32 = 3;
/// A round without a majority is given up after one part in this many of the ttl.
const ROUND_PART: u32 = 6;
/// A clock that goes back by more than one part in this many of the ttl can't be trusted: the lease is dropped.
const CLOCK_PART: u32 = 20;
/// A candidate that was refused tries again after up to one part in this many of the ttl, drawn at random.
const JITTER_PART: u32 = 4;
/// A candidate that defers waits for one more part in this many of the ttl: as long as others draw at most.
const DEFER_PART: u32 = JITTER_PART;

/// What a candidate should do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CandidateAction {
    /// Start a round: [`Candidate::begin`], and send the request to all grantors.
    Ask,
    /// The round is lost: [`Candidate::give_up`], and send the release, if any, to all grantors.
    GiveUp,
    /// Nothing, until this moment or the next reply.
    Wait(Duration),
}

/// A process that wants the lease.
#[derive(Clone, Debug)]
pub struct Candidate {
    name: String,
    ttl: Duration,
    term: u64,
    clock: Duration,
    held_until: Duration,
    next_round: Duration,
    round: Option<Round>,
    random: Rng,
    defers: bool,
    has_first_grantors: bool,
}

#[derive(Clone, Debug)]
struct Round {
    asked_at: Duration,
    grantors: Vec<GrantorId>,
    granted: BTreeSet<GrantorId>,
    refused: BTreeMap<GrantorId, Refusal>,
    /// The lease was held when this round began, or the grantors are the first ones, or have been the committed ones
    /// for one ttl.
    is_settled: bool,
}

#[derive(Clone, Debug)]
struct Refusal {
    holder: String,
    remaining: Duration,
}

impl Candidate {
    /// A candidate whose `name` no other process has, nor an earlier life of this one.
    pub fn new(name: impl Into<String>, ttl: Duration) -> Self {
        let name = name.into();
        // Candidates with other names draw other pauses.
        let random = Rng::with_seed(xxh3_64(name.as_bytes()));
        Self {
            name,
            ttl,
            term: 0,
            clock: Duration::ZERO,
            held_until: Duration::ZERO,
            next_round: Duration::ZERO,
            round: None,
            random,
            defers: false,
            has_first_grantors: false,
        }
    }

    /// Whether another candidate, should it come back in time, is to win the lease first. It only delays the round
    /// after the end of another holder's lease.
    pub fn set_defers(&mut self, defers: bool) {
        self.defers = defers;
    }

    /// Whether the grantors of the next rounds are those of the first start: no lease can have been won with others
    /// before, so that nothing has to be waited for.
    pub fn set_first_grantors(&mut self, has_first_grantors: bool) {
        self.has_first_grantors = has_first_grantors;
    }

    /// Starts a round at these grantors, the acceptors of the register as of `revision`; replies to earlier
    /// rounds count no more.
    pub fn begin(&mut self, now: Duration, revision: u64, grantors: &[GrantorId]) -> LeaseRequest {
        self.advance(now);
        self.term += 1;
        let is_settled = self.has_first_grantors || self.holds(now);
        self.round = Some(Round {
            asked_at: now,
            grantors: grantors.to_vec(),
            granted: BTreeSet::new(),
            refused: BTreeMap::new(),
            is_settled,
        });
        LeaseRequest {
            holder: self.name.clone(),
            term: self.term,
            ttl_ms: self.ttl.as_millis() as u64,
            revision,
            grantors: grantors.to_vec(),
        }
    }

    /// Takes a reply to the request of this term.
    pub fn on_reply(&mut self, term: u64, from: GrantorId, reply: &LeaseReply) {
        let Some(round) = self.round.as_mut().filter(|_| term == self.term) else {
            return;
        };
        if !round.grantors.contains(&from) {
            return;
        }
        match reply {
            LeaseReply::Granted { settled_ms } => {
                round.granted.insert(from);
                round.is_settled |= Duration::from_millis(*settled_ms) >= self.ttl;
            }
            LeaseReply::Held { holder, remaining_ms } => {
                let remaining = Duration::from_millis(*remaining_ms);
                round.refused.insert(from, Refusal { holder: holder.clone(), remaining });
            }
        }
        if round.is_won() {
            let held_until = round.asked_at + self.ttl - self.ttl / MARGIN_PART;
            let next_round = round.asked_at + self.ttl / RENEW_PART;
            self.held_until = self.held_until.max(held_until);
            self.next_round = self.next_round.max(next_round);
        }
    }

    /// Whether this candidate holds the lease.
    pub fn holds(&self, now: Duration) -> bool {
        !self.has_gone_back(now) && now.max(self.clock) < self.held_until
    }

    /// When the lease ends, if it is not renewed.
    pub fn expires_at(&self) -> Duration {
        self.held_until
    }

    /// The present round.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// What to do now.
    pub fn next_action(&mut self, now: Duration) -> CandidateAction {
        self.advance(now);
        match &self.round {
            Some(round) if !round.is_won() => {
                let gives_up_at = round.asked_at + self.ttl / ROUND_PART;
                if round.is_lost() || self.clock >= gives_up_at {
                    CandidateAction::GiveUp
                } else {
                    CandidateAction::Wait(gives_up_at)
                }
            }
            _ if self.clock >= self.next_round => CandidateAction::Ask,
            _ => CandidateAction::Wait(self.next_round),
        }
    }

    /// Ends the present round without the lease. Unless an earlier round still holds it, the grants of this
    /// round are given back, so that candidates that split the votes don't block each other for a whole ttl.
    pub fn give_up(&mut self, now: Duration) -> Option<LeaseRelease> {
        self.advance(now);
        let round = self.round.take()?;
        let is_held = self.holds(now);
        self.next_round = self.clock + self.pause(&round, is_held);
        (!is_held).then(|| self.release())
    }

    /// Steps down at once.
    pub fn resign(&mut self, now: Duration) -> LeaseRelease {
        self.advance(now);
        self.round = None;
        self.held_until = Duration::ZERO;
        self.next_round = self.clock + self.ttl;
        self.release()
    }

    fn release(&self) -> LeaseRelease {
        LeaseRelease { holder: self.name.clone(), term: self.term }
    }

    /// A holder tries again soon, and so does a candidate after a split vote. Where another one holds a majority,
    /// the next round waits for its lease to end. Each draws its own moment.
    fn pause(&mut self, round: &Round, is_held: bool) -> Duration {
        let jitter = self.draw(self.ttl / JITTER_PART);
        if is_held {
            return jitter / 2;
        }
        match round.majority_refusal() {
            Some(remaining) if self.defers => remaining.min(self.ttl) + self.ttl / DEFER_PART + jitter,
            Some(remaining) => remaining.min(self.ttl) + jitter,
            None => jitter,
        }
    }

    /// A random duration below `limit`.
    fn draw(&mut self, limit: Duration) -> Duration {
        let limit = (limit.as_micros() as u64).max(1);
        Duration::from_micros(self.random.u64(..limit))
    }

    fn advance(&mut self, now: Duration) {
        if self.has_gone_back(now) {
            self.clock = now;
            self.round = None;
            self.held_until = Duration::ZERO;
            self.next_round = now + self.ttl;
        }
        self.clock = self.clock.max(now);
    }

    fn has_gone_back(&self, now: Duration) -> bool {
        now + self.ttl / CLOCK_PART < self.clock
    }
}

impl Round {
    fn is_won(&self) -> bool {
        self.is_settled && !self.grantors.is_empty() && self.granted.len() > self.grantors.len() / 2
    }

    fn is_lost(&self) -> bool {
        let open = self.grantors.iter().filter(|grantor| !self.refused.contains_key(grantor)).count();
        open <= self.grantors.len() / 2
    }

    /// For how long a majority is lent to one other holder.
    fn majority_refusal(&self) -> Option<Duration> {
        let refusals = || self.refused.values();
        let of = |holder: &str| refusals().filter(|refusal| refusal.holder == holder).count();
        let holder = refusals().map(|refusal| &refusal.holder).max_by_key(|holder| of(holder))?;
        let has_majority = of(holder) > self.grantors.len() / 2;
        let remaining =
            refusals().filter(|refusal| refusal.holder == *holder).map(|refusal| refusal.remaining);
        remaining.max().filter(|_| has_majority)
    }
}
