//! The list of servers as discovery sends it, decoded as it arrives.

mod decoder;
mod value_scanner;

use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;

use crate::{Availability, ServerEntry, ServerId};

pub use self::decoder::ListDecoder;

/// A list of servers, or of changes to one, as discovery sends it.
pub struct ServerList {
    /// Its version.
    pub revision: u64,
    /// Whether it names every server.
    pub complete: bool,
    /// How many entries came.
    pub entries: usize,
    /// Its entries, without those that the reader dropped as unchanged.
    pub members: Vec<ListedMember>,
    /// Its entries that could not be read.
    pub unreadable: UnreadableEntries,
}

/// A server as discovery describes it.
#[derive(Deserialize)]
pub struct ListedMember {
    /// The same at every node.
    pub id: String,
    /// Where it listens, as seen from this node.
    pub host_port: SocketAddr,
    /// The name of its zone.
    pub locality: String,
    /// The name of its machine kind.
    pub flavor: String,
    /// Its cell.
    pub cell: usize,
    /// What it is ready for.
    pub phase: MemberPhase,
    /// Its weight.
    pub size: f64,
    /// When it last started, as Unix time; 0 for long ago.
    pub up_since_ms: f64,
}

impl ListedMember {
    /// The entry for the decisions, of a server with this number, zone, machine kind and key.
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

/// What a server is ready for.
#[derive(Clone, Copy, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum MemberPhase {
    /// It takes requests.
    Active,
    /// It finishes what it has.
    Leaving,
    /// It is no longer there.
    Left,
}

/// Entries that are valid JSON and describe no server.
#[derive(Default)]
pub struct UnreadableEntries {
    /// The servers that they name.
    pub ids: Vec<String>,
    /// How many name none.
    pub nameless: usize,
    /// What is wrong with the first of them.
    pub first: Option<String>,
}

impl ServerList {
    /// A complete list without servers.
    #[must_use]
    pub fn empty() -> Self {
        let unreadable = UnreadableEntries::default();
        Self { revision: 0, complete: true, entries: 0, members: Vec::new(), unreadable }
    }
}

impl UnreadableEntries {
    /// How many there are.
    #[must_use]
    pub fn count(&self) -> usize {
        self.ids.len() + self.nameless
    }
}

/// Why a text is no list.
#[derive(Debug, PartialEq, Eq)]
pub enum ListError {
    /// It would take more memory than a list may.
    TooLarge,
    /// It is no JSON, it lacks a key, or it has ended too soon. Nothing of it can be relied on.
    Malformed(&'static str),
}

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge => f.write_str("it takes more memory than a list may"),
            Self::Malformed(what) => f.write_str(what),
        }
    }
}

impl std::error::Error for ListError {}
