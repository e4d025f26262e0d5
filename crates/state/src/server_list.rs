//! The model servers, as the platform lists them, and the order of such lists.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Identity of one incarnation of a server.
pub type ServerId = Arc<str>;

/// Whether a server accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerCondition {
    /// It accepts new requests.
    Open,
    /// It is about to shut down and accepts none.
    Closing,
}

/// One server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Its incarnation.
    pub id: ServerId,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Arc<str>,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub condition: ServerCondition,
    /// The remaining time of its warm-up when the list was read, in milliseconds; 0 once it is warm.
    pub warm_up_ms: u64,
    /// The version of each model that it runs; empty where it runs none.
    pub models: BTreeMap<Arc<str>, u64>,
}

impl ServerEntry {
    /// Raises the versions of this server's models to at least `reached`. Models that it does not list are ignored.
    fn raise_versions(&mut self, reached: &BTreeMap<Arc<str>, u64>) {
        for (model, version) in &mut self.models {
            *version = reached.get(model).copied().unwrap_or_default().max(*version);
        }
    }
}

/// Orders the lists of all readers: first by fencing token, then by sequence number, then by local count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerListVersion {
    /// The fencing token of the leader that read the list.
    pub fence: u64,
    /// Rises with each list of that leader.
    pub sequence: u64,
    /// Rises with each list that a process read for itself because it received none from the leader; 0 in the leader's
    /// own lists.
    pub local: u64,
}

/// Low bits of [`ServerListVersion::local`], drawn at random so that the lists of two readers hardly ever share a version.
const READER_BITS: u32 = 24;

impl ServerListVersion {
    /// The version of the next list of the leader with this fencing token; `None` where a list of a later leader is
    /// known.
    #[must_use]
    pub fn next_of_leader(self, fence: u64) -> Option<Self> {
        let sequence = if self.fence == fence { self.sequence + 1 } else { 1 };
        (self.fence <= fence).then_some(Self { fence, sequence, local: 0 })
    }

    /// The version of the next list that a process reads for itself; `random` distinguishes readers.
    #[must_use]
    pub fn next_local(self, random: u64) -> Self {
        let count = (self.local >> READER_BITS) + 1;
        Self { local: count << READER_BITS | (random & ((1 << READER_BITS) - 1)), ..self }
    }
}

/// All servers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerList {
    /// Its version.
    pub version: ServerListVersion,
    /// The servers, ordered by id.
    pub servers: Vec<ServerEntry>,
}

impl ServerList {
    /// Raises model versions to those that servers have reported since. Within one incarnation versions only rise.
    pub fn raise_versions(&mut self, reached: &BTreeMap<ServerId, BTreeMap<Arc<str>, u64>>) {
        for server in &mut self.servers {
            if let Some(versions) = reached.get(&server.id) {
                server.raise_versions(versions);
            }
        }
    }

    /// Raises model versions to those of an earlier list. The platform lags, so a list that was read later may contain
    /// an earlier state of a server.
    pub fn retain_versions(&mut self, earlier: &Self) {
        for server in &mut self.servers {
            let before = earlier.servers.binary_search_by(|other| other.id.cmp(&server.id));
            if let Ok(index) = before {
                server.raise_versions(&earlier.servers[index].models);
            }
        }
    }

    /// Whether two lists have the same servers in the same state. Versions of the lists are ignored, and so is the
    /// remaining warm-up, which differs at each read.
    #[must_use]
    pub fn has_same_servers(&self, other: &Self) -> bool {
        let without_warm_up = |entry: &ServerEntry| ServerEntry { warm_up_ms: 0, ..entry.clone() };
        let mut pairs = self.servers.iter().zip(&other.servers);
        self.servers.len() == other.servers.len()
            && pairs.all(|(a, b)| without_warm_up(a) == without_warm_up(b))
    }
}
