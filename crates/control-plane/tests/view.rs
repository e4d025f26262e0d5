//! Views never replace a newer control state, server list or confirmation by an older one.

mod support;

use std::sync::Arc;
use std::time::Duration;

use control_plane::ViewCell;
use state::{ServerCondition, ServerEntry, ServerList, ServerListVersion};
use support::{committed_value, empty_list, list_version};
use tokio::time::Instant;

#[test]
fn given_a_newer_value_when_an_older_one_arrives_late_then_the_newer_stays() {
    let view = ViewCell::new();
    view.adopt_control(&committed_value(5, 9));
    for older in [committed_value(4, 7), committed_value(5, 7)] {
        view.adopt_control(&older);
        assert_eq!(view.view().control.configuration_version, 9);
    }
    let configuration = view.view().configuration.clone().expect("the configuration is compiled");
    assert_eq!(configuration.version(), 9);
}

#[test]
fn given_a_value_without_a_new_configuration_when_adopted_then_the_compiled_one_is_kept() {
    let view = ViewCell::new();
    view.adopt_control(&committed_value(5, 9));
    let before = view.view().configuration.clone().expect("the configuration is compiled");
    view.adopt_control(&committed_value(6, 9));
    assert!(Arc::ptr_eq(&before, view.view().configuration.as_ref().expect("the configuration is compiled")));
}

#[test]
fn given_a_newer_list_when_an_older_one_arrives_late_then_the_newer_stays() {
    let view = ViewCell::new();
    view.adopt_servers(empty_list(3, 2));
    for older in [empty_list(3, 1), empty_list(2, 9)] {
        view.adopt_servers(older);
        assert_eq!(view.view().servers.version, list_version(3, 2));
    }
    view.adopt_servers(empty_list(4, 1));
    assert_eq!(view.view().servers.version, list_version(4, 1));
}

#[test]
fn given_a_confirmation_when_an_earlier_one_arrives_late_then_the_age_is_that_of_the_later_one() {
    let view = ViewCell::new();
    assert_eq!((view.confirmed_age(), view.servers_age()), (None, None));
    let earlier = Instant::now();
    let later = earlier + Duration::from_secs(3600);
    for at in [later, earlier] {
        view.confirm(at);
        view.record_servers_read(at);
    }
    assert_eq!((view.confirmed_age(), view.servers_age()), (Some(Duration::ZERO), Some(Duration::ZERO)));
}

fn list_read_from_platform(condition: ServerCondition) -> ServerList {
    let server = ServerEntry {
        id: "i".into(),
        service: "s".into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "z".into(),
        slots: 1,
        condition,
        warm_up_ms: 0,
        models: [].into(),
    };
    ServerList::new(ServerListVersion::default(), [server])
}

#[test]
fn given_a_leader_when_it_reads_the_list_then_only_a_changed_or_renewed_list_gets_a_new_version() {
    let view = ViewCell::new();
    let now = Instant::now();
    assert!(view.adopt_platform_list(list_read_from_platform(ServerCondition::Open), now, Some(3), false));
    assert!(!view.adopt_platform_list(list_read_from_platform(ServerCondition::Open), now, Some(3), false));
    assert!(view.adopt_platform_list(list_read_from_platform(ServerCondition::Closing), now, Some(3), false));
    assert_eq!(view.view().servers.version, list_version(3, 2));
    assert!(view.adopt_platform_list(list_read_from_platform(ServerCondition::Closing), now, Some(3), true));
    assert!(
        view.adopt_platform_list(list_read_from_platform(ServerCondition::Closing), now, Some(4), false),
        "a new leader gives the list a new version"
    );
    assert_eq!(view.view().servers.version, list_version(4, 1));
}

#[test]
fn given_a_process_that_is_not_the_leader_when_it_reads_the_list_itself_then_the_next_list_of_the_leader_replaces_it(
) {
    let view = ViewCell::new();
    view.adopt_platform_list(list_read_from_platform(ServerCondition::Open), Instant::now(), Some(3), false);
    assert!(view.adopt_platform_list(
        list_read_from_platform(ServerCondition::Closing),
        Instant::now(),
        None,
        true
    ));
    assert_eq!(view.view().servers.servers[0].condition, ServerCondition::Closing);
    assert!(
        !view.adopt_platform_list(
            list_read_from_platform(ServerCondition::Closing),
            Instant::now(),
            Some(2),
            true
        ),
        "the fencing token is lower than that of the list"
    );
    view.adopt_servers(empty_list(3, 2));
    assert_eq!(view.view().servers.version, list_version(3, 2));
}
