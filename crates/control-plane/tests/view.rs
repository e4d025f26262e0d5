//! Views only go forward, and so do the replies that distribute them.

mod support;

use std::sync::Arc;
use std::time::Duration;

use control_plane::{PingService, PollReply, PollRequest, PollService, ServerUpdate, ViewCell};
use register::{Ballot, Versioned};
use state::{ControlState, Document, ServerCondition, ServerEntry, ServerList, ServerListVersion};
use support::document;
use tokio::time::Instant;
use yare::parameterized;

const STABLE_AFTER: Duration = Duration::from_secs(3);
const UNRESPONSIVE_AFTER: Duration = Duration::from_secs(2);

fn version(fence: u64, sequence: u64) -> ServerListVersion {
    ServerListVersion { fence, sequence, local: 0 }
}

fn list(fence: u64, sequence: u64) -> ServerList {
    ServerList { version: version(fence, sequence), servers: Vec::new() }
}

fn value(round: u64, configuration_version: u64) -> Versioned<ControlState> {
    let state = ControlState {
        configuration_version,
        configuration: Document::new(document(configuration_version, "r")),
        ..ControlState::default()
    };
    Versioned::new(Ballot { round, proposer: 1 }, Arc::new(state))
}

#[test]
fn given_a_newer_value_when_an_older_one_comes_late_then_the_newer_stays() {
    let view = ViewCell::new();
    view.adopt_control(&value(5, 9));
    for late in [value(4, 7), value(5, 7)] {
        view.adopt_control(&late);
        assert_eq!(view.view().control.configuration_version, 9);
    }
    let configuration = view.view().configuration.clone().expect("it is compiled");
    assert_eq!(configuration.edition(), 9);
}

#[test]
fn given_a_value_without_a_new_configuration_when_adopted_then_the_compiled_one_is_kept() {
    let view = ViewCell::new();
    view.adopt_control(&value(5, 9));
    let before = view.view().configuration.clone().expect("it is compiled");
    view.adopt_control(&value(6, 9));
    assert!(Arc::ptr_eq(&before, view.view().configuration.as_ref().expect("it is compiled")));
}

#[test]
fn given_a_newer_list_when_an_older_one_comes_late_then_the_newer_stays() {
    let view = ViewCell::new();
    view.adopt_servers(list(3, 2));
    for late in [list(3, 1), list(2, 9)] {
        view.adopt_servers(late);
        assert_eq!(view.view().servers.version, version(3, 2));
    }
    view.adopt_servers(list(4, 1));
    assert_eq!(view.view().servers.version, version(4, 1));
}

