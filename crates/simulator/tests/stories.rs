//! Stories from the first start to results that are read back, with each loss that the operators' pages name.

mod common;

use std::time::Duration;

use common::{assert_status, document, Story, CLEAR};
use simulator::{Fleet, MachineKind, OperatorOrder, Reply, Shape};
use yare::parameterized;

const SEEDS: std::ops::Range<u64> = 0..12;
const FIVE: Shape = Shape { nodes: 5, diskless: 0, stores: 5, servers: 6, machines_lost: 2 };

/// A machine counts as lost for this long after it has returned (`catchUpS` where two may be lost).
const CATCH_UP: Duration = Duration::from_secs(6);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// What befalls a fleet; it has had time to catch up when this returns.
type Trouble = fn(&mut Fleet);

fn nothing(_: &mut Fleet) {}

fn a_node_is_replaced(fleet: &mut Fleet) {
    fleet.replace(1);
    fleet.run(seconds(12));
}

fn the_leader_is_replaced(fleet: &mut Fleet) {
    let leader = fleet.leader().expect("somebody leads");
    fleet.replace(leader);
    fleet.run(seconds(12));
}

fn a_store_is_replaced(fleet: &mut Fleet) {
    fleet.replace(fleet.nodes().end);
    fleet.run(seconds(15));
}

fn a_node_loses_its_disk(fleet: &mut Fleet) {
    fleet.lose_disk(0);
}

fn a_store_loses_its_disk(fleet: &mut Fleet) {
    fleet.lose_disk(fleet.nodes().end + 1);
}

fn all_nodes_are_killed(fleet: &mut Fleet) {
    fleet.nodes().for_each(|node| fleet.kill(node));
}

fn all_are_killed(fleet: &mut Fleet) {
    fleet.machines().for_each(|machine| fleet.kill(machine));
}

fn all_lose_power(fleet: &mut Fleet) {
    fleet.machines().for_each(|machine| fleet.lose_power(machine));
}

fn one_of_each_loses_its_disk_while_all_others_lose_power(fleet: &mut Fleet) {
    let lost = [2, fleet.nodes().end + 2];
    fleet.machines().filter(|machine| !lost.contains(machine)).for_each(|machine| fleet.lose_power(machine));
    lost.into_iter().for_each(|machine| fleet.lose_disk(machine));
}

fn the_leader_freezes(fleet: &mut Fleet) {
    let leader = fleet.leader().expect("somebody leads");
    fleet.freeze(leader);
    fleet.run(seconds(8));
    fleet.thaw(leader);
}

fn the_leader_is_cut_off(fleet: &mut Fleet) {
    let leader = fleet.leader().expect("somebody leads");
    fleet.network.cut_off(leader, fleet.machines().end);
    fleet.run(seconds(8));
    fleet.network.heal();
}

fn the_leader_is_heard_by_nobody(fleet: &mut Fleet) {
    let leader = fleet.leader().expect("somebody leads");
    for other in fleet.machines().filter(|other| *other != leader) {
        fleet.network.cut_one_way(leader, other);
    }
    fleet.run(seconds(8));
    fleet.network.heal();
}

fn the_leader_hears_nobody(fleet: &mut Fleet) {
    let leader = fleet.leader().expect("somebody leads");
    for other in fleet.machines().filter(|other| *other != leader) {
        fleet.network.cut_one_way(other, leader);
    }
    fleet.run(seconds(8));
    fleet.network.heal();
}

fn a_store_freezes(fleet: &mut Fleet) {
    let store = fleet.nodes().end;
    fleet.freeze(store);
    fleet.run(seconds(8));
    fleet.thaw(store);
}

fn the_network_is_bad(fleet: &mut Fleet) {
    (fleet.network.lost_per_mille, fleet.network.repeated_per_mille) = (100, 100);
}

