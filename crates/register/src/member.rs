//! Identities of machines and of their disks.

use serde::{Deserialize, Serialize};

/// Identity of a disk: a random number drawn when the disk is initialized.
///
/// A machine whose disk was lost has another incarnation afterwards, and counts as another acceptor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// A machine with a disk. Two members are the same acceptor if and only if their incarnations are equal.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Name of the machine, which does not change when the disk is replaced.
    pub name: String,
    /// Incarnation of the machine's disk. It alone identifies the acceptor.
    pub incarnation: Incarnation,
    /// Address at which the machine accepts calls from other members, as `host:port`.
    pub address: String,
}
