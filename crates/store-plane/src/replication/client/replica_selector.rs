//! Which store a call about a batch job goes to next.

use std::time::Duration;

use batch::StoreId;
use state::StoreMember;
use tokio::time::Instant;

/// Pause before the replicas are called once more, when all were called in vain.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// No store is called with less time than this left.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(300);
/// Calls of one round after which a redirect to the same store is ignored.
const MAX_CALLS_PER_STORE: usize = 2;

/// The stores that the attempts of one call may go to.
pub(super) struct ReplicaSelector {
    stores: Vec<StoreMember>,
    /// The store that the next attempt goes to, by a redirect or since it was the owner before.
    redirect: Option<StoreId>,
    /// Stores that were called in this round, and those of `only_by_redirect`.
    attempted: Vec<StoreId>,
    /// Stores that are no replicas of the batch job: they are only called after a redirect.
    only_by_redirect: Vec<StoreId>,
    deadline: Instant,
}

impl ReplicaSelector {
    /// Selects among `replicas` in their order, after `owner` if that is known, and among `others` by redirects.
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

    /// The store to call next: the one that a redirect names, then each replica once, and all of them again after a
    /// pause. `None` once too little time is left.
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

    /// Lets the next attempt go to the store that another one named, unless that has been tried often enough.
    pub fn redirect_to(&mut self, store: StoreId) {
        let calls = self.attempted.iter().filter(|attempted| **attempted == store).count();
        if calls < MAX_CALLS_PER_STORE {
            self.redirect = Some(store);
        }
    }

    /// The time until the deadline of the call.
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