#[parameterized(
    quiet = { nothing },
    node_replaced = { a_node_is_replaced },
    leader_replaced = { the_leader_is_replaced },
    store_replaced = { a_store_is_replaced },
    node_loses_disk = { a_node_loses_its_disk },
    store_loses_disk = { a_store_loses_its_disk },
    core_killed = { all_nodes_are_killed },
    all_killed = { all_are_killed },
    power_lost = { all_lose_power },
    power_and_disks_lost = { one_of_each_loses_its_disk_while_all_others_lose_power },
    leader_frozen = { the_leader_freezes },
    leader_cut_off = { the_leader_is_cut_off },
    leader_not_heard = { the_leader_is_heard_by_nobody },
    leader_hears_nobody = { the_leader_hears_nobody },
    store_frozen = { a_store_freezes },
    bad_network = { the_network_is_bad },
)]
fn given_a_running_system_when_trouble_comes_right_after_an_acknowledgement_then_all_of_it_stays(
    trouble: Trouble,
) {
    for shape in [Shape::default(), FIVE] {
        for seed in SEEDS {
            println!("seed {seed}, {} nodes", shape.nodes);
            let mut story = Story::begin(seed, shape);
            story.name_version();
            story.submit("first");
            match seed % 4 {
                0 => story.roll_out(),
                1 => story.change_configuration(),
                2 => story.read_all(),
                _ => {}
            }
            trouble(&mut story.fleet);
            story.go_on();
        }
    }
}

#[test]
fn given_two_losses_at_a_time_when_two_may_be_lost_then_all_of_it_stays() {
    for seed in SEEDS {
        let mut story = Story::begin(seed, FIVE);
        story.submit("first");
        for lost in [0, 1, 5, 6] {
            story.fleet.lose_disk(lost);
        }
        // All of them are back within a second; from then on they have time to catch up.
        let caught_up = story.fleet.now + seconds(1) + CATCH_UP;
        story.go_on();
        story.fleet.run(caught_up.saturating_sub(story.fleet.now));
        for lost in [2, 3, 7, 8] {
            story.fleet.replace(lost);
        }
        story.fleet.run(seconds(25));
        story.go_on();
    }
}

/// Whether every machine that was there at the start is a member with the disk that it has now, and no batch job is on
/// its way to another store set.
fn is_whole(fleet: &Fleet) -> bool {
    let Some(state) = fleet.newest_state() else { return false };
    let mut members: Vec<_> = state.stores.members.iter().map(|store| &store.member).collect();
    members.extend(&state.acceptors);
    let is_member = |machine: usize| {
        let incarnation = fleet.incarnation(machine);
        members
            .iter()
            .any(|member| member.name == fleet.station(machine) && Some(member.incarnation) == incarnation)
    };
    state.previous_stores.is_none() && fleet.machines().all(is_member)
}

#[parameterized(
    one_store = { &[5] },
    two_stores = { &[5, 6] },
    two_nodes = { &[0, 1] },
    two_nodes_and_two_stores = { &[0, 1, 5, 6] },
)]
fn given_lost_disks_when_the_machines_are_back_then_all_is_whole_again_before_they_count_as_back(
    lost: &[usize],
) {
    let mut times = Vec::new();
    for seed in 0..60 {
        let mut story = Story::begin(seed, FIVE);
        story.submit("first");
        story.read_all();
        lost.iter().for_each(|machine| story.fleet.lose_disk(*machine));
        let begun = story.fleet.now;
        let all_run = |fleet: &Fleet| fleet.machines().all(|machine| fleet.is_running(machine));
        assert!(story.fleet.run_until(seconds(2), all_run));
        let back = story.fleet.now;
        assert!(story.fleet.run_until(seconds(30), is_whole), "seed {seed}: {:?}", story.fleet.state(4));
        times.push(story.fleet.now - back);
        assert!(
            story.fleet.now - begun <= seconds(1) + CATCH_UP,
            "seed {seed}: {:?}",
            story.fleet.now - back
        );
    }
    times.sort_unstable();
    println!("whole again after {:?} (median), {:?} at most", times[times.len() / 2], times[times.len() - 1]);
}

