//! Background maintenance of a store: one round every [`MAINTENANCE_INTERVAL`] and whenever the store set
//! changes.

mod compaction;
mod migration;
mod retention;
mod takeover;

pub(super) use takeover::CLAIM_TIMEOUT;

use std::sync::Arc;
use std::time::Duration;

use tokio::time::MissedTickBehavior;

use super::node::StoreNode;

/// Time between two maintenance rounds, and thus between two heartbeats of an owner.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(300);
/// Maximum number of batch jobs that are claimed, or passed on to other stores, in one round. More claims at
/// the same time would only slow each other down.
const MAX_CLAIMS_PER_ROUND: usize = 16;

impl StoreNode {
    /// Runs the maintenance until dropped.
    pub async fn run_maintenance(self: &Arc<Self>) {
        let mut view = self.view.clone();
        let mut ticks = tokio::time::interval(MAINTENANCE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut is_view_open = true;
        loop {
            tokio::select! {
                biased;
                _ = ticks.tick() => {}
                changed = view.changed(), if is_view_open => {
                    is_view_open = changed.is_ok();
                    if self.lock().replicas.epoch() >= self.current_view().control.stores.epoch {
                        continue;
                    }
                }
            }
            self.run_round();
        }
    }

    /// Runs one maintenance round under the newest view.
    fn run_round(self: &Arc<Self>) {
        let view = self.current_view();
        self.adopt_store_set(&view);
        self.release_stale_ownerships();
        self.end_stale_transfers();
        self.send_heartbeats();
        self.send_all_due_requests();
        self.take_over_expired(&view);
        self.notify_new_replicas(&view);
        self.delete_expired();
        self.compact();
    }

    /// Repeats requests that got no reply, and sends those that have become due.
    fn send_all_due_requests(self: &Arc<Self>) {
        let jobs = self.lock().ownerships.jobs_where(|_| true);
        jobs.iter().for_each(|job| self.send_due_requests(job));
    }
}
