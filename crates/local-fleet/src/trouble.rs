//! Troubles that a run makes.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use crate::fleet::{Fleet, FleetError};

/// Into a step before its trouble begins.
const TROUBLE_DELAY: Duration = Duration::from_millis(400);
/// A process that ended is started again after this time.
const RESTART_DELAY: Duration = Duration::from_millis(800);

/// What is done to a process; it is started again afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TroubleKind {
    /// It is killed.
    Kill,
    /// It is killed and loses its disk.
    Wipe,
    /// It is told to end.
    Stop,
    /// Every process is killed at the same moment; the name has no meaning.
    KillAll,
}

/// A trouble.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trouble {
    /// It strikes early in the step after this one.
    pub after_step: u64,
    /// What is done.
    pub kind: TroubleKind,
    /// The process, such as `node-1` or `store-2`.
    pub process: String,
}

impl fmt::Display for Trouble {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.kind {
            TroubleKind::Kill => "kill",
            TroubleKind::Wipe => "wipe",
            TroubleKind::Stop => "stop",
            TroubleKind::KillAll => "kill-all",
        };
        write!(f, "{}:{kind}:{}", self.after_step, self.process)
    }
}

/// The text names no trouble.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NoTrouble(String);

impl fmt::Display for NoTrouble {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}` is no trouble; write STEP:kill|wipe|stop:PROCESS or STEP:kill-all", self.0)
    }
}

impl std::error::Error for NoTrouble {}

impl FromStr for Trouble {
    type Err = NoTrouble;

    fn from_str(text: &str) -> Result<Self, NoTrouble> {
        let wrong = || NoTrouble(text.to_owned());
        let mut words = text.splitn(3, ':');
        let after_step = words.next().and_then(|step| step.parse().ok()).ok_or_else(wrong)?;
        let kind = match words.next() {
            Some("kill") => TroubleKind::Kill,
            Some("wipe") => TroubleKind::Wipe,
            Some("stop") => TroubleKind::Stop,
            Some("kill-all") => TroubleKind::KillAll,
            _ => return Err(wrong()),
        };
        let process = words.next().unwrap_or_default().to_owned();
        if process.is_empty() && kind != TroubleKind::KillAll {
            return Err(wrong());
        }
        Ok(Self { after_step, kind, process })
    }
}

impl Trouble {
    /// Makes the trouble. Tells whether the process ended as it was told.
    ///
    /// # Errors
    ///
    /// When the process cannot be told or started.
    pub async fn strike(&self, fleet: &mut Fleet, grace: Duration) -> Result<bool, FleetError> {
        tokio::time::sleep(TROUBLE_DELAY).await;
        let mut in_time = true;
        match self.kind {
            TroubleKind::Kill => fleet.kill(&self.process)?,
            TroubleKind::Wipe => {
                fleet.kill(&self.process)?;
                fleet.wipe(&self.process)?;
            }
            TroubleKind::Stop => in_time = fleet.stop(&self.process, grace).await?,
            TroubleKind::KillAll => fleet.names().iter().try_for_each(|name| fleet.kill(name))?,
        }
        tokio::time::sleep(RESTART_DELAY).await;
        match self.kind {
            TroubleKind::KillAll => fleet.start_all()?,
            _ => fleet.start(&self.process)?,
        }
        Ok(in_time)
    }
}
