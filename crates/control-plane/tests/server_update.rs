//! Updates of the server list: they contain only the changes if the receiver has a recent list of the leader.

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
    let servers = servers.iter().map(|(id, model_version)| server(id, *model_version));
    Arc::new(ServerList::new(version(sequence, 0), servers))
}

#[parameterized(
    no_difference = { &[("a", 1), ("b", 1)], &[("a", 1), ("b", 1)], 0, 0, 0 },
    a_model_version = { &[("a", 1), ("b", 1)], &[("a", 2), ("b", 1)], 0, 0, 1 },
    all_model_versions = { &[("a", 1), ("b", 1)], &[("a", 2), ("b", 3)], 0, 0, 2 },
    a_new_server = { &[("a", 1), ("c", 1)], &[("a", 1), ("b", 1), ("c", 1)], 1, 0, 0 },
    a_new_last_server = { &[("a", 1)], &[("a", 1), ("b", 1)], 1, 0, 0 },
    a_removed_server = { &[("a", 1), ("b", 1)], &[("b", 1)], 0, 1, 0 },
    a_removed_last_server = { &[("a", 1), ("b", 1)], &[("a", 1)], 0, 1, 0 },
    a_new_and_a_removed_server_and_a_version = { &[("a", 1), ("b", 1), ("d", 1)], &[("b", 2), ("c", 1), ("d", 1)], 1, 1, 1 },
    all_replaced = { &[("a", 1), ("b", 1)], &[("c", 1), ("d", 1)], 2, 2, 0 },
    from_an_empty_list = { &[], &[("a", 1)], 1, 0, 0 },
)]
fn given_a_list_that_was_distributed_when_a_newer_is_polled_then_only_the_difference_is_sent(
    before: &[(&str, u64)],
    after: &[(&str, u64)],
    changed: usize,
    removed: usize,
    versions: usize,
) {
    let (before, after) = (list(1, before), list(2, after));
    let mut recent = RecentLists::default();
    assert!(recent.update(version(1, 0), version(1, 0), &before).is_none());
    let update = recent.update(version(1, 0), version(1, 0), &after).expect("the list is newer");
    let ServerUpdate::Changes(changes) = &update else { panic!("the complete list was sent") };
    assert_eq!((changes.changed.len(), changes.removed.len()), (changed, removed));
    assert_eq!(changes.versions.len(), versions);
    assert_eq!(update.apply(&before), Some(after));
}

#[parameterized(
    no_list = { version(0, 0) },
    read_by_the_receiver_itself = { version(1, 1) },
)]
fn given_a_receiver_without_a_list_of_the_leader_when_a_newer_is_polled_then_the_complete_list_is_sent(
    receiver_version: ServerListVersion,
) {
    let (before, after) = (list(1, &[("a", 1)]), list(2, &[("a", 2)]));
    let mut recent = RecentLists::default();
    let _ = recent.update(receiver_version, receiver_version, &before);
    let update = recent.update(receiver_version, receiver_version, &after).expect("the list is newer");
    assert_eq!(update, ServerUpdate::Complete(after));
}

#[test]
fn given_changes_when_the_receiver_has_another_list_then_they_are_not_applied() {
    let (before, after) = (list(1, &[("a", 1)]), list(3, &[("a", 2)]));
    let mut recent = RecentLists::default();
    let _ = recent.update(version(1, 0), version(1, 0), &before);
    let update = recent.update(version(1, 0), version(1, 0), &after).expect("the list is newer");
    assert_eq!(update.apply(&list(2, &[("a", 1), ("b", 1)])), None);
}

#[test]
fn given_a_server_that_differs_in_more_than_versions_when_a_newer_list_is_polled_then_its_entry_is_sent() {
    let before = list(1, &[("a", 1)]);
    let closing = ServerEntry { condition: ServerCondition::Closing, ..server("a", 2) };
    let after = Arc::new(ServerList::new(version(2, 0), [closing]));
    let mut recent = RecentLists::default();
    let _ = recent.update(version(1, 0), version(1, 0), &before);
    let update = recent.update(version(1, 0), version(1, 0), &after).expect("the list is newer");
    let ServerUpdate::Changes(changes) = &update else { panic!("the complete list was sent") };
    assert_eq!((changes.changed.len(), changes.versions.len()), (1, 0));
    assert_eq!(update.apply(&before), Some(after));
}

#[test]
fn given_a_receiver_that_has_read_a_list_itself_when_the_leader_has_a_newer_then_changes_to_its_last_list_are_sent(
) {
    let (before, after) = (list(1, &[("a", 1)]), list(2, &[("a", 2)]));
    let mut recent = RecentLists::default();
    let _ = recent.update(version(1, 0), version(1, 0), &before);
    let update = recent.update(version(1, 7), version(1, 0), &after).expect("the list is newer");
    assert!(matches!(update, ServerUpdate::Changes(_)));
    assert_eq!(update.apply(&before), Some(after));
}

#[test]
fn given_two_receivers_with_the_same_list_when_a_newer_is_polled_then_the_changes_are_computed_once() {
    let (before, after) = (list(1, &[("a", 1)]), list(2, &[("a", 2)]));
    let mut recent = RecentLists::default();
    let _ = recent.update(version(1, 0), version(1, 0), &before);
    let mut poll = || match recent.update(version(1, 0), version(1, 0), &after) {
        Some(ServerUpdate::Changes(changes)) => changes,
        other => panic!("changes were expected, received {other:?}"),
    };
    assert!(Arc::ptr_eq(&poll(), &poll()));
}

/// A rollout changes the versions of thousands of servers at once. The update must not contain their complete
/// entries.
#[test]
fn given_a_rollout_to_thousands_of_servers_when_polled_then_the_changes_take_a_few_bytes_per_server() {
    const SERVERS: usize = 3_000;
    const MAX_BYTES: usize = 8 * SERVERS;
    let ids: Vec<String> = (0..SERVERS).map(|index| format!("server-{index:05}")).collect();
    let all_with_version = |version| ids.iter().map(|id| (id.as_str(), version)).collect::<Vec<_>>();
    let (before, after) = (list(1, &all_with_version(1)), list(2, &all_with_version(2)));
    let mut recent = RecentLists::default();
    let _ = recent.update(version(1, 0), version(1, 0), &before);
    let update = recent.update(version(1, 0), version(1, 0), &after).expect("the list is newer");
    let bytes = rpc::encode(&update).len();
    assert!(bytes <= MAX_BYTES, "{bytes} bytes");
    assert_eq!(update.apply(&before), Some(after));
}

#[test]
fn given_many_lists_when_the_list_of_a_receiver_is_no_longer_kept_then_the_complete_list_is_sent() {
    let mut recent = RecentLists::default();
    for sequence in 1..=100 {
        let _ =
            recent.update(version(sequence, 0), version(sequence, 0), &list(sequence, &[("a", sequence)]));
    }
    let newest = list(100, &[("a", 100)]);
    assert!(matches!(recent.update(version(1, 0), version(1, 0), &newest), Some(ServerUpdate::Complete(_))));
    assert!(matches!(recent.update(version(99, 0), version(99, 0), &newest), Some(ServerUpdate::Changes(_))));
}
