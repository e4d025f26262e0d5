//! The weights of an engine: the version in use, and a load that is in progress.

/// The weights of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct WeightState {
    /// The version that generates text; while a load is in progress, the version before it.
    pub(super) version: u64,
    pub(super) is_loading: bool,
}
