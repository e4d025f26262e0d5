//! Checks the stand-in discovery service: the content of its lists, the parsing of requests, and that the
//! real discovery client can read the lists.

use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use balancer::net::discovery::{fetch_initial, follow, Subscriber};
use balancer::net::list::ServerList;
use node_emulator::catalogue::{server_name, server_number, Catalogue, Phase, Reachability, Size};
use node_emulator::discovery::{serve, ListRequest};
use node_emulator::world::{listen, World};
use tokio::sync::{mpsc, Notify};
use tokio::task::LocalSet;

const SIZE: Size = Size { regions: 2, zones: 4, racks: 4, services: 5, servers: 20, nodes: 3 };

fn catalogue(max_log_entries: usize) -> Catalogue {
    let address = |rack: u8| SocketAddr::from((Ipv4Addr::new(127, 20, 0, rack), 8081));
    Catalogue::new(SIZE, (1..=4).map(address).collect(), max_log_entries)
}

fn decode_list(body: &[u8]) -> ServerList {
    node_emulator::node::read_list(body).expect("the body is a valid list")
}

#[test]
fn the_complete_list_contains_every_server_once_and_is_encoded_once_per_version() {
    let mut catalogue = catalogue(100);
    let complete = catalogue.complete_list();
    let list = decode_list(&complete.body);
    assert!(list.complete && complete.complete);
    assert_eq!((list.revision, list.members.len()), (1, 20));
    let numbers: Vec<_> = list.members.iter().map(|member| server_number(&member.id)).collect();
    assert_eq!(numbers, (0..20).map(Some).collect::<Vec<_>>());
    assert_eq!((list.members[6].locality.as_str(), list.members[6].cell), ("region0-zone2", 2));
    assert_eq!(list.members[6].host_port, "127.20.0.3:8081".parse().expect("the address is valid"));
    assert_eq!(catalogue.complete_list().body.as_ptr(), complete.body.as_ptr(), "the encoded list is reused");
    catalogue.set_service_weight(0, 2.0);
    assert_eq!(decode_list(&catalogue.complete_list().body).revision, 2);
}

#[test]
fn changes_contain_each_changed_server_once_in_its_current_state() {
    let mut catalogue = catalogue(100);
    catalogue.join(&[7], 5_000);
    catalogue.set_phase(&[7], Phase::Leaving);
    catalogue.set_reachability(&[7], Reachability::Terminated);
    catalogue.set_phase(&[7], Phase::Left);
    let updates =
        |list: &ServerList| list.members.iter().map(|m| (m.id.clone(), m.phase as u8)).collect::<Vec<_>>();
    let list = decode_list(&catalogue.changes_since(1).body);
    assert!(!list.complete);
    assert_eq!(list.revision, 4);
    assert_eq!(
        updates(&list),
        [(server_name(7), 2), (server_name(20), 0)],
        "server 7 has left, and its replacement is active"
    );
    assert_eq!(updates(&decode_list(&catalogue.changes_since(3).body)), [(server_name(7), 2)]);
    assert_eq!(catalogue.changes_since(4).members, 0);
    // The complete list does not contain the server that left.
    let complete = decode_list(&catalogue.complete_list().body);
    assert_eq!(complete.members.len(), 20);
    assert!(complete.members.iter().all(|member| member.id != server_name(7)));
}

#[test]
fn the_complete_list_is_sent_for_versions_that_the_log_does_not_reach_back_to() {
    let mut catalogue = catalogue(3);
    for number in 0..5 {
        catalogue.restart(&[number], 1_000);
    }
    assert_eq!(catalogue.revision(), 6);
    // The log contains the changes of versions 4 to 6.
    assert!(!catalogue.changes_since(3).complete);
    assert_eq!(catalogue.changes_since(3).members, 3);
    assert!(catalogue.changes_since(2).complete);
    assert!(catalogue.changes_since(7).complete, "version 7 does not exist");
    // The log no longer contains all changes of version 7, so the changes since version 6 are not available.
    catalogue.set_service_weight(1, 2.0);
    assert!(catalogue.changes_since(6).complete);
    assert!(!catalogue.changes_since(7).complete);
}

