//! The state of an engine's weights: the version in use, and whether another version is being loaded.

/// The state of an engine's weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct WeightState {
    /// Version in use; while another version is loaded, the previous version.
    pub(super) version: u64,
    /// Whether another version is being loaded; no text is generated until it is complete.
    pub(super) is_loading: bool,
}
