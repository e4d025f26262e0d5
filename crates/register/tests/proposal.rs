//! Tests the prepare and accept rounds of a proposal, also with changes of the acceptors.

mod common;

use std::sync::Arc;

use common::{accept_value, ballot, member, member_with_disk, members, receivers, reply, versioned, History};
use register::{Proposal, ProposalStep, ReplyOutcome, Versioned};
use yare::parameterized;

/// Starts a proposal of round 10 from `base`.
fn start(base: &Versioned<History>) -> Proposal<History> {
    Proposal::start(ballot(10), base.clone()).0
}

/// Delivers the promise of a machine, with the value that it has accepted.
fn promise(
    proposal: &mut Proposal<History>,
    machine: usize,
    accepted: Option<Versioned<History>>,
) -> ProposalStep<History> {
    proposal.on_reply(&member(machine), reply(&member(machine), ReplyOutcome::Promised(accepted)))
}

/// Delivers the acceptance of a machine.
fn accept(proposal: &mut Proposal<History>, machine: usize) -> ProposalStep<History> {
    proposal.on_reply(&member(machine), reply(&member(machine), ReplyOutcome::Accepted))
}

/// Delivers the rejection of a machine that has promised the ballot of `round`.
fn reject(proposal: &mut Proposal<History>, machine: usize, round: u64) -> ProposalStep<History> {
    proposal.on_reply(&member(machine), reply(&member(machine), ReplyOutcome::Rejected(ballot(round))))
}

/// Returns a proposal with promises from two of three acceptors, and the committed value that it has read.
fn prepared_proposal() -> (Proposal<History>, Versioned<History>) {
    let base = versioned(1, &[1], members(&[0, 1, 2]));
    let mut proposal = start(&base);
    promise(&mut proposal, 0, Some(base.clone()));
    promise(&mut proposal, 1, Some(base.clone()));
    (proposal, base)
}

#[test]
fn given_three_acceptors_when_two_reply_in_each_round_then_the_value_is_committed() {
    let base = versioned(1, &[1], members(&[0, 1, 2]));
    let (mut proposal, requests) = Proposal::start(ballot(10), base.clone());
    assert_eq!(receivers(&requests), ["machine-0", "machine-1", "machine-2"]);
    assert!(matches!(promise(&mut proposal, 0, Some(base.clone())), ProposalStep::Wait));
    let step = promise(&mut proposal, 2, Some(base.clone()));
    assert!(matches!(step, ProposalStep::Prepared(read) if read == base));
    assert!(proposal.is_known_committed());
    let requests = proposal.propose(base.value.with_change(2));
    assert_eq!(requests.len(), 3);
    assert!(requests.iter().all(|request| accept_value(request).is_some()));
    assert!(matches!(accept(&mut proposal, 1), ProposalStep::Wait));
    assert!(matches!(promise(&mut proposal, 1, None), ProposalStep::Wait));
    let step = accept(&mut proposal, 2);
    assert!(
        matches!(step, ProposalStep::Committed(done) if done.value.changes == [1, 2] && done.ballot == ballot(10))
    );
    assert_eq!(proposal.learn_requests().len(), 3);
}

#[test]
fn given_repeated_replies_of_one_acceptor_when_handled_then_they_count_once() {
    let base = versioned(1, &[1], members(&[0, 1, 2]));
    let mut proposal = start(&base);
    for _ in 0..3 {
        assert!(matches!(promise(&mut proposal, 0, None), ProposalStep::Wait));
    }
    promise(&mut proposal, 1, None);
    proposal.propose(base.value.with_change(2));
    for _ in 0..3 {
        assert!(matches!(accept(&mut proposal, 0), ProposalStep::Wait));
    }
}

#[test]
fn given_a_machine_with_another_disk_when_it_replies_then_the_reply_does_not_count() {
    let base = versioned(1, &[1], members(&[0, 1, 2]));
    let mut proposal = start(&base);
    promise(&mut proposal, 0, None);
    let replaced = member_with_disk(1, 99);
    let step = proposal.on_reply(&member(1), reply(&replaced, ReplyOutcome::Promised(None)));
    assert!(matches!(step, ProposalStep::Wait));
    let step = proposal.on_reply(&replaced, reply(&replaced, ReplyOutcome::Promised(None)));
    assert!(matches!(step, ProposalStep::Wait));
}

