//! Faults that are injected into the processes of a fleet.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use super::error::FleetError;
use super::fleet::Fleet;

/// From the start of a step to its fault.
const FAULT_DELAY: Duration = Duration::from_millis(400);
/// From the end of a process to its restart.
const RESTART_DELAY: Duration = Duration::from_millis(800);

/// What happens to a process, which is restarted afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessFaultKind {
    /// It is killed.
    Kill,
    /// It is killed and its disk is erased.
    Wipe,
    /// It is shut down gracefully.
    Stop,
    /// All processes are killed at once; the name of the process has no meaning.
    KillAll,
}

impl fmt::Display for ProcessFaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Kill => "kill",
            Self::Wipe => "wipe",
            Self::Stop => "stop",
            Self::KillAll => "kill-all",
        })
    }
}

/// A fault; as text `STEP:kill|wipe|stop:PROCESS` or `STEP:kill-all`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessFault {
    /// It is injected early in the step after this one.
    pub after_step: u64,
    /// What happens.
    pub kind: ProcessFaultKind,
    /// The process, such as `node-1` or `store-2`.
    pub process: String,
}

impl fmt::Display for ProcessFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.after_step, self.kind, self.process)
    }
}

/// The text does not describe a fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseProcessFaultError(String);

impl fmt::Display for ParseProcessFaultError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}` is no trouble; write STEP:kill|wipe|stop:PROCESS or STEP:kill-all", self.0)
    }
}

impl std::error::Error for ParseProcessFaultError {}

impl FromStr for ProcessFault {
    type Err = ParseProcessFaultError;

    fn from_str(text: &str) -> Result<Self, ParseProcessFaultError> {
        let error = || ParseProcessFaultError(text.to_owned());
        let mut fields = text.splitn(3, ':');
        let after_step = fields.next().and_then(|step| step.parse().ok()).ok_or_else(error)?;
        let kind = match fields.next() {
            Some("kill") => ProcessFaultKind::Kill,
            Some("wipe") => ProcessFaultKind::Wipe,
            Some("stop") => ProcessFaultKind::Stop,
            Some("kill-all") => ProcessFaultKind::KillAll,
            _ => return Err(error()),
        };
        let process = fields.next().unwrap_or_default().to_owned();
        if process.is_empty() && kind != ProcessFaultKind::KillAll {
            return Err(error());
        }
        Ok(Self { after_step, kind, process })
    }
}

impl ProcessFault {
    /// Injects the fault and restarts what ended; returns whether a graceful shutdown ended in time (`true` for all
    /// other faults).
    ///
    /// # Errors
    ///
    /// When a process cannot be signalled or started.
    pub async fn inject(&self, fleet: &mut Fleet, grace: Duration) -> Result<bool, FleetError> {
        tokio::time::sleep(FAULT_DELAY).await;
        let mut ended_in_time = true;
        match self.kind {
            ProcessFaultKind::Kill => fleet.kill(&self.process)?,
            ProcessFaultKind::Wipe => {
                fleet.kill(&self.process)?;
                fleet.wipe(&self.process)?;
            }
            ProcessFaultKind::Stop => ended_in_time = fleet.stop(&self.process, grace).await?,
            ProcessFaultKind::KillAll => fleet.names().iter().try_for_each(|name| fleet.kill(name))?,
        }
        tokio::time::sleep(RESTART_DELAY).await;
        match self.kind {
            ProcessFaultKind::KillAll => fleet.start_all()?,
            _ => fleet.start(&self.process)?,
        }
        Ok(ended_in_time)
    }
}
