//! The grantor of a machine must learn of a change of the acceptors before it grants the leader lease.

mod support;

use std::sync::Arc;
use std::time::Duration;

use control_plane::{QuorumService, ViewCell, LEASE_TTL};
use lease::{GrantorId, LeaseReply, LeaseRequest};
use register::{AcceptorRequest, Ballot, Incarnation, Member, ReplyOutcome, Versioned};
use state::ControlState;
use storage::simulated::SimulatedDisk;
use support::{initial_value_with, open_acceptor};
use yare::parameterized;

fn member(incarnation: Incarnation) -> Member {
    Member { name: format!("node-{}", incarnation.0), incarnation, address: "127.0.0.1:1".into() }
}

/// Returns a successor of `value` with other acceptors.
fn with_other_acceptors(value: &Versioned<ControlState>, round: u64) -> Versioned<ControlState> {
    let acceptors = vec![value.value.acceptors[0].clone(), member(Incarnation(3))];
    let revision = value.value.revision + 1;
    let state = ControlState { acceptors, revision, ..ControlState::clone(&value.value) };
    Versioned::new(Ballot { round, proposer: 7 }, Arc::new(state))
}

#[parameterized(
    rejected = { 5, false },
    accepted = { 9, true },
)]
fn given_a_proposal_of_other_acceptors_when_a_candidate_names_the_previous_ones_then_it_is_rejected_only_if_the_proposal_was_accepted(
    round: u64,
    is_candidate_rejected: bool,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.expect("the runtime is built").block_on(async {
        let (acceptor_service, incarnation) = open_acceptor(&SimulatedDisk::new(1));
        let service = QuorumService::new(acceptor_service, incarnation, Arc::new(ViewCell::new()));
        let initial = initial_value_with(vec![member(incarnation), member(Incarnation(2))], Vec::new());
        service.initialize(initial.clone()).await.expect("the initial value is accepted");
        service
            .handle(AcceptorRequest::Prepare(Ballot { round: 8, proposer: 7 }))
            .await
            .expect("the promise is durable");
        let reply = service
            .handle(AcceptorRequest::Accept(with_other_acceptors(&initial, round)))
            .await
            .expect("the acceptor replies");
        assert_eq!(matches!(reply.outcome, ReplyOutcome::Accepted), is_candidate_rejected, "{reply:?}");
        tokio::time::advance(LEASE_TTL + Duration::from_millis(1)).await;
        let request = LeaseRequest {
            holder: "candidate".into(),
            term: 1,
            ttl_ms: 1500,
            revision: initial.value.revision,
            grantors: vec![GrantorId(incarnation.0), GrantorId(2)],
        };
        assert_eq!(matches!(service.grant(&request), LeaseReply::Rejected { .. }), is_candidate_rejected);
    });
}
