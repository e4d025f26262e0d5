//! Replying side of the long poll.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use state::View;
use tokio::time::Instant;

use super::{ControlUpdate, PollReply, PollRequest, RecentLists};
use crate::ViewCell;

/// Maximum time for which a reply is delayed, whatever the request allows.
const MAX_WAIT: Duration = Duration::from_millis(1000);

/// Service that replies to long polls with the newest view of this process.
pub struct PollService {
    view: Arc<ViewCell>,
    recent_lists: Mutex<RecentLists>,
}

impl PollService {
    /// Creates a service that distributes `view`.
    #[must_use]
    pub fn new(view: Arc<ViewCell>) -> Arc<Self> {
        Arc::new(Self { view, recent_lists: Mutex::default() })
    }

    /// Replies as soon as anything is newer than the sender has, or after the time that the request allows,
    /// at most 1 s.
    pub async fn reply(&self, request: PollRequest) -> PollReply {
        let max_wait = Duration::from_millis(request.max_wait_ms.into()).min(MAX_WAIT);
        let deadline = Instant::now() + max_wait;
        let mut views = self.view.subscribe();
        loop {
            let reply = self.reply_to(&request, &views.borrow_and_update());
            let remaining = deadline.saturating_duration_since(Instant::now());
            if reply.control.is_some() || reply.servers.is_some() || remaining.is_zero() {
                return reply;
            }
            if tokio::time::timeout(remaining, views.changed()).await.is_err() {
                return self.reply_to(&request, &views.borrow_and_update());
            }
        }
    }

    fn reply_to(&self, request: &PollRequest, view: &View) -> PollReply {
        let control = self.view.committed().filter(|value| value.ballot > request.ballot);
        let mut recent_lists = self.recent_lists.lock().unwrap_or_else(PoisonError::into_inner);
        PollReply {
            control: control.map(|value| ControlUpdate::new(&value, request.configuration_version)),
            servers: recent_lists.update(request.servers, request.servers_base, &view.servers),
            confirmed_age_ms: self.view.confirmed_age().map(milliseconds),
            servers_version: view.servers.version,
            servers_age_ms: self.view.servers_age().map(milliseconds),
        }
    }
}

fn milliseconds(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}