#[test]
fn given_a_replaced_machine_when_it_has_caught_up_then_the_former_is_no_member() {
    for seed in SEEDS {
        let mut story = Story::begin(seed, Shape::default());
        story.fleet.replace(1);
        story.fleet.replace(4);
        let is_done = |fleet: &Fleet| {
            fleet.state(0).is_some_and(|state| {
                let has = |station: &str| state.acceptors.iter().any(|member| member.name == station);
                let stores = &state.stores.members;
                let has_store = |station: &str| stores.iter().any(|store| store.member.name == station);
                has("node-6") && !has("node-1") && has_store("store-7") && !has_store("store-4")
            })
        };
        assert!(story.fleet.run_until(seconds(40), is_done), "seed {seed}: {:?}", story.fleet.state(0));
    }
}

#[test]
fn given_enough_stores_when_one_is_retired_then_it_is_taken_away_without_loss() {
    for seed in SEEDS {
        let mut story = Story::begin(seed, Shape { stores: 4, ..Shape::default() });
        story.submit("first");
        story.read_all();
        let retired = 3 + (seed as usize) % 4;
        let station = format!("store-{retired}");
        assert_status(&story.fleet.order(CLEAR, &OperatorOrder::Retire(station.clone())), 200);
        let ask = OperatorOrder::ReadRetire(station);
        let until = story.fleet.now + seconds(30);
        while !matches!(story.fleet.order(CLEAR, &ask), Reply::Status(200)) {
            assert!(story.fleet.now < until, "seed {seed}: it is not emptied");
            story.fleet.run(seconds(1));
        }
        story.fleet.remove(retired);
        story.go_on();
    }
}

#[test]
fn given_two_operators_when_both_build_on_one_version_then_one_wins() {
    for seed in SEEDS {
        let mut story = Story::begin(seed, Shape::default());
        let order = |body: String| OperatorOrder::Put { expected: 3, body };
        let [one, other] = [order(document(9)), order(document(9).replace("/r/", "/q/"))];
        assert_status(&story.fleet.order(CLEAR, &one), 200);
        assert_status(&story.fleet.order(CLEAR, &other), 412);
        assert_status(&story.fleet.order(CLEAR, &one), 200);
    }
}

#[test]
fn given_a_collector_that_dies_amid_the_first_start_when_another_takes_over_then_the_system_starts() {
    for seed in 0..40 {
        let mut fleet = Fleet::start(seed, Shape::default());
        fleet.run(Duration::from_millis(2400 + 60 * seed));
        fleet.remove(0);
        let order = OperatorOrder::Put { expected: 0, body: document(1) };
        assert_status(&fleet.order(seconds(40), &order), 200);
        let revisions =
            fleet.machines().filter_map(|machine| fleet.state(machine)).map(|state| state.acceptors.clone());
        assert!(revisions.collect::<Vec<_>>().windows(2).all(|pair| pair[0] == pair[1]), "seed {seed}");
    }
}

#[test]
fn given_a_collector_that_reached_only_some_when_another_takes_over_then_it_goes_on_with_the_same_value() {
    for seed in SEEDS {
        let mut fleet = Fleet::start(seed, Shape::default());
        for store in 3..6 {
            fleet.network.cut_one_way(store, 0);
        }
        fleet.network.cut_one_way(0, 2);
        fleet.run(Duration::from_millis(5600));
        fleet.remove(0);
        fleet.network.heal();
        let order = OperatorOrder::Put { expected: 0, body: document(1) };
        assert_status(&fleet.order(seconds(40), &order), 200);
        let all_joined = |fleet: &Fleet| fleet.state(2).is_some_and(|state| state.stores.members.len() == 3);
        assert!(fleet.run_until(seconds(40), all_joined), "seed {seed}: {:?}", fleet.state(2));
    }
}

#[test]
fn given_a_minority_when_an_order_is_sent_there_then_it_is_not_acknowledged() {
    let mut story = Story::begin(1, Shape::default());
    story.fleet.network.cut_off(2, 6);
    story.fleet.run(seconds(2));
    let order = OperatorOrder::Put { expected: 3, body: document(9) };
    let reply = story.fleet.call(2, simulator::Request::Operator(order));
    assert!(matches!(reply, None | Some(Reply::Status(503))), "{reply:?}");
    story.fleet.network.heal();
}

