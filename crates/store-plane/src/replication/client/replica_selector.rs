//! Selects the store for the next attempt of a call about a batch job.

use std::time::Duration;

use batch::StoreId;
use state::StoreMember;
use tokio::time::Instant;

/// Pause before the next round of attempts, after all replicas were called without a definite answer. A round
/// calls each replica once, and further stores after redirects. Calls other than submissions also pause after
/// each attempt without a definite answer.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Minimum time until the deadline of the call that is needed to start another attempt.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(300);
/// Number of calls to a store in one round after which further redirects to it are ignored. A store that is
/// not a replica counts as called once at the start of the round.
const MAX_CALLS_PER_STORE: usize = 2;

/// The stores to which the attempts of one call may be sent.
pub(super) struct ReplicaSelector {
    stores: Vec<StoreMember>,
    /// The store for the next attempt: the one named by a redirect or, at first, the last known owner.
    redirect: Option<StoreId>,
    /// The stores that were called in this round, one entry for each call, and the stores of
    /// `only_by_redirect`.
    attempted: Vec<StoreId>,
    /// Stores that are not present replicas of the batch job; they are only called after a redirect.
    only_by_redirect: Vec<StoreId>,
    deadline: Instant,
}

impl ReplicaSelector {
    /// Creates a selector that returns `owner` first if it is known, then `replicas` in their order. Stores
    /// of `others` are returned only after a redirect. `timeout` limits all attempts together.
    pub fn new(
        replicas: Vec<StoreMember>,
        others: Vec<StoreMember>,
        owner: Option<StoreId>,
        timeout: Duration,
    ) -> Self {
        let replica_ids = ids_of(&replicas);
        let mut only_by_redirect = ids_of(&others);
        only_by_redirect.retain(|store| !replica_ids.contains(store));
        let mut stores = replicas;
        stores.extend(others);
        Self {
            stores,
            redirect: owner,
            attempted: only_by_redirect.clone(),
            only_by_redirect,
            deadline: Instant::now() + timeout,
        }
    }

    /// Returns the store to call next: the target of a redirect, or else a replica that was not called in
    /// this round. If there is none, starts a new round after a pause. Returns `None` once no more than
    /// [`MIN_ATTEMPT_TIME`] is left, or if there are no replicas.
    pub async fn next_store(&mut self) -> Option<StoreMember> {
        let store = match self.select() {
            Some(store) => store,
            None => {
                tokio::time::sleep(RETRY_PAUSE).await;
                self.attempted.clone_from(&self.only_by_redirect);
                self.select()?
            }
        };
        (self.time_left() > MIN_ATTEMPT_TIME).then_some(store)
    }

    fn select(&mut self) -> Option<StoreMember> {
        let redirected = self.redirect.take().and_then(|id| self.find(|store| id_of(store) == id));
        let store = match redirected {
            Some(store) => store,
            None => self.find(|store| !self.attempted.contains(&id_of(store)))?,
        };
        self.attempted.push(id_of(&store));
        Some(store)
    }

    fn find(&self, condition: impl Fn(&StoreMember) -> bool) -> Option<StoreMember> {
        self.stores.iter().find(|store| condition(store)).cloned()
    }

    /// Sends the next attempt to `store`, which another store named as the owner, unless it was called
    /// [`MAX_CALLS_PER_STORE`] times in this round.
    pub fn redirect_to(&mut self, store: StoreId) {
        let calls = self.attempted.iter().filter(|attempted| **attempted == store).count();
        if calls < MAX_CALLS_PER_STORE {
            self.redirect = Some(store);
        }
    }

    /// Returns the time until the deadline of the call.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

fn id_of(store: &StoreMember) -> StoreId {
    store.member.incarnation.0
}

fn ids_of(stores: &[StoreMember]) -> Vec<StoreId> {
    stores.iter().map(id_of).collect()
}
