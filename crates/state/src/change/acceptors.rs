//! Membership of the register: acceptors and their standbys.

use register::{with_member, with_member_replaced, Incarnation, Member};

use super::{successor, AlreadyMember, StillRequired};
use crate::ControlState;

/// Reason why a machine does not become an acceptor: it is one already, or the set is complete and none of
/// its members has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoVacancy;

/// Makes a machine an acceptor in one step. A machine that lost its disk replaces its own former incarnation.
/// If there are too few acceptors, the machine is added. Otherwise it replaces one of the acceptors in
/// `failed`.
///
/// # Errors
///
/// [`NoVacancy`] if the machine is an acceptor already, or can become only a standby.
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

/// Way in which a machine can become an acceptor.
enum Vacancy {
    /// The machine replaces the acceptor with this incarnation.
    Replace(Incarnation),
    /// The machine is added to the acceptors.
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

/// Registers a machine as a standby, which may replace an acceptor that fails. The machine replaces its own
/// former incarnation among the standbys.
///
/// # Errors
///
/// [`AlreadyMember`] if the machine is an acceptor or a standby already.
pub fn with_standby(state: &ControlState, member: &Member) -> Result<ControlState, AlreadyMember> {
    if state.acceptors.contains(member) || state.standbys.contains(member) {
        return Err(AlreadyMember);
    }
    let mut next = successor(state);
    next.standbys.retain(|other| other.name != member.name);
    next.standbys.push(member.clone());
    Ok(next)
}

/// Replaces the acceptor `member`, whose process shuts down gracefully, by the standby `standby`.
///
/// # Errors
///
/// [`StillRequired`] if `member` is not an acceptor, or `standby` is not a standby.
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