/// How a node is cut off for twenty seconds.
type Cut = fn(&mut Fleet, usize);

fn both_ways(fleet: &mut Fleet, node: usize) {
    fleet.network.cut_off(node, fleet.machines().end);
}

fn with_a_store_on_its_side(fleet: &mut Fleet, node: usize) {
    fleet.network.cut_apart(&[node, fleet.nodes().end], fleet.machines().end);
}

fn heard_by_nobody(fleet: &mut Fleet, node: usize) {
    for other in fleet.machines().filter(|other| *other != node) {
        fleet.network.cut_one_way(node, other);
    }
}

fn hears_nobody(fleet: &mut Fleet, node: usize) {
    for other in fleet.machines().filter(|other| *other != node) {
        fleet.network.cut_one_way(other, node);
    }
}

fn frozen(fleet: &mut Fleet, node: usize) {
    fleet.freeze(node);
}

#[parameterized(
    leader_both_ways = { true, both_ways },
    leader_with_a_store = { true, with_a_store_on_its_side },
    leader_heard_by_nobody = { true, heard_by_nobody },
    leader_hears_nobody = { true, hears_nobody },
    leader_frozen = { true, frozen },
    follower_both_ways = { false, both_ways },
    follower_with_a_store = { false, with_a_store_on_its_side },
    follower_heard_by_nobody = { false, heard_by_nobody },
    follower_hears_nobody = { false, hears_nobody },
    follower_frozen = { false, frozen },
)]
fn given_a_node_that_is_cut_off_for_twenty_seconds_when_the_others_go_on_then_it_confirms_and_leads_nothing(
    is_leader: bool,
    cut: Cut,
) {
    for seed in SEEDS {
        let mut story = Story::begin(seed, Shape::default());
        assert!(story.fleet.run_until(seconds(5), |fleet| fleet.leader().is_some()), "seed {seed}");
        let leader = story.fleet.leader().expect("somebody leads");
        let node = if is_leader { leader } else { (leader + 1) % 3 };
        let known = story.fleet.state(node).map(|state| state.revision);
        cut(&mut story.fleet, node);
        let until = story.fleet.now + seconds(20);
        // The others go on, with orders and a lease of their own.
        story.fleet.run(seconds(3));
        let edition = story.change_configuration_elsewhere(node);
        while story.fleet.now < until {
            // It builds on the version that the node knows, and that the others have left behind.
            let order = OperatorOrder::Put { expected: edition - 3, body: document(edition + 1) };
            let reply = story.fleet.call(node, simulator::Request::Operator(order));
            assert!(matches!(reply, None | Some(Reply::Status(503))), "seed {seed}: {reply:?}");
            let reply = story.fleet.call(node, simulator::Request::Operator(OperatorOrder::Read));
            assert!(matches!(reply, None | Some(Reply::Status(503))), "seed {seed}: {reply:?}");
            assert_eq!(story.fleet.fence(node), None, "seed {seed}: it leads");
            let age = story.fleet.confirmed_age(node);
            assert!(
                !story.fleet.is_running(node) || age.is_some_and(|age| age > seconds(1)),
                "seed {seed}: {age:?}"
            );
        }
        story.fleet.network.heal();
        if !story.fleet.is_running(node) {
            story.fleet.thaw(node);
        }
        let newest = |fleet: &Fleet| {
            fleet.machines().filter_map(|one| fleet.state(one)).map(|state| state.revision).max()
        };
        let has_caught_up = |fleet: &Fleet| {
            fleet.state(node).map(|state| state.revision) == newest(fleet)
                && fleet.confirmed_age(node).is_some_and(|age| age < seconds(1))
        };
        assert!(story.fleet.run_until(seconds(3), has_caught_up), "seed {seed}: from {known:?}");
        story.go_on();
    }
}

