//! Rosters: numbered server lists, to which the message `REGISTRY` refers by number.

use super::{key, Line, WireError};
use crate::{Availability, ServerEntry, ServerId};

/// Number of rosters that exist at the same time; their numbers (`roster_id`) are below it.
pub const MAX_ROSTERS: usize = 16;

/// Rosters by number; `None` until received. A later list with the same number replaces the earlier one.
pub type Rosters = [Option<Vec<RosterMember>>; MAX_ROSTERS];

/// One entry of a roster. Its server has a name only: each instance assigns its own server numbers.
#[derive(Clone, Debug)]
pub struct RosterMember {
    /// Name of the server, by which all instances refer to it.
    pub server: String,
    pub(super) entry: ServerEntry,
}

impl RosterMember {
    /// Parses a line `M`, one entry of a roster.
    ///
    /// # Errors
    ///
    /// Fails if the line is malformed or is another message.
    pub fn parse(line: &str) -> Result<Self, WireError> {
        let line = Line::parse(line)?;
        if line.message != "M" {
            return Err(WireError::NotAListEntry(line.message.to_owned()));
        }
        let or_zero = |name| Ok::<_, WireError>(line.optional_integer(name)?.unwrap_or(0) as usize);
        let availability = availability(line.text("availability")?)?;
        let server = line.text("server")?;
        let entry = ServerEntry {
            server: ServerId(0),
            availability,
            started_at: line.optional_number("launched_ms")?.filter(|started_at| *started_at > 0.0),
            cell: or_zero("block")?,
            zone: or_zero("site")?,
            kind: or_zero("type")?,
            weight: line.optional_number("units")?.unwrap_or(1.0),
            key: key(server),
        };
        Ok(Self { server: server.to_owned(), entry })
    }
}

fn availability(code: &str) -> Result<Availability, WireError> {
    match code {
        "2" => Ok(Availability::Ready),
        "0" => Ok(Availability::Draining),
        "3" => Ok(Availability::Removed),
        other => Err(WireError::malformed("availability", other, "is not a known state")),
    }
}
