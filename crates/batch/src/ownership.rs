//! One store's ownership of a batch job: claim, adoption of the log, replication, as a state machine without I/O.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::{Ballot, Entry, ReplicaLog, ReplicaReply, ReplicaRequest, StoreId};

/// How far an ownership is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnershipPhase {
    /// Promises are being collected.
    Claiming,
    /// A majority promised and its log was adopted; entries may be added.
    Leading,
    /// A store has promised this higher ballot to another.
    Lost(Ballot),
}

#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    promised: bool,
    /// Ballot and length of its log, once it has told.
    log: Option<(Ballot, usize)>,
    forgotten: bool,
    busy: bool,
    acknowledged: Option<Duration>,
}

/// The stores that an ownership asks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicaSet {
    /// The stores that keep the batch job.
    pub present: Vec<StoreId>,
    /// Those that kept it under the store set before, while that one still counts.
    pub previous: Vec<StoreId>,
}

/// One store's ownership of a batch job.
#[derive(Clone, Debug)]
pub struct Ownership {
    ballot: Ballot,
    copies: ReplicaSet,
    peers: BTreeMap<StoreId, Peer>,
    phase: OwnershipPhase,
    base: Ballot,
    base_length: usize,
    log: Vec<Arc<Entry>>,
    committed: usize,
}

impl Ownership {
    /// Begins to claim a batch job, of which the claimant itself has this log.
    #[must_use]
    pub fn claim(ballot: Ballot, copies: ReplicaSet, own: Option<&ReplicaLog>) -> Self {
        let stores = copies.present.iter().chain(&copies.previous);
        let peers = stores.map(|store| (*store, Peer::default())).collect();
        let own = own.cloned().unwrap_or_default();
        Self {
            ballot,
            copies,
            peers,
            phase: OwnershipPhase::Claiming,
            base: own.accepted,
            base_length: own.entries.len(),
            log: own.entries,
            committed: 0,
        }
    }

    /// Its ballot.
    #[must_use]
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// The stores that it asks.
    #[must_use]
    pub fn replicas(&self) -> &ReplicaSet {
        &self.copies
    }

    /// How far it is.
    #[must_use]
    pub fn phase(&self) -> OwnershipPhase {
        self.phase
    }

    /// All entries, also those that are not committed.
    #[must_use]
    pub fn log(&self) -> &[Arc<Entry>] {
        &self.log
    }

    /// The entries that a majority has under this ballot. They never change.
    #[must_use]
    pub fn committed(&self) -> &[Arc<Entry>] {
        &self.log[..self.committed]
    }

    /// Whether it leads and everything that earlier owners may have shown is committed again.
    #[must_use]
    pub fn is_established(&self) -> bool {
        self.phase == OwnershipPhase::Leading && self.committed >= self.base_length
    }

    /// Adds entries; they are committed once a majority has them.
    ///
    /// # Panics
    ///
    /// When it does not lead.
    pub fn append(&mut self, entries: impl IntoIterator<Item = Arc<Entry>>) {
        assert_eq!(self.phase, OwnershipPhase::Leading, "only a leading owner adds entries");
        self.log.extend(entries);
    }

    /// What is to be sent now to the stores that can be reached. A store is sent nothing more until
    /// [`Self::reply`] or [`Self::no_reply`].
    pub fn requests(&mut self, reachable: impl Fn(StoreId) -> bool) -> Vec<(StoreId, ReplicaRequest)> {
        let stores: Vec<StoreId> = self.peers.keys().copied().collect();
        let mut requests = Vec::new();
        for store in stores {
            if self.peers[&store].busy || !reachable(store) {
                continue;
            }
            if let Some(request) = self.request_for(store) {
                self.peers.entry(store).or_default().busy = true;
                requests.push((store, request));
            }
        }
        requests
    }

    fn request_for(&self, store: StoreId) -> Option<ReplicaRequest> {
        match self.phase {
            OwnershipPhase::Lost(_) => None,
            OwnershipPhase::Claiming => self.claim_for(store),
            OwnershipPhase::Leading if self.is_copy(store) => self.write_for(store),
            OwnershipPhase::Leading => self.forget_for(store),
        }
    }

    fn claim_for(&self, store: StoreId) -> Option<ReplicaRequest> {
        let claim =
            ReplicaRequest::Claim { ballot: self.ballot, accepted: self.base, length: self.base_length };
        (!self.peers[&store].promised).then_some(claim)
    }

    fn write_for(&self, store: StoreId) -> Option<ReplicaRequest> {
        let from = match self.peers[&store].log {
            Some((ballot, length)) if ballot == self.ballot => length,
            Some((ballot, length)) if ballot == self.base => length.min(self.base_length),
            Some(_) => 0,
            None => self.base_length,
        };
        if from >= self.log.len() && self.peers[&store].log.is_some_and(|(ballot, _)| ballot == self.ballot) {
            return None;
        }
        if self.log.is_empty() {
            return None;
        }
        let entries = self.log[from..].to_vec();
        Some(ReplicaRequest::Write { ballot: self.ballot, base: self.base, from, entries })
    }

