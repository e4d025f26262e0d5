//! The newest [`View`] of this process, and the rules by which it is replaced.
//!
//! All parts of the process read the view. The proposer (including read repair), the quorum service of the
//! acceptor, the poller and the bootstrap write the control state; the poller, the list reader and the
//! version report batcher write the server list.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use configuration::{Configuration, ConfigurationError};
use register::Versioned;
use state::{ControlState, DocumentError, ServerList, View};
use tokio::sync::watch;
use tokio::time::Instant;

/// Maximum age of the last confirmation by a majority; a process with an older one is out of contact. This is
/// four times the age up to which a peer counts as fresh, so that a change of the leader or of one acceptor
/// does not put a process out of contact.
const OUT_OF_CONTACT_AFTER: Duration = Duration::from_millis(3600);

/// Cell with the newest [`View`] of this process. Neither its control state nor its server list is ever
/// replaced by an older one.
pub struct ViewCell {
    sender: watch::Sender<Arc<View>>,
    /// Locked while a control state is adopted, so that concurrent adoptions cannot replace a newer state by
    /// an older one.
    sources: Mutex<ViewSources>,
}

/// Sources and ages of the control state and the server list in the view.
#[derive(Default)]
struct ViewSources {
    /// Committed value of the register whose control state is in the view; `None` before the first one.
    committed: Option<Versioned<ControlState>>,
    /// Time at which a majority last confirmed `committed` as the newest value.
    confirmed_at: Option<Instant>,
    /// Newest server list that a leader has distributed. It differs from the list in the view if this process
    /// has read a newer one from the platform itself.
    leader_servers: Arc<ServerList>,
    /// Time at which the platform last listed the servers as they are in the view.
    servers_read_at: Option<Instant>,
}

impl Default for ViewCell {
    fn default() -> Self {
        Self::new()
    }
}

impl ViewCell {
    /// Creates a cell with an empty view.
    #[must_use]
    pub fn new() -> Self {
        Self { sender: watch::Sender::new(Arc::new(View::default())), sources: Mutex::default() }
    }

    /// Returns a receiver that is notified of each later view.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<View>> {
        self.sender.subscribe()
    }

    /// Returns the current view.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.sender.borrow())
    }

    /// Returns the newest committed value that this process has, or `None` before the first one.
    #[must_use]
    pub fn committed(&self) -> Option<Versioned<ControlState>> {
        self.lock().committed.clone()
    }

    /// Returns the time since a majority last confirmed the committed value as the newest, or `None` if it
    /// never has.
    #[must_use]
    pub fn confirmed_age(&self) -> Option<Duration> {
        self.lock().confirmed_at.map(|at| at.elapsed())
    }

    /// Returns whether no majority has confirmed the committed value within the last 3.6 s. All acceptors in
    /// that value may have been replaced, so the process then also searches for acceptors elsewhere.
    #[must_use]
    pub fn is_out_of_contact(&self) -> bool {
        self.confirmed_age().is_none_or(|age| age > OUT_OF_CONTACT_AFTER)
    }

    /// Returns the time since the server list was last read from the platform, or `None` if it never was.
    #[must_use]
    pub fn servers_age(&self) -> Option<Duration> {
        self.lock().servers_read_at.map(|at| at.elapsed())
    }

    /// Adopts a committed value if its ballot is higher than that of the present value.
    pub fn adopt_control(&self, newer: &Versioned<ControlState>) {
        let mut sources = self.lock();
        if sources.committed.as_ref().is_some_and(|present| present.ballot >= newer.ballot) {
            return;
        }
        sources.committed = Some(newer.clone());
        let control = Arc::clone(&newer.value);
        self.sender.send_modify(|view| {
            let configuration = compiled_configuration(view, &control);
            *view = Arc::new(View { control, configuration, servers: Arc::clone(&view.servers) });
        });
    }

    /// Records that, at the time `at`, a majority confirmed the committed value as the newest.
    pub fn confirm(&self, at: Instant) {
        let mut sources = self.lock();
        sources.confirmed_at = sources.confirmed_at.max(Some(at));
    }

    /// Returns the newest server list that a leader has distributed. Changes in a
    /// [`ServerUpdate`](crate::ServerUpdate) apply to this list.
    #[must_use]
    pub fn leader_servers(&self) -> Arc<ServerList> {
        Arc::clone(&self.lock().leader_servers)
    }

    /// Adopts a server list if its version is higher than that of the present list.
    pub fn adopt_servers(&self, newer: Arc<ServerList>) {
        let mut sources = self.lock();
        if newer.version.local == 0 && newer.version > sources.leader_servers.version {
            sources.leader_servers = Arc::clone(&newer);
        }
        self.sender.send_if_modified(|view| {
            if view.servers.version >= newer.version {
                return false;
            }
            let (control, configuration) = (Arc::clone(&view.control), view.configuration.clone());
            *view = Arc::new(View { control, configuration, servers: newer });
            true
        });
    }

    /// Adopts a server list that this process has read from the platform itself, starting at `read_at`.
    /// `fence` is its fencing token if it is the leader.
    ///
    /// The list gets a new version if its servers differ from those in the view. A list of the leader also
    /// gets one if `renew` is set or another leader distributed the present list. Returns whether the list
    /// got a new version.
    pub fn adopt_platform_list(
        &self,
        mut read: ServerList,
        read_at: Instant,
        fence: Option<u64>,
        renew: bool,
    ) -> bool {
        let present = Arc::clone(&self.view().servers);
        read.retain_versions(&present);
        let leader_version = fence.and_then(|fence| present.version.next_of_leader(fence));
        let is_renewed = leader_version.is_some() && (renew || Some(present.version.fence) != fence);
        let is_new = is_renewed || !present.has_same_servers(&read);
        if is_new {
            let version = leader_version.unwrap_or_else(|| present.version.next_local(fastrand::u64(..)));
            self.adopt_servers(Arc::new(ServerList { version, ..read }));
        }
        self.record_servers_read(read_at);
        is_new
    }

    /// Records that, at the time `at`, the platform listed the servers as they are in the view.
    pub fn record_servers_read(&self, at: Instant) {
        let mut sources = self.lock();
        sources.servers_read_at = sources.servers_read_at.max(Some(at));
    }

    fn lock(&self) -> MutexGuard<'_, ViewSources> {
        self.sources.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reason why the configuration of a control state cannot be compiled.
#[derive(Debug)]
enum CompileError {
    Document(DocumentError),
    Configuration(ConfigurationError),
}

impl fmt::Display for CompileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Document(error) => error.fmt(f),
            Self::Configuration(error) => error.fmt(f),
        }
    }
}

/// Returns the compiled configuration of a control state, or `None` if the state has no configuration.
/// Returns the configuration of `view` if it is unchanged or the new one cannot be compiled.
fn compiled_configuration(view: &View, control: &ControlState) -> Option<Arc<Configuration>> {
    let version = control.configuration_version;
    if version == 0 {
        return None;
    }
    let is_unchanged =
        view.control.configuration_version == version && view.control.configuration == control.configuration;
    if is_unchanged {
        return view.configuration.clone();
    }
    match compile(control) {
        Ok(configuration) => Some(Arc::new(configuration)),
        Err(error) => {
            log::error!(
                version;
                "the configuration cannot be compiled, the previous one stays in force: {error}"
            );
            view.configuration.clone()
        }
    }
}

fn compile(control: &ControlState) -> Result<Configuration, CompileError> {
    let text = control.configuration.text().map_err(CompileError::Document)?;
    Configuration::parse(text.as_bytes()).map_err(CompileError::Configuration)
}
