//! When this acceptor last heard of each of the others.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use register::{Incarnation, Member};
use tokio::time::Instant;

/// After a pause of this length between two rounds the silence says more of this process than of the others, as it was
/// frozen or starved: all begin anew.
const INTERRUPTED_AFTER: Duration = Duration::from_millis(1200);

/// When each acceptor answered last, as noted by the rounds of the scrub.
#[derive(Default)]
pub struct AcceptorContacts {
    known: Mutex<Known>,
}

#[derive(Default)]
struct Known {
    last_round: Option<Instant>,
    record_contact: BTreeMap<Incarnation, Instant>,
}

impl AcceptorContacts {
    /// Begins a round in which all of these acceptors are asked.
    pub fn begin_round(&self, acceptors: &[Member]) {
        let now = Instant::now();
        let mut known = self.lock();
        let was_interrupted = known.last_round.is_some_and(|last| now - last > INTERRUPTED_AFTER);
        known.last_round = Some(now);
        if was_interrupted {
            known.record_contact.clear();
        }
        known.record_contact.retain(|heard, _| acceptors.iter().any(|member| member.incarnation == *heard));
        for member in acceptors {
            known.record_contact.entry(member.incarnation).or_insert(now);
        }
    }

    /// Notes that an acceptor has answered.
    pub fn record_contact(&self, acceptor: Incarnation) {
        if let Some(last) = self.lock().record_contact.get_mut(&acceptor) {
            *last = Instant::now();
        }
    }

    /// The acceptors that have been silent for this long; none while the rounds themselves are interrupted.
    #[must_use]
    pub fn unresponsive_for(&self, silence: Duration) -> Vec<Incarnation> {
        let known = self.lock();
        if known.last_round.is_none_or(|last| last.elapsed() > INTERRUPTED_AFTER) {
            return Vec::new();
        }
        let silent = known.record_contact.iter().filter(|(_, heard)| heard.elapsed() >= silence);
        silent.map(|(acceptor, _)| *acceptor).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