#[test]
fn given_a_confirmation_when_an_earlier_one_arrives_late_then_the_later_counts() {
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

#[tokio::test]
async fn given_something_newer_when_polled_then_the_reply_comes_at_once_with_the_version_of_the_list() {
    let view = Arc::new(ViewCell::new());
    view.adopt_control(&value(5, 9));
    view.adopt_servers(list(3, 2));
    let service = PollService::new(Arc::clone(&view));
    let known = Ballot { round: 5, proposer: 1 };
    let max_wait_ms = 1000;
    let poll = |ballot, servers| {
        service.reply(PollRequest { ballot, configuration_version: 0, servers, max_wait_ms })
    };
    let reply = poll(Ballot::default(), version(3, 2)).await;
    let newer = reply.control.and_then(|update| update.apply(&ControlState::default()));
    assert_eq!(newer, Some(value(5, 9)));
    assert_eq!((reply.servers, reply.servers_version), (None, version(3, 2)));
    let reply = poll(known, version(3, 1)).await;
    let newer = reply.servers.and_then(|update| update.apply(&list(3, 1)));
    assert_eq!((reply.control, newer), (None, Some(list(3, 2))));
    let reply = service
        .reply(PollRequest {
            ballot: known,
            configuration_version: 9,
            servers: version(9, 9),
            max_wait_ms: 0,
        })
        .await;
    assert_eq!((reply.control, reply.servers, reply.servers_age_ms), (None, None, None));
}

#[tokio::test]
async fn given_a_pending_poll_when_something_newer_is_adopted_then_the_reply_comes() {
    let view = Arc::new(ViewCell::new());
    let service = PollService::new(Arc::clone(&view));
    let request = PollRequest {
        ballot: Ballot::default(),
        configuration_version: 0,
        servers: version(0, 0),
        max_wait_ms: 1000,
    };
    let adopt = async { view.adopt_control(&value(5, 9)) };
    let (reply, ()) = tokio::join!(service.reply(request), adopt);
    assert!(reply.control.is_some());
}

#[test]
fn given_a_process_without_a_known_epoch_when_pinged_then_it_reports_no_migration() {
    let view = Arc::new(ViewCell::new());
    let service = PingService::new(view, Arc::default(), UNRESPONSIVE_AFTER, STABLE_AFTER);
    assert_eq!(service.reply().committed_epoch, 0);
    service.set_committed_epoch(4);
    assert_eq!(service.reply().committed_epoch, 4);
}

fn reply(servers: Option<ServerList>, servers_version: ServerListVersion) -> PollReply {
    let (confirmed_age_ms, servers_age_ms) = (Some(100), Some(100));
    let servers = servers.map(ServerUpdate::Complete);
    PollReply { control: None, servers, confirmed_age_ms, servers_version, servers_age_ms }
}

#[test]
fn given_a_peer_with_an_older_list_when_it_reports_a_fresh_list_then_the_own_list_is_not_fresh() {
    let view = ViewCell::new();
    view.adopt_servers(list(3, 2));
    reply(None, version(3, 1)).apply_to(&view, Instant::now());
    assert_eq!(view.servers_age(), None);
    assert!(view.confirmed_age().is_some());
    reply(None, version(3, 2)).apply_to(&view, Instant::now());
    assert!(view.servers_age().is_some());
}

#[test]
fn given_a_peer_with_a_newer_list_when_it_replies_then_list_and_age_are_adopted() {
    let view = ViewCell::new();
    reply(Some(list(3, 2)), version(3, 2)).apply_to(&view, Instant::now());
    assert_eq!(view.view().servers.version, version(3, 2));
    assert!(view.servers_age().is_some());
}

#[parameterized(
    fresh = { Some(900), Some(2000), true },
    never_confirmed = { None, Some(0), false },
    not_confirmed_recently = { Some(901), Some(0), false },
    no_list = { Some(0), None, false },
    old_list = { Some(0), Some(2001), false },
)]
fn given_the_ages_that_a_peer_reports_when_checked_then_a_stale_peer_is_not_fresh(
    confirmed_age_ms: Option<u32>,
    servers_age_ms: Option<u32>,
    is_fresh: bool,
) {
    let reply = PollReply { confirmed_age_ms, servers_age_ms, ..reply(None, version(0, 0)) };
    assert_eq!(reply.is_fresh(), is_fresh);
}

fn reading(condition: ServerCondition) -> ServerList {
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
    ServerList { version: ServerListVersion::default(), servers: vec![server] }
}

#[test]
fn given_the_leader_when_it_reads_then_only_a_changed_or_renewed_list_gets_a_new_version() {
    let view = ViewCell::new();
    let now = Instant::now();
    assert!(view.adopt_reading(reading(ServerCondition::Open), now, Some(3), false));
    assert!(!view.adopt_reading(reading(ServerCondition::Open), now, Some(3), false));
    assert!(view.adopt_reading(reading(ServerCondition::Closing), now, Some(3), false));
    assert_eq!(view.view().servers.version, version(3, 2));
    assert!(view.adopt_reading(reading(ServerCondition::Closing), now, Some(3), true));
    assert!(
        view.adopt_reading(reading(ServerCondition::Closing), now, Some(4), false),
        "a new leader renews"
    );
    assert_eq!(view.view().servers.version, version(4, 1));
}

#[test]
fn given_a_process_that_is_not_the_leader_when_it_reads_for_itself_then_the_leader_still_wins() {
    let view = ViewCell::new();
    view.adopt_reading(reading(ServerCondition::Open), Instant::now(), Some(3), false);
    assert!(view.adopt_reading(reading(ServerCondition::Closing), Instant::now(), None, true));
    assert_eq!(view.view().servers.servers[0].condition, ServerCondition::Closing);
    assert!(
        !view.adopt_reading(reading(ServerCondition::Closing), Instant::now(), Some(2), true),
        "not the leader any more"
    );
    view.adopt_servers(list(3, 2));
    assert_eq!(view.view().servers.version, version(3, 2));
}