#[test]
fn given_a_thousand_changes_when_members_are_away_for_hundreds_of_them_then_each_catches_up() {
    let mut story = Story::begin(1, Shape::default());
    let newest =
        |fleet: &Fleet| fleet.machines().filter_map(|one| fleet.state(one)).map(|state| state.revision).max();
    for change in 0..1200 {
        match change {
            100 => story.fleet.freeze(1),
            400 => story.fleet.thaw(1),
            500 => story.fleet.network.cut_off(2, 6),
            800 => story.fleet.network.heal(),
            900 => story.fleet.lose_disk(0),
            950 => story.fleet.kill(1),
            1000 => all_lose_power(&mut story.fleet),
            1100 => story.fleet.lose_disk(2),
            _ => {}
        }
        if [400, 800, 900, 950, 1000, 1100].contains(&change) {
            let began = story.fleet.now;
            let all_know = |fleet: &Fleet| {
                let is_whole = fleet.machines().all(|one| fleet.is_running(one));
                is_whole
                    && fleet
                        .machines()
                        .all(|one| fleet.state(one).map(|state| state.revision) == newest(fleet))
            };
            assert!(story.fleet.run_until(seconds(4), all_know), "after change {change}");
            println!("after change {change}: all know the newest state {:?} later", story.fleet.now - began);
        }
        story.change_configuration();
    }
    assert!(story.fleet.state(0).is_some_and(|state| state.configuration_version >= 3600));
    story.go_on();
}

#[test]
fn given_a_store_that_is_cut_off_when_another_loses_its_disk_then_the_move_does_not_end_without_the_first() {
    for seed in SEEDS {
        let mut story = Story::begin(seed, Shape::default());
        // Two of three copies hold the batch job; of these one is cut off, and the other one's disk is lost.
        story.fleet.network.cut_off(4, 6);
        story.submit("first");
        story.fleet.network.heal();
        story.fleet.network.cut_off(3, 6);
        story.fleet.lose_disk(5);
        story.fleet.run(seconds(12));
        // The new disk answers at the address of the lost one; it has not moved what that one held.
        let is_moving = story.fleet.state(0).is_some_and(|state| state.previous_stores.is_some());
        assert!(is_moving, "seed {seed}: {:?}", story.fleet.state(0));
        story.fleet.network.heal();
        assert!(story.fleet.run_until(seconds(10), is_whole), "seed {seed}");
        story.go_on();
    }
}

const WITH_DISKLESS: Shape = Shape { nodes: 3, diskless: 3, stores: 3, servers: 4, machines_lost: 1 };
const FIVE_WITH_DISKLESS: Shape = Shape { nodes: 5, diskless: 4, stores: 5, servers: 6, machines_lost: 2 };
/// Everything is served again within this time after all machines are back (`recoverS`).
const RECOVER: Duration = Duration::from_secs(12);

/// How the power goes.
type Loss = fn(&mut Fleet);

fn all_lose_power_and_a_store_its_disk(fleet: &mut Fleet) {
    let lost = fleet.nodes().end;
    fleet.machines().filter(|machine| *machine != lost).for_each(|machine| fleet.lose_power(machine));
    fleet.lose_disk(lost);
}

fn all_lose_power_and_a_node_its_disk(fleet: &mut Fleet) {
    fleet.machines().skip(1).for_each(|machine| fleet.lose_power(machine));
    fleet.lose_disk(0);
}

/// Whether every process knows the newest state, and has heard of late that it is the newest.
fn all_know_the_newest(fleet: &Fleet) -> bool {
    let newest =
        fleet.machines().filter_map(|machine| fleet.state(machine)).map(|state| state.revision).max();
    fleet.machines().all(|machine| {
        let revision = fleet.state(machine).map(|state| state.revision);
        revision == newest && fleet.confirmed_age(machine).is_some_and(|age| age < seconds(2))
    })
}

/// Which seeds the settings come to name.
type Seeds = fn(&mut Fleet);

fn the_same_diskless_nodes(fleet: &mut Fleet) {
    let seeds: Vec<usize> = fleet.diskless_nodes().take(3).collect();
    fleet.machines().for_each(|machine| fleet.name_seeds(machine, seeds.clone()));
}

