//! Why a role cannot be served.

use std::fmt;

/// Why a process cannot serve its role. The cause is the next context of its report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoleError {
    /// The signals of the platform cannot be received.
    Signals,
    /// The journal cannot be opened; the cause names its directory.
    Journal,
    /// The settings of a store have no `dataDir`.
    MissingDataDir,
    /// The process cannot listen at an address.
    Listen {
        /// The address, `ip:port`.
        address: String,
    },
}

impl fmt::Display for RoleError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Signals => f.write_str("cannot receive signals"),
            Self::Journal => f.write_str("cannot open the journal"),
            Self::MissingDataDir => f.write_str("a store needs dataDir in its settings"),
            Self::Listen { address } => write!(f, "cannot listen at {address}"),
        }
    }
}

impl std::error::Error for RoleError {}