    fn forget_for(&self, store: StoreId) -> Option<ReplicaRequest> {
        let wanted = self.is_established() && self.committed > 0 && !self.peers[&store].forgotten;
        wanted.then_some(ReplicaRequest::Forget { ballot: self.ballot })
    }

    /// Takes note that a request got no reply.
    pub fn no_reply(&mut self, from: StoreId) {
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.busy = false;
        }
    }

    /// Takes a reply to a request that was sent at `sent`.
    pub fn reply(&mut self, from: StoreId, reply: ReplicaReply, sent: Duration) {
        self.no_reply(from);
        self.note(from, reply, sent);
    }

    /// Takes what a store told by the way, for example about a heartbeat that was sent at `sent`.
    pub fn note(&mut self, from: StoreId, reply: ReplicaReply, sent: Duration) {
        if !self.peers.contains_key(&from) || matches!(self.phase, OwnershipPhase::Lost(_)) {
            return;
        }
        match reply {
            ReplicaReply::Rejected { promised } if promised > self.ballot => {
                self.phase = OwnershipPhase::Lost(promised)
            }
            ReplicaReply::Promised { ballot, accepted, length, from: start, entries }
                if ballot == self.ballot =>
            {
                self.acknowledge(from, sent);
                self.promised(from, accepted, length, start, entries);
            }
            ReplicaReply::Written { ballot, length } if ballot == self.ballot => {
                self.acknowledge(from, sent);
                self.learn(from, ballot, length);
            }
            ReplicaReply::Behind { ballot, accepted, length } if ballot == self.ballot => {
                self.acknowledge(from, sent);
                self.learn(from, accepted, length);
            }
            ReplicaReply::Forgotten { ballot } if ballot == self.ballot => {
                self.acknowledge(from, sent);
                self.peers.entry(from).or_default().forgotten = true;
            }
            _ => {}
        }
    }

    fn promised(
        &mut self,
        from: StoreId,
        accepted: Ballot,
        length: usize,
        start: usize,
        entries: Vec<Arc<Entry>>,
    ) {
        self.learn(from, accepted, length);
        if self.phase != OwnershipPhase::Claiming {
            return;
        }
        let ahead = (accepted, length) > (self.base, self.base_length);
        let start_fits = start == 0 || (accepted == self.base && start <= self.base_length);
        if ahead && !(start_fits && start + entries.len() == length) {
            return;
        }
        self.peers.entry(from).or_default().promised = true;
        if ahead {
            self.log.truncate(start);
            self.log.extend(entries);
            self.base = accepted;
            self.base_length = length;
        }
        let promised = |store: &StoreId| self.peers[store].promised;
        if is_majority(&self.copies.present, promised) && self.previous_majority(promised) {
            self.phase = OwnershipPhase::Leading;
        }
    }

    fn previous_majority(&self, holds: impl Fn(&StoreId) -> bool) -> bool {
        self.copies.previous.is_empty() || is_majority(&self.copies.previous, holds)
    }

    fn acknowledge(&mut self, from: StoreId, sent: Duration) {
        let peer = self.peers.entry(from).or_default();
        peer.acknowledged = peer.acknowledged.max(Some(sent));
    }

    /// What a store has under this ballot only grows; what it had before is replaced by newer news.
    fn learn(&mut self, from: StoreId, accepted: Ballot, length: usize) {
        let peer = self.peers.entry(from).or_default();
        peer.log = match peer.log {
            Some((ballot, known)) if ballot == self.ballot => {
                let length = if accepted == self.ballot { length.max(known) } else { known };
                Some((ballot, length))
            }
            _ => Some((accepted, length)),
        };
        self.commit();
    }

    fn commit(&mut self) {
        if self.phase != OwnershipPhase::Leading {
            return;
        }
        let mut lengths: Vec<usize> =
            self.copies.present.iter().map(|store| self.length_at(*store)).collect();
        lengths.sort_unstable_by(|one, other| other.cmp(one));
        let majority = lengths.len() / 2;
        self.committed = self.committed.max(lengths.get(majority).copied().unwrap_or(0));
    }

    fn length_at(&self, store: StoreId) -> usize {
        match self.peers[&store].log {
            Some((ballot, length)) if ballot == self.ballot => length,
            _ => 0,
        }
    }

    fn is_copy(&self, store: StoreId) -> bool {
        self.copies.present.contains(&store)
    }

    /// Whether a majority has acknowledged something that was sent within `lease` before `now`.
    #[must_use]
    pub fn holds_lease(&self, now: Duration, lease: Duration) -> bool {
        let recent = |store: &StoreId| {
            self.peers[store].acknowledged.is_some_and(|sent| sent.saturating_add(lease) >= now)
        };
        is_majority(&self.copies.present, recent)
    }
}

fn is_majority(stores: &[StoreId], holds: impl Fn(&StoreId) -> bool) -> bool {
    stores.iter().filter(|store| holds(store)).count() > stores.len() / 2
}
