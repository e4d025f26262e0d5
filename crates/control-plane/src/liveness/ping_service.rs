//! Replying side of pings.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use register::Incarnation;
use tokio::time::Instant;

use super::{AcceptorContacts, PingReply};
use crate::ViewCell;

/// Service that replies to pings with the state of this process. The process sets the parts of that state
/// that depend on its role.
pub struct PingService {
    view: Arc<ViewCell>,
    contacts: Arc<AcceptorContacts>,
    /// Time without a reply after which an acceptor is reported as unresponsive.
    unresponsive_after: Duration,
    /// Time after its start from which this process reports itself as stable.
    stable_after: Duration,
    started_at: Instant,
    /// Incarnation of this process's disk. Empty until the disk is open, and always in a process without a
    /// disk.
    incarnation: OnceLock<Incarnation>,
    committed_epoch: AtomicU64,
    is_shutting_down: AtomicBool,
}

impl PingService {
    /// Creates the service of a process that starts now.
    ///
    /// The service reports acceptors as unresponsive that have not replied for `unresponsive_after`, and the
    /// process as stable once it has run for `stable_after`.
    #[must_use]
    pub fn new(
        view: Arc<ViewCell>,
        contacts: Arc<AcceptorContacts>,
        unresponsive_after: Duration,
        stable_after: Duration,
    ) -> Arc<Self> {
        Arc::new(Self {
            view,
            contacts,
            unresponsive_after,
            stable_after,
            started_at: Instant::now(),
            incarnation: OnceLock::new(),
            committed_epoch: AtomicU64::new(0),
            is_shutting_down: AtomicBool::new(false),
        })
    }

    /// Sets the incarnation of this process's disk. Later calls have no effect.
    pub fn set_incarnation(&self, incarnation: Incarnation) {
        let _ = self.incarnation.set(incarnation);
    }

    /// Sets the epoch of the store set to which this process has migrated all its batch jobs. It is 0 until
    /// the first call.
    pub fn set_committed_epoch(&self, epoch: u64) {
        self.committed_epoch.store(epoch, Ordering::Relaxed);
    }

    /// Marks the process as shutting down; it no longer reports itself as stable.
    pub fn set_shutting_down(&self) {
        self.is_shutting_down.store(true, Ordering::Relaxed);
    }

    /// Returns the reply to a ping, with the present state of this process.
    #[must_use]
    pub fn reply(&self) -> PingReply {
        let is_shutting_down = self.is_shutting_down.load(Ordering::Relaxed);
        PingReply {
            incarnation: self.incarnation.get().copied(),
            committed_epoch: self.committed_epoch.load(Ordering::Relaxed),
            is_in_contact: !self.view.is_out_of_contact(),
            is_stable: self.started_at.elapsed() >= self.stable_after && !is_shutting_down,
            unresponsive: self.contacts.unresponsive_for(self.unresponsive_after),
        }
    }
}
