//! Times at which this process last received a reply from each acceptor.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use register::{Incarnation, Member};
use tokio::time::Instant;

/// Maximum pause between two rounds. A longer pause means that this process was suspended or starved. Missing
/// replies are then no evidence against the acceptors, and all their timeouts start again.
const MAX_ROUND_GAP: Duration = Duration::from_millis(1200);

/// Times of the last replies of the acceptors, as read repair records them in its rounds.
#[derive(Default)]
pub struct AcceptorContacts {
    rounds: Mutex<Rounds>,
}

#[derive(Default)]
struct Rounds {
    last_round: Option<Instant>,
    /// Time of the last reply of each present acceptor, or of the first round in which it was asked if it has
    /// not replied yet.
    last_contact: BTreeMap<Incarnation, Instant>,
}

impl AcceptorContacts {
    /// Starts a round in which all of these acceptors are asked. Acceptors that are not among them are no
    /// longer tracked.
    pub fn begin_round(&self, acceptors: &[Member]) {
        let now = Instant::now();
        let mut rounds = self.lock();
        let was_interrupted = rounds.last_round.is_some_and(|last| now - last > MAX_ROUND_GAP);
        rounds.last_round = Some(now);
        if was_interrupted {
            rounds.last_contact.clear();
        }
        rounds.last_contact.retain(|known, _| acceptors.iter().any(|member| member.incarnation == *known));
        for member in acceptors {
            rounds.last_contact.entry(member.incarnation).or_insert(now);
        }
    }

    /// Records that an acceptor has replied now. Has no effect if the acceptor is not in the present round.
    pub fn record_contact(&self, acceptor: Incarnation) {
        if let Some(last_contact) = self.lock().last_contact.get_mut(&acceptor) {
            *last_contact = Instant::now();
        }
    }

    /// Returns the acceptors that have not replied for `timeout`; none while the rounds themselves are
    /// interrupted.
    #[must_use]
    pub fn unresponsive_for(&self, timeout: Duration) -> Vec<Incarnation> {
        let rounds = self.lock();
        if rounds.last_round.is_none_or(|last| last.elapsed() > MAX_ROUND_GAP) {
            return Vec::new();
        }
        let unresponsive = rounds.last_contact.iter().filter(|(_, last)| last.elapsed() >= timeout);
        unresponsive.map(|(acceptor, _)| *acceptor).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Rounds> {
        self.rounds.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
