//! Faults that are added to the implementation, and that the random runs must detect.

/// A fault in the implementation of all stores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The stores behave correctly.
    None,
    /// Promises are not written to the disk.
    ForgetsPromises,
    /// Replies are sent before their records are on the disk.
    RepliesBeforeSync,
    /// A store that lost its disk keeps its identity, and so replies as if it still had its logs.
    KeepsIdentityWithoutDisk,
}
