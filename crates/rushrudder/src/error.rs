//! The error with which a role fails to start.

use std::fmt;

/// Reason why a process cannot serve its role. The error report contains the cause as its next context.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoleError {
    /// The process cannot receive signals.
    Signals,
    /// The journal cannot be opened. The cause names its directory.
    Journal,
    /// The settings of a store lack `dataDir`, without which it cannot keep batch jobs.
    MissingDataDir,
    /// The process cannot listen at an address of its settings, for instance because it is in use.
    Listen {
        /// The address at which listening failed, as `ip:port`.
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
