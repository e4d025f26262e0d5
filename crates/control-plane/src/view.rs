//! The snapshot that a process acts on, and how it is replaced.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use configuration::Configuration;
use register::Versioned;
use state::{ControlState, ServerList, View};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::messages::PollReply;

/// Holds the newest known [`View`]. Only goes forward.
pub struct ViewCell {
    sender: watch::Sender<Arc<View>>,
    known: Mutex<Known>,
}

struct Known {
    committed: Option<Versioned<ControlState>>,
    confirmed_at: Option<Instant>,
    servers_read_at: Option<Instant>,
}

impl Default for ViewCell {
    fn default() -> Self {
        Self::new()
    }
}

impl ViewCell {
    /// A cell that knows nothing yet.
    #[must_use]
    pub fn new() -> Self {
        let known = Known { committed: None, confirmed_at: None, servers_read_at: None };
        Self { sender: watch::Sender::new(Arc::new(View::default())), known: Mutex::new(known) }
    }

    /// Follows the snapshots.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<View>> {
        self.sender.subscribe()
    }

    /// The present snapshot.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.sender.borrow())
    }

    /// The newest committed value that is known.
    #[must_use]
    pub fn committed(&self) -> Option<Versioned<ControlState>> {
        self.lock().committed.clone()
    }

    /// Time since a majority confirmed the committed value as the newest.
    #[must_use]
    pub fn confirmed_age(&self) -> Option<Duration> {
        self.lock().confirmed_at.map(|at| at.elapsed())
    }

    /// Time since the list of servers was read from the platform.
    #[must_use]
    pub fn servers_age(&self) -> Option<Duration> {
        self.lock().servers_read_at.map(|at| at.elapsed())
    }

    /// Takes a committed value over, if it is newer.
    pub fn adopt_control(&self, newer: &Versioned<ControlState>) {
        let mut known = self.lock();
        if known.committed.as_ref().is_some_and(|old| old.ballot >= newer.ballot) {
            return;
        }
        known.committed = Some(newer.clone());
        let control = Arc::clone(&newer.value);
        self.sender.send_modify(|view| {
            let configuration = compile(view, &control);
            *view = Arc::new(View { control, configuration, servers: Arc::clone(&view.servers) });
        });
    }

    /// Notes that a majority confirmed the value of this ballot as the newest, as of `at`.
    pub fn confirm(&self, at: Instant) {
        let mut known = self.lock();
        known.confirmed_at = known.confirmed_at.max(Some(at));
    }

    /// Takes a list of servers over, if it is newer.
    pub fn adopt_servers(&self, newer: ServerList) {
        self.sender.send_if_modified(|view| {
            if view.servers.version >= newer.version {
                return false;
            }
            let (control, configuration) = (Arc::clone(&view.control), view.configuration.clone());
            *view = Arc::new(View { control, configuration, servers: Arc::new(newer) });
            true
        });
    }

    /// Adopts what is newer in the reply of a peer that came at `now`.
    ///
    /// A control state that was confirmed at a time is no newer than the one held here; but the age of a list says
    /// nothing of another list.
    pub fn adopt_reply(&self, reply: &PollReply, now: Instant) {
        if let Some(update) = reply.control.clone() {
            let Some(newer) = update.apply(&self.view().control) else { return };
            self.adopt_control(&newer);
        }
        if let Some(newer) = reply.servers.clone().and_then(|update| update.apply(&self.view().servers)) {
            self.adopt_servers(newer);
        }
        let ago = |age: u32| now.checked_sub(Duration::from_millis(age.into()));
        if let Some(at) = reply.confirmed_age_ms.and_then(ago) {
            self.confirm(at);
        }
        let holds_same = self.view().servers.version == reply.servers_version;
        if let Some(at) = reply.servers_age_ms.and_then(ago).filter(|_| holds_same) {
            self.servers_read(at);
        }
    }

    /// Takes over a list that this process read at `at`, as the holder of the lease with the token `fence` if any.
    /// It gets a new version where it differs, and where the holder `renews` it or is a new one. Tells whether it did.
    pub fn adopt_reading(&self, mut read: ServerList, at: Instant, fence: Option<u64>, renews: bool) -> bool {
        let known = Arc::clone(&self.view().servers);
        read.retain_versions(&known);
        let by_holder = fence.and_then(|fence| known.version.next_of_leader(fence));
        let is_renewed = by_holder.is_some() && (renews || Some(known.version.fence) != fence);
        let is_new = is_renewed || !known.has_same_servers(&read);
        if is_new {
            let version = by_holder.unwrap_or_else(|| known.version.next_local(fastrand::u64(..)));
            self.adopt_servers(ServerList { version, ..read });
        }
        self.servers_read(at);
        is_new
    }

    /// Notes that the list of servers held is what the platform showed at `at`.
    pub fn servers_read(&self, at: Instant) {
        let mut known = self.lock();
        known.servers_read_at = known.servers_read_at.max(Some(at));
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// The configuration of a control state, compiled anew only where it changed.
fn compile(view: &View, control: &ControlState) -> Option<Arc<Configuration>> {
    if control.configuration_version == 0 {
        return None;
    }
    let unchanged = view.control.configuration_version == control.configuration_version
        && view.control.configuration == control.configuration;
    if unchanged {
        return view.configuration.clone();
    }
    match parse(control) {
        Ok(configuration) => Some(Arc::new(configuration)),
        Err(why) => {
            log::error!(
                "configuration {} cannot be compiled, the one before stays: {why}",
                control.configuration_version
            );
            view.configuration.clone()
        }
    }
}

fn parse(control: &ControlState) -> Result<Configuration, String> {
    let text = control.configuration.text().map_err(|error| error.to_string())?;
    Configuration::parse(text.as_bytes()).map_err(|error| error.to_string())
}
