//! Signals of the platform.

use error_stack::{Report, ResultExt};
use tokio::signal::unix::{signal, Signal, SignalKind};

use crate::RoleError;

/// Receives the signals by which the platform controls a process.
pub struct Signals {
    terminate: Signal,
    reload: Signal,
}

/// A signal that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalEvent {
    /// SIGTERM: shut down gracefully.
    Terminate,
    /// SIGHUP: reload the settings file.
    Reload,
}

impl Signals {
    /// Registers for SIGTERM and SIGHUP, which no longer end the process from then on.
    ///
    /// # Errors
    ///
    /// [`RoleError::Signals`] when the operating system declines.
    pub fn listen() -> Result<Self, Report<RoleError>> {
        let terminate = signal(SignalKind::terminate()).change_context(RoleError::Signals)?;
        let reload = signal(SignalKind::hangup()).change_context(RoleError::Signals)?;
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
