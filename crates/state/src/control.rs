//! The control state, which is the value of the replicated register, and the types of its fields.
//!
//! The types in this module are encoded by position, on disks and between processes. The order and the types
//! of their fields and variants must therefore not change.

use std::collections::{BTreeMap, VecDeque};

use register::{Member, RegisterValue};
use serde::{Deserialize, Serialize};

use crate::Document;

/// Revision of the control state with which a system starts for the first time.
pub const INITIAL_REVISION: u64 = 1;
/// Maximum number of applied changes that a control state records. A change that is repeated because its
/// reply was lost is recognized by its record, and acknowledged instead of rejected. A change based on a
/// configuration version older than all records gets no definite answer.
pub const MAX_APPLIED_CHANGES: usize = 1024;

/// Record of an applied change of the configuration. The change is identified by its content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedChange {
    /// Digest of the kind of change, the expected version and the body, computed by
    /// [`change_digest`](crate::change::change_digest).
    pub digest: u128,
    /// Configuration version that the change produced.
    pub version: u64,
}

/// Machine that stores batch jobs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreMember {
    /// Name of the machine, incarnation of its disk, and internal address.
    pub member: Member,
    /// Zone of the machine. The replicas of a batch job are spread over zones.
    pub zone: String,
}

/// Machines that store batch jobs, as of one epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreSet {
    /// Number of the store set, which increases by one with each change of the members.
    pub epoch: u64,
    /// Machines in the set, in the order in which they were added.
    pub members: Vec<StoreMember>,
    /// Intended number of replicas of each batch job. A job has fewer replicas if the set has fewer members.
    pub replication_factor: usize,
    /// Intended number of members. An unresponsive member is removed without a replacement only while the set
    /// has more members.
    pub target_size: usize,
}

/// Progress of draining a store machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DrainState {
    /// The batch jobs of the machine must be migrated to other stores. The migration may not have started
    /// yet.
    Draining,
    /// Every batch job that the machine stored is complete on other stores.
    Drained,
}

/// State that the acceptors agree on. It is replaced as a unit, by compare-and-swap.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlState {
    /// Number of the state, which increases by one with each change.
    pub revision: u64,
    /// Acceptors of the register, which are also the grantors of the leader lease.
    pub acceptors: Vec<Member>,
    /// Intended number of acceptors. While there are fewer, a machine with a disk is added without replacing
    /// another.
    pub target_acceptor_count: usize,
    /// Revision of the latest change of the acceptors; [`INITIAL_REVISION`] if they never changed.
    pub acceptors_since: u64,
    /// Machines with a disk that are ready to replace a failed acceptor. They have no vote.
    pub standbys: Vec<Member>,
    /// Operator's configuration in force, as JSON; empty until an operator has sent one.
    pub configuration: Document,
    /// Version of `configuration`; 0 until an operator has sent one.
    pub configuration_version: u64,
    /// Latest applied changes of the configuration, oldest first; at most [`MAX_APPLIED_CHANGES`].
    pub applied_changes: VecDeque<AppliedChange>,
    /// Weight version to roll out for each model: the highest version that a trainer has requested. A model
    /// without an entry has version 1.
    pub target_versions: BTreeMap<String, u64>,
    /// Latest fencing token that was issued to a leader; 0 before the first one.
    pub fence: u64,
    /// Name of the member to which `fence` was issued; `None` while `fence` is 0.
    pub fence_owner: Option<String>,
    /// Name of the latest member that may have sent orders to servers; `None` if no member has sent any.
    pub order_issuer: Option<String>,
    /// Current set of machines that store batch jobs.
    pub stores: StoreSet,
    /// Machines that wait until the leader adds them to the store set, as additional members or as
    /// replacements of failed ones.
    pub joining_stores: Vec<StoreMember>,
    /// Store set before `stores`; `Some` until all batch jobs that it stored are complete in `stores`.
    pub previous_stores: Option<StoreSet>,
    /// Store machines that the operator has ordered to be drained, with their progress, by member name.
    pub draining: BTreeMap<String, DrainState>,
}

impl ControlState {
    /// Whether a change based on the configuration version `expected` may have been applied, and its record
    /// have been removed from [`applied_changes`](Self::applied_changes) since.
    #[must_use]
    pub fn may_have_dropped_changes_on(&self, expected: u64) -> bool {
        let is_full = self.applied_changes.len() >= MAX_APPLIED_CHANGES;
        let oldest = self.applied_changes.front().filter(|_| is_full);
        oldest.is_some_and(|oldest| expected < oldest.version)
    }

    /// Whether the acceptors have not changed since the initial state.
    #[must_use]
    pub fn has_initial_acceptors(&self) -> bool {
        self.acceptors_since == INITIAL_REVISION
    }

    /// Returns all members: acceptors, stores of the current and the previous set, standbys and joining
    /// stores. A machine with several of these roles occurs several times.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        let sets = [Some(&self.stores), self.previous_stores.as_ref()];
        let stores = sets.into_iter().flatten().flat_map(|set| &set.members).map(|store| &store.member);
        let joining = self.joining_stores.iter().map(|store| &store.member);
        self.acceptors.iter().chain(stores).chain(&self.standbys).chain(joining)
    }

    /// Whether the store set has more members than intended and than a batch job has replicas, so that one
    /// may be removed without a replacement.
    pub(crate) fn has_surplus_store(&self) -> bool {
        self.stores.members.len() > self.stores.target_size.max(self.stores.replication_factor)
    }

    /// Starts a migration of the batch jobs to a changed store set. The current set becomes the previous one
    /// until the migration has finished. Must not be called during another migration, whose previous set
    /// would be overwritten.
    pub(crate) fn migrate_stores(&mut self, change: impl FnOnce(&mut Vec<StoreMember>)) {
        self.previous_stores = Some(self.stores.clone());
        self.stores.epoch += 1;
        change(&mut self.stores.members);
    }

    /// Replaces the acceptors as of the current revision, and removes the new acceptors from the standbys.
    pub(crate) fn set_acceptors(&mut self, acceptors: Vec<Member>) {
        self.standbys.retain(|standby| acceptors.iter().all(|member| member.name != standby.name));
        self.acceptors = acceptors;
        self.acceptors_since = self.revision;
    }
}

impl RegisterValue for ControlState {
    fn acceptors(&self) -> &[Member] {
        &self.acceptors
    }
}
