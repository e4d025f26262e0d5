//! Numbered lists of servers, which events refer to.

use super::{key, Line, WireError};
use crate::{Availability, ServerEntry, ServerId};

/// How many numbers of lists there are.
pub const ROSTERS: usize = 16;

/// The lists by number; a number is reused for other lists.
pub type Rosters = [Option<Vec<RosterMember>>; ROSTERS];

/// One entry of a numbered list. Its server has a name, and no number yet.
#[derive(Clone, Debug)]
pub struct RosterMember {
    /// The server's name.
    pub server: String,
    pub(super) entry: ServerEntry,
}

impl RosterMember {
    /// Reads one entry of a list.
    ///
    /// # Errors
    ///
    /// The line is malformed.
    pub fn parse(line: &str) -> Result<Self, WireError> {
        let line = Line::parse(line)?;
        if line.message != "M" {
            return Err(WireError::NoEntry(line.message.to_owned()));
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
        other => Err(WireError::malformed("availability", other, "is unknown")),
    }
}
