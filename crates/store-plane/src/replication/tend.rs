//! The background work of a store: heartbeats, take-over, moves to new store sets, retention, compaction.

use std::sync::Arc;
use std::time::Duration;

use batch::{JobId, OwnershipPhase, Record, ReplicaRequest, StoreId};
use state::View;
use tokio::time::{Instant, MissedTickBehavior};

use super::messages::{Call, MigrationStatus, TakeOver, TAKE_OVER_PATH};
use super::replicas::replicas_of;
use super::state::{has_end, results, Owned, State};
use super::store::Shared;

/// How often an owner tells that it is alive.
const TICK: Duration = Duration::from_millis(300);
/// An owner that was silent for this long is taken over from.
pub(super) const OWNER_SILENT: Duration = Duration::from_millis(700);
/// The next store in the order of a batch job's copies waits this much longer.
const SILENT_PER_RANK: Duration = Duration::from_millis(350);
/// A claim that has not won after this time is given up.
const CLAIM_MOST: Duration = Duration::from_millis(1500);
/// An owner without a majority for this long gives up its ownership.
const LEASE_LOST: Duration = Duration::from_secs(3);
/// Claims of one tick; more would only slow each other.
const CLAIMS_PER_TICK: usize = 16;
/// A batch job is kept longer than results must be readable by this part of that time.
const KEPT_MARGIN_DIVISOR: u32 = 2;
/// A batch job with all results that nobody ended is kept this many times as long.
const KEPT_UNENDED: u32 = 8;
/// Batch jobs are written anew once the ring is this full.
const FILL_MOST: f64 = 0.6;
/// Batch jobs written anew at one tick.
const COMPACTED_PER_TICK: usize = 8;
/// How long a hint to take over may take.
const HINT_TIMEOUT: Duration = Duration::from_millis(500);

impl Shared {
    /// Does the background work until dropped.
    pub(super) async fn tend(self: &Arc<Self>) {
        let mut view = self.view.clone();
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut view_open = true;
        loop {
            tokio::select! {
                biased;
                _ = ticks.tick() => {}
                changed = view.changed(), if view_open => {
                    view_open = changed.is_ok();
                    if self.lock().replica.epoch() >= self.view().control.stores.epoch {
                        continue;
                    }
                }
            }
            self.tick();
        }
    }

    fn tick(self: &Arc<Self>) {
        let view = self.view();
        self.adopt_store_set(&view);
        self.give_up_stale();
        self.send_heartbeats();
        self.drive_all();
        self.take_over_silent(&view);
        self.hint_new_copies(&view);
        self.drop_old();
        self.compact();
    }

    /// Refuses owners of older epochs; claims what this store owns under the present one.
    fn adopt_store_set(self: &Arc<Self>, view: &View) {
        let epoch = view.control.stores.epoch;
        let mut state = self.lock();
        state.replica.raise_epoch(epoch);
        if state.replica.epoch() > state.epoch.0 {
            let record = Record::Epoch(state.replica.epoch());
            drop(state.persist(vec![record]));
        }
        let outdated: Vec<JobId> = state
            .owned
            .iter()
            .filter(|(_, owned)| owned.ownership.term().epoch < epoch)
            .map(|(job, _)| Arc::clone(job))
            .collect();
        for job in outdated {
            let claim = self.copies(view, &job).and_then(|copies| self.new_claim(&state, view, &job, copies));
            match (claim, state.owned.get_mut(&job)) {
                (Some(claim), Some(owned)) => {
                    owned.ownership = claim;
                    owned.since = Instant::now();
                    owned.progress.send_replace(());
                }
                _ => state.depose(&job),
            }
        }
    }

