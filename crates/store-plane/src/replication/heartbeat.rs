//! Heartbeats: in each maintenance round, a store sends one message to each store that keeps batch jobs which
//! the sender owns, about all of these batch jobs. The replies renew the owner's leases and show which
//! replicas lack entries.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use batch::{OwnershipPhase, ReplicaReply, StoreId};
use tokio::time::Instant;

use super::messages::{Heartbeat, HeartbeatReply, JobHeartbeat, JobHeartbeatReply, HEARTBEAT_PATH};
use super::node::StoreNode;
use super::state::ReplicationState;

/// Timeout of the call that sends a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(500);

impl StoreNode {
    /// Sends a heartbeat to each store that keeps a batch job that this store owns, and to each unreachable
    /// store to detect when it answers again. Skips stores whose previous heartbeat is still in flight.
    pub fn send_heartbeats(self: &Arc<Self>) {
        let due = self.lock().heartbeats_due();
        for (store, jobs) in due {
            let node = Arc::clone(self);
            tokio::spawn(async move { node.send_heartbeat(store, jobs).await });
        }
    }

    /// Sends one heartbeat and handles the answer. This store is a replica of its own batch jobs, so it
    /// answers its own heartbeat as well.
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

    /// Passes the reply about one batch job to its ownership. `sent` is the time at which the heartbeat was
    /// sent, from which the lease is counted.
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

    /// Answers the heartbeat of another store, or of this store itself.
    pub fn answer_heartbeat(&self, heartbeat: &Heartbeat) -> HeartbeatReply {
        let mut state = self.lock();
        let now = Instant::now();
        let replies = heartbeat.jobs.iter().map(|job| state.answer_job_heartbeat(job, now)).collect();
        HeartbeatReply { replies }
    }
}

impl ReplicationState {
    /// Returns the heartbeats to send now, by store, and marks them as in flight.
    fn heartbeats_due(&mut self) -> BTreeMap<StoreId, Vec<JobHeartbeat>> {
        let mut heartbeats: BTreeMap<StoreId, Vec<JobHeartbeat>> =
            self.peers.unreachable().map(|store| (store, Vec::new())).collect();
        for (job, owned) in self.ownerships.iter() {
            if owned.ownership.phase() != OwnershipPhase::Leading {
                continue;
            }
            for store in &owned.ownership.replicas().current {
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

    /// Answers the part of a heartbeat about one batch job; `None` while records of the batch job are not
    /// durable here.
    fn answer_job_heartbeat(&mut self, heartbeat: &JobHeartbeat, now: Instant) -> Option<JobHeartbeatReply> {
        let reply = self.replicas.check_append(&heartbeat.job, heartbeat.term, heartbeat.length);
        if !matches!(reply, ReplicaReply::Rejected { .. }) {
            self.job_status.record_owner_contact(&heartbeat.job, now);
        }
        if heartbeat.is_established {
            self.job_status.record_committed_epoch(&heartbeat.job, heartbeat.term.epoch);
        }
        if !self.durability.is_durable(&heartbeat.job) {
            return None;
        }
        let is_up_to_date = reply == heartbeat.up_to_date();
        Some(if is_up_to_date { JobHeartbeatReply::UpToDate } else { JobHeartbeatReply::Replica(reply) })
    }
}

impl JobHeartbeat {
    /// Returns the reply of a replica that has the complete log.
    fn up_to_date(&self) -> ReplicaReply {
        ReplicaReply::Appended { term: self.term, length: self.length }
    }
}
