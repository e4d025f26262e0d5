//! Internal messages of the control plane and the paths that they are posted to.

use std::time::Duration;

use register::{Ballot, Incarnation, Member};
use serde::{Deserialize, Serialize};
use state::ServerListVersion;

use crate::{ControlUpdate, ServerUpdate};

/// Paths of internal calls.
pub mod paths {
    /// A request to the acceptor of the register.
    pub const REGISTER: &str = "/control/register";
    /// A request for the leader lease.
    pub const LEASE: &str = "/control/lease";
    /// Grants of the leader lease are given back.
    pub const RELEASE: &str = "/control/release";
    /// The long poll of the control state and the list of servers.
    pub const POLL: &str = "/control/poll";
    /// A machine with a disk tells that it exists, at the first start.
    pub const ANNOUNCE: &str = "/control/announce";
    /// The first value of the register.
    pub const FIRST: &str = "/control/first";
    /// The acceptors are introduced to a process that may not know them.
    pub const INTRODUCE: &str = "/control/introduce";
    /// Whether a process is there.
    pub const PING: &str = "/control/ping";
}

/// A peer whose last confirmation by a majority is older is left for another.
pub(crate) const CONFIRMED_AGE_MOST: Duration = Duration::from_millis(900);
/// A peer whose list of servers is older is left for another.
const SERVERS_AGE_MOST: Duration = Duration::from_millis(2000);
/// What a machine with a disk can do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Capability {
    /// It accepts values of the register.
    Acceptor,
    /// It keeps batch jobs.
    Store,
}

/// A machine with a disk tells that it exists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Who it is.
    pub member: Member,
    /// Its zone.
    pub zone: String,
    /// What it can do.
    pub capability: Capability,
}

/// Tells a process where the acceptors are.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// The revision of the control state that names them.
    pub revision: u64,
    /// Their internal addresses.
    pub acceptors: Vec<String>,
}

/// The long poll of a process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PollRequest {
    /// The committed value that it knows.
    pub ballot: Ballot,
    /// The version of the configuration in that value.
    pub edition: u64,
    /// The list of servers that it knows.
    pub servers: ServerListVersion,
    /// How long the answer may be held where nothing is newer.
    pub hold_ms: u32,
}

/// What is newer than the poller's knowledge.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PollReply {
    /// A newer committed value.
    pub control: Option<ControlUpdate>,
    /// A newer list of servers.
    pub servers: Option<ServerUpdate>,
    /// Time since a majority confirmed that the value is the newest; `None` if none has.
    pub confirmed_age_ms: Option<u32>,
    /// The version of the list that the peer holds: its age says nothing of another one.
    pub servers_version: ServerListVersion,
    /// Time since the list was read from the platform; `None` if none was.
    pub servers_age_ms: Option<u32>,
}

impl PollReply {
    /// Whether the peer is confirmed by a majority and has a fresh list; otherwise another one is polled.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        let within =
            |age: Option<u32>, most: Duration| age.is_some_and(|age| u128::from(age) <= most.as_millis());
        within(self.confirmed_age_ms, CONFIRMED_AGE_MOST) && within(self.servers_age_ms, SERVERS_AGE_MOST)
    }
}

/// The state of a process that was asked whether it is there.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PingReply {
    /// The incarnation of the disk of this process, if it has one: a reply counts for that member alone. A machine that
    /// lost its disk answers at the address of its former self.
    pub incarnation: Option<Incarnation>,
    /// The epoch of the store set to which all its batch jobs have moved; 0 until it is known.
    pub settled_epoch: u64,
    /// Whether it knows a control state, and so the acceptors.
    pub knows_control: bool,
    /// Whether it has run undisturbed for long enough to be in touch: it was not started of late, and is not told to end.
    pub is_steady: bool,
    /// The acceptors of which this one, if it is an acceptor, has not heard for long.
    pub silent: Vec<Incarnation>,
}

impl PingReply {
    /// Whether the member itself has answered: a reply counts for its disk alone.
    pub(crate) fn is_of(&self, member: &Member) -> bool {
        self.incarnation == Some(member.incarnation)
    }
}
