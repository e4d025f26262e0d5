//! Changes of the acceptors: machines join, become standbys, replace failed acceptors, and leave.

mod common;

use common::{member, system, with_waiting_standby};
use register::{Incarnation, Member};
use state::change::{
    initial_state, with_acceptor, with_standby, without_acceptor, AlreadyMember, NoVacancy, StillRequired,
};

fn member_names(members: &[Member]) -> Vec<&str> {
    members.iter().map(|member| &*member.name).collect()
}

fn incarnations(members: &[u64]) -> Vec<Incarnation> {
    members.iter().copied().map(Incarnation).collect()
}

#[test]
fn given_a_lost_disk_when_the_machine_joins_then_it_replaces_its_former_incarnation_in_one_step() {
    let new_incarnation = member("b", 20);
    let joined = with_acceptor(&system(3), &new_incarnation, &[]).expect("the machine joins");
    assert_eq!(joined.acceptors, [member("a", 1), member("c", 3), new_incarnation.clone()]);
    assert_eq!(with_acceptor(&joined, &new_incarnation, &[]), Err(NoVacancy));
}

#[test]
fn given_a_complete_set_when_another_machine_joins_then_it_becomes_a_standby_and_the_set_is_unchanged() {
    assert_eq!(with_acceptor(&system(3), &member("d", 4), &[]), Err(NoVacancy));
    let waiting = with_waiting_standby();
    assert_eq!(waiting.acceptors, system(3).acceptors);
    assert_eq!(waiting.standbys, [member("d", 4)]);
    assert_eq!(with_standby(&waiting, &member("d", 4)), Err(AlreadyMember));
    assert_eq!(
        with_standby(&waiting, &member("a", 1)),
        Err(AlreadyMember),
        "an acceptor cannot be a standby"
    );
    let rejoined =
        with_standby(&waiting, &member("d", 40)).expect("a new incarnation of the standby is registered");
    assert_eq!(rejoined.standbys, [member("d", 40)]);
}

#[test]
fn given_a_failed_acceptor_when_a_standby_joins_then_it_replaces_the_acceptor_in_one_step() {
    let joined = with_acceptor(&with_waiting_standby(), &member("d", 4), &incarnations(&[3]))
        .expect("the machine joins");
    assert_eq!(member_names(&joined.acceptors), ["a", "b", "d"]);
    assert!(joined.standbys.is_empty());
    let second_replacement = with_acceptor(&joined, &member("e", 5), &incarnations(&[3]));
    assert_eq!(second_replacement, Err(NoVacancy), "the failed acceptor was replaced by another machine");
}

#[test]
fn given_two_failed_acceptors_when_two_standbys_join_then_each_replaces_one() {
    let failed = incarnations(&[2, 3]);
    let first = with_acceptor(&system(3), &member("d", 4), &failed).expect("the machine joins");
    let second = with_acceptor(&first, &member("e", 5), &failed).expect("the machine joins");
    assert_eq!(member_names(&second.acceptors), ["a", "d", "e"]);
}

#[test]
fn given_a_removed_acceptor_when_it_returns_then_it_becomes_a_standby() {
    let joined = with_acceptor(&with_waiting_standby(), &member("d", 4), &incarnations(&[3]))
        .expect("the machine joins");
    assert_eq!(with_acceptor(&joined, &member("c", 3), &[]), Err(NoVacancy));
    assert_eq!(
        with_standby(&joined, &member("c", 3)).expect("the machine becomes a standby").standbys,
        [member("c", 3)]
    );
}

#[test]
fn given_too_few_acceptors_for_the_tolerated_failures_when_another_machine_joins_then_it_is_added() {
    let first =
        initial_state(vec![member("a", 1), member("b", 2)], Vec::new(), 1).expect("there are acceptors");
    let joined =
        with_acceptor(&first, &member("c", 3), &[]).expect("one tolerated failure requires three acceptors");
    assert_eq!(member_names(&joined.acceptors), ["a", "b", "c"]);
    assert_eq!(with_acceptor(&joined, &member("d", 4), &[]), Err(NoVacancy));
}

#[test]
fn given_an_acceptor_that_shuts_down_when_a_standby_waits_then_it_is_replaced_in_one_step() {
    assert_eq!(without_acceptor(&system(3), &member("c", 3), &member("d", 4)), Err(StillRequired));
    let next = without_acceptor(&with_waiting_standby(), &member("c", 3), &member("d", 4))
        .expect("the acceptor is replaced");
    assert_eq!(member_names(&next.acceptors), ["a", "b", "d"]);
    assert!(next.standbys.is_empty());
    assert_eq!(
        without_acceptor(&with_waiting_standby(), &member("e", 9), &member("d", 4)),
        Err(StillRequired)
    );
}

#[test]
fn given_the_same_disk_at_another_address_when_it_joins_then_the_address_is_replaced() {
    let moved = Member { address: "b:2".into(), ..member("b", 2) };
    let state = with_acceptor(&system(3), &moved, &[]).expect("the address is replaced");
    assert_eq!(state.acceptors.len(), 3);
    assert!(state.acceptors.contains(&moved));
    assert_eq!(with_acceptor(&state, &moved, &[]), Err(NoVacancy));
}
