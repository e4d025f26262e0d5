//! The state of an engine's weights.

/// The version of an engine's weights, and whether another version is being loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct WeightState {
    /// Version in use; while another version is loaded, the previous version.
    pub(super) version: u64,
    /// Whether another version is being loaded; no text is generated until it is loaded.
    pub(super) is_loading: bool,
}
