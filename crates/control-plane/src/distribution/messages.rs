//! Messages of the long poll.

use std::time::Duration;

use register::Ballot;
use serde::{Deserialize, Serialize};
use state::ServerListVersion;
use tokio::time::Instant;

use super::{ControlUpdate, ServerUpdate};
use crate::ViewCell;

/// Maximum time since the last confirmation by a majority for a peer to count as fresh.
const MAX_CONFIRMED_AGE: Duration = Duration::from_millis(900);
/// Maximum age of the server list for a peer to count as fresh.
const MAX_SERVERS_AGE: Duration = Duration::from_millis(2000);
/// Ballot in the poll of a process that has no control state; lower than any other.
pub(super) const NO_BALLOT: Ballot = Ballot { round: 0, proposer: 0 };

/// Long poll for a newer control state or server list than the sender has.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PollRequest {
    /// Ballot of the committed value that the sender has; its round is 0 if the sender has none.
    pub ballot: Ballot,
    /// Version of the configuration in the value with this ballot.
    pub configuration_version: u64,
    /// Version of the server list that the sender has.
    pub servers: ServerListVersion,
    /// Version of the newest list of a leader that the sender has, to which changes may apply. It is lower
    /// than `servers` if the sender has read a list from the platform itself since.
    pub servers_base: ServerListVersion,
    /// Maximum time in milliseconds for which the reply may be delayed if nothing is newer.
    pub max_wait_ms: u32,
}

/// Reply to a long poll: the updates to what is newer than the sender of the poll has, and the ages of the
/// replying peer's state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PollReply {
    /// Update to a newer committed value; `None` if the peer has none.
    pub control: Option<ControlUpdate>,
    /// Update to a newer server list; `None` if the peer has none.
    pub servers: Option<ServerUpdate>,
    /// Milliseconds since a majority confirmed the peer's committed value as the newest; `None` if none has.
    pub confirmed_age_ms: Option<u32>,
    /// Version of the peer's server list. `servers_age_ms` applies only to the list with this version.
    pub servers_version: ServerListVersion,
    /// Milliseconds since the platform last listed the servers as in the peer's list; `None` if it never has.
    pub servers_age_ms: Option<u32>,
}

impl PollReply {
    /// Returns whether the peer is fresh: a majority has confirmed its value recently, and its server list is
    /// recent. The poller continues with another peer if it is not.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        let is_within =
            |age: Option<u32>, max: Duration| age.is_some_and(|age| u128::from(age) <= max.as_millis());
        is_within(self.confirmed_age_ms, MAX_CONFIRMED_AGE) && is_within(self.servers_age_ms, MAX_SERVERS_AGE)
    }

    /// Makes `view` adopt what is newer in this reply, which was received at the time `now`.
    ///
    /// The age of a confirmation always applies, because a value that was confirmed at some time is no newer
    /// than the value that `view` has afterwards. The age of the server list applies only to the list with
    /// the same version.
    pub fn apply_to(&self, view: &ViewCell, now: Instant) {
        if let Some(update) = self.control.clone() {
            // An update that does not apply to the present state is dropped with the rest of the reply,
            // because the age of the confirmation belongs to a value that the view does not have.
            let Some(newer) = update.apply(&view.view().control) else { return };
            view.adopt_control(&newer);
        }
        let newer = self.servers.as_ref().and_then(|update| update.apply(&view.leader_servers()));
        if let Some(newer) = newer {
            view.adopt_servers(newer);
        }
        let time_of = |age_ms: u32| now.checked_sub(Duration::from_millis(age_ms.into()));
        if let Some(confirmed_at) = self.confirmed_age_ms.and_then(time_of) {
            view.confirm(confirmed_at);
        }
        let has_same_list = view.view().servers.version == self.servers_version;
        if let Some(read_at) = self.servers_age_ms.and_then(time_of).filter(|_| has_same_list) {
            view.record_servers_read(read_at);
        }
    }
}
