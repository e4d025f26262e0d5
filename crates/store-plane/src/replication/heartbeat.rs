//! Owners tell the other stores what they own, one message for each pair of stores.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use batch::{OwnershipPhase, ReplicaReply, StoreId};
use tokio::time::Instant;

use super::messages::{Heartbeat, HeartbeatReply, MarkReply, OwnedMark, HEARTBEAT_PATH};
use super::state::State;
use super::store::Shared;

/// How long a heartbeat may take.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(500);

impl Shared {
    /// Sends a heartbeat to each store that has a part in something that this one owns, or that did not answer.
    pub(super) fn send_heartbeats(self: &Arc<Self>) {
        for (store, jobs) in self.heartbeats() {
            let shared = Arc::clone(self);
            tokio::spawn(async move { shared.beat(store, jobs).await });
        }
    }

    fn heartbeats(&self) -> BTreeMap<StoreId, Vec<OwnedMark>> {
        let mut state = self.lock();
        let mut beats: BTreeMap<StoreId, Vec<OwnedMark>> = BTreeMap::new();
        for store in &state.unreachable {
            beats.insert(*store, Vec::new());
        }
        for (job, owned) in &state.owned {
            if owned.ownership.phase() != OwnershipPhase::Leading {
                continue;
            }
            for store in &owned.ownership.replicas().present {
                let mark = OwnedMark {
                    job: Arc::clone(job),
                    term: owned.ownership.term(),
                    length: owned.ownership.log().len(),
                    established: owned.ownership.is_established(),
                };
                beats.entry(*store).or_default().push(mark);
            }
        }
        beats.retain(|store, _| state.beating.insert(*store));
        beats
    }

    async fn beat(self: Arc<Self>, store: StoreId, jobs: Vec<OwnedMark>) {
        let sent = Instant::now();
        let beat = Heartbeat { to: store, jobs };
        let answer =
            if store == self.id() { Some(self.answer_heartbeat(&beat)) } else { self.call(&beat).await };
        let mut state = self.lock();
        state.beating.remove(&store);
        match &answer {
            Some(_) => state.unreachable.remove(&store),
            None => state.unreachable.insert(store),
        };
        drop(state);
        let Some(answer) = answer else { return };
        for (mark, reply) in beat.jobs.iter().zip(answer.marks) {
            let reply = match reply {
                None => continue,
                Some(MarkReply::Has) => ReplicaReply::Appended { term: mark.term, length: mark.length },
                Some(MarkReply::Other(reply)) => reply,
            };
            self.with_ownership(&mark.job, mark.term, |shared, state| {
                if let Some(owned) = state.owned.get_mut(&mark.job) {
                    owned.ownership.observe_reply(store, reply, shared.time(sent));
                }
            });
        }
    }

    async fn call(&self, beat: &Heartbeat) -> Option<HeartbeatReply> {
        let Some(address) = self.address_of(beat.to) else {
            // It is a member no more: there is nobody to reach.
            self.lock().unreachable.remove(&beat.to);
            return None;
        };
        self.rpc.call(&address, HEARTBEAT_PATH, beat, HEARTBEAT_TIMEOUT).await.ok()
    }

    /// Answers the heartbeat of an owner.
    pub(super) fn answer_heartbeat(&self, beat: &Heartbeat) -> HeartbeatReply {
        let mut state = self.lock();
        let now = Instant::now();
        let marks = beat.jobs.iter().map(|mark| state.answer_mark(mark, now)).collect();
        HeartbeatReply { marks }
    }
}

impl State {
    fn answer_mark(&mut self, mark: &OwnedMark, now: Instant) -> Option<MarkReply> {
        let reply = self.replica.check_append(&mark.job, mark.term, mark.length);
        if !matches!(reply, ReplicaReply::Rejected { .. }) {
            self.heard.insert(Arc::clone(&mark.job), now);
        }
        if mark.established {
            self.settled.insert(Arc::clone(&mark.job), mark.term.epoch);
        }
        if self.undurable.contains_key(&mark.job) || self.tainted.contains(&mark.job) {
            return None;
        }
        let has_all = ReplicaReply::Appended { term: mark.term, length: mark.length };
        Some(if reply == has_all { MarkReply::Has } else { MarkReply::Other(reply) })
    }
}
