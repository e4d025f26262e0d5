//! The troubles of a run.

use std::time::Duration;

use fastrand::Rng;

use super::Setup;
use crate::{Fleet, MachineKind};

/// What befalls a fleet. Machines are picked when it begins, by the number drawn here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A process is killed.
    Kill,
    /// The process that holds the lease is killed.
    KillLeader,
    /// A machine loses power, half of the time amid a write.
    LosePower,
    /// All nodes, or all machines, lose power.
    LosePowerOfMany,
    /// A machine comes back with an empty disk.
    LoseDisk,
    /// A machine is gone for good, and an empty one at another address comes.
    Replace,
    /// A process is told to end in good order, and starts again.
    Terminate,
    /// Another machine comes first, then one is told to end in good order and is gone for good.
    ReplacePlanned,
    /// A machine stands still.
    Freeze,
    /// The holder of the lease stands still.
    FreezeLeader,
    /// A machine runs slowly.
    SlowDown,
    /// A machine is cut off from all others.
    CutOff,
    /// The holder of the lease is cut off from all others.
    CutOffLeader,
    /// What a machine sends is lost, or what is sent to it.
    CutOneWay,
    /// The machines fall into two halves.
    CutApart,
    /// All calls of a machine end without an answer.
    Reset,
    /// A disk hangs.
    StallDisk,
    /// A sync fails.
    FailSync,
    /// The network loses, repeats and delays a tenth of all messages.
    BadNetwork,
    /// All settings come to name other nodes as seeds, with or without a disk.
    NameSeeds,
}

/// Which troubles come, and when the next disk may be lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mix {
    /// All kinds; a disk is lost only when what was lost before is whole again.
    All,
    /// Mostly machines that are replaced, and seeds; a disk may be lost as soon as those lost before count as back.
    Turnover,
}

const TURNOVER_KINDS: [Kind; 16] = [
    Kind::Replace,
    Kind::Replace,
    Kind::Replace,
    Kind::Replace,
    Kind::LoseDisk,
    Kind::LoseDisk,
    Kind::ReplacePlanned,
    Kind::ReplacePlanned,
    Kind::NameSeeds,
    Kind::NameSeeds,
    Kind::LosePowerOfMany,
    Kind::Terminate,
    Kind::KillLeader,
    Kind::CutOff,
    Kind::CutApart,
    Kind::Freeze,
];

const KINDS: [Kind; 20] = [
    Kind::Terminate,
    Kind::ReplacePlanned,
    Kind::Kill,
    Kind::KillLeader,
    Kind::LosePower,
    Kind::LosePowerOfMany,
    Kind::LoseDisk,
    Kind::Replace,
    Kind::Freeze,
    Kind::FreezeLeader,
    Kind::SlowDown,
    Kind::CutOff,
    Kind::CutOffLeader,
    Kind::CutOneWay,
    Kind::CutApart,
    Kind::Reset,
    Kind::StallDisk,
    Kind::FailSync,
    Kind::BadNetwork,
    Kind::LoseDisk,
];

/// One trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trouble {
    /// When it begins, from the first configuration on.
    pub at: Duration,
    /// What it is.
    pub kind: Kind,
    /// Which machine it is at.
    pub pick: usize,
    /// How long it lasts, where it lasts.
    pub lasts: Duration,
}

/// When a trouble ends, and at which machine.
#[derive(Debug)]
pub(super) struct End {
    pub(super) at: Duration,
    kind: Kind,
    machine: usize,
}

/// Draws the troubles of a seed.
pub(super) fn draw(seed: u64, setup: &Setup) -> Vec<Trouble> {
    let mut random = Rng::with_seed(seed ^ 0x7472_6f75_626c_6573);
    let mut troubles = Vec::new();
    let mut at = setup.pause.mul_f64(random.f64());
    while at < setup.length {
        let kinds: &[Kind] = if setup.mix == Mix::All { &KINDS } else { &TURNOVER_KINDS };
        let kind = kinds[random.usize(..kinds.len())];
        // Most are short; some last as long as the operators' longest cut.
        let longest = if random.u8(..4) == 0 { 20_000 } else { 4_000 };
        let lasts = Duration::from_millis(random.u64(200..longest));
        troubles.push(Trouble { at, kind, pick: random.usize(..), lasts });
        // Now and then one comes right after the other.
        let pause = if random.u8(..3) == 0 { setup.pause / 8 } else { setup.pause * 2 };
        at += pause.mul_f64(random.f64());
    }
    troubles
}

