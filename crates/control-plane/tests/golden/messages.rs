//! Golden files of the internal messages, and of the HTTP paths to which they are sent.

use std::sync::Arc;

use control_plane::{
    paths, Announcement, Capability, ControlUpdate, GossipMessage, PingReply, PollReply, PollRequest,
    ServerChanges, ServerUpdate, VersionChange,
};
use register::{AcceptorReply, AcceptorRequest, Ballot, Incarnation, ReplyOutcome};
use state::{ControlState, ServerCondition, ServerEntry, ServerList, ServerListVersion};

use super::{check_message, check_text, member, versioned};

const VERSION: ServerListVersion = ServerListVersion { fence: 12, sequence: 400, local: 0 };

fn server_entry(id: &str, condition: ServerCondition) -> ServerEntry {
    ServerEntry {
        id: id.into(),
        service: "engine".into(),
        address: "10.1.2.3:8080".parse().expect("the address is valid"),
        zone: "z1".into(),
        slots: 300,
        condition,
        warm_up_ms: 4000,
        models: [(Arc::from("m"), 3), (Arc::from("n"), 70_000)].into(),
    }
}

fn complete_update() -> ServerUpdate {
    let servers = vec![server_entry("a", ServerCondition::Open), server_entry("b", ServerCondition::Closing)];
    ServerUpdate::Complete(Arc::new(ServerList::new(VERSION, servers)))
}

fn changes_update() -> ServerUpdate {
    ServerUpdate::Changes(Arc::new(ServerChanges {
        base: ServerListVersion { sequence: 399, ..VERSION },
        version: VERSION,
        changed: vec![Arc::new(server_entry("a", ServerCondition::Closing))],
        removed: vec!["c".into()],
        versions: vec![VersionChange { server: 300, model: 1, version: 70_001 }],
    }))
}

#[test]
fn given_the_paths_of_internal_calls_when_listed_then_they_match_the_golden_file() {
    let paths = [
        paths::REGISTER,
        paths::LEASE,
        paths::RELEASE,
        paths::POLL,
        paths::ANNOUNCE,
        paths::OFFER_INITIAL_VALUE,
        paths::ACCEPTOR_GOSSIP,
        paths::PING,
    ];
    check_text("paths.txt", &(paths.join("\n") + "\n"));
}

#[test]
fn given_messages_of_discovery_and_pings_when_encoded_then_their_bytes_match_the_golden_files() {
    let announcement =
        |capability| Announcement { member: member("a", 1), zone: "z1".to_owned(), capability };
    check_message("announcement_acceptor.hex", &announcement(Capability::Acceptor));
    check_message("announcement_store.hex", &announcement(Capability::Store));
    check_message("capability_acceptor.hex", &Capability::Acceptor);
    check_message("capability_store.hex", &Capability::Store);
    check_message(
        "introduction.hex",
        &GossipMessage { revision: 300, acceptors: vec!["a:1".into(), "b:1".into()] },
    );
    let ping = PingReply {
        incarnation: Some(Incarnation(70_000)),
        committed_epoch: 6,
        is_in_contact: true,
        is_stable: true,
        unresponsive: vec![Incarnation(1), Incarnation(u64::MAX)],
    };
    check_message("ping_reply.hex", &ping);
    let without_disk = PingReply { incarnation: None, is_in_contact: false, is_stable: false, ..ping };
    check_message("ping_reply_without_disk.hex", &without_disk);
}

#[test]
fn given_updates_when_encoded_then_their_bytes_match_the_golden_files() {
    let newest = versioned();
    check_message("control_update_whole.hex", &ControlUpdate::new(&newest, 0));
    check_message("control_update_since.hex", &ControlUpdate::new(&newest, 8));
    check_message("control_update_same_configuration.hex", &ControlUpdate::new(&newest, 9));
    check_message("server_update_whole.hex", &complete_update());
    check_message("server_update_changes.hex", &changes_update());
}

#[test]
fn given_poll_messages_when_encoded_then_their_bytes_match_the_golden_files() {
    let ballot = Ballot { round: 400, proposer: u64::MAX };
    check_message(
        "poll_request.hex",
        &PollRequest {
            ballot,
            configuration_version: 9,
            servers: VERSION,
            servers_base: ServerListVersion { local: 0, ..VERSION },
            max_wait_ms: 450,
        },
    );
    let reply = PollReply {
        control: Some(ControlUpdate::new(&versioned(), 8)),
        servers: Some(changes_update()),
        confirmed_age_ms: Some(300),
        servers_version: VERSION,
        servers_age_ms: Some(700),
    };
    check_message("poll_reply.hex", &reply);
    let nothing_newer =
        PollReply { control: None, servers: None, confirmed_age_ms: None, servers_age_ms: None, ..reply };
    check_message("poll_reply_nothing_newer.hex", &nothing_newer);
}

#[test]
fn given_requests_to_the_acceptor_when_encoded_then_their_bytes_match_the_golden_files() {
    type Request = AcceptorRequest<ControlState>;
    let ballot = Ballot { round: 400, proposer: 17 };
    check_message("acceptor_request_prepare.hex", &Request::Prepare(ballot));
    check_message("acceptor_request_accept.hex", &Request::Accept(versioned()));
    check_message("acceptor_request_learn.hex", &Request::Learn(versioned()));
    check_message("acceptor_request_read.hex", &Request::Read);
    check_message("acceptor_request_read_newer.hex", &Request::ReadNewer(ballot));
}

#[test]
fn given_replies_of_the_acceptor_when_encoded_then_their_bytes_match_the_golden_files() {
    let ballot = Ballot { round: 400, proposer: 17 };
    let reply =
        |outcome: ReplyOutcome<ControlState>| AcceptorReply { incarnation: Incarnation(70_000), outcome };
    check_message("acceptor_reply_promised.hex", &reply(ReplyOutcome::Promised(Some(versioned()))));
    check_message("acceptor_reply_accepted.hex", &reply(ReplyOutcome::Accepted));
    check_message("acceptor_reply_rejected.hex", &reply(ReplyOutcome::Rejected(ballot)));
    check_message("acceptor_reply_learned.hex", &reply(ReplyOutcome::Learned));
    let current = ReplyOutcome::Current { accepted: Some(versioned()), committed: None };
    check_message("acceptor_reply_current.hex", &reply(current));
    let nothing_newer = ReplyOutcome::NothingNewer { accepted: Some(ballot), committed: None };
    check_message("acceptor_reply_nothing_newer.hex", &reply(nothing_newer));
}
