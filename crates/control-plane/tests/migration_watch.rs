//! The stores that delay a migration of batch jobs.

use control_plane::PendingStore;
use register::{Incarnation, Member};
use state::change::Observation;
use state::{ControlState, StoreMember, StoreSet};

fn store_member(name: &str, incarnation: u64) -> StoreMember {
    let member =
        Member { name: name.into(), incarnation: Incarnation(incarnation), address: format!("{name}:1") };
    StoreMember { member, zone: "z".into() }
}

fn migrating_to(epoch: u64) -> ControlState {
    let members = vec![store_member("a", 1), store_member("b", 2)];
    let previous = StoreSet { epoch: epoch - 1, members: members.clone(), ..StoreSet::default() };
    let stores = StoreSet { epoch, members, ..StoreSet::default() };
    ControlState { previous_stores: Some(previous), stores, ..ControlState::default() }
}

#[test]
fn given_a_store_that_has_not_migrated_when_pending_stores_are_listed_then_it_is_included() {
    let mut observed = Observation::default();
    observed.record_committed_epoch(Incarnation(1), 2);
    observed.record_committed_epoch(Incarnation(2), 1);
    let pending = PendingStore::all_of(&migrating_to(2), &observed);
    assert_eq!(pending, [PendingStore { name: "b".into(), is_responding: false, epoch: 1 }]);
}

#[test]
fn given_no_migration_when_pending_stores_are_listed_then_there_are_none() {
    let finished = ControlState { previous_stores: None, ..migrating_to(2) };
    assert!(PendingStore::all_of(&finished, &Observation::default()).is_empty());
}