#[parameterized(
    majority_of_the_newer_one_last = { 0, 3 },
    majority_of_the_base_last = { 3, 0 },
)]
fn given_a_newer_value_with_other_acceptors_when_read_then_majorities_of_both_sets_must_promise(
    second: usize,
    third: usize,
) {
    let base = versioned(1, &[1], members(&[0, 1, 2]));
    let newer = versioned(5, &[1, 2], members(&[2, 3, 4]));
    let mut proposal = start(&base);
    let step = promise(&mut proposal, 2, Some(newer.clone()));
    assert!(
        matches!(step, ProposalStep::Send(requests) if receivers(&requests) == ["machine-3", "machine-4"])
    );
    assert!(matches!(promise(&mut proposal, second, None), ProposalStep::Wait));
    let step = promise(&mut proposal, third, None);
    assert!(matches!(step, ProposalStep::Prepared(read) if read == newer));
    assert!(!proposal.is_known_committed());
}

#[test]
fn given_an_undecided_value_when_other_acceptors_are_proposed_then_it_is_proposed_unchanged_instead() {
    let base = versioned(1, &[1], members(&[0, 1, 2]));
    let newer = versioned(5, &[1, 2], members(&[0, 1, 2]));
    let mut proposal = start(&base);
    promise(&mut proposal, 0, Some(newer.clone()));
    promise(&mut proposal, 1, None);
    let requests = proposal.propose(newer.value.with_acceptors(3, members(&[0, 1, 2, 3])));
    let is_unchanged = |request| accept_value(request).is_some_and(|sent| sent.value == newer.value);
    assert!(requests.iter().all(is_unchanged));
    accept(&mut proposal, 0);
    let step = accept(&mut proposal, 1);
    assert!(matches!(step, ProposalStep::Committed(done) if done.value == newer.value));
}

#[parameterized(
    old_majority_only = { &[0, 1], false },
    both_majorities = { &[0, 1, 3], true },
    majorities_without_the_new_one = { &[0, 1, 2], true },
)]
fn given_an_added_acceptor_when_accepted_then_majorities_of_both_sets_are_required(
    accepting: &[usize],
    commits: bool,
) {
    let (mut proposal, base) = prepared_proposal();
    let requests = proposal.propose(base.value.with_acceptors(2, members(&[0, 1, 2, 3])));
    assert_eq!(requests.len(), 4);
    let steps = accepting.iter().map(|machine| accept(&mut proposal, *machine));
    let committed = steps.filter(|step| matches!(step, ProposalStep::Committed(_))).count();
    assert_eq!(committed, usize::from(commits));
}

#[test]
fn given_a_removed_acceptor_when_the_removal_is_committed_then_it_learns_the_value_too() {
    let (mut proposal, base) = prepared_proposal();
    proposal.propose(base.value.with_acceptors(2, members(&[0, 1])));
    accept(&mut proposal, 0);
    accept(&mut proposal, 1);
    assert_eq!(receivers(&proposal.learn_requests()), ["machine-0", "machine-1", "machine-2"]);
}

#[test]
fn given_two_replaced_acceptors_when_proposed_then_the_value_that_was_read_is_proposed_instead() {
    let (mut proposal, base) = prepared_proposal();
    let requests = proposal.propose(base.value.with_acceptors(2, members(&[0, 3, 4])));
    assert!(requests
        .iter()
        .all(|request| accept_value(request).is_some_and(|sent| sent.value == base.value)));
}

#[test]
fn given_a_higher_promise_when_preparing_then_the_proposal_is_preempted() {
    let mut proposal = start(&versioned(1, &[1], members(&[0, 1, 2])));
    assert!(matches!(reject(&mut proposal, 0, 12), ProposalStep::Preempted(by) if by == ballot(12)));
    assert!(matches!(promise(&mut proposal, 1, None), ProposalStep::Wait));
    assert!(matches!(promise(&mut proposal, 2, None), ProposalStep::Wait));
    assert!(proposal.propose(History::default()).is_empty());
}

#[test]
fn given_one_rejection_when_accepting_then_the_other_acceptors_may_still_commit() {
    let (mut proposal, base) = prepared_proposal();
    proposal.propose(base.value.with_change(2));
    assert!(matches!(reject(&mut proposal, 0, 12), ProposalStep::Wait));
    accept(&mut proposal, 1);
    assert!(matches!(accept(&mut proposal, 2), ProposalStep::Committed(_)));
}

#[test]
fn given_a_majority_of_rejections_when_accepting_then_the_proposal_is_preempted() {
    let (mut proposal, base) = prepared_proposal();
    proposal.propose(base.value.with_change(2));
    accept(&mut proposal, 1);
    assert!(matches!(reject(&mut proposal, 0, 12), ProposalStep::Wait));
    assert!(matches!(reject(&mut proposal, 2, 12), ProposalStep::Preempted(_)));
    assert!(matches!(accept(&mut proposal, 2), ProposalStep::Wait));
    assert!(proposal.learn_requests().is_empty());
}

