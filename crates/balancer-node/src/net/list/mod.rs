//! The server list that discovery sends, which is decoded while it arrives.

mod decoder;
mod value_scanner;

use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;

use crate::{Availability, ServerEntry, ServerId};

pub use self::decoder::ListDecoder;

/// A complete server list, or the changes since an earlier version.
pub struct ServerList {
    /// Version of the list after these changes. The next call asks for the changes since it.
    pub revision: u64,
    /// Whether the list names every server. If not, it contains only the changes since the requested version.
    pub complete: bool,
    /// Number of entries that were received, including unchanged and unreadable ones.
    pub entries: usize,
    /// The readable entries, except those that were dropped as unchanged.
    pub members: Vec<ListedMember>,
    /// The entries that are valid JSON but do not describe a server.
    pub unreadable: UnreadableEntries,
}

/// An entry of the server list, in the form that discovery sends.
#[derive(Deserialize)]
pub struct ListedMember {
    /// Unique name of the server, the same at every node.
    pub id: String,
    /// Address at which this node reaches the server.
    pub host_port: SocketAddr,
    /// Name of the zone in which the server runs.
    pub locality: String,
    /// Name of the machine kind on which the server runs.
    pub flavor: String,
    /// Number of the cell to which the server belongs.
    pub cell: usize,
    /// Whether the server accepts requests, drains or has been removed.
    pub phase: MemberPhase,
    /// Weight of the server in the decision logic, relative to other servers.
    pub size: f64,
    /// Unix time in milliseconds at which the server last started; 0 if it started long ago.
    pub up_since_ms: f64,
}

impl ListedMember {
    /// Converts the entry for the decision logic, which identifies the server by `server`, and its zone and
    /// machine kind by their indices in the settings. `key` is the hash of the server's id.
    #[must_use]
    pub fn to_entry(&self, server: ServerId, zone: usize, kind: usize, key: u64) -> ServerEntry {
        ServerEntry {
            server,
            availability: match self.phase {
                MemberPhase::Active => Availability::Ready,
                MemberPhase::Leaving => Availability::Draining,
                MemberPhase::Left => Availability::Removed,
            },
            started_at: Some(self.up_since_ms).filter(|started_at| *started_at > 0.0),
            cell: self.cell,
            zone,
            kind,
            weight: self.size,
            key,
        }
    }
}

/// Lifecycle phase of a listed server.
#[derive(Clone, Copy, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum MemberPhase {
    /// The server accepts new requests.
    Active,
    /// The server drains: it completes the requests that it has and must not get new ones.
    Leaving,
    /// The server has been removed.
    Left,
}

/// Entries of a list that are valid JSON but do not describe a server.
#[derive(Default)]
pub struct UnreadableEntries {
    /// Ids of the servers that these entries name.
    pub ids: Vec<String>,
    /// Number of these entries without an id.
    pub nameless: usize,
    /// Error in the first of these entries, with its id if it has one; `None` if all entries are readable.
    pub first: Option<String>,
}

impl ServerList {
    /// Returns a complete list without servers.
    #[must_use]
    pub fn empty() -> Self {
        let unreadable = UnreadableEntries::default();
        Self { revision: 0, complete: true, entries: 0, members: Vec::new(), unreadable }
    }
}

impl UnreadableEntries {
    /// Returns the number of unreadable entries, with and without an id.
    #[must_use]
    pub fn count(&self) -> usize {
        self.ids.len() + self.nameless
    }
}

/// Reason why a text is not a valid server list.
#[derive(Debug, PartialEq, Eq)]
pub enum ListError {
    /// The decoded list would exceed the memory limit of the [`ListDecoder`].
    TooLarge,
    /// The text is not valid JSON, lacks a key or is incomplete. No part of it may be used.
    Malformed(&'static str),
}

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge => f.write_str("the list exceeds the memory limit for server lists"),
            Self::Malformed(problem) => f.write_str(problem),
        }
    }
}

impl std::error::Error for ListError {}
