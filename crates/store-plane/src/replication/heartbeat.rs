//! Heartbeats: once a maintenance round, each store sends one message to each other store, about all batch jobs that it
//! owns and the other one keeps. The replies renew its leases, and tell which replicas lack entries.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use batch::{OwnershipPhase, ReplicaReply, StoreId};
use tokio::time::Instant;

use super::messages::{Heartbeat, HeartbeatReply, JobHeartbeat, JobHeartbeatReply, HEARTBEAT_PATH};
use super::node::StoreNode;
use super::state::ReplicationState;

/// Timeout of a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(500);

impl StoreNode {
    /// Sends a heartbeat to each store that keeps a batch job that this one owns, and to each unreachable one to find
    /// out whether it answers again. Stores whose last heartbeat is still in flight are left out.
    pub fn send_heartbeats(self: &Arc<Self>) {
        let due = self.lock().heartbeats_due();
        for (store, jobs) in due {
            let node = Arc::clone(self);
            tokio::spawn(async move { node.send_heartbeat(store, jobs).await });
        }
    }

    /// Sends one heartbeat and handles the answer. This store counts as a replica of its own batch jobs.
    async fn send_heartbeat(self: Arc<Self>, store: StoreId, jobs: Vec<JobHeartbeat>) {
        let sent = Instant::now();
        let heartbeat = Heartbeat { to: store, jobs };
        let answer = if store == self.id() {
            Some(self.answer_heartbeat(&heartbeat))
        } else if let Some(address) = self.address_of(store) {
            self.rpc.call(&address, HEARTBEAT_PATH, &heartbeat, HEARTBEAT_TIMEOUT).await.ok()
        } else {
            self.lock().peers.remove(store);
            return;
        };
        self.lock().peers.finish_heartbeat(store, answer.is_some());
        let Some(answer) = answer else { return };
        for (job, reply) in heartbeat.jobs.iter().zip(answer.replies) {
            let Some(reply) = reply else { continue };
            self.on_heartbeat_reply(store, job, reply, sent);
        }
    }

    fn on_heartbeat_reply(
        self: &Arc<Self>,
        store: StoreId,
        heartbeat: &JobHeartbeat,
        reply: JobHeartbeatReply,
        sent: Instant,
    ) {
        let reply = match reply {
            JobHeartbeatReply::UpToDate => heartbeat.up_to_date(),
            JobHeartbeatReply::Replica(reply) => reply,
        };
        self.with_ownership(&heartbeat.job, heartbeat.term, |node, state| {
            if let Some(owned) = state.ownerships.get_mut(&heartbeat.job) {
                owned.ownership.observe_reply(store, reply, node.lease_time(sent));
            }
        });
    }

    /// Answers the heartbeat of an owner.
    pub fn answer_heartbeat(&self, heartbeat: &Heartbeat) -> HeartbeatReply {
        let mut state = self.lock();
        let now = Instant::now();
        let replies = heartbeat.jobs.iter().map(|job| state.answer_job_heartbeat(job, now)).collect();
        HeartbeatReply { replies }
    }
}

impl ReplicationState {
    /// The heartbeats to send now, which are in flight from now on.
    fn heartbeats_due(&mut self) -> BTreeMap<StoreId, Vec<JobHeartbeat>> {
        let mut heartbeats: BTreeMap<StoreId, Vec<JobHeartbeat>> =
            self.peers.unreachable().map(|store| (store, Vec::new())).collect();
        for (job, owned) in self.ownerships.iter() {
            if owned.ownership.phase() != OwnershipPhase::Leading {
                continue;
            }
            for store in &owned.ownership.replicas().present {
                let heartbeat = JobHeartbeat {
                    job: Arc::clone(job),
                    term: owned.ownership.term(),
                    length: owned.ownership.log().len(),
                    is_established: owned.ownership.is_established(),
                };
                heartbeats.entry(*store).or_default().push(heartbeat);
            }
        }
        heartbeats.retain(|store, _| self.peers.start_heartbeat(*store));
        heartbeats
    }

    /// Answers the part of a heartbeat about one batch job; `None` while its records are not durable.
    fn answer_job_heartbeat(&mut self, heartbeat: &JobHeartbeat, now: Instant) -> Option<JobHeartbeatReply> {
        let reply = self.replica.check_append(&heartbeat.job, heartbeat.term, heartbeat.length);
        if !matches!(reply, ReplicaReply::Rejected { .. }) {
            self.jobs.record_owner_contact(&heartbeat.job, now);
        }
        if heartbeat.is_established {
            self.jobs.record_committed_epoch(&heartbeat.job, heartbeat.term.epoch);
        }
        if !self.durability.is_durable(&heartbeat.job) {
            return None;
        }
        let is_up_to_date = reply == heartbeat.up_to_date();
        Some(if is_up_to_date { JobHeartbeatReply::UpToDate } else { JobHeartbeatReply::Replica(reply) })
    }
}

impl JobHeartbeat {
    /// The reply of a replica that has the complete log.
    fn up_to_date(&self) -> ReplicaReply {
        ReplicaReply::Appended { term: self.term, length: self.length }
    }
}