/// Each diskless node is given the one before as its seed, and all other machines the last.
fn a_chain_of_diskless_nodes(fleet: &mut Fleet) {
    let diskless = fleet.diskless_nodes();
    for machine in fleet.machines() {
        let is_behind_another = diskless.contains(&machine) && machine > diskless.start;
        fleet.name_seeds(machine, vec![if is_behind_another { machine - 1 } else { diskless.end - 1 }]);
    }
}

#[parameterized(
    all_killed = { the_same_diskless_nodes, all_are_killed },
    power_lost = { the_same_diskless_nodes, all_lose_power },
    power_and_disk_of_store_lost = { the_same_diskless_nodes, all_lose_power_and_a_store_its_disk },
    power_and_disk_of_node_lost = { the_same_diskless_nodes, all_lose_power_and_a_node_its_disk },
    chain_and_power_lost = { a_chain_of_diskless_nodes, all_lose_power },
)]
fn given_seeds_that_are_nodes_without_a_disk_when_all_machines_go_down_then_all_find_the_acceptors_again(
    name_seeds: Seeds,
    loss: Loss,
) {
    for shape in [WITH_DISKLESS, FIVE_WITH_DISKLESS] {
        for seed in SEEDS {
            let mut story = Story::begin(seed, shape);
            story.submit("first");
            name_seeds(&mut story.fleet);
            story.read_all();
            loss(&mut story.fleet);
            let is_back = |fleet: &Fleet| fleet.machines().all(|machine| fleet.is_running(machine));
            assert!(story.fleet.run_until(seconds(2), is_back), "seed {seed}: all machines start again");
            let is_recovered = story.fleet.run_until(RECOVER, all_know_the_newest);
            assert!(is_recovered, "seed {seed}: some process does not find the acceptors");
            story.go_on();
        }
    }
}

/// What goes first when machines are replaced one after the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum First {
    /// The holder of the lease.
    Leader,
    /// A machine that does not hold it.
    Follower,
    /// The machine that came last.
    Newest,
    /// Stores.
    Store,
}

/// The machines that are lost next, as many as may be lost at a time.
fn next_losses(fleet: &mut Fleet, first: First) -> Vec<usize> {
    let leader = fleet.leader();
    let is_store = first == First::Store;
    let mut present: Vec<usize> = fleet
        .machines()
        .filter(|machine| fleet.is_running(*machine) && fleet.is_store(*machine) == is_store)
        .collect();
    fleet.random.shuffle(&mut present);
    present.sort_by_key(|machine| match first {
        First::Leader => Some(*machine) != leader,
        First::Follower => Some(*machine) == leader,
        First::Newest | First::Store => false,
    });
    if first == First::Newest {
        present.sort_by_key(|machine| std::cmp::Reverse(*machine));
    }
    present.truncate(fleet.shape().machines_lost);
    present
}

#[parameterized(
    leader_of_three = { Shape::default(), First::Leader },
    follower_of_three = { Shape::default(), First::Follower },
    newest_of_three = { Shape::default(), First::Newest },
    store_of_three = { Shape::default(), First::Store },
    leader_of_five = { FIVE, First::Leader },
    follower_of_five = { FIVE, First::Follower },
    newest_of_five = { FIVE, First::Newest },
    store_of_five = { FIVE, First::Store },
)]
fn given_machines_replaced_one_after_the_other_when_each_has_caught_up_then_all_goes_on(
    shape: Shape,
    first: First,
) {
    for seed in SEEDS {
        let mut story = Story::begin(seed, shape);
        story.submit("first");
        for step in 0..5 {
            let lost = next_losses(&mut story.fleet, first);
            lost.iter().for_each(|machine| story.fleet.remove(*machine));
            story.fleet.run(seconds(1));
            let kinds = lost.iter().map(|machine| story.fleet.kind(*machine));
            let kinds: Vec<MachineKind> = kinds.collect();
            let come: Vec<usize> = kinds.into_iter().map(|kind| story.fleet.add(kind, false)).collect();
            let is_there = |fleet: &Fleet| come.iter().all(|machine| fleet.is_running(*machine));
            assert!(story.fleet.run_until(seconds(1), is_there), "seed {seed}");
            // From now on they have time to catch up; meanwhile the operator goes on.
            let caught_up = story.fleet.now + simulator::catch_up(shape);
            story.change_configuration();
            assert!(story.fleet.now <= caught_up, "seed {seed}, step {step}: orders wait for too long");
            story.fleet.run(caught_up - story.fleet.now);
        }
        story.go_on();
    }
}

