//! Updates of the server list contain only the changes.

use std::collections::BTreeMap;
use std::sync::Arc;

use control_plane::{RecentLists, ServerUpdate};
use state::{ServerCondition, ServerEntry, ServerList, ServerListVersion};
use yare::parameterized;

fn server(id: &str, model_version: u64) -> ServerEntry {
    ServerEntry {
        id: id.into(),
        service: "engine".into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "a".into(),
        slots: 6,
        condition: ServerCondition::Open,
        warm_up_ms: 0,
        models: BTreeMap::from([("m".into(), model_version)]),
    }
}

fn version(sequence: u64, local: u64) -> ServerListVersion {
    ServerListVersion { fence: 1, sequence, local }
}

fn list(sequence: u64, servers: &[(&str, u64)]) -> Arc<ServerList> {
    let servers = servers.iter().map(|(id, model_version)| server(id, *model_version)).collect();
    Arc::new(ServerList { version: version(sequence, 0), servers })
}

#[parameterized(
    nothing = { &[("a", 1), ("b", 1)], &[("a", 1), ("b", 1)], 0, 0 },
    a_model_version = { &[("a", 1), ("b", 1)], &[("a", 2), ("b", 1)], 1, 0 },
    a_new_server = { &[("a", 1), ("c", 1)], &[("a", 1), ("b", 1), ("c", 1)], 1, 0 },
    a_removed_server = { &[("a", 1), ("b", 1)], &[("b", 1)], 0, 1 },
    all_replaced = { &[("a", 1), ("b", 1)], &[("c", 1), ("d", 1)], 2, 2 },
    from_nothing = { &[], &[("a", 1)], 1, 0 },
)]
fn given_a_list_that_was_distributed_when_a_newer_is_polled_then_only_the_difference_is_sent(
    before: &[(&str, u64)],
    after: &[(&str, u64)],
    changed: usize,
    removed: usize,
) {
    let (before, after) = (list(1, before), list(2, after));
    let mut recent = RecentLists::default();
    assert!(recent.update(version(1, 0), &before).is_none());
    let update = recent.update(version(1, 0), &after).expect("the list is newer");
    let ServerUpdate::Changes(changes) = &update else { panic!("the complete list was sent") };
    assert_eq!((changes.changed.len(), changes.removed.len()), (changed, removed));
    assert_eq!(update.apply(&before).as_ref(), Some(&*after));
}

#[parameterized(
    never_seen = { version(0, 0) },
    read_by_the_poller_itself = { version(1, 1) },
)]
fn given_a_receiver_with_another_list_when_a_newer_is_polled_then_the_complete_list_is_sent(
    receiver_version: ServerListVersion,
) {
    let (before, after) = (list(1, &[("a", 1)]), list(2, &[("a", 2)]));
    let mut recent = RecentLists::default();
    let _ = recent.update(receiver_version, &before);
    let update = recent.update(receiver_version, &after).expect("the list is newer");
    assert_eq!(update, ServerUpdate::Complete((*after).clone()));
}

#[test]
fn given_changes_when_the_receiver_has_a_later_list_then_they_are_not_applied() {
    let (before, after) = (list(1, &[("a", 1)]), list(3, &[("a", 2)]));
    let mut recent = RecentLists::default();
    let _ = recent.update(version(1, 0), &before);
    let update = recent.update(version(1, 0), &after).expect("the list is newer");
    assert_eq!(update.apply(&list(2, &[("a", 1), ("b", 1)])), None);
}

#[test]
fn given_many_lists_when_a_receiver_is_far_behind_then_the_complete_list_is_sent() {
    let mut recent = RecentLists::default();
    for sequence in 1..=100 {
        let _ = recent.update(version(sequence, 0), &list(sequence, &[("a", sequence)]));
    }
    let newest = list(100, &[("a", 100)]);
    assert!(matches!(recent.update(version(1, 0), &newest), Some(ServerUpdate::Complete(_))));
    assert!(matches!(recent.update(version(99, 0), &newest), Some(ServerUpdate::Changes(_))));
}