/// Begins a trouble; tells when it ends, if it lasts.
pub(super) fn begin(trouble: &Trouble, mix: Mix, fleet: &mut Fleet) -> Option<End> {
    let machine = pick(trouble, fleet)?;
    match trouble.kind {
        Kind::Kill | Kind::KillLeader => fleet.kill(machine),
        Kind::LosePower => lose_power(fleet, machine),
        Kind::LosePowerOfMany => {
            let only_nodes = trouble.pick.is_multiple_of(2);
            let struck: Vec<usize> =
                running(fleet).filter(|one| !only_nodes || !fleet.is_store(*one)).collect();
            struck.into_iter().for_each(|one| lose_power(fleet, one));
        }
        Kind::LoseDisk => {
            if may_lose_disk(fleet, mix, machine) {
                fleet.lose_disk(machine);
            }
        }
        Kind::Replace => {
            if may_lose_disk(fleet, mix, machine) {
                fleet.replace(machine);
            }
        }
        Kind::Terminate => fleet.terminate(machine, false),
        Kind::ReplacePlanned => {
            // Stores leave by retire, which has a story of its own.
            if fleet.is_store(machine) {
                return None;
            }
            fleet.add(MachineKind::Node, false);
        }
        Kind::Freeze | Kind::FreezeLeader => fleet.freeze(machine),
        Kind::SlowDown => fleet.slow_down(machine, true),
        Kind::CutOff | Kind::CutOffLeader => fleet.network.cut_off(machine, fleet.machines().end),
        Kind::CutOneWay => {
            for other in fleet.machines().filter(|other| *other != machine) {
                let (from, to) =
                    if trouble.pick.is_multiple_of(2) { (machine, other) } else { (other, machine) };
                fleet.network.cut_one_way(from, to);
            }
        }
        Kind::CutApart => {
            let group: Vec<usize> = fleet.machines().filter(|one| one % 2 == trouble.pick % 2).collect();
            fleet.network.cut_apart(&group, fleet.machines().end);
        }
        Kind::Reset => fleet.reset_connections(machine),
        Kind::StallDisk => fleet.stall_disk(machine, true),
        Kind::FailSync => fleet.fail_sync(machine),
        Kind::BadNetwork => set_bad_network(fleet, 100),
        Kind::NameSeeds => name_seeds(fleet),
    }
    let lasts = matches!(
        trouble.kind,
        Kind::ReplacePlanned
            | Kind::Freeze
            | Kind::FreezeLeader
            | Kind::SlowDown
            | Kind::CutOff
            | Kind::CutOffLeader
            | Kind::CutOneWay
            | Kind::CutApart
            | Kind::StallDisk
            | Kind::BadNetwork
    );
    if lasts {
        note_lost(trouble, fleet, machine);
    }
    lasts.then(|| End { at: fleet.now + trouble.lasts, kind: trouble.kind, machine })
}

/// Machines that are cut off or stand still count as lost while it lasts.
fn note_lost(trouble: &Trouble, fleet: &mut Fleet, machine: usize) {
    match trouble.kind {
        Kind::ReplacePlanned | Kind::StallDisk | Kind::BadNetwork => {}
        Kind::CutApart => fleet.machines().for_each(|one| fleet.note_loss(one, trouble.lasts)),
        _ => fleet.note_loss(machine, trouble.lasts),
    }
}

