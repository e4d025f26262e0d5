//! What the process uses: processor time by thread role, memory, descriptors.

use std::collections::BTreeMap;
use std::fs;
use std::time::Duration;

use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use rustix::time::{clock_gettime, ClockId};
use serde::Serialize;

/// More descriptors are needed than the process may have.
#[derive(Debug, thiserror::Error)]
#[error("{need} descriptors are needed and {most} allowed: raise the hard limit (`ulimit -Hn`), or take fewer nodes")]
pub struct TooFewDescriptors {
    need: u64,
    most: u64,
}

/// Raises the soft limit of descriptors where fewer are allowed than needed.
///
/// # Errors
///
/// Where the hard limit is lower than that.
pub fn allow_descriptors(need: u64) -> Result<(), TooFewDescriptors> {
    let limit = getrlimit(Resource::Nofile);
    let soft = limit.current.unwrap_or(u64::MAX);
    if soft >= need {
        return Ok(());
    }
    let most = limit.maximum.unwrap_or(u64::MAX);
    let refused = TooFewDescriptors { need, most };
    if most < need || setrlimit(Resource::Nofile, Rlimit { current: Some(need), ..limit }).is_err() {
        return Err(refused);
    }
    Ok(())
}

/// Processor time of the calling thread.
#[must_use]
pub fn thread_time() -> Duration {
    since_zero(ClockId::ThreadCPUTime)
}

/// Processor time of the whole process.
#[must_use]
pub fn process_time() -> Duration {
    since_zero(ClockId::ProcessCPUTime)
}

fn since_zero(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    Duration::new(u64::try_from(time.tv_sec).unwrap_or(0), u32::try_from(time.tv_nsec).unwrap_or(0))
}

/// Processor seconds of the threads that now run, by role: a thread's name up to its first `-`.
#[must_use]
pub fn seconds_by_role() -> BTreeMap<String, f64> {
    let mut roles = BTreeMap::new();
    for task in fs::read_dir("/proc/self/task").into_iter().flatten().flatten() {
        // A thread may end between the listing and the reading.
        let Ok(name) = fs::read_to_string(task.path().join("comm")) else { continue };
        let Ok(stat) = fs::read_to_string(task.path().join("stat")) else { continue };
        let role = name.trim().split('-').next().unwrap_or_default().to_owned();
        *roles.entry(role).or_default() += stat_seconds(&stat).unwrap_or(0.0);
    }
    roles
}

/// User and system time of a `/proc/.../stat` line, in ticks of 10 ms.
fn stat_seconds(stat: &str) -> Option<f64> {
    // The name stands in brackets and may hold blanks; the times are the 12th and 13th field after it.
    let mut fields = stat.rsplit_once(')')?.1.split_whitespace().skip(11);
    let ticks = fields.next()?.parse::<f64>().ok()? + fields.next()?.parse::<f64>().ok()?;
    Some(ticks / 100.0)
}

/// Memory of the process.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Memory {
    /// Resident now, in bytes.
    pub resident: u64,
    /// The most that was resident, in bytes.
    pub peak: u64,
}

impl Memory {
    /// As the kernel tells it; 0 where it does not.
    #[must_use]
    pub fn now() -> Self {
        let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
        let bytes = |key: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(key)).unwrap_or_default();
            line.split_whitespace().next().and_then(|kib| kib.parse::<u64>().ok()).unwrap_or(0) * 1024
        };
        Self { resident: bytes("VmRSS:"), peak: bytes("VmHWM:") }
    }
}
