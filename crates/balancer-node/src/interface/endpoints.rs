//! Servers and updates of the server list, as discovery passes them to the decision logic.

/// Number of a server. The embedding node assigns it and never reuses it for another server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub usize);

/// Whether a server accepts requests, as reported by discovery.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Availability {
    /// Accepts new requests.
    Ready,
    /// Finishes the requests that it has; no new request may be sent to it.
    Draining,
    /// Was removed from the server list, or was never in it.
    #[default]
    Removed,
}

/// State of one server in an [`EndpointUpdate`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerEntry {
    /// Number of the server, the same in all updates.
    pub server: ServerId,
    /// Whether requests may be sent to the server.
    pub availability: Availability,
    /// Time of the last start of the server process, in ms of the clock of events; `None` means long ago.
    pub started_at: Option<f64>,
    /// Index of its cell; a deduplication group may be one cell.
    pub cell: usize,
    /// Index of its zone; requests from a node in another zone have a price.
    pub zone: usize,
    /// Index of its machine kind, below [`DecisionSettings::kinds`](crate::DecisionSettings::kinds).
    pub kind: usize,
    /// Weight in the server list, interpreted according to [`WeightMeaning`](crate::WeightMeaning).
    pub weight: f64,
    /// Hash of the server's name, the same at every node, by which all nodes order the servers alike.
    pub key: u64,
}

impl ServerEntry {
    /// Creates an entry of the first zone, cell and kind, with weight 1, started long ago.
    #[must_use]
    pub fn new(server: ServerId, availability: Availability) -> Self {
        Self {
            server,
            availability,
            started_at: None,
            cell: 0,
            zone: 0,
            kind: 0,
            weight: 1.0,
            key: server.0 as u64,
        }
    }
}

/// Update of the server list, or the failure to get one.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointUpdate {
    /// Entries of the servers that changed; all others stay as they are.
    Delta(Vec<ServerEntry>),
    /// Complete list: servers without an entry have been removed.
    Snapshot(Vec<ServerEntry>),
    /// Complete list from a cache, possibly outdated.
    CachedSnapshot(Vec<ServerEntry>),
    /// A call failed or the subscription broke; the previous list stays in force.
    Unavailable,
}