/// Ends a trouble.
pub(super) fn end(end: &End, mix: Mix, fleet: &mut Fleet) {
    match end.kind {
        Kind::Freeze | Kind::FreezeLeader => fleet.thaw(end.machine),
        Kind::SlowDown => fleet.slow_down(end.machine, false),
        Kind::CutOff | Kind::CutOffLeader | Kind::CutOneWay | Kind::CutApart => fleet.network.heal(),
        Kind::ReplacePlanned if may_lose_disk(fleet, mix, end.machine) => fleet.terminate(end.machine, true),
        Kind::StallDisk => fleet.stall_disk(end.machine, false),
        Kind::BadNetwork => set_bad_network(fleet, 10),
        _ => {}
    }
}

fn pick(trouble: &Trouble, fleet: &Fleet) -> Option<usize> {
    let wants_leader = matches!(trouble.kind, Kind::KillLeader | Kind::FreezeLeader | Kind::CutOffLeader);
    if wants_leader {
        if let Some(leader) = fleet.leader().filter(|leader| fleet.is_running(*leader)) {
            return Some(leader);
        }
    }
    let machines: Vec<usize> = running(fleet).collect();
    (!machines.is_empty()).then(|| machines[trouble.pick % machines.len()])
}

fn running(fleet: &Fleet) -> impl Iterator<Item = usize> + '_ {
    fleet.machines().filter(|machine| fleet.is_running(*machine))
}

fn lose_power(fleet: &mut Fleet, machine: usize) {
    if fleet.random.bool() {
        // What is being written is not synced when the power goes.
        fleet.fail_sync(machine);
        fleet.step();
    }
    fleet.lose_power(machine);
}

fn set_bad_network(fleet: &mut Fleet, per_mille: u32) {
    let network = &mut fleet.network;
    (network.lost_per_mille, network.repeated_per_mille, network.late_per_mille) =
        (per_mille, per_mille, per_mille / 2);
}

/// Other nodes than before, drawn anew, are the seeds of all machines.
fn name_seeds(fleet: &mut Fleet) {
    let mut nodes = fleet.present_nodes();
    fleet.random.shuffle(&mut nodes);
    nodes.truncate(3);
    fleet.machines().for_each(|machine| fleet.name_seeds(machine, nodes.clone()));
}

/// The end of a day: all machines lose power at one moment, and some of them their disks, as many as may be lost.
pub(super) fn close(fleet: &mut Fleet) {
    let mut machines: Vec<usize> = running(fleet).collect();
    fleet.random.shuffle(&mut machines);
    let may_be_lost = fleet.shape().machines_lost.saturating_sub(fleet.machines_lost());
    let has_disk = |machine: &usize| fleet.kind(*machine) != MachineKind::DisklessNode;
    let lost: Vec<usize> = machines.iter().copied().filter(has_disk).take(may_be_lost).collect();
    for machine in machines {
        if lost.contains(&machine) {
            fleet.lose_disk(machine);
        } else {
            fleet.lose_power(machine);
        }
    }
}

/// Whether one more disk of this machine's kind may be lost: as many as the settings tell. Those lost before count until
/// all is whole again, or until the time in which they catch up is over.
fn may_lose_disk(fleet: &Fleet, mix: Mix, machine: usize) -> bool {
    if mix == Mix::Turnover {
        let has_disk = fleet.kind(machine) != MachineKind::DisklessNode;
        let is_present = fleet.has_process(machine) && !fleet.is_leaving(machine);
        return has_disk && is_present && fleet.machines_lost() < fleet.shape().machines_lost;
    }
    let Some(state) = fleet.newest_state() else { return false };
    let is_store = fleet.is_store(machine);
    let members: Vec<_> = if is_store {
        state.stores.members.iter().map(|store| store.member.clone()).collect()
    } else {
        state.acceptors.clone()
    };
    let is_present = |member: &register::Member| {
        let station = fleet.machines().find(|one| fleet.station(*one) == member.name);
        station
            .is_some_and(|one| fleet.incarnation(one) == Some(member.incarnation) && !fleet.is_leaving(one))
    };
    let absent = members.iter().filter(|member| !is_present(member)).count();
    let is_moving = is_store && state.previous_stores.is_some();
    let is_member = members.iter().any(|member| member.name == fleet.station(machine) && is_present(member));
    is_member && !is_moving && absent < fleet.shape().machines_lost
}
