//! The order of server lists by their versions, and the comparison of their contents.

use std::sync::Arc;

use state::{ServerCondition, ServerEntry, ServerList, ServerListVersion};

fn entry(id: &str, warm_up_ms: u64, condition: ServerCondition) -> ServerEntry {
    ServerEntry {
        id: id.into(),
        service: Arc::from("s"),
        address: ([10, 0, 0, 1], 80).into(),
        zone: Arc::from("z"),
        slots: 4,
        condition,
        warm_up_ms,
        models: [].into(),
    }
}

fn list(servers: Vec<ServerEntry>) -> ServerList {
    ServerList::new(ServerListVersion::default(), servers)
}

#[test]
fn given_a_leader_when_it_issues_lists_then_their_versions_increase() {
    let first = ServerListVersion::default().next_of_leader(3).expect("no later leader has issued a list");
    let second = first.next_of_leader(3).expect("no later leader has issued a list");
    let next_leader = second.next_of_leader(4).expect("no later leader has issued a list");
    assert!(first < second && second < next_leader);
    assert_eq!(next_leader.next_of_leader(3), None, "a later leader has issued this version");
}

#[test]
fn given_a_list_that_a_process_read_itself_when_the_leader_reads_then_the_list_of_the_leader_is_newer() {
    let known = ServerListVersion::default().next_of_leader(3).expect("no later leader has issued a list");
    let local = known.next_local(u64::MAX);
    assert!(known < local && local < local.next_local(0), "{local:?}");
    assert!(local < known.next_of_leader(3).expect("no later leader has issued a list"));
}

#[test]
fn given_two_processes_when_each_reads_the_list_itself_then_their_lists_have_different_versions() {
    let known = ServerListVersion::default();
    assert_ne!(known.next_local(1), known.next_local(2));
}

#[test]
fn given_two_lists_when_compared_then_the_remaining_warm_up_is_ignored() {
    let open = list(vec![entry("a", 900, ServerCondition::Open)]);
    assert!(open.has_same_servers(&list(vec![entry("a", 100, ServerCondition::Open)])));
    assert!(!open.has_same_servers(&list(vec![entry("a", 900, ServerCondition::Closing)])));
    assert!(!open.has_same_servers(&list(vec![entry("b", 900, ServerCondition::Open)])));
    assert!(!open.has_same_servers(&list(Vec::new())));
}
