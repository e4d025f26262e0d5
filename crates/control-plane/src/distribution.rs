//! Answers the long polls of other processes from what this process knows.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use register::{Ballot, Incarnation};
use state::View;
use tokio::time::Instant;

use crate::messages::{PingReply, PollReply, PollRequest};
use crate::server_updates::RecentLists;
use crate::{AcceptorContacts, ControlUpdate, ViewCell};

/// The longest that a poll is held.
const HOLD_MOST: Duration = Duration::from_millis(1000);

/// Distributes the control state and the list of servers.
pub struct Distribution {
    view: Arc<ViewCell>,
    settled_epoch: AtomicU64,
    incarnation: OnceLock<Incarnation>,
    contacts: Arc<AcceptorContacts>,
    silence: Duration,
    started: Instant,
    steady_after: Duration,
    is_leaving: AtomicBool,
    recent_lists: Mutex<RecentLists>,
}

impl Distribution {
    /// A distribution of what `view` knows. Acceptors that `contacts` have not heard of for the time `silence` are told
    /// to be silent; this process calls itself steady once it has run for the time `steady_after`.
    #[must_use]
    pub fn new(
        view: Arc<ViewCell>,
        contacts: Arc<AcceptorContacts>,
        silence: Duration,
        steady_after: Duration,
    ) -> Arc<Self> {
        Arc::new(Self {
            view,
            settled_epoch: AtomicU64::new(0),
            incarnation: OnceLock::new(),
            contacts,
            silence,
            started: Instant::now(),
            steady_after,
            is_leaving: AtomicBool::new(false),
            recent_lists: Mutex::default(),
        })
    }

    /// Tells which incarnation of its disk this process has.
    pub fn set_incarnation(&self, incarnation: Incarnation) {
        let _ = self.incarnation.set(incarnation);
    }

    /// Tells how far this process has moved its batch jobs; until then it has moved none.
    pub fn set_committed_epoch(&self, epoch: u64) {
        self.settled_epoch.store(epoch, Ordering::Relaxed);
    }

    /// This process was told to end.
    pub fn set_leaving(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Answers whether this process is there.
    #[must_use]
    pub fn ping(&self) -> PingReply {
        let settled_epoch = self.settled_epoch.load(Ordering::Relaxed);
        let knows_control = self.view.committed().is_some();
        let silent = self.contacts.unresponsive_for(self.silence);
        let is_steady =
            self.started.elapsed() >= self.steady_after && !self.is_leaving.load(Ordering::Relaxed);
        let incarnation = self.incarnation.get().copied();
        PingReply { incarnation, settled_epoch, knows_control, is_steady, silent }
    }

    /// Answers a long poll as soon as something is newer, or after the time it may be held.
    pub async fn poll(&self, request: PollRequest) -> PollReply {
        let hold = Duration::from_millis(request.hold_ms.into()).min(HOLD_MOST);
        let until = Instant::now() + hold;
        let mut views = self.view.subscribe();
        loop {
            let reply = self.newer(&views.borrow_and_update(), &request);
            let left = until.saturating_duration_since(Instant::now());
            if reply.control.is_some() || reply.servers.is_some() || left.is_zero() {
                return reply;
            }
            if tokio::time::timeout(left, views.changed()).await.is_err() {
                return self.newer(&views.borrow_and_update(), &request);
            }
        }
    }

    fn newer(&self, view: &View, request: &PollRequest) -> PollReply {
        let control = self.view.committed().filter(|value| value.ballot > request.ballot);
        let mut recent_lists = self.recent_lists.lock().unwrap_or_else(PoisonError::into_inner);
        PollReply {
            control: control.map(|value| ControlUpdate::new(&value, request.edition)),
            servers: recent_lists.update(request.servers, &view.servers),
            confirmed_age_ms: self.view.confirmed_age().map(milliseconds),
            servers_version: view.servers.version,
            servers_age_ms: self.view.servers_age().map(milliseconds),
        }
    }
}

/// The ballot that a process without any value polls with.
pub(crate) const NO_BALLOT: Ballot = Ballot { round: 0, proposer: 0 };

fn milliseconds(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}
