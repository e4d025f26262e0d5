//! The time limits of the system's rules, as the settings file states them.

use std::time::Duration;

use serde::Serialize;

/// The time limits of the system's rules; the section `timetable` of the settings file.
#[derive(Clone, Debug, Serialize)]
pub struct TimingRules {
    #[serde(rename = "seedLagS")]
    seed_lag_s: u64,
    #[serde(rename = "reuseAfterS")]
    reuse_after_s: u64,
    #[serde(rename = "touchMs")]
    touch_ms: u64,
    #[serde(rename = "receiptMs")]
    acknowledgement_ms: u64,
    #[serde(rename = "catchUpS")]
    catch_up_s: f64,
    #[serde(rename = "drainMs")]
    drain_ms: u64,
    #[serde(rename = "graceS")]
    shutdown_grace_s: u64,
    #[serde(rename = "lostMs")]
    failure_detection_ms: u64,
    #[serde(rename = "inForceMs")]
    configuration_in_force_ms: u64,
    #[serde(rename = "backMs")]
    back_ms: u64,
    #[serde(rename = "stretchMs")]
    stretch_ms: u64,
    #[serde(rename = "recoverS")]
    recovery_s: u64,
    pass_ms: u64,
    again_s: u64,
    #[serde(rename = "finishS")]
    finish_s: u64,
    #[serde(rename = "statusS")]
    result_retention_s: u64,
    #[serde(rename = "recallMs")]
    recall_ms: u64,
    #[serde(rename = "settleMs")]
    job_visible_ms: u64,
    #[serde(rename = "quotaOver")]
    quota_over: f64,
    #[serde(rename = "fenceChecked")]
    fence_checked: bool,
    #[serde(rename = "leaseMs")]
    lease_ms: u64,
    #[serde(rename = "thawMs")]
    thaw_ms: u64,
}

impl Default for TimingRules {
    fn default() -> Self {
        Self {
            seed_lag_s: 3,
            reuse_after_s: 2,
            touch_ms: 3000,
            acknowledgement_ms: 4000,
            catch_up_s: 4.8,
            drain_ms: 3000,
            shutdown_grace_s: 8,
            failure_detection_ms: 200,
            configuration_in_force_ms: 2000,
            back_ms: 250,
            stretch_ms: 5000,
            recovery_s: 12,
            pass_ms: 120,
            again_s: 0,
            finish_s: 10,
            result_retention_s: 120,
            recall_ms: 3000,
            job_visible_ms: 1000,
            quota_over: 0.1,
            fence_checked: false,
            lease_ms: 3000,
            thaw_ms: 300,
        }
    }
}

impl TimingRules {
    /// How long a process may take to end after SIGTERM.
    #[must_use]
    pub fn shutdown_grace(&self) -> Duration {
        Duration::from_secs(self.shutdown_grace_s)
    }

    /// From the acknowledgement of a configuration until it is in force at all nodes.
    #[must_use]
    pub fn configuration_in_force_within(&self) -> Duration {
        Duration::from_millis(self.configuration_in_force_ms)
    }

    /// How long items of a batch job may still arrive at servers after its end was acknowledged.
    #[must_use]
    pub fn recall(&self) -> Duration {
        Duration::from_millis(self.recall_ms)
    }

    /// From the acknowledgement of a batch job until all nodes know it.
    #[must_use]
    pub fn job_visible_within(&self) -> Duration {
        Duration::from_millis(self.job_visible_ms)
    }

    /// How long results are retained.
    #[must_use]
    pub fn result_retention(&self) -> Duration {
        Duration::from_secs(self.result_retention_s)
    }

    /// The duration of the leader lease; orders of two holders are at least this far apart.
    #[must_use]
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }
}
