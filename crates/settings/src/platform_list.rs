//! The section `[cloud]`: access to the platform's list of servers.

use std::time::Duration;

use serde::Deserialize;
use validator::Validate;

use crate::parse::duration_from_millis;

const DEFAULT_MAX_CALLS_PER_SECOND: f64 = 20.0;
const DEFAULT_LAG: Duration = Duration::from_secs(1);

/// Address and limits of the platform's list of servers.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
pub struct PlatformListSettings {
    /// `address`: host and port at which the list is read; not empty.
    #[validate(length(min = 1, message = "cloud.address is empty"))]
    pub address: String,
    /// `perS`: calls per second that the platform accepts from all nodes together; further calls get status
    /// 429. Above 0, and 20 by default.
    #[serde(rename = "perS", default = "default_max_calls_per_second")]
    #[validate(range(exclusive_min = 0.0, message = "cloud.perS is not above 0"))]
    pub max_calls_per_second: f64,
    #[serde(rename = "lagMs", default)]
    #[validate(range(min = 0.0, message = "cloud.lagMs is below 0"))]
    lag_ms: Option<f64>,
}

impl PlatformListSettings {
    /// Returns `lagMs`: the time by which the list lags behind the state of the servers; 1 s by default.
    #[must_use]
    pub fn lag(&self) -> Duration {
        duration_from_millis(self.lag_ms, DEFAULT_LAG)
    }
}

fn default_max_calls_per_second() -> f64 {
    DEFAULT_MAX_CALLS_PER_SECOND
}