/// Whether this machine is an acceptor in the newest state that any machine knows.
fn is_acceptor(fleet: &Fleet, machine: usize) -> bool {
    let newest = fleet.newest_state().expect("somebody knows the state");
    newest.acceptors.iter().any(|member| member.name == fleet.station(machine))
}

/// At no moment of this time do two hold the lease.
fn assert_one_leads(fleet: &mut Fleet, time: Duration, seed: u64) {
    let until = fleet.now + time;
    while fleet.now < until {
        let holders = fleet.machines().filter(|machine| fleet.fence(*machine).is_some()).count();
        assert!(holders < 2, "seed {seed}: {holders} hold the lease at {:?}", fleet.now);
        fleet.step();
    }
}

#[test]
fn given_a_former_grantor_with_another_disk_when_a_former_leader_asks_it_then_the_lease_stays_with_its_holder(
) {
    for seed in SEEDS {
        let mut story = Story::begin(seed, Shape::default());
        let fleet = &mut story.fleet;
        let spares = [fleet.add(MachineKind::Node, false), fleet.add(MachineKind::Node, false)];
        let stand_by = |fleet: &Fleet| {
            let leader = fleet.leader().and_then(|leader| fleet.state(leader));
            leader.is_some_and(|state| state.standbys.len() == spares.len())
        };
        assert!(fleet.run_until(seconds(20), stand_by), "seed {seed}: both spares stand by");
        let leader = fleet.leader().expect("somebody leads");
        let other = fleet.nodes().find(|node| *node != leader).expect("another node");
        for former in [leader, other] {
            // What is sent to it meanwhile is lost, so that it wakes without news of its successor.
            fleet.network.cut_off(former, fleet.machines().end);
            fleet.freeze(former);
            let is_replaced = |fleet: &Fleet| !is_acceptor(fleet, former);
            assert!(
                fleet.run_until(seconds(20), is_replaced),
                "seed {seed}: a spare takes the place of {former}"
            );
        }
        fleet.lose_disk(other);
        assert_one_leads(fleet, seconds(6), seed);
        fleet.network.heal();
        fleet.thaw(leader);
        assert_one_leads(fleet, seconds(6), seed);
        story.go_on();
    }
}

/// Within this time a change is acknowledged in calm, and every process has it.
const IN_FORCE: Duration = Duration::from_millis(2500);
/// Bytes a second of 60 Mbit/s, the narrowest link of the operators' machines.
const NARROW_LINK: f64 = 60e6 / 8.0;

#[parameterized(
    one_may_be_lost = { Shape { nodes: 3, diskless: 20, stores: 3, servers: 4, machines_lost: 1 } },
    two_may_be_lost = { Shape { nodes: 8, diskless: 40, stores: 8, servers: 4, machines_lost: 2 } },
)]
fn given_narrow_links_when_a_configuration_of_many_routes_comes_then_the_next_changes_are_taken_as_ever(
    shape: Shape,
) {
    for seed in 0..2 {
        let mut story = Story::begin(seed, shape);
        story.fleet.set_link_speed(NARROW_LINK);
        story.put_configuration(IN_FORCE, 1400);
        let newest = story.fleet.state(0).expect("it knows the state").configuration_version;
        let is_known = |fleet: &Fleet| {
            let mut states = fleet.machines().map(|machine| fleet.state(machine));
            states.all(|state| state.is_some_and(|state| state.configuration_version >= newest))
        };
        assert!(story.fleet.run_until(IN_FORCE, is_known), "seed {seed}: all know it");
        for _ in 0..4 {
            story.fleet.run(Duration::from_millis(300));
            story.name_version_within(IN_FORCE);
            story.put_configuration(IN_FORCE, 1400);
        }
        story.check();
    }
}