    fn give_up_stale(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let is_stale = |owned: &Owned| {
            let since = now - owned.since;
            let lease_lost = !owned.ownership.holds_lease(self.time(now), LEASE_LOST);
            match owned.ownership.phase() {
                OwnershipPhase::Preparing => since > CLAIM_MOST,
                OwnershipPhase::Leading => {
                    since > LEASE_LOST && (lease_lost || owned.ownership.log().is_empty())
                }
                OwnershipPhase::Superseded(_) => lease_lost,
            }
        };
        let stale: Vec<JobId> =
            state.owned.iter().filter(|(_, one)| is_stale(one)).map(|(job, _)| Arc::clone(job)).collect();
        for job in stale {
            state.heard.insert(Arc::clone(&job), now);
            state.depose(&job);
        }
    }

    fn drive_all(self: &Arc<Self>) {
        let jobs: Vec<JobId> = self.lock().owned.keys().cloned().collect();
        jobs.iter().for_each(|job| self.drive(job));
    }

    /// Claims batch jobs whose owner is silent.
    fn take_over_silent(self: &Arc<Self>, view: &View) {
        let now = Instant::now();
        let silent: Vec<JobId> = {
            let state = self.lock();
            let logs = state.replica.logs().filter(|(_, log)| !log.entries.is_empty());
            let unowned = logs.filter(|(job, _)| !state.owned.contains_key(*job));
            let overdue = unowned.filter(|(job, log)| {
                log.promised.owner == self.id() && !state.heard.contains_key(*job)
                    || self.rank(view, job).is_some_and(|rank| {
                        state.silence(job, self.started, now) > OWNER_SILENT + SILENT_PER_RANK * rank
                    })
            });
            overdue.map(|(job, _)| Arc::clone(job)).take(CLAIMS_PER_TICK).collect()
        };
        for job in silent {
            self.acquire(&job);
        }
    }

    fn rank(&self, view: &View, job: &str) -> Option<u32> {
        let copies = replicas_of(&view.control.stores, job);
        let rank = copies.iter().position(|store| store.member.incarnation.0 == self.id())?;
        u32::try_from(rank).ok()
    }

    /// Tells the stores that are to keep a batch job now, where this one keeps it from an older store set.
    fn hint_new_copies(self: &Arc<Self>, view: &View) {
        let epoch = view.control.stores.epoch;
        let state = self.lock();
        let left = state.replica.logs().filter(|(job, log)| {
            !log.entries.is_empty() && log.accepted.epoch < epoch && self.rank(view, job).is_none()
        });
        let hints: Vec<(JobId, StoreId)> = left
            .take(CLAIMS_PER_TICK)
            .filter_map(|(job, _)| {
                let copies = replicas_of(&view.control.stores, job);
                let chosen = copies.get(fastrand::usize(..copies.len().max(1)))?;
                Some((Arc::clone(job), chosen.member.incarnation.0))
            })
            .collect();
        drop(state);
        for (job, store) in hints {
            let shared = Arc::clone(self);
            tokio::spawn(async move {
                let address = shared.address_of(store)?;
                let call = Call { to: store, job, request: TakeOver { from: shared.id(), resigned: false } };
                shared.rpc.call::<_, ()>(&address, TAKE_OVER_PATH, &call, HINT_TIMEOUT).await.ok()
            });
        }
    }

    /// Takes over a batch job that this store is to keep and that another one told of.
    pub(super) fn take_over(self: &Arc<Self>, job: &JobId, request: TakeOver) {
        if !request.resigned && self.dismiss(job, request.from) {
            return;
        }
        let is_owned_elsewhere = {
            let mut state = self.lock();
            let owner = state.replica.log(job).map(|log| log.promised.owner);
            if request.resigned && owner == Some(request.from) {
                state.heard.remove(job);
            }
            state.heard.get(job).is_some_and(|heard| heard.elapsed() < OWNER_SILENT)
        };
        if !is_owned_elsewhere {
            self.acquire(job);
        }
    }

