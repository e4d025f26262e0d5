//! The stand-in discovery as the protocol page has it, read by the project's own client and types.

use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use balancer::net::discovery::{fetch_initial, follow, Subscriber};
use balancer::net::list::ServerList;
use node_emulator::catalogue::{name, number, Catalogue, Phase, Reach, Size};
use node_emulator::discovery::{serve, Ask};
use node_emulator::world::{listen, World};
use tokio::sync::{mpsc, Notify};
use tokio::task::LocalSet;

const SIZE: Size = Size { regions: 2, zones: 4, racks: 4, services: 5, servers: 20, nodes: 3 };

fn catalogue(log_most: usize) -> Catalogue {
    let address = |rack: u8| SocketAddr::from((Ipv4Addr::new(127, 20, 0, rack), 8081));
    Catalogue::new(SIZE, (1..=4).map(address).collect(), log_most)
}

fn read(body: &[u8]) -> ServerList {
    node_emulator::node::read_list(body).expect("a list of the protocol")
}

#[test]
fn the_complete_list_names_every_server_once_and_is_made_once_a_version() {
    let mut catalogue = catalogue(100);
    let whole = catalogue.complete();
    let list = read(&whole.body);
    assert!(list.complete && whole.complete);
    assert_eq!((list.revision, list.members.len()), (1, 20));
    let numbers: Vec<_> = list.members.iter().map(|member| number(&member.id)).collect();
    assert_eq!(numbers, (0..20).map(Some).collect::<Vec<_>>());
    assert_eq!((list.members[6].locality.as_str(), list.members[6].cell), ("region0-zone2", 2));
    assert_eq!(list.members[6].host_port, "127.20.0.3:8081".parse().expect("an address"));
    assert_eq!(catalogue.complete().body.as_ptr(), whole.body.as_ptr(), "the same bytes are sent again");
    catalogue.weigh(0, 2.0);
    assert_eq!(read(&catalogue.complete().body).revision, 2);
}

#[test]
fn changes_are_sent_once_each_as_they_are_now() {
    let mut catalogue = catalogue(100);
    catalogue.join(&[7], 5_000);
    catalogue.set_phase(&[7], Phase::Leaving);
    catalogue.set_reach(&[7], Reach::Gone);
    catalogue.set_phase(&[7], Phase::Left);
    let told =
        |list: &ServerList| list.members.iter().map(|m| (m.id.clone(), m.phase as u8)).collect::<Vec<_>>();
    let list = read(&catalogue.since(1).body);
    assert!(!list.complete);
    assert_eq!(list.revision, 4);
    assert_eq!(told(&list), [(name(7), 2), (name(20), 0)], "one left, its successor active");
    assert_eq!(told(&read(&catalogue.since(3).body)), [(name(7), 2)]);
    assert_eq!(catalogue.since(4).members, 0);
    // The list itself no longer has what left.
    let whole = read(&catalogue.complete().body);
    assert_eq!(whole.members.len(), 20);
    assert!(whole.members.iter().all(|member| member.id != name(7)));
}

#[test]
fn the_complete_list_answers_where_the_log_does_not_reach_back() {
    let mut catalogue = catalogue(3);
    for number in 0..5 {
        catalogue.restart(&[number], 1_000);
    }
    assert_eq!(catalogue.revision(), 6);
    // Versions 4 to 6 are in the log.
    assert!(!catalogue.since(3).complete);
    assert_eq!(catalogue.since(3).members, 3);
    assert!(catalogue.since(2).complete);
    assert!(catalogue.since(7).complete, "a version that never was");
    // A version whose changes are in the log only in part is not told from it.
    catalogue.weigh(1, 2.0);
    assert!(catalogue.since(6).complete);
    assert!(!catalogue.since(7).complete);
}

#[test]
fn calls_are_read_as_the_protocol_has_them() {
    let ask = |uri: &str| Ask::parse(&uri.parse().expect("a path")).map_err(|status| status.as_u16());
    assert_eq!(ask("/catalog/members"), Ok(Ask::Whole));
    let wait = Duration::from_millis(20_000);
    assert_eq!(ask("/catalog/members?since=41&timeout_ms=20000"), Ok(Ask::Since { revision: 41, wait }));
    let longest = Ask::Since { revision: 1, wait: Duration::from_secs(60) };
    assert_eq!(ask("/catalog/members?since=1&timeout_ms=99000"), Ok(longest));
    assert_eq!(ask("/catalog/members?since=-1"), Err(400));
    assert_eq!(ask("/catalog/members?until=1"), Err(400));
    assert_eq!(ask("/catalog"), Err(404));
}

/// Tells what the project's client hands on.
struct Listener {
    address: SocketAddr,
    wanted: Notify,
    moved: Notify,
    revision: Cell<Option<u64>>,
    told: mpsc::UnboundedSender<Option<(u64, bool, usize)>>,
}

impl Subscriber for Listener {
    fn update_requested(&self) -> &Notify {
        &self.wanted
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
        // Waits that end without news are of no interest here.
        if before != Some(list.revision) {
            self.told
                .send(Some((list.revision, list.complete, list.members.len())))
                .expect("the test listens");
        }
    }

    fn unavailable(self: &Rc<Self>) {
        self.told.send(None).expect("the test listens");
        self.wanted.notify_one();
    }
}

#[test]
fn the_projects_client_follows_through_an_outage() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("an event loop");
    LocalSet::new().block_on(&runtime, async {
        let world = Arc::new(World::new(catalogue(4)));
        let agent = listen(Ipv4Addr::LOCALHOST).expect("a listener");
        let address = agent.local_addr().expect("an address");
        tokio::task::spawn_local(serve(agent, Arc::clone(&world), 1));
        let (told, mut hears) = mpsc::unbounded_channel();
        let (wanted, moved) = (Notify::new(), Notify::new());
        let listener = Rc::new(Listener { address, wanted, moved, revision: Cell::new(None), told });
        let connection = fetch_initial(&listener).await;
        assert!(connection.is_some());
        assert_eq!(hears.recv().await, Some(Some((1, true, 20))));
        listener.wanted.notify_one();
        tokio::task::spawn_local(follow(Rc::clone(&listener), connection));
        world.change(|catalogue| catalogue.restart(&[3], 1_000));
        assert_eq!(hears.recv().await, Some(Some((2, false, 1))));
        // The agents of another region do not concern it; its own says nothing until it is back.
        world.set_discovery_answering(0, false);
        world.change(|catalogue| catalogue.restart(&[4], 1_000));
        assert_eq!(hears.recv().await, Some(Some((3, false, 1))));
        world.set_discovery_answering(1, false);
        world.change(|catalogue| catalogue.restart(&[5, 6], 1_000));
        assert_eq!(hears.recv().await, Some(None), "a silent call fails");
        world.set_discovery_answering(1, true);
        while hears.recv().await != Some(Some((4, false, 2))) {}
        // More changes in one version than the log holds: the whole list.
        world.change(|catalogue| catalogue.restart(&[0, 1, 2, 3, 4, 5], 2_000));
        assert_eq!(hears.recv().await, Some(Some((5, true, 20))));
    });
    // Nothing else was asked for than what was answered, or left open by the silence.
}
