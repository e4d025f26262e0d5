//! Membership of the register: acceptors and their standbys.

use register::{with_member, with_member_replaced, Incarnation, Member};

use super::{successor, AlreadyMember, StillRequired};
use crate::ControlState;

/// There is no vacancy for another acceptor: the set is complete, and none of its members has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoVacancy;

/// Makes a machine an acceptor in one step: in place of its own former incarnation where its disk was lost, beside the
/// others where there are too few, otherwise in place of one of those that have `failed`.
///
/// # Errors
///
/// When it is an acceptor already, or has to stand by.
pub fn with_acceptor(
    state: &ControlState,
    member: &Member,
    failed: &[Incarnation],
) -> Result<ControlState, NoVacancy> {
    if state.acceptors.contains(member) {
        return Err(NoVacancy);
    }
    let acceptors = match vacancy(state, member, failed)? {
        Vacancy::Replace(former) => with_member_replaced(&state.acceptors, former, member.clone()),
        Vacancy::Add => with_member(&state.acceptors, member.clone()),
    };
    let mut next = successor(state);
    next.set_acceptors(acceptors);
    Ok(next)
}

/// How a machine can become an acceptor.
enum Vacancy {
    /// In place of this one.
    Replace(Incarnation),
    /// Beside the others.
    Add,
}

fn vacancy(state: &ControlState, member: &Member, failed: &[Incarnation]) -> Result<Vacancy, NoVacancy> {
    let acceptors = &state.acceptors;
    if let Some(former) = acceptors.iter().find(|other| other.name == member.name) {
        return Ok(Vacancy::Replace(former.incarnation));
    }
    if acceptors.len() < state.target_acceptor_count {
        return Ok(Vacancy::Add);
    }
    let replaced = acceptors.iter().find(|other| failed.contains(&other.incarnation)).ok_or(NoVacancy)?;
    Ok(Vacancy::Replace(replaced.incarnation))
}

/// Registers a machine as a standby, which may replace an acceptor that has failed.
///
/// # Errors
///
/// When it is an acceptor or a standby already.
pub fn with_standby(state: &ControlState, member: &Member) -> Result<ControlState, AlreadyMember> {
    if state.acceptors.contains(member) || state.standbys.contains(member) {
        return Err(AlreadyMember);
    }
    let mut next = successor(state);
    next.standbys.retain(|other| other.name != member.name);
    next.standbys.push(member.clone());
    Ok(next)
}

/// Replaces an acceptor whose process shuts down gracefully by a standby.
///
/// # Errors
///
/// When `member` is no acceptor, or `standby` no standby.
pub fn without_acceptor(
    state: &ControlState,
    member: &Member,
    standby: &Member,
) -> Result<ControlState, StillRequired> {
    if !state.acceptors.contains(member) || !state.standbys.contains(standby) {
        return Err(StillRequired);
    }
    let mut next = successor(state);
    next.set_acceptors(with_member_replaced(&state.acceptors, member.incarnation, standby.clone()));
    Ok(next)
}