#[test]
fn given_no_promises_when_proposed_then_nothing_is_sent() {
    let base = versioned(1, &[1], members(&[0, 1, 2]));
    let mut proposal = start(&base);
    assert!(proposal.propose(base.value.with_change(2)).is_empty());
    assert!(matches!(accept(&mut proposal, 0), ProposalStep::Wait));
    assert!(matches!(accept(&mut proposal, 1), ProposalStep::Wait));
}

/// Returns a committed value with the acceptors 0 and 1, and an undecided value that removes acceptor 0.
fn undecided_removal() -> (Versioned<History>, Versioned<History>) {
    let base = versioned(1, &[1], members(&[0, 1]));
    let removal = versioned(5, &[1, 2], members(&[1]));
    let removal =
        Versioned { previous_acceptors: members(&[0, 1]).into(), predecessor: base.ballot, ..removal };
    (base, removal)
}

#[test]
fn given_a_change_after_a_committed_removal_when_read_then_the_removed_acceptor_is_not_needed() {
    let (_, removal) = undecided_removal();
    let change = versioned(7, &[1, 2, 3], members(&[1]));
    let change = Versioned {
        previous_acceptors: Arc::clone(&removal.previous_acceptors),
        predecessor: removal.predecessor,
        ..change
    };
    let mut proposal = start(&removal);
    let step = promise(&mut proposal, 1, Some(change.clone()));
    assert!(matches!(step, ProposalStep::Prepared(read) if read == change));
    let requests = proposal.propose(change.value.with_change(4));
    assert_eq!(receivers(&requests), ["machine-1"]);
    assert!(
        matches!(accept(&mut proposal, 1), ProposalStep::Committed(done) if done.previous_acceptors.is_empty())
    );
}

#[test]
fn given_an_acceptor_added_and_removed_after_the_base_when_the_removal_is_undecided_then_it_must_promise_too()
{
    // The base has the same acceptors as the newest value, but a value between them had an additional
    // acceptor.
    let base = versioned(1, &[1], members(&[1]));
    let added = versioned(3, &[1, 2], members(&[0, 1]));
    let removal = versioned(5, &[1, 2, 3], members(&[1]));
    let removal =
        Versioned { previous_acceptors: members(&[0, 1]).into(), predecessor: added.ballot, ..removal };
    let mut proposal = start(&base);
    let step = promise(&mut proposal, 1, Some(removal));
    assert!(matches!(step, ProposalStep::Send(requests) if receivers(&requests) == ["machine-0"]));
}

#[test]
fn given_an_undecided_removal_when_proposed_again_then_the_removed_acceptor_must_accept_too() {
    let (base, removal) = undecided_removal();
    let mut proposal = start(&base);
    promise(&mut proposal, 0, Some(base.clone()));
    let step = promise(&mut proposal, 1, Some(removal.clone()));
    assert!(matches!(step, ProposalStep::Prepared(read) if read == removal));
    let requests = proposal.propose(removal.value.with_change(3));
    assert_eq!(receivers(&requests), ["machine-0", "machine-1"]);
    assert!(matches!(accept(&mut proposal, 1), ProposalStep::Wait));
    let step = accept(&mut proposal, 0);
    assert!(
        matches!(step, ProposalStep::Committed(done) if done.previous_acceptors == removal.previous_acceptors)
    );
}

#[test]
fn given_an_undecided_removal_when_read_from_an_older_base_then_the_removed_acceptor_must_promise_too() {
    let (_, removal) = undecided_removal();
    let mut proposal = start(&versioned(0, &[], members(&[1])));
    let step = promise(&mut proposal, 1, Some(removal.clone()));
    assert!(matches!(step, ProposalStep::Send(requests) if receivers(&requests) == ["machine-0"]));
    assert!(matches!(promise(&mut proposal, 0, None), ProposalStep::Prepared(read) if read == removal));
}

#[test]
fn given_a_committed_value_when_changed_then_its_acceptors_are_named_as_previous_only_if_they_differ() {
    let previous_acceptors_of = |value: History| {
        let (mut proposal, _) = prepared_proposal();
        let requests = proposal.propose(value);
        accept_value(&requests[0])
            .expect("the first request is an accept request")
            .previous_acceptors
            .to_vec()
    };
    let (_, base) = prepared_proposal();
    assert_eq!(previous_acceptors_of(base.value.with_change(2)), []);
    assert_eq!(previous_acceptors_of(base.value.with_acceptors(2, members(&[0, 1]))), members(&[0, 1, 2]));
}
