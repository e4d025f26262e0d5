//! The changes of the register that a process wants, and the answers that their outcomes stand for.

use register::Member;
use rollout::Answer;
use state::change::{
    change_digest, next_upkeep, with_acceptor, with_configuration, with_draining, with_fence,
    with_order_holder, with_store, with_version, ChangeKind, Declined, Observation,
};
use state::{ControlState, DrainState, StoreMember};

use crate::messages::{OperatorOrder, Reply};
use crate::proposing::Outcome;

/// Who a process is.
#[derive(Clone)]
pub(crate) struct Identity {
    pub(crate) member: Member,
    pub(crate) is_store: bool,
    pub(crate) first_start: bool,
    pub(crate) machines_lost: usize,
    /// The machines that are seeds.
    pub(crate) seeds: Vec<usize>,
}

/// A change of the register that this process wants.
pub(crate) enum Change {
    Operator(OperatorOrder),
    Fence,
    OrderHolder(u64),
    JoinAcceptors,
    JoinStores,
    Upkeep(u64, Observation),
    Settle,
}

pub(crate) fn decide(
    identity: &Identity,
    change: &Change,
    state: &ControlState,
) -> Result<ControlState, Declined> {
    let member = &identity.member;
    match change {
        Change::Operator(OperatorOrder::Put { expected, body }) => {
            let digest = change_digest(ChangeKind::Replace, *expected, body.as_bytes());
            with_configuration(state, ChangeKind::Replace, *expected, digest, body.as_bytes())
        }
        Change::Operator(OperatorOrder::Name { model, version }) => with_version(state, model, *version),
        Change::Operator(OperatorOrder::Retire(station)) => with_draining(state, station),
        Change::Operator(OperatorOrder::Read | OperatorOrder::ReadRetire(_)) | Change::Settle => {
            Err(Declined::Unchanged)
        }
        Change::Fence => with_fence(state, &member.station, state.fence).map_err(|_| Declined::Unchanged),
        Change::OrderHolder(fence) => {
            with_order_holder(state, &member.station, *fence).map_err(|_| Declined::Unchanged)
        }
        Change::JoinAcceptors => with_acceptor(state, member).map_err(|_| Declined::Unchanged),
        Change::JoinStores => {
            let store = StoreMember { member: member.clone(), zone: "zone".into() };
            with_store(state, &store).map_err(|_| Declined::Unchanged)
        }
        Change::Upkeep(fence, observed) => next_upkeep(state, *fence, observed).ok_or(Declined::Unchanged),
    }
}

pub(crate) fn answer_to(order: &OperatorOrder, outcome: &Outcome) -> Reply {
    match (order, outcome) {
        (_, Outcome::Unclear) => Reply::Status(503),
        (OperatorOrder::Read, Outcome::Declined(_, value)) => {
            Reply::Configuration(value.value.edition, value.value.configuration.clone())
        }
        (OperatorOrder::ReadRetire(station), Outcome::Declined(_, value)) => {
            Reply::Status(match value.value.draining.get(station) {
                Some(DrainState::Delivered) => 200,
                Some(DrainState::Rolling) => 102,
                None => 404,
            })
        }
        (_, Outcome::Committed(_) | Outcome::Declined(Declined::AlreadyTaken | Declined::Unchanged, _)) => {
            Reply::Status(200)
        }
        (_, Outcome::Declined(Declined::OtherVersion(_), _)) => Reply::Status(412),
        (_, Outcome::Declined(Declined::Invalid(_), _)) => Reply::Status(400),
        (_, Outcome::Declined(Declined::Unknown, _)) => Reply::Status(404),
        (_, Outcome::Declined(Declined::TooFew, _)) => Reply::Status(409),
    }
}

pub(crate) fn answer_of(reply: Option<Reply>) -> Answer {
    match reply {
        Some(Reply::Status(status)) => Answer::from_status(status),
        _ => Answer::Unclear,
    }
}
