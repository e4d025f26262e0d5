//! The section `[withstand]`: the faults that the system has to tolerate.

use serde::Deserialize;

/// Numbers of machines, zones and regions that may be unavailable at the same time while the system still
/// complies with all rules of the platform.
///
/// Only machines with `countsForQuorum` count; any number of other machines may be unavailable.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct FaultTolerance {
    /// `machines`: number of machines that may be unavailable; 0 by default.
    pub machines: u32,
    /// `zones`: number of zones that may be unavailable; 0 by default.
    pub zones: u32,
    /// `regions`: number of regions that may be unavailable; 0 by default.
    pub regions: u32,
}
