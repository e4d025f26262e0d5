//! Model servers as the platform lists them, and the versions that order these lists.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Id of one incarnation of a server: a server that restarts has a new id.
pub type ServerId = Arc<str>;

/// Whether a server accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerCondition {
    /// The server accepts new requests.
    Open,
    /// The server is about to shut down and accepts no new requests.
    Closing,
}

/// Model server as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Id of this incarnation of the server.
    pub id: ServerId,
    /// Name of the service that the server belongs to.
    pub service: Arc<str>,
    /// Address at which the server listens for requests.
    pub address: SocketAddr,
    /// Zone in which the server runs.
    pub zone: Arc<str>,
    /// Maximum number of requests that the server runs concurrently.
    pub slots: u32,
    /// Whether the server accepts new requests.
    pub condition: ServerCondition,
    /// Remaining warm-up time when the list was read, in milliseconds; 0 once the warm-up is complete.
    pub warm_up_ms: u64,
    /// Weight version of each model that the server runs; empty if it runs none.
    pub models: BTreeMap<Arc<str>, u64>,
}

impl ServerEntry {
    /// Whether `reached` contains a higher version of a model than this entry.
    fn is_behind(&self, reached: &BTreeMap<Arc<str>, u64>) -> bool {
        self.models.iter().any(|(model, version)| reached.get(model).is_some_and(|reached| reached > version))
    }

    /// Raises the listed versions to at least those in `reached`. Models that this entry does not list are
    /// ignored. The entry is cloned only if a version changes; otherwise it remains shared with other lists.
    fn raise_versions(self: &mut Arc<Self>, reached: &BTreeMap<Arc<str>, u64>) {
        if !self.is_behind(reached) {
            return;
        }
        for (model, version) in &mut Arc::make_mut(self).models {
            *version = reached.get(model).copied().unwrap_or_default().max(*version);
        }
    }

    /// Whether two entries of one server have the same models and differ at most in the versions of these.
    #[must_use]
    pub fn differs_in_versions_only(&self, earlier: &Self) -> bool {
        let has_same_models = self.models.keys().eq(earlier.models.keys());
        has_same_models && self.warm_up_ms == earlier.warm_up_ms && self.is_same_process(earlier)
    }

    /// Whether two entries are equal except for the remaining warm-up time, which differs at each read.
    fn is_same_server(&self, other: &Self) -> bool {
        self.models == other.models && self.is_same_process(other)
    }

    /// Whether two entries are equal except for the models and the remaining warm-up time.
    fn is_same_process(&self, other: &Self) -> bool {
        let Self { id, service, address, zone, slots, condition, warm_up_ms: _, models: _ } = self;
        (id, service, address) == (&other.id, &other.service, &other.address)
            && (zone, slots, condition) == (&other.zone, &other.slots, &other.condition)
    }
}

/// Version of a server list. Lists are ordered by the leader's fencing token, then by `sequence`, then by
/// `local`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerListVersion {
    /// Fencing token of the leader that issued the list; 0 before the first list of a leader.
    pub fence: u64,
    /// Number of the list among the lists that this leader has issued, starting at 1; 0 before the first list
    /// of a leader.
    pub sequence: u64,
    /// 0 in lists of the leader. A process that receives no list from the leader reads the platform's list
    /// itself, and gives it the version of the list that it had with a higher value in this field. The high
    /// bits count such reads, the low 24 bits are random.
    pub local: u64,
}

/// Number of low bits of [`ServerListVersion::local`] that are random. They make it very unlikely that the
/// lists of two readers get the same version.
const RANDOM_BITS: u32 = 24;

impl ServerListVersion {
    /// Returns the version of the next list that the leader with the fencing token `fence` issues; `None` if
    /// a later leader issued this version.
    #[must_use]
    pub fn next_of_leader(self, fence: u64) -> Option<Self> {
        let sequence = if self.fence == fence { self.sequence + 1 } else { 1 };
        (self.fence <= fence).then_some(Self { fence, sequence, local: 0 })
    }

    /// Returns the version of the next list that a process other than the leader reads itself. `random`
    /// distinguishes readers.
    #[must_use]
    pub fn next_local(self, random: u64) -> Self {
        let count = (self.local >> RANDOM_BITS) + 1;
        Self { local: count << RANDOM_BITS | (random & ((1 << RANDOM_BITS) - 1)), ..self }
    }
}

/// Model servers of all services, as read from the platform at one time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerList {
    /// Version that orders this list among all lists.
    pub version: ServerListVersion,
    /// Servers in ascending order of their ids. Successive lists share equal entries.
    pub servers: Vec<Arc<ServerEntry>>,
}

impl ServerList {
    /// Creates a list of the given servers. Of several entries with one id, only the first is kept.
    #[must_use]
    pub fn new(version: ServerListVersion, servers: impl IntoIterator<Item = ServerEntry>) -> Self {
        let mut servers: Vec<_> = servers.into_iter().map(Arc::new).collect();
        servers.sort_by(|a, b| a.id.cmp(&b.id));
        servers.dedup_by(|a, b| a.id == b.id);
        Self { version, servers }
    }

    /// Raises model versions to at least the versions in `reached`, which servers have reported. This is
    /// correct because the versions of one incarnation never decrease.
    pub fn raise_versions(&mut self, reached: &BTreeMap<ServerId, BTreeMap<Arc<str>, u64>>) {
        for server in &mut self.servers {
            if let Some(versions) = reached.get(&server.id) {
                server.raise_versions(versions);
            }
        }
    }

    /// Raises model versions to at least the versions in an earlier list. The platform's list lags behind the
    /// servers, so a list that was read later may contain an older version of a model. Equal entries are
    /// shared between the lists afterwards.
    pub fn retain_versions(&mut self, earlier: &Self) {
        for server in &mut self.servers {
            let position = earlier.servers.binary_search_by(|other| other.id.cmp(&server.id));
            if let Ok(index) = position {
                let earlier_entry = &earlier.servers[index];
                server.raise_versions(&earlier_entry.models);
                if server == earlier_entry {
                    server.clone_from(earlier_entry);
                }
            }
        }
    }

    /// Whether two lists contain the same servers in the same state. Ignores the versions of the lists, and
    /// the remaining warm-up time, which differs at each read.
    #[must_use]
    pub fn has_same_servers(&self, other: &Self) -> bool {
        let mut pairs = self.servers.iter().zip(&other.servers);
        self.servers.len() == other.servers.len()
            && pairs.all(|(a, b)| Arc::ptr_eq(a, b) || a.is_same_server(b))
    }
}
