//! The candidate: wins the lease in rounds of requests to all grantors, and renews it.

use std::time::Duration;

use fastrand::Rng;
use xxhash_rust::xxh3::xxh3_64;

use crate::round::Round;
use crate::{GrantorId, LeaseRelease, LeaseReply, LeaseRequest};

// All times of a candidate are fractions of the TTL.

/// The lease is held for this fraction less than its TTL, since clocks run at different speeds.
const SAFETY_MARGIN_DIVISOR: u32 = 10;
/// A holder renews after this fraction of the TTL.
const RENEWAL_DIVISOR: u32 = 3;
/// A round that is not won is abandoned after this fraction of the TTL.
const ROUND_TIMEOUT_DIVISOR: u32 = 6;
/// A clock that goes back by more than this fraction of the TTL cannot be trusted, and the lease is dropped.
const MAX_CLOCK_STEP_BACK_DIVISOR: u32 = 20;
/// A rejected candidate retries after a random part of this fraction of the TTL.
const MAX_RETRY_JITTER_DIVISOR: u32 = 4;
/// A deferring candidate waits for this fraction of the TTL in addition: for the longest jitter of the others.
const DEFERRAL_DIVISOR: u32 = MAX_RETRY_JITTER_DIVISOR;

/// What the caller of a candidate has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CandidateAction {
    /// Call [`Candidate::start_round`], and send the request to all grantors.
    StartRound,
    /// The round is lost: call [`Candidate::abandon_round`], and send the release, if any, to all grantors.
    AbandonRound,
    /// Wait until this time or the next reply, whichever comes first.
    WaitUntil(Duration),
}

/// A process that competes for the lease.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Unique to one run of the process.
    name: String,
    ttl: Duration,
    /// Number of the newest round.
    term: u64,
    /// The latest time that was passed in.
    latest_now: Duration,
    /// The lease is held before this time; zero if it was never won, or was given up.
    expires_at: Duration,
    /// No round starts before this time.
    next_round_at: Duration,
    /// The round in progress, or the last one if it was won.
    round: Option<Round>,
    /// Source of the jitter.
    random: Rng,
    /// See [`Candidate::set_deferring`].
    is_deferring: bool,
    /// See [`Candidate::set_bootstrap_grantors`].
    has_bootstrap_grantors: bool,
}

impl Candidate {
    /// Creates a candidate. No other process may have its `name`, nor may an earlier run of this one have had it.
    pub fn new(name: impl Into<String>, ttl: Duration) -> Self {
        let name = name.into();
        // Seeded by the name, so that candidates draw different jitters.
        let random = Rng::with_seed(xxh3_64(name.as_bytes()));
        Self {
            name,
            ttl,
            term: 0,
            latest_now: Duration::ZERO,
            expires_at: Duration::ZERO,
            next_round_at: Duration::ZERO,
            round: None,
            random,
            is_deferring: false,
            has_bootstrap_grantors: false,
        }
    }

    /// Sets whether other candidates are to win the lease before this one. A deferring candidate only waits longer
    /// after the end of another holder's lease.
    pub fn set_deferring(&mut self, is_deferring: bool) {
        self.is_deferring = is_deferring;
    }

    /// Sets whether the grantors of the next rounds are those of the cluster's first start. No lease can have been won
    /// with others before, so there is no need to wait until the grantors have been committed for one TTL.
    pub fn set_bootstrap_grantors(&mut self, has_bootstrap_grantors: bool) {
        self.has_bootstrap_grantors = has_bootstrap_grantors;
    }

    /// Starts a round at these grantors, the acceptors of the register as of `revision`, and returns the request to
    /// send to each. Replies to earlier rounds no longer count.
    pub fn start_round(&mut self, now: Duration, revision: u64, grantors: &[GrantorId]) -> LeaseRequest {
        self.advance(now);
        self.term += 1;
        let are_grantors_stable = self.has_bootstrap_grantors || self.holds_lease(now);
        self.round = Some(Round::new(now, grantors, are_grantors_stable));
        LeaseRequest {
            holder: self.name.clone(),
            term: self.term,
            ttl_ms: self.ttl.as_millis() as u64,
            revision,
            grantors: grantors.to_vec(),
        }
    }

