//! Limit of the disks that may be erased or unavailable at the same time: the number of failures that the
//! settings tolerate.

use register::Member;
use state::ControlState;

use super::FaultMix;
use crate::{Fleet, MachineKind};

/// Whether the disk of a machine may be erased now: fewer machines have failed than the settings tolerate. An
/// earlier failure counts until the catch-up time of the machine is over ([`FaultMix::Turnover`]), or until the
/// system has recovered from it (all other mixes).
pub(super) fn may_lose_disk(fleet: &Fleet, mix: FaultMix, machine: usize) -> bool {
    match mix {
        FaultMix::All
        | FaultMix::Absences
        | FaultMix::Disks
        | FaultMix::ServerLinks
        | FaultMix::ProxiedServerLinks => has_recovered(fleet, machine),
        FaultMix::Turnover => is_below_failure_limit(fleet, machine),
    }
}

/// Whether a process may be shut down now. With [`FaultMix::ProxiedServerLinks`], fewer machines must count as
/// failed than the settings tolerate, since a leader can keep its lease only while a majority replies.
pub(super) fn may_terminate(fleet: &Fleet, mix: FaultMix) -> bool {
    mix != FaultMix::ProxiedServerLinks || fleet.failed_machine_count() < fleet.shape().tolerated_failures
}

/// Whether the machine is present with a disk, and fewer machines count as failed than the settings tolerate.
fn is_below_failure_limit(fleet: &Fleet, machine: usize) -> bool {
    let has_disk = fleet.kind(machine) != MachineKind::DisklessNode;
    let is_present = fleet.has_process(machine) && !fleet.is_leaving(machine);
    has_disk && is_present && fleet.failed_machine_count() < fleet.shape().tolerated_failures
}

/// Whether the machine is a present member, and fewer members of its kind are absent than the settings
/// tolerate. A migration of batch jobs must have ended, and a change of the acceptors must be recorded
/// durably.
fn has_recovered(fleet: &Fleet, machine: usize) -> bool {
    let Some(state) = fleet.newest_state() else { return false };
    let is_store = fleet.is_store(machine);
    let members: Vec<Member> = if is_store {
        state.stores.members.iter().map(|store| store.member.clone()).collect()
    } else {
        state.acceptors.clone()
    };
    let absent = members.iter().filter(|member| !is_present(fleet, member)).count();
    let is_migrating = is_store && state.previous_stores.is_some();
    if !is_store && !is_change_recorded(fleet, &state) {
        return false;
    }
    let is_member =
        members.iter().any(|member| member.name == fleet.name(machine) && is_present(fleet, member));
    is_member && !is_migrating && absent < fleet.shape().tolerated_failures
}

/// Whether a majority of the acceptors has durably recorded that the last change of the acceptors is
/// committed. Until then one failure fewer is tolerated (`docs/CONTROL.md`, section 3).
fn is_change_recorded(fleet: &Fleet, state: &ControlState) -> bool {
    let has_recorded = |machine: &usize| {
        let recorded = fleet.recorded_state(*machine);
        let is_acceptor = fleet.incarnation(*machine).is_some_and(|incarnation| {
            state.acceptors.iter().any(|member| member.incarnation == incarnation)
        });
        is_acceptor && recorded.is_some_and(|recorded| recorded.revision >= state.acceptors_since)
    };
    fleet.machines().filter(has_recorded).count() * 2 > state.acceptors.len()
}

/// Whether the machine of a member has a process with the disk of the member and is not leaving.
fn is_present(fleet: &Fleet, member: &Member) -> bool {
    let machine = fleet.machines().find(|machine| fleet.name(*machine) == member.name);
    machine.is_some_and(|machine| {
        fleet.incarnation(machine) == Some(member.incarnation) && !fleet.is_leaving(machine)
    })
}
