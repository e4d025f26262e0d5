//! The time limits of the system's rules, as the settings file states them.

use std::time::Duration;

use serde::Serialize;

/// The time limits of the system's rules, in the section `timetable` of the settings file.
/// `settings::TimingRules`, which reads the section, explains each value.
#[derive(Clone, Debug, Serialize)]
pub struct TimingRules {
    #[serde(rename = "seedLagS")]
    node_list_lag_s: u64,
    #[serde(rename = "reuseAfterS")]
    address_reuse_delay_s: u64,
    #[serde(rename = "touchMs")]
    stabilization_period_ms: u64,
    #[serde(rename = "receiptMs")]
    acknowledgement_timeout_ms: u64,
    #[serde(rename = "catchUpS")]
    rejoin_period_s: f64,
    #[serde(rename = "drainMs")]
    drain_timeout_ms: u64,
    #[serde(rename = "graceS")]
    termination_grace_period_s: u64,
    #[serde(rename = "lostMs")]
    request_acceptance_delay_ms: u64,
    #[serde(rename = "inForceMs")]
    configuration_propagation_timeout_ms: u64,
    #[serde(rename = "backMs")]
    configuration_regression_tolerance_ms: u64,
    #[serde(rename = "stretchMs")]
    unstable_core_extension_ms: u64,
    #[serde(rename = "recoverS")]
    recovery_timeout_s: u64,
    #[serde(rename = "pass_ms")]
    event_forwarding_timeout_ms: u64,
    again_s: u64,
    #[serde(rename = "finishS")]
    batch_completion_extension_s: u64,
    #[serde(rename = "statusS")]
    result_retention_s: u64,
    #[serde(rename = "recallMs")]
    cancellation_timeout_ms: u64,
    #[serde(rename = "settleMs")]
    batch_job_propagation_timeout_ms: u64,
    #[serde(rename = "quotaOver")]
    quota_overshoot: f64,
    #[serde(rename = "fenceChecked")]
    servers_check_fencing: bool,
    #[serde(rename = "leaseMs")]
    leader_handover_interval_ms: u64,
    #[serde(rename = "thawMs")]
    resume_tolerance_ms: u64,
}

impl Default for TimingRules {
    fn default() -> Self {
        Self {
            node_list_lag_s: 3,
            address_reuse_delay_s: 2,
            stabilization_period_ms: 3000,
            acknowledgement_timeout_ms: 4000,
            rejoin_period_s: 4.8,
            drain_timeout_ms: 3000,
            termination_grace_period_s: 8,
            request_acceptance_delay_ms: 200,
            configuration_propagation_timeout_ms: 2000,
            configuration_regression_tolerance_ms: 250,
            unstable_core_extension_ms: 5000,
            recovery_timeout_s: 12,
            event_forwarding_timeout_ms: 120,
            again_s: 0,
            batch_completion_extension_s: 10,
            result_retention_s: 120,
            cancellation_timeout_ms: 3000,
            batch_job_propagation_timeout_ms: 1000,
            quota_overshoot: 0.1,
            servers_check_fencing: false,
            leader_handover_interval_ms: 3000,
            resume_tolerance_ms: 300,
        }
    }
}

impl TimingRules {
    /// Returns the time within which a process must end after SIGTERM.
    #[must_use]
    pub fn termination_grace_period(&self) -> Duration {
        Duration::from_secs(self.termination_grace_period_s)
    }

    /// Returns the maximum time from the acknowledgement of a configuration until it is in force at all
    /// nodes.
    #[must_use]
    pub fn configuration_propagation_timeout(&self) -> Duration {
        Duration::from_millis(self.configuration_propagation_timeout_ms)
    }

    /// Returns the time for which items of a batch job may still arrive at servers after its end was
    /// acknowledged.
    #[must_use]
    pub fn cancellation_timeout(&self) -> Duration {
        Duration::from_millis(self.cancellation_timeout_ms)
    }

    /// Returns the maximum time from the acknowledgement of a batch job until all nodes serve it.
    #[must_use]
    pub fn batch_job_propagation_timeout(&self) -> Duration {
        Duration::from_millis(self.batch_job_propagation_timeout_ms)
    }

    /// Returns the time after the submission of a batch job for which its results are retained.
    #[must_use]
    pub fn result_retention(&self) -> Duration {
        Duration::from_secs(self.result_retention_s)
    }

    /// Returns the minimum time between orders of successive lease holders to the same server.
    #[must_use]
    pub fn leader_handover_interval(&self) -> Duration {
        Duration::from_millis(self.leader_handover_interval_ms)
    }
}