#[test]
fn list_requests_are_parsed_and_invalid_ones_rejected() {
    let parse = |uri: &str| {
        ListRequest::parse(&uri.parse().expect("the URI is valid")).map_err(|status| status.as_u16())
    };
    assert_eq!(parse("/catalog/members"), Ok(ListRequest::Complete));
    let wait = Duration::from_millis(20_000);
    assert_eq!(
        parse("/catalog/members?since=41&timeout_ms=20000"),
        Ok(ListRequest::ChangesSince { revision: 41, wait })
    );
    let longest_wait = ListRequest::ChangesSince { revision: 1, wait: Duration::from_secs(60) };
    assert_eq!(parse("/catalog/members?since=1&timeout_ms=99000"), Ok(longest_wait));
    assert_eq!(parse("/catalog/members?since=-1"), Err(400));
    assert_eq!(parse("/catalog/members?until=1"), Err(400));
    assert_eq!(parse("/catalog"), Err(404));
}

/// Records the results of the discovery client's calls: version, completeness and number of servers of a
/// list; `None` for a failed call.
struct RecordingSubscriber {
    address: SocketAddr,
    update_requested: Notify,
    moved: Notify,
    revision: Cell<Option<u64>>,
    updates: mpsc::UnboundedSender<Option<(u64, bool, usize)>>,
}

impl Subscriber for RecordingSubscriber {
    fn update_requested(&self) -> &Notify {
        &self.update_requested
    }

    fn discovery_moved(&self) -> &Notify {
        &self.moved
    }

    fn discovery_address(&self) -> SocketAddr {
        self.address
    }

    fn revision(&self) -> Option<u64> {
        self.revision.get()
    }

    fn drain_grace(&self) -> Duration {
        Duration::from_secs(8)
    }

    fn apply(self: &Rc<Self>, list: ServerList) {
        let before = self.revision.replace(Some(list.revision));
        // Long polls that end without a change are not recorded.
        if before != Some(list.revision) {
            self.updates
                .send(Some((list.revision, list.complete, list.members.len())))
                .expect("the receiver still exists");
        }
    }

    fn unavailable(self: &Rc<Self>) {
        self.updates.send(None).expect("the receiver still exists");
        self.update_requested.notify_one();
    }
}

#[test]
fn the_client_receives_all_changes_despite_an_outage_of_discovery() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the event loop can be created");
    LocalSet::new().block_on(&runtime, async {
        let world = Arc::new(World::new(catalogue(4)));
        let agent = listen(Ipv4Addr::LOCALHOST).expect("the listener can be created");
        let address = agent.local_addr().expect("the address is valid");
        tokio::task::spawn_local(serve(agent, Arc::clone(&world), 1));
        let (updates, mut received) = mpsc::unbounded_channel();
        let (update_requested, moved) = (Notify::new(), Notify::new());
        let subscriber = Rc::new(RecordingSubscriber {
            address,
            update_requested,
            moved,
            revision: Cell::new(None),
            updates,
        });
        let connection = fetch_initial(&subscriber).await;
        assert!(connection.is_some());
        assert_eq!(received.recv().await, Some(Some((1, true, 20))));
        subscriber.update_requested.notify_one();
        tokio::task::spawn_local(follow(Rc::clone(&subscriber), connection));
        world.change(|catalogue| catalogue.restart(&[3], 1_000));
        assert_eq!(received.recv().await, Some(Some((2, false, 1))));
        // An outage in another region has no effect. The client's agent, in region 1, then becomes
        // unresponsive.
        world.set_discovery_responsive(0, false);
        world.change(|catalogue| catalogue.restart(&[4], 1_000));
        assert_eq!(received.recv().await, Some(Some((3, false, 1))));
        world.set_discovery_responsive(1, false);
        world.change(|catalogue| catalogue.restart(&[5, 6], 1_000));
        assert_eq!(received.recv().await, Some(None), "a call without a response fails");
        world.set_discovery_responsive(1, true);
        // Further calls may have failed during the outage. They are skipped.
        while received.recv().await != Some(Some((4, false, 2))) {}
        // This version has more changes than the log retains, so the complete list is sent.
        world.change(|catalogue| catalogue.restart(&[0, 1, 2, 3, 4, 5], 2_000));
        assert_eq!(received.recv().await, Some(Some((5, true, 20))));
    });
}
