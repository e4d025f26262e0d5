//! Changes of the store set: loss of disks, replacement of members, and completion of a change.

use batch::StoreId;

use super::faults::Fault;
use super::machine::Machine;
use super::Cluster;

impl Cluster {
    /// Replaces the disk of a machine by an empty one, unless too many members of a store set have already
    /// lost theirs.
    pub(super) fn lose_disk(&mut self, index: usize) {
        let id = self.machines[index].id;
        let is_tolerated = |set: &Vec<StoreId>| {
            let lost = set.iter().filter(|store| self.lost_disks.contains(store)).count();
            !set.contains(&id) || lost < self.max_lost_disks
        };
        let replicas = &self.view.replicas;
        if !is_tolerated(&replicas.current) || !is_tolerated(&replicas.previous) {
            return;
        }
        let view = self.machines[index].view.clone();
        let new_id = if self.fault == Fault::KeepsIdentityWithoutDisk { id } else { self.next_id };
        self.next_id += 1;
        self.lost_disks.insert(id);
        self.machines[index] = Machine { view, ..Machine::new(new_id) };
    }

    /// Begins a change of the store set if none is in progress; otherwise completes the change if enough
    /// members have migrated.
    pub(super) fn change_store_set(&mut self) {
        if self.view.replicas.previous.is_empty() {
            self.begin_change();
        } else if self.is_migrated() {
            self.view.replicas.previous.clear();
            self.completed_changes += 1;
        }
    }

    /// Whether all members of the previous store set have migrated, except for the number that may have lost
    /// their disks.
    fn is_migrated(&self) -> bool {
        let previous = &self.view.replicas.previous;
        let has_migrated = |store: &&StoreId| {
            let mut machines = self.machines.iter().filter(|machine| machine.id == **store);
            machines.any(|machine| machine.has_migrated(&self.job, self.view.epoch))
        };
        let migrated = previous.iter().filter(has_migrated).count();
        migrated + self.max_lost_disks >= previous.len()
    }

    /// Begins a change that replaces a member by a random other store. Members that lost their disks are
    /// replaced first, otherwise a random one.
    fn begin_change(&mut self) {
        let current = &self.view.replicas.current;
        let has_disk = |id: &StoreId| self.machines.iter().any(|machine| machine.id == *id);
        let lost = current.iter().position(|id| !has_disk(id));
        let ids = self.machines.iter().map(|machine| machine.id);
        let candidates: Vec<StoreId> = ids.filter(|id| !current.contains(id)).collect();
        if candidates.is_empty() {
            return;
        }
        let replaced = lost.unwrap_or_else(|| self.random.usize(..current.len()));
        let replacement = candidates[self.random.usize(..candidates.len())];
        let replicas = &mut self.view.replicas;
        replicas.previous = replicas.current.clone();
        replicas.current[replaced] = replacement;
        self.view.epoch += 1;
    }
}
