//! The section `[withstand]`: the faults that the system has to survive.

use serde::Deserialize;

/// How much may be unavailable at one time while the system still keeps every rule.
///
/// Only machines with `countsForQuorum` are bounded; any number of the others may be unavailable.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct FaultTolerance {
    /// Number of machines.
    pub machines: u32,
    /// Number of zones.
    pub zones: u32,
    /// Number of regions.
    pub regions: u32,
}
