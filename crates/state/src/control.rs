//! The value of the replicated register.

use std::collections::{BTreeMap, VecDeque};

use register::{Member, RegisterValue};
use serde::{Deserialize, Serialize};

use crate::Document;

/// The revision of the first state.
pub const FIRST_REVISION: u64 = 1;
/// Changes of the configuration that are remembered, so that a repeated order is acknowledged and not refused. An
/// order on an older version gets no clear answer.
pub const MAX_APPLIED_CHANGES: usize = 1024;

/// A change of the configuration that was taken, known by its content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedChange {
    /// Digest of method, expected version and body.
    pub digest: u128,
    /// The version of the configuration that it made.
    pub edition: u64,
}

/// A machine that keeps batch jobs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreMember {
    /// Its identity: station, incarnation of its disk and internal address.
    pub member: Member,
    /// Its zone, so that copies are spread.
    pub zone: String,
}

/// The machines that keep batch jobs, as of one epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreSet {
    /// Rises with each change of the members.
    pub epoch: u64,
    /// Its members.
    pub members: Vec<StoreMember>,
    /// How many machines each batch job is kept on (at most; fewer where there are fewer).
    pub replication_factor: usize,
    /// How many members there should be; beyond these, one that cannot be reached is removed.
    pub target_size: usize,
}

/// How far the emptying of a store machine is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DrainState {
    /// Its batch jobs are being moved.
    Rolling,
    /// Everything that it held is whole elsewhere.
    Delivered,
}

/// All that the machines with a disk agree on. Changed as a whole, by compare and swap.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlState {
    /// Rises by one with each change.
    pub revision: u64,
    /// The acceptors of the register.
    pub acceptors: Vec<Member>,
    /// How many acceptors there should be.
    pub target_acceptor_count: usize,
    /// The revision with which the acceptors changed last; [`FIRST_REVISION`] if they never did.
    pub acceptors_since: u64,
    /// Machines with a disk that wait to take the place of an acceptor that is gone.
    pub standbys: Vec<Member>,
    /// The operator's configuration in force, as JSON; empty before the first.
    pub configuration: Document,
    /// Its version; 0 before the first.
    pub edition: u64,
    /// The newest changes that were taken, oldest first.
    pub applied_changes: VecDeque<AppliedChange>,
    /// The newest version that a trainer has named, by model. A model that is absent has version 1.
    pub named_versions: BTreeMap<String, u64>,
    /// The last fencing token that was handed out.
    pub fence: u64,
    /// The station to which it was handed out.
    pub fence_owner: Option<String>,
    /// The station that last was free to send orders to servers.
    pub order_issuer: Option<String>,
    /// The machines that keep batch jobs.
    pub stores: StoreSet,
    /// Machines that wait for the holder of the lease to add them to the store set, or to put them in the place of a
    /// store that is gone.
    pub joining_stores: Vec<StoreMember>,
    /// The set before, until all that it kept is whole in the present one.
    pub previous_stores: Option<StoreSet>,
    /// Store machines that the operator wants emptied, by station.
    pub draining: BTreeMap<String, DrainState>,
}

impl ControlState {
    /// Whether a change on top of this version of the configuration may have been taken and forgotten since.
    #[must_use]
    pub fn forgets_changes_on(&self, expected: u64) -> bool {
        let oldest =
            self.applied_changes.front().filter(|_| self.applied_changes.len() >= MAX_APPLIED_CHANGES);
        oldest.is_some_and(|oldest| expected < oldest.edition)
    }

    /// Whether the acceptors are those of the first start.
    #[must_use]
    pub fn has_first_acceptors(&self) -> bool {
        self.acceptors_since == FIRST_REVISION
    }

    /// Whether there are more stores than wanted, so that one may go without another in its place.
    pub(crate) fn has_surplus_store(&self) -> bool {
        self.stores.members.len() > self.stores.target_size.max(self.stores.replication_factor)
    }

    /// Begins a move of the batch jobs to a changed store set. The set before is kept until it has ended.
    pub(crate) fn move_stores(&mut self, change: impl FnOnce(&mut Vec<StoreMember>)) {
        self.previous_stores = Some(self.stores.clone());
        self.stores.epoch += 1;
        change(&mut self.stores.members);
    }

    /// Puts others in the place of the acceptors.
    pub(crate) fn set_acceptors(&mut self, acceptors: Vec<Member>) {
        self.standbys.retain(|standby| acceptors.iter().all(|member| member.name != standby.name));
        self.acceptors = acceptors;
        self.acceptors_since = self.revision;
    }
}

impl RegisterValue for ControlState {
    fn members(&self) -> &[Member] {
        &self.acceptors
    }
}
