//! Resource usage of the process: processor time, memory, and the limit of file descriptors.

use std::collections::BTreeMap;
use std::fs;
use std::time::Duration;

use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use rustix::time::{clock_gettime, ClockId};
use serde::Serialize;

/// Error when the number of required file descriptors exceeds the hard limit, or the soft limit cannot be
/// raised.
#[derive(Debug, thiserror::Error)]
#[error("{required} file descriptors are required and {limit} are allowed: raise the hard limit (`ulimit -Hn`) or use fewer nodes")]
pub struct TooFewDescriptors {
    required: u64,
    limit: u64,
}

/// Raises the soft limit of file descriptors to `required` if it is lower.
///
/// # Errors
///
/// Fails if the hard limit is lower than `required`, or if the system refuses the change.
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

/// Returns the processor time that the calling thread has used.
#[must_use]
pub fn thread_cpu_time() -> Duration {
    read_clock(ClockId::ThreadCPUTime)
}

/// Returns the processor time that all threads of the process have used.
#[must_use]
pub fn process_cpu_time() -> Duration {
    read_clock(ClockId::ProcessCPUTime)
}

/// Returns the value of a processor clock, which starts at 0.
fn read_clock(clock: ClockId) -> Duration {
    let time = clock_gettime(clock);
    Duration::new(u64::try_from(time.tv_sec).unwrap_or(0), u32::try_from(time.tv_nsec).unwrap_or(0))
}

/// Returns the processor seconds of the running threads by role. The role is the name of the thread up to the
/// first `-`.
#[must_use]
pub fn cpu_seconds_by_role() -> BTreeMap<String, f64> {
    let mut roles = BTreeMap::new();
    for task in fs::read_dir("/proc/self/task").into_iter().flatten().flatten() {
        // The files are missing if the thread has ended since the directory was listed.
        let Ok(name) = fs::read_to_string(task.path().join("comm")) else { continue };
        let Ok(stat) = fs::read_to_string(task.path().join("stat")) else { continue };
        let role = name.trim().split('-').next().unwrap_or_default().to_owned();
        *roles.entry(role).or_default() += stat_seconds(&stat).unwrap_or(0.0);
    }
    roles
}

/// Returns the sum of user and system time in a line of `/proc/.../stat`, in seconds. The times in the line
/// are in ticks of 10 ms.
fn stat_seconds(stat: &str) -> Option<f64> {
    // The thread's name is in parentheses and may contain spaces. The times are the 12th and 13th field after
    // it.
    let mut fields = stat.rsplit_once(')')?.1.split_whitespace().skip(11);
    let ticks = fields.next()?.parse::<f64>().ok()? + fields.next()?.parse::<f64>().ok()?;
    Some(ticks / 100.0)
}

/// Resident memory of the process.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Memory {
    /// Current resident memory, in bytes.
    pub resident: u64,
    /// Peak of the resident memory, in bytes.
    pub peak: u64,
}

impl Memory {
    /// Reads `/proc/self/status`. Values that cannot be read are 0.
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
