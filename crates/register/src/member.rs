//! The identity of a machine and its disk.

use serde::{Deserialize, Serialize};

/// The identity of a disk: a random number drawn when the disk is initialized.
///
/// A machine that lost its disk comes back with another incarnation, and so as another acceptor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// A machine with a disk. Two members are the same acceptor if and only if their incarnations are equal.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Name of the machine. It stays when the disk is replaced.
    pub name: String,
    /// Incarnation of the machine's disk.
    pub incarnation: Incarnation,
    /// Address for internal calls, as `host:port`.
    pub address: String,
}
