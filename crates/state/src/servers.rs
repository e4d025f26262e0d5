//! The list of servers, as the platform shows it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Identity of one incarnation of a server.
pub type ServerId = Arc<str>;

/// Whether a server takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerCondition {
    /// It does.
    Open,
    /// It is about to end.
    Closing,
}

/// One server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Its incarnation.
    pub id: ServerId,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Arc<str>,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub condition: ServerCondition,
    /// How much longer it is slow from its start, when the list was read.
    pub warm_up_ms: u64,
    /// The version of each model that it runs; empty where it runs none.
    pub models: BTreeMap<Arc<str>, u64>,
}

impl ServerEntry {
    /// Raises the versions of models that this server shows.
    fn raise_versions(&mut self, reached: &BTreeMap<Arc<str>, u64>) {
        for (model, version) in &mut self.models {
            *version = reached.get(model).copied().unwrap_or_default().max(*version);
        }
    }
}

/// Orders the lists of all readers: first by the fencing token of the lease, then by number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerListVersion {
    /// The fencing token of the reader's lease.
    pub fence: u64,
    /// Rises with each list of that reader.
    pub sequence: u64,
    /// Rises with each list that a process without the lease read for itself, when it heard of no newer one.
    pub local: u64,
}

/// Bits of [`ServerListVersion::local`] that tell readers apart, so that no two lists share a version.
const READER_BITS: u32 = 24;

impl ServerListVersion {
    /// The version of what the holder of the lease with this fencing token reads next; `None` where a later holder
    /// is known already.
    #[must_use]
    pub fn next_of_holder(self, fence: u64) -> Option<Self> {
        let sequence = if self.fence == fence { self.sequence + 1 } else { 1 };
        (self.fence <= fence).then_some(Self { fence, sequence, local: 0 })
    }

    /// The version of what a process without the lease reads next; `random` tells it from other such lists.
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
    /// Takes over the versions that servers are known to have reached. They only rise within one incarnation.
    pub fn raise_versions(&mut self, reached: &BTreeMap<ServerId, BTreeMap<Arc<str>, u64>>) {
        for server in &mut self.servers {
            if let Some(versions) = reached.get(&server.id) {
                server.raise_versions(versions);
            }
        }
    }

    /// Keeps the versions that an earlier list showed: what is read later may show an earlier state of a server.
    pub fn keep_versions(&mut self, earlier: &Self) {
        for server in &mut self.servers {
            let before = earlier.servers.binary_search_by(|other| other.id.cmp(&server.id));
            if let Ok(at) = before {
                server.raise_versions(&earlier.servers[at].models);
            }
        }
    }

    /// Whether two lists say the same; how much longer a server is slow changes all the time and does not count.
    #[must_use]
    pub fn shows_same(&self, other: &Self) -> bool {
        let settled = |entry: &ServerEntry| ServerEntry { warm_up_ms: 0, ..entry.clone() };
        let mut pairs = self.servers.iter().zip(&other.servers);
        self.servers.len() == other.servers.len() && pairs.all(|(a, b)| settled(a) == settled(b))
    }
}
