//! Signals of the platform.

use error_stack::{Report, ResultExt};
use tokio::signal::unix::{signal, Signal, SignalKind};

use crate::RoleError;

/// What the platform tells by signals.
pub struct Signals {
    terminate: Signal,
    reload: Signal,
}

/// A signal that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalEvent {
    /// End in good order.
    Terminate,
    /// Read the settings file again.
    Reload,
}

impl Signals {
    /// Listens for signals.
    pub fn listen() -> Result<Self, Report<RoleError>> {
        let terminate = signal(SignalKind::terminate()).change_context(RoleError)?;
        let reload = signal(SignalKind::hangup()).change_context(RoleError)?;
        Ok(Self { terminate, reload })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> SignalEvent {
        tokio::select! {
            _ = self.terminate.recv() => SignalEvent::Terminate,
            _ = self.reload.recv() => SignalEvent::Reload,
        }
    }
}