    /// Tells a store that is not to keep a batch job any more to drop its copy, if this store owns the batch job and
    /// has committed it. A store that missed the move to the present store set hears of it in no other way, and would
    /// never count as moved again.
    fn dismiss(self: &Arc<Self>, job: &JobId, from: StoreId) -> bool {
        let term = {
            let state = self.lock();
            let Some(owned) = state.owned.get(job) else { return false };
            let is_kept_there = owned.ownership.replicas().present.contains(&from);
            if is_kept_there || !owned.ownership.is_established() || owned.ownership.committed().is_empty() {
                return false;
            }
            owned.ownership.term()
        };
        let (shared, job) = (Arc::clone(self), Arc::clone(job));
        tokio::spawn(async move { shared.ask(from, &job, ReplicaRequest::Delete { term }).await });
        true
    }

    /// Drops batch jobs that are over and whose results need not be readable any more.
    fn drop_old(self: &Arc<Self>) {
        let kept = self.limits.result_retention + self.limits.result_retention / KEPT_MARGIN_DIVISOR;
        let old: Vec<(JobId, Vec<StoreId>, ReplicaRequest)> = {
            let state = self.lock();
            let over = state.owned.iter().filter(|(job, owned)| {
                let committed = owned.ownership.committed();
                let age = state.first_seen.get(*job).map_or(Duration::ZERO, Instant::elapsed);
                let listed_all =
                    owned.job.as_ref().is_some_and(|job| results(committed).count() >= job.items.len());
                has_end(committed) && age > kept || listed_all && age > kept * KEPT_UNENDED
            });
            over.map(|(job, owned)| {
                let forget = ReplicaRequest::Delete { term: owned.ownership.term() };
                (Arc::clone(job), owned.ownership.replicas().present.clone(), forget)
            })
            .collect()
        };
        for (job, stores, forget) in old {
            self.lock().depose(&job);
            for store in stores {
                let (shared, job, forget) = (Arc::clone(self), Arc::clone(&job), forget.clone());
                tokio::spawn(async move { shared.ask(store, &job, forget).await });
            }
        }
    }

    /// Writes the batch jobs with the oldest records anew, so that the ring can go on, once it is filling.
    fn compact(&self) {
        let mut state = self.lock();
        if self.journal.fill() > FILL_MOST {
            let mut jobs: Vec<(u64, JobId)> =
                state.oldest.iter().map(|(job, position)| (*position, Arc::clone(job))).collect();
            jobs.sort_unstable();
            let mut records: Vec<Vec<Record>> = Vec::new();
            for (_, job) in jobs.iter().take(COMPACTED_PER_TICK) {
                if !state.undurable.contains_key(job) {
                    records.push(vec![state.replica.snapshot(job)]);
                }
            }
            records.push(vec![Record::Epoch(state.replica.epoch())]);
            for record in records {
                drop(state.persist(record));
            }
        }
        let oldest_job = state.oldest.values().copied().min();
        let needed = oldest_job.unwrap_or(u64::MAX).min(state.epoch.1);
        drop(state);
        if needed < u64::MAX {
            self.journal.release(needed);
        }
    }

    /// Whether all that this store holds is committed under the present store set.
    pub(super) fn migration_status(&self) -> MigrationStatus {
        let epoch = self.view().control.stores.epoch;
        let state = self.lock();
        let is_settled = |job: &JobId| {
            let owned = state.owned.get(job).is_some_and(|one| one.ownership.is_established());
            owned || state.settled.get(job).is_some_and(|settled| *settled >= epoch)
        };
        let moved = state.epoch.0 >= epoch
            && state
                .replica
                .logs()
                .all(|(job, log)| log.entries.is_empty() || (log.accepted.epoch >= epoch && is_settled(job)));
        MigrationStatus { store: self.id(), epoch: state.epoch.0, is_complete: moved }
    }
}

impl State {
    /// For how long nothing was heard of the owner of a batch job.
    pub fn silence(&self, job: &str, started: Instant, now: Instant) -> Duration {
        now.saturating_duration_since(self.heard.get(job).copied().unwrap_or(started))
    }

    /// Drops what is noted about a batch job that the replica has dropped.
    pub fn forget(&mut self, job: &JobId) {
        self.heard.remove(job);
        self.first_seen.remove(job);
        self.settled.remove(job);
        self.rejected.remove(job);
    }
}
