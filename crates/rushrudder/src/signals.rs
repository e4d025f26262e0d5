//! The signals by which the platform controls a process: SIGTERM and SIGHUP.

use error_stack::{Report, ResultExt};
use tokio::signal::unix::{signal, Signal, SignalKind};

use crate::RoleError;

/// Receiver of SIGTERM and SIGHUP.
pub struct Signals {
    terminate: Signal,
    reload: Signal,
}

/// A signal that the process received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalEvent {
    /// SIGTERM: the process has to shut down gracefully.
    Terminate,
    /// SIGHUP: the process has to reload its settings file.
    Reload,
}

impl Signals {
    /// Registers for SIGTERM and SIGHUP. From then on, these signals no longer terminate the process by
    /// themselves.
    ///
    /// # Errors
    ///
    /// [`RoleError::Signals`] if the operating system rejects the registration.
    pub fn listen() -> Result<Self, Report<RoleError>> {
        let terminate = signal(SignalKind::terminate()).change_context(RoleError::Signals)?;
        let reload = signal(SignalKind::hangup()).change_context(RoleError::Signals)?;
        Ok(Self { terminate, reload })
    }

    /// Waits for the next signal and returns it.
    pub async fn next(&mut self) -> SignalEvent {
        tokio::select! {
            _ = self.terminate.recv() => SignalEvent::Terminate,
            _ = self.reload.recv() => SignalEvent::Reload,
        }
    }
}
