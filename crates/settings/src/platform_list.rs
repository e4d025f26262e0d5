//! The section `[cloud]`: the platform's list of servers.

use std::time::Duration;

use serde::Deserialize;
use validator::Validate;

use crate::parse::duration_from_millis;

const DEFAULT_MAX_CALLS_PER_SECOND: f64 = 20.0;
const DEFAULT_LAG: Duration = Duration::from_secs(1);

/// How the platform's list of servers is read.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
pub struct PlatformListSettings {
    /// `address`: host and port of the platform's list.
    #[validate(length(min = 1, message = "cloud.address is empty"))]
    pub address: String,
    /// `perS`: calls per second that the list accepts from all nodes together; more are answered with 429.
    #[serde(rename = "perS", default = "default_max_calls_per_second")]
    #[validate(range(exclusive_min = 0.0, message = "cloud.perS is not above 0"))]
    pub max_calls_per_second: f64,
    #[serde(rename = "lagMs", default)]
    #[validate(range(min = 0.0, message = "cloud.lagMs is below 0"))]
    lag_ms: Option<f64>,
}

impl PlatformListSettings {
    /// `lagMs`: how far the list lags behind the servers; 1 s by default.
    #[must_use]
    pub fn lag(&self) -> Duration {
        duration_from_millis(self.lag_ms, DEFAULT_LAG)
    }
}

fn default_max_calls_per_second() -> f64 {
    DEFAULT_MAX_CALLS_PER_SECOND
}
