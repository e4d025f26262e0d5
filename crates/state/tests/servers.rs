//! The order of lists of servers.

use std::sync::Arc;

use state::{ServerCondition, ServerEntry, ServerList, ServerListVersion};

fn entry(id: &str, cold_ms: u64, condition: ServerCondition) -> ServerEntry {
    ServerEntry {
        id: id.into(),
        service: Arc::from("s"),
        address: ([10, 0, 0, 1], 80).into(),
        zone: Arc::from("z"),
        slots: 4,
        condition,
        warm_up_ms: cold_ms,
        models: [].into(),
    }
}

fn list(servers: Vec<ServerEntry>) -> ServerList {
    ServerList { version: ServerListVersion::default(), servers }
}

#[test]
fn given_a_holder_when_it_reads_again_and_again_then_versions_rise() {
    let first = ServerListVersion::default().next_of_holder(3).expect("it is the newest holder");
    let second = first.next_of_holder(3).expect("it is the newest holder");
    let of_next = second.next_of_holder(4).expect("it is the newest holder");
    assert!(first < second && second < of_next);
    assert_eq!(of_next.next_of_holder(3), None, "a later holder is known");
}

#[test]
fn given_a_list_that_a_process_read_for_itself_when_the_holder_reads_then_the_holder_wins() {
    let known = ServerListVersion::default().next_of_holder(3).expect("it is the newest holder");
    let local = known.next_local(u64::MAX);
    assert!(known < local && local < local.next_local(0), "{local:?}");
    assert!(local < known.next_of_holder(3).expect("it is the newest holder"));
}

#[test]
fn given_two_processes_when_each_reads_for_itself_then_their_lists_have_different_versions() {
    let known = ServerListVersion::default();
    assert_ne!(known.next_local(1), known.next_local(2));
}

#[test]
fn given_two_lists_when_compared_then_only_what_matters_counts() {
    let open = list(vec![entry("a", 900, ServerCondition::Open)]);
    assert!(open.shows_same(&list(vec![entry("a", 100, ServerCondition::Open)])));
    assert!(!open.shows_same(&list(vec![entry("a", 900, ServerCondition::Closing)])));
    assert!(!open.shows_same(&list(vec![entry("b", 900, ServerCondition::Open)])));
    assert!(!open.shows_same(&list(Vec::new())));
}