    /// Handles the reply of a grantor to the request of this term.
    pub fn on_reply(&mut self, term: u64, from: GrantorId, reply: &LeaseReply) {
        if term != self.term {
            return;
        }
        let Some(round) = &mut self.round else { return };
        round.record(from, reply, self.ttl);
        if round.is_won() {
            let expires_at = round.started_at() + self.ttl - self.ttl / SAFETY_MARGIN_DIVISOR;
            let next_round_at = round.started_at() + self.ttl / RENEWAL_DIVISOR;
            self.expires_at = self.expires_at.max(expires_at);
            self.next_round_at = self.next_round_at.max(next_round_at);
        }
    }

    /// Whether this candidate holds the lease.
    pub fn holds_lease(&self, now: Duration) -> bool {
        !self.has_clock_stepped_back(now) && now.max(self.latest_now) < self.expires_at
    }

    /// When the lease expires, if it is not renewed.
    pub fn expires_at(&self) -> Duration {
        self.expires_at
    }

    /// The number of the newest round.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// What to do now.
    pub fn next_action(&mut self, now: Duration) -> CandidateAction {
        self.advance(now);
        match &self.round {
            Some(round) if !round.is_won() => {
                let deadline = round.started_at() + self.ttl / ROUND_TIMEOUT_DIVISOR;
                if round.cannot_be_won() || self.latest_now >= deadline {
                    CandidateAction::AbandonRound
                } else {
                    CandidateAction::WaitUntil(deadline)
                }
            }
            _ if self.latest_now >= self.next_round_at => CandidateAction::StartRound,
            _ => CandidateAction::WaitUntil(self.next_round_at),
        }
    }

    /// Ends the present round without the lease.
    ///
    /// Unless the lease of an earlier round is still held, returns the release of this round's grants, so that
    /// candidates that split the votes do not block each other for a whole TTL.
    pub fn abandon_round(&mut self, now: Duration) -> Option<LeaseRelease> {
        self.advance(now);
        let round = self.round.take()?;
        let is_holder = self.holds_lease(now);
        self.next_round_at = self.latest_now + self.retry_delay(&round, is_holder);
        (!is_holder).then(|| self.release())
    }

    /// Steps down at once, and returns the release to send to all grantors.
    pub fn resign(&mut self, now: Duration) -> LeaseRelease {
        self.advance(now);
        self.round = None;
        self.expires_at = Duration::ZERO;
        self.next_round_at = self.latest_now + self.ttl;
        self.release()
    }

    fn release(&self) -> LeaseRelease {
        LeaseRelease { holder: self.name.clone(), term: self.term }
    }

    /// How long to wait after a lost round. A holder retries soon, and so does a candidate after a split vote. Where
    /// another candidate was granted a majority, the next round waits until its lease expires. The jitter spreads the
    /// retries of candidates.
    fn retry_delay(&mut self, lost: &Round, is_holder: bool) -> Duration {
        let jitter = self.random_below(self.ttl / MAX_RETRY_JITTER_DIVISOR);
        if is_holder {
            return jitter / 2;
        }
        match lost.majority_holder_remaining() {
            Some(remaining) if self.is_deferring => {
                remaining.min(self.ttl) + self.ttl / DEFERRAL_DIVISOR + jitter
            }
            Some(remaining) => remaining.min(self.ttl) + jitter,
            None => jitter,
        }
    }

    /// A random duration below `limit`.
    fn random_below(&mut self, limit: Duration) -> Duration {
        let limit = (limit.as_micros() as u64).max(1);
        Duration::from_micros(self.random.u64(..limit))
    }

    /// Records the time. After a step back of the clock nothing that was timed with it counts any more: the lease and the
    /// round are dropped, and the next round waits for one TTL.
    fn advance(&mut self, now: Duration) {
        if self.has_clock_stepped_back(now) {
            self.latest_now = now;
            self.round = None;
            self.expires_at = Duration::ZERO;
            self.next_round_at = now + self.ttl;
        }
        self.latest_now = self.latest_now.max(now);
    }

    fn has_clock_stepped_back(&self, now: Duration) -> bool {
        now + self.ttl / MAX_CLOCK_STEP_BACK_DIVISOR < self.latest_now
    }
}
