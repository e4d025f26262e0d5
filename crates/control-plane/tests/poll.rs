//! The long poll: its replies, and their adoption by a view.

mod support;

use std::sync::Arc;

use control_plane::{PollReply, PollRequest, PollService, ServerUpdate, ViewCell};
use register::Ballot;
use state::{ControlState, ServerList, ServerListVersion};
use support::{committed_value, empty_list, list_version};
use tokio::time::Instant;
use yare::parameterized;

#[tokio::test]
async fn given_something_newer_when_polled_then_the_reply_is_immediate_and_has_the_version_of_the_list() {
    let view = Arc::new(ViewCell::new());
    view.adopt_control(&committed_value(5, 9));
    view.adopt_servers(empty_list(3, 2));
    let service = PollService::new(Arc::clone(&view));
    let known_ballot = Ballot { round: 5, proposer: 1 };
    let max_wait_ms = 1000;
    let poll = |ballot, servers| {
        service.reply(PollRequest {
            ballot,
            configuration_version: 0,
            servers,
            servers_base: servers,
            max_wait_ms,
        })
    };
    let reply = poll(Ballot::default(), list_version(3, 2)).await;
    let newer = reply.control.and_then(|update| update.apply(&ControlState::default()));
    assert_eq!(newer, Some(committed_value(5, 9)));
    assert_eq!((reply.servers, reply.servers_version), (None, list_version(3, 2)));
    let reply = poll(known_ballot, list_version(3, 1)).await;
    let newer = reply.servers.and_then(|update| update.apply(&empty_list(3, 1)));
    assert_eq!((reply.control, newer), (None, Some(empty_list(3, 2))));
    let reply = service
        .reply(PollRequest {
            ballot: known_ballot,
            configuration_version: 9,
            servers: list_version(9, 9),
            servers_base: list_version(9, 9),
            max_wait_ms: 0,
        })
        .await;
    assert_eq!((reply.control, reply.servers, reply.servers_age_ms), (None, None, None));
}

#[tokio::test]
async fn given_a_pending_poll_when_a_newer_value_is_adopted_then_the_reply_contains_it() {
    let view = Arc::new(ViewCell::new());
    let service = PollService::new(Arc::clone(&view));
    let request = PollRequest {
        ballot: Ballot::default(),
        configuration_version: 0,
        servers: list_version(0, 0),
        servers_base: list_version(0, 0),
        max_wait_ms: 1000,
    };
    let adopt = async { view.adopt_control(&committed_value(5, 9)) };
    let (reply, ()) = tokio::join!(service.reply(request), adopt);
    assert!(reply.control.is_some());
}

fn poll_reply(servers: Option<Arc<ServerList>>, servers_version: ServerListVersion) -> PollReply {
    let (confirmed_age_ms, servers_age_ms) = (Some(100), Some(100));
    let servers = servers.map(ServerUpdate::Complete);
    PollReply { control: None, servers, confirmed_age_ms, servers_version, servers_age_ms }
}

#[test]
fn given_a_peer_with_an_older_list_when_it_reports_the_age_of_its_list_then_the_age_of_the_local_list_is_unchanged(
) {
    let view = ViewCell::new();
    view.adopt_servers(empty_list(3, 2));
    poll_reply(None, list_version(3, 1)).apply_to(&view, Instant::now());
    assert_eq!(view.servers_age(), None);
    assert!(view.confirmed_age().is_some());
    poll_reply(None, list_version(3, 2)).apply_to(&view, Instant::now());
    assert!(view.servers_age().is_some());
}

#[test]
fn given_a_peer_with_a_newer_list_when_it_replies_then_list_and_age_are_adopted() {
    let view = ViewCell::new();
    poll_reply(Some(empty_list(3, 2)), list_version(3, 2)).apply_to(&view, Instant::now());
    assert_eq!(view.view().servers.version, list_version(3, 2));
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
    let reply = PollReply { confirmed_age_ms, servers_age_ms, ..poll_reply(None, list_version(0, 0)) };
    assert_eq!(reply.is_fresh(), is_fresh);
}
