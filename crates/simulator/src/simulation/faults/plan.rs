//! Draws the planned faults of a run from a seed.

use std::time::Duration;

use fastrand::Rng;

use super::{Fault, FaultKind, FaultMix};

/// XORed with the seed, so that the random numbers of the plan are independent of the others of a run.
const SEED_SALT: u64 = 0x7472_6f75_626c_6573;
/// Minimum duration of a fault, in milliseconds.
const MIN_DURATION_MS: u64 = 200;
/// Upper bound of the duration of short faults, in milliseconds.
const MAX_SHORT_DURATION_MS: u64 = 4_000;
/// Upper bound of the duration of long faults, in milliseconds: the longest partition that operators expect.
/// A quarter of the faults is long, and with [`FaultMix::Absences`] all are.
const MAX_LONG_DURATION_MS: u64 = 20_000;

/// Kinds of [`FaultMix::All`]. A kind that occurs several times is drawn correspondingly more often.
const ALL_KINDS: [FaultKind; 20] = [
    FaultKind::Terminate,
    FaultKind::ReplacePlanned,
    FaultKind::Kill,
    FaultKind::KillLeader,
    FaultKind::LosePower,
    FaultKind::LosePowerOfMany,
    FaultKind::LoseDisk,
    FaultKind::Replace,
    FaultKind::Freeze,
    FaultKind::FreezeLeader,
    FaultKind::SlowDown,
    FaultKind::Isolate,
    FaultKind::IsolateLeader,
    FaultKind::PartitionOneWay,
    FaultKind::PartitionInHalves,
    FaultKind::ResetConnections,
    FaultKind::StallDisk,
    FaultKind::FailSync,
    FaultKind::LossyNetwork,
    FaultKind::LoseDisk,
];

/// Kinds of [`FaultMix::Turnover`]. A kind that occurs several times is drawn correspondingly more often.
const TURNOVER_KINDS: [FaultKind; 16] = [
    FaultKind::Replace,
    FaultKind::Replace,
    FaultKind::Replace,
    FaultKind::Replace,
    FaultKind::LoseDisk,
    FaultKind::LoseDisk,
    FaultKind::ReplacePlanned,
    FaultKind::ReplacePlanned,
    FaultKind::ChangeSeeds,
    FaultKind::ChangeSeeds,
    FaultKind::LosePowerOfMany,
    FaultKind::Terminate,
    FaultKind::KillLeader,
    FaultKind::Isolate,
    FaultKind::PartitionInHalves,
    FaultKind::Freeze,
];

/// Kinds of [`FaultMix::Absences`]. A kind that occurs several times is drawn correspondingly more often.
const ABSENCE_KINDS: [FaultKind; 16] = [
    FaultKind::ReplaceAcceptor,
    FaultKind::ReplaceAcceptor,
    FaultKind::ReplaceAcceptor,
    FaultKind::ReplaceAcceptor,
    FaultKind::ReplaceAcceptor,
    FaultKind::ReplaceAcceptor,
    FaultKind::ReplaceAcceptor,
    FaultKind::ReplaceAcceptor,
    FaultKind::Freeze,
    FaultKind::Freeze,
    FaultKind::Isolate,
    FaultKind::PartitionOneWay,
    FaultKind::ReplacePlanned,
    FaultKind::Replace,
    FaultKind::LoseDisk,
    FaultKind::ChangeSeeds,
];

/// Kinds of [`FaultMix::Disks`]. A kind that occurs several times is drawn correspondingly more often.
const DISK_KINDS: [FaultKind; 16] = [
    FaultKind::FailSync,
    FaultKind::FailSync,
    FaultKind::FailSync,
    FaultKind::FailSync,
    FaultKind::FailSync,
    FaultKind::StallDisk,
    FaultKind::StallDisk,
    FaultKind::LosePower,
    FaultKind::LosePower,
    FaultKind::LosePowerOfMany,
    FaultKind::SpoilRecord,
    FaultKind::SpoilRecord,
    FaultKind::LoseDisk,
    FaultKind::Kill,
    FaultKind::KillLeader,
    FaultKind::LossyNetwork,
];

/// Kinds of [`FaultMix::ServerLinks`]. A kind that occurs several times is drawn correspondingly more often.
const SERVER_LINK_KINDS: [FaultKind; 16] = [
    FaultKind::PartitionServer,
    FaultKind::PartitionServer,
    FaultKind::PartitionServer,
    FaultKind::PartitionServer,
    FaultKind::PartitionServer,
    FaultKind::PartitionServer,
    FaultKind::PartitionServer,
    FaultKind::PartitionServer,
    FaultKind::TerminateLeader,
    FaultKind::TerminateLeader,
    FaultKind::KillLeader,
    FaultKind::KillLeader,
    FaultKind::FreezeLeader,
    FaultKind::IsolateLeader,
    FaultKind::ResetConnections,
    FaultKind::LosePower,
];

/// Kinds of [`FaultMix::ProxiedServerLinks`]. A kind that occurs several times is drawn correspondingly more often.
const PROXIED_SERVER_LINK_KINDS: [FaultKind; 4] = [
    FaultKind::PartitionProxiedServer,
    FaultKind::PartitionProxiedServer,
    FaultKind::TerminateLeader,
    FaultKind::Terminate,
];

/// Draws the faults of a seed, in the order of their times. All times are below `length`. `interval` is the
/// mean time between two faults before a third of the intervals is shortened.
pub(in crate::simulation) fn plan_faults(
    seed: u64,
    mix: FaultMix,
    length: Duration,
    interval: Duration,
) -> Vec<Fault> {
    let mut random = Rng::with_seed(seed ^ SEED_SALT);
    let kinds: &[FaultKind] = match mix {
        FaultMix::All => &ALL_KINDS,
        FaultMix::Turnover => &TURNOVER_KINDS,
        FaultMix::Absences => &ABSENCE_KINDS,
        FaultMix::Disks => &DISK_KINDS,
        FaultMix::ServerLinks => &SERVER_LINK_KINDS,
        FaultMix::ProxiedServerLinks => &PROXIED_SERVER_LINK_KINDS,
    };
    let mut faults = Vec::new();
    let mut at = interval.mul_f64(random.f64());
    while at < length {
        let kind = kinds[random.usize(..kinds.len())];
        let is_long = random.u8(..4) == 0 || mix == FaultMix::Absences;
        let max_duration = if is_long { MAX_LONG_DURATION_MS } else { MAX_SHORT_DURATION_MS };
        let duration = Duration::from_millis(random.u64(MIN_DURATION_MS..max_duration));
        faults.push(Fault { at, kind, selector: random.usize(..), duration });
        // A third of the faults follows shortly after the previous one.
        let max_interval = if random.u8(..3) == 0 { interval / 8 } else { interval * 2 };
        at += max_interval.mul_f64(random.f64());
    }
    faults
}
