//! Faults that are injected into the processes of a fleet.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use super::error::FleetError;
use super::fleet::Fleet;

/// Delay before a fault is injected, counted from the start of its step or the end of the previous fault.
const FAULT_DELAY: Duration = Duration::from_millis(400);
/// Time from the end of a process to its restart.
const RESTART_DELAY: Duration = Duration::from_millis(800);

/// Kinds of faults; each ends one or all processes, which are restarted afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessFaultKind {
    /// Kills the process.
    Kill,
    /// Kills the process and deletes its data.
    Wipe,
    /// Shuts the process down gracefully, by SIGTERM.
    Stop,
    /// Kills all processes; the process name of the fault is ignored.
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

/// A fault to inject; its text form is `STEP:kill|wipe|stop:PROCESS` or `STEP:kill-all`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessFault {
    /// Number of a step, from 0. The fault is injected at the beginning of the next step; if the run has no
    /// next step, the fault is not injected.
    pub after_step: u64,
    /// Kind of the fault.
    pub kind: ProcessFaultKind,
    /// Name of the process, such as `node-1` or `store-2`; usually empty for [`ProcessFaultKind::KillAll`].
    pub process: String,
}

impl fmt::Display for ProcessFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.after_step, self.kind, self.process)
    }
}

/// Error for a text that does not describe a fault; contains the text.
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
    /// Injects the fault and restarts the ended processes. Returns whether the processes ended as intended:
    /// `false` if a graceful shutdown took longer than `grace`, so that the process was killed.
    ///
    /// # Errors
    ///
    /// When the process does not exist, or a process cannot be signalled or started.
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
