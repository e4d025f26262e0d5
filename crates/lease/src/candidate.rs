//! The candidate: requests the lease from all grantors in rounds, holds it, and renews it.

use std::time::Duration;

use fastrand::Rng;
use xxhash_rust::xxh3::xxh3_64;

use crate::round::Round;
use crate::{GrantorId, LeaseRelease, LeaseReply, LeaseRequest};

// Each constant is a divisor of the TTL, so that all times of a candidate scale with it.

/// A holder stops holding the lease this fraction of the TTL before the first grant can expire, since clocks
/// run at different speeds.
const SAFETY_MARGIN_DIVISOR: u32 = 10;
/// A holder starts a renewal round after this fraction of the TTL, counted from the start of the round that
/// it won.
const RENEWAL_DIVISOR: u32 = 3;
/// A round that was not won is abandoned when this fraction of the TTL has passed since its start.
const ROUND_TIMEOUT_DIVISOR: u32 = 6;
/// A clock that steps back by more than this fraction of the TTL cannot be trusted, and the candidate drops
/// the lease. Smaller differences are tolerated.
const MAX_CLOCK_STEP_BACK_DIVISOR: u32 = 20;
/// Upper bound of the random delay before a failed round is retried, as a fraction of the TTL.
const MAX_RETRY_JITTER_DIVISOR: u32 = 4;
/// A deferring candidate waits for this additional fraction of the TTL, which equals the longest random delay
/// of the other candidates, so that all of them retry first.
const DEFERRAL_DIVISOR: u32 = MAX_RETRY_JITTER_DIVISOR;

/// Action that a [`Candidate`] requires from its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CandidateAction {
    /// Call [`Candidate::start_round`], and send the request that it returns to all grantors.
    StartRound,
    /// The round timed out or can no longer be won. Call [`Candidate::abandon_round`], and send the release
    /// that it returns, if any, to all grantors.
    AbandonRound,
    /// Wait until this time on the candidate's clock or until the next reply, whichever is earlier.
    WaitUntil(Duration),
}

/// Process that competes for the lease. It holds no lease at first.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Name that is unique to one run of the process.
    name: String,
    /// Duration of the grants that this candidate requests.
    ttl: Duration,
    /// Number of the newest round; 0 before the first.
    term: u64,
    /// Latest time that the caller passed in.
    latest_now: Duration,
    /// End of the lease, exclusive. Zero if the lease was never won, was resigned, or was dropped when the
    /// clock stepped back.
    expires_at: Duration,
    /// Earliest start of the next round.
    next_round_at: Duration,
    /// Round in progress, or the last round if it was won; otherwise `None`.
    round: Option<Round>,
    /// Source of the random delays between rounds.
    random: Rng,
    /// Whether other candidates are to win the lease before this one; set by [`Candidate::set_deferring`].
    is_deferring: bool,
    /// Whether the grantors are those of the cluster's first start; set by
    /// [`Candidate::set_bootstrap_grantors`].
    has_bootstrap_grantors: bool,
}

impl Candidate {
    /// Creates a candidate that requests grants of length `ttl`. The name must be unique: no other process
    /// and no earlier run of this process may have used it.
    pub fn new(name: impl Into<String>, ttl: Duration) -> Self {
        let name = name.into();
        // The name is the seed, so that candidates with different names draw different delays.
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

    /// Sets whether other candidates are to win the lease before this one. A deferring candidate differs from
    /// others only in its longer wait after the lease of another holder has expired.
    pub fn set_deferring(&mut self, is_deferring: bool) {
        self.is_deferring = is_deferring;
    }

    /// Sets whether the grantors of the next rounds are those of the cluster's first start. No lease can have
    /// been won from an earlier set, so the candidate need not wait until the grantors have been committed
    /// for one TTL.
    pub fn set_bootstrap_grantors(&mut self, has_bootstrap_grantors: bool) {
        self.has_bootstrap_grantors = has_bootstrap_grantors;
    }

    /// Starts a round with these grantors, which are the acceptors of the register as of `revision`. Returns
    /// the request to send to each of them. Replies to earlier rounds no longer count.
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

    /// Handles the reply of the grantor `from` to the request of round `term`. Replies to other rounds than
    /// the newest are ignored.
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

    /// Returns whether this candidate holds the lease at `now`.
    pub fn holds_lease(&self, now: Duration) -> bool {
        !self.has_clock_stepped_back(now) && now.max(self.latest_now) < self.expires_at
    }

    /// Returns the time at which the lease expires if it is not renewed; zero if none was won since the
    /// start, the last resignation or the last step back of the clock.
    pub fn expires_at(&self) -> Duration {
        self.expires_at
    }

    /// Returns the number of the newest round; 0 before the first.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns the action that the caller has to take at `now`.
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

    /// Ends the current round without winning the lease, and schedules the next one.
    ///
    /// Unless the lease from an earlier round is still held, returns a release of this round's grants.
    /// Without the release, candidates that split the votes would block each other for a full TTL.
    pub fn abandon_round(&mut self, now: Duration) -> Option<LeaseRelease> {
        self.advance(now);
        let round = self.round.take()?;
        let is_holder = self.holds_lease(now);
        self.next_round_at = self.latest_now + self.retry_delay(&round, is_holder);
        (!is_holder).then(|| self.release())
    }

    /// Gives up the lease at once, and returns the release to send to all grantors. The next round starts one
    /// TTL later.
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

    /// Returns the delay between a failed round and the next one. A holder retries soon, and so does a
    /// candidate after a split vote. If a majority has granted the lease to another candidate, the next round
    /// starts after that lease has expired, and that of a deferring candidate still later. The jitter keeps
    /// candidates from retrying at the same time.
    fn retry_delay(&mut self, failed: &Round, is_holder: bool) -> Duration {
        let jitter = self.random_below(self.ttl / MAX_RETRY_JITTER_DIVISOR);
        if is_holder {
            return jitter / 2;
        }
        match failed.majority_holder_remaining() {
            Some(remaining) if self.is_deferring => {
                remaining.min(self.ttl) + self.ttl / DEFERRAL_DIVISOR + jitter
            }
            Some(remaining) => remaining.min(self.ttl) + jitter,
            None => jitter,
        }
    }

    /// Draws a random duration below `limit`, with a resolution of one microsecond.
    fn random_below(&mut self, limit: Duration) -> Duration {
        let limit = (limit.as_micros() as u64).max(1);
        Duration::from_micros(self.random.u64(..limit))
    }

    /// Records the current time. If the clock has stepped back, earlier readings are no longer comparable:
    /// the lease and the round are dropped, and the next round starts after one TTL.
    fn advance(&mut self, now: Duration) {
        if self.has_clock_stepped_back(now) {
            self.latest_now = now;
            self.round = None;
            self.expires_at = Duration::ZERO;
            self.next_round_at = now + self.ttl;
        }
        self.latest_now = self.latest_now.max(now);
    }

    /// Returns whether `now` is earlier than the latest recorded time by more than the tolerated difference.
    fn has_clock_stepped_back(&self, now: Duration) -> bool {
        now + self.ttl / MAX_CLOCK_STEP_BACK_DIVISOR < self.latest_now
    }
}
