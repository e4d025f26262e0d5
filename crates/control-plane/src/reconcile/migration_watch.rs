//! Finds the stores that delay a migration of batch jobs, for the leader's log.

use std::time::Duration;

use state::change::Observation;
use state::ControlState;
use tokio::time::Instant;

/// Duration after which a migration is logged with the stores that it waits for. The log lines are repeated
/// at this interval.
const WARN_INTERVAL: Duration = Duration::from_secs(5);

/// Store of the previous store set that has not migrated all its batch jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingStore {
    /// Name of the store, as it appears in the control state.
    pub name: String,
    /// Whether the store replied to the latest ping.
    pub is_responding: bool,
    /// Latest epoch of the store set to which the store has migrated all its batch jobs; 0 if it has not
    /// reported any to this leader.
    pub epoch: u64,
}

impl PendingStore {
    /// Returns the stores that the migration in this state waits for; none if no migration is in progress.
    #[must_use]
    pub fn all_of(control: &ControlState, observed: &Observation) -> Vec<Self> {
        let Some(previous) = &control.previous_stores else { return Vec::new() };
        let members = previous.members.iter().map(|store| &store.member);
        let stores = members.map(|member| Self {
            name: member.name.clone(),
            is_responding: observed.reachability.is_responding(member),
            epoch: observed.committed_epochs.get(&member.incarnation).copied().unwrap_or(0),
        });
        stores.filter(|store| store.epoch < control.stores.epoch).collect()
    }
}

/// Duration of the current migration, and the log lines about the stores that delay it.
#[derive(Default)]
pub(super) struct MigrationWatch {
    /// Target epoch of the current migration, and the time at which the migration was first observed or last
    /// logged. `None` if no migration is in progress.
    current: Option<(u64, Instant)>,
}

impl MigrationWatch {
    /// Logs the stores that delay the current migration, once [`WARN_INTERVAL`] has passed since it was first
    /// observed or last logged. The reconciler calls this function in each round of pings.
    pub(super) fn observe(&mut self, control: &ControlState, observed: &Observation) {
        if control.previous_stores.is_none() {
            self.current = None;
            return;
        }
        let epoch = control.stores.epoch;
        let since = match self.current {
            Some((known, since)) if known == epoch => since,
            _ => Instant::now(),
        };
        self.current = Some((epoch, since));
        if since.elapsed() >= WARN_INTERVAL {
            self.current = Some((epoch, Instant::now()));
            PendingStore::all_of(control, observed).iter().for_each(|store| store.log(epoch));
        }
    }
}

impl PendingStore {
    fn log(&self, target_epoch: u64) {
        let (name, epoch) = (&self.name, self.epoch);
        if self.is_responding {
            log::warn!(epoch, target_epoch; "migration waits: {name} replies, but has not migrated its batch jobs");
        } else {
            log::warn!(epoch, target_epoch; "migration waits: {name} does not reply");
        }
    }
}
