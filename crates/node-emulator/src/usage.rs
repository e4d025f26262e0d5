//! Resource usage of the process: processor time by thread role, memory, descriptors.

use std::collections::BTreeMap;
use std::fs;
use std::time::Duration;

use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use rustix::time::{clock_gettime, ClockId};
use serde::Serialize;

/// More file descriptors are required than the hard limit allows.
#[derive(Debug, thiserror::Error)]
#[error("{required} descriptors are needed and {limit} allowed: raise the hard limit (`ulimit -Hn`), or take fewer nodes")]
pub struct TooFewDescriptors {
    required: u64,
    limit: u64,
}

/// Raises the soft limit of file descriptors to `required` where it is lower.
///
/// # Errors
///
/// Where the hard limit is lower than `required`.
pub fn raise_descriptor_limit(required: u64) -> Result<(), TooFewDescriptors> {
    let limits = getrlimit(Resource::Nofile);
    let soft = limits.current.unwrap_or(u64::MAX);
    if soft >= required {
        return Ok(());
    }
    let limit = limits.maximum.unwrap_or(u64::MAX);
    let error = TooFewDescriptors { required, limit };
    if limit < required || setrlimit(Resource::Nofile, Rlimit { current: Some(required), ..limits }).is_err()
    {
        return Err(error);
    }
    Ok(())
}

/// Processor time of the calling thread.
#[must_use]
pub fn thread_cpu_time() -> Duration {
    read_clock(ClockId::ThreadCPUTime)
}

/// Processor time of the process.
#[must_use]
pub fn process_cpu_time() -> Duration {
    read_clock(ClockId::ProcessCPUTime)
}

fn read_clock(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    Duration::new(u64::try_from(time.tv_sec).unwrap_or(0), u32::try_from(time.tv_nsec).unwrap_or(0))
}

/// Processor seconds of the running threads by role: a thread's name up to its first `-`.
#[must_use]
pub fn cpu_seconds_by_role() -> BTreeMap<String, f64> {
    let mut roles = BTreeMap::new();
    for task in fs::read_dir("/proc/self/task").into_iter().flatten().flatten() {
        // A thread may end after its folder was listed.
        let Ok(name) = fs::read_to_string(task.path().join("comm")) else { continue };
        let Ok(stat) = fs::read_to_string(task.path().join("stat")) else { continue };
        let role = name.trim().split('-').next().unwrap_or_default().to_owned();
        *roles.entry(role).or_default() += stat_seconds(&stat).unwrap_or(0.0);
    }
    roles
}

/// User and system time of a `/proc/.../stat` line, in ticks of 10 ms.
fn stat_seconds(stat: &str) -> Option<f64> {
    // The name is in brackets and may contain blanks; the times are the 12th and 13th field after it.
    let mut fields = stat.rsplit_once(')')?.1.split_whitespace().skip(11);
    let ticks = fields.next()?.parse::<f64>().ok()? + fields.next()?.parse::<f64>().ok()?;
    Some(ticks / 100.0)
}

/// Memory of the process.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Memory {
    /// Resident now, in bytes.
    pub resident: u64,
    /// Peak of the resident memory, in bytes.
    pub peak: u64,
}

impl Memory {
    /// From `/proc/self/status`; 0 where that cannot be read.
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
