//! Faults of the implementation that the exploration must find.

/// A seeded fault of all stores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Nothing,
    /// Promises are not written to the disk.
    ForgetsPromises,
    /// Replies are sent before the disk has the records.
    RepliesBeforeSync,
    /// A store that lost its disk replies as if it were still the member.
    KeepsIdentityWithoutDisk,
}
