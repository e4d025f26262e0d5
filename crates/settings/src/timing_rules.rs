//! The section `[timetable]`: durations and bounds of the platform's rules.

use std::time::Duration;

use serde::Deserialize;
use validator::Validate;

use crate::parse::{duration_from_millis, duration_from_secs};

/// Shortest time without contact after which a member may be replaced.
const MIN_MEMBER_FAILURE_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time without contact until a member may be replaced.
const MAX_MEMBER_FAILURE_TIMEOUT: Duration = Duration::from_secs(4);

const DEFAULT_QUOTA_OVERSHOOT: f64 = 0.1;

/// Durations and bounds of the platform's rules. Each accessor's comment begins with the field's name in the file; all
/// fields may be absent. Rules are named as in the platform's documents.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Validate)]
#[serde(default)]
pub struct TimingRules {
    #[serde(rename = "seedLagS")]
    #[validate(range(min = 0.0, message = "timetable.seedLagS is below 0"))]
    node_list_lag_s: Option<f64>,
    #[serde(rename = "reuseAfterS")]
    #[validate(range(min = 0.0, message = "timetable.reuseAfterS is below 0"))]
    address_reuse_delay_s: Option<f64>,
    #[serde(rename = "touchMs")]
    #[validate(range(min = 0.0, message = "timetable.touchMs is below 0"))]
    stabilization_period_ms: Option<f64>,
    #[serde(rename = "receiptMs")]
    #[validate(range(min = 0.0, message = "timetable.receiptMs is below 0"))]
    acknowledgement_timeout_ms: Option<f64>,
    #[serde(rename = "catchUpS")]
    #[validate(range(min = 0.0, message = "timetable.catchUpS is below 0"))]
    rejoin_period_s: Option<f64>,
    #[serde(rename = "drainMs")]
    #[validate(range(min = 0.0, message = "timetable.drainMs is below 0"))]
    drain_timeout_ms: Option<f64>,
    #[serde(rename = "graceS")]
    #[validate(range(min = 0.0, message = "timetable.graceS is below 0"))]
    termination_grace_period_s: Option<f64>,
    #[serde(rename = "lostMs")]
    #[validate(range(min = 0.0, message = "timetable.lostMs is below 0"))]
    request_acceptance_delay_ms: Option<f64>,
    #[serde(rename = "inForceMs")]
    #[validate(range(min = 0.0, message = "timetable.inForceMs is below 0"))]
    configuration_propagation_timeout_ms: Option<f64>,
    #[serde(rename = "backMs")]
    #[validate(range(min = 0.0, message = "timetable.backMs is below 0"))]
    configuration_regression_tolerance_ms: Option<f64>,
    #[serde(rename = "stretchMs")]
    #[validate(range(min = 0.0, message = "timetable.stretchMs is below 0"))]
    unstable_core_extension_ms: Option<f64>,
    #[serde(rename = "recoverS")]
    #[validate(range(min = 0.0, message = "timetable.recoverS is below 0"))]
    recovery_timeout_s: Option<f64>,
    #[serde(rename = "pass_ms")]
    #[validate(range(min = 0.0, message = "timetable.pass_ms is below 0"))]
    event_forwarding_timeout_ms: Option<f64>,
    #[serde(rename = "again_s")]
    #[validate(range(min = 0.0, message = "timetable.again_s is below 0"))]
    again_s: Option<f64>,
    #[serde(rename = "finishS")]
    #[validate(range(min = 0.0, message = "timetable.finishS is below 0"))]
    batch_completion_extension_s: Option<f64>,
    #[serde(rename = "statusS")]
    #[validate(range(min = 0.0, message = "timetable.statusS is below 0"))]
    result_retention_s: Option<f64>,
    #[serde(rename = "recallMs")]
    #[validate(range(min = 0.0, message = "timetable.recallMs is below 0"))]
    cancellation_timeout_ms: Option<f64>,
    #[serde(rename = "settleMs")]
    #[validate(range(min = 0.0, message = "timetable.settleMs is below 0"))]
    batch_job_propagation_timeout_ms: Option<f64>,
    #[serde(rename = "leaseMs")]
    #[validate(range(min = 0.0, message = "timetable.leaseMs is below 0"))]
    leader_handover_interval_ms: Option<f64>,
    #[serde(rename = "thawMs")]
    #[validate(range(min = 0.0, message = "timetable.thawMs is below 0"))]
    resume_tolerance_ms: Option<f64>,
    #[serde(rename = "quotaOver")]
    quota_overshoot: Option<f64>,
    #[serde(rename = "fenceChecked")]
    servers_check_fencing: Option<bool>,
}

impl TimingRules {
    /// `seedLagS`, 3 s by default. How far the operator's list of nodes lags behind the nodes.
    #[must_use]
    pub fn node_list_lag(&self) -> Duration {
        duration_from_secs(self.node_list_lag_s, Duration::from_secs(3))
    }

    /// `reuseAfterS`, 2 s by default. How long after the end of a server its address may go to a server of
    /// another service.
    #[must_use]
    pub fn address_reuse_delay(&self) -> Duration {
        duration_from_secs(self.address_reuse_delay_s, Duration::from_secs(2))
    }

    /// `touchMs`, 3 s by default. How long a machine and the core have to be without faults until the rules
    /// with time bounds apply to the machine (the rules' "in touch").
    #[must_use]
    pub fn stabilization_period(&self) -> Duration {
        duration_from_millis(self.stabilization_period_ms, Duration::from_secs(3))
    }

    /// `receiptMs`, 4 s by default. How long an order of the operator may go without an acknowledgement while
    /// the core is stable.
    #[must_use]
    pub fn acknowledgement_timeout(&self) -> Duration {
        duration_from_millis(self.acknowledgement_timeout_ms, Duration::from_secs(4))
    }

    /// `catchUpS`, 5 s by default. How long a machine still counts as failed after it returned, or after its
    /// start if it is new.
    #[must_use]
    pub fn rejoin_period(&self) -> Duration {
        duration_from_secs(self.rejoin_period_s, Duration::from_secs(5))
    }

    /// How long a member may be out of contact until it counts as failed and another machine replaces it.
    ///
    /// The successor of a failed machine has [`Self::rejoin_period`] from its start until the next machine may fail.
    /// In that time its process must find the others, the failure must be detected, and the change must be committed
    /// and known to a majority. Two fifths of it for the detection leave as much for the rest, and more than the
    /// second within which a killed process restarts, for the shortest rejoin period that the platform gives.
    #[must_use]
    pub fn member_failure_timeout(&self) -> Duration {
        (self.rejoin_period() * 2 / 5).clamp(MIN_MEMBER_FAILURE_TIMEOUT, MAX_MEMBER_FAILURE_TIMEOUT)
    }

    /// `drainMs`, 3 s by default. How long requests may still be sent to a server after the platform's list
    /// shows it as closing (rule DRAIN).
    #[must_use]
    pub fn drain_timeout(&self) -> Duration {
        duration_from_millis(self.drain_timeout_ms, Duration::from_secs(3))
    }

    /// `graceS`, 8 s by default. Time from SIGTERM to SIGKILL.
    #[must_use]
    pub fn termination_grace_period(&self) -> Duration {
        duration_from_secs(self.termination_grace_period_s, Duration::from_secs(8))
    }

    /// `lostMs`, 200 ms by default. How long after its last byte a request counts as accepted, so that planned
    /// work may not abort it (rule LOST).
    #[must_use]
    pub fn request_acceptance_delay(&self) -> Duration {
        duration_from_millis(self.request_acceptance_delay_ms, Duration::from_millis(200))
    }

    /// `inForceMs`, 2 s by default. How long after the acknowledgement of a configuration a node may still act
    /// on an older one (rule CONFIG).
    #[must_use]
    pub fn configuration_propagation_timeout(&self) -> Duration {
        duration_from_millis(self.configuration_propagation_timeout_ms, Duration::from_secs(2))
    }

    /// `backMs`, 250 ms by default. How long a node may still act on an older configuration after it acted on a
    /// newer one (rule CONFIG).
    #[must_use]
    pub fn configuration_regression_tolerance(&self) -> Duration {
        duration_from_millis(self.configuration_regression_tolerance_ms, Duration::from_millis(250))
    }

    /// `stretchMs`, 5 s by default. How much an unstable core extends
    /// [`Self::configuration_propagation_timeout`].
    #[must_use]
    pub fn unstable_core_extension(&self) -> Duration {
        duration_from_millis(self.unstable_core_extension_ms, Duration::from_secs(5))
    }

    /// `recoverS`, 12 s by default. How long the system may take to serve again after the machines return from
    /// a day's final fault (rule RECOVER).
    #[must_use]
    pub fn recovery_timeout(&self) -> Duration {
        duration_from_secs(self.recovery_timeout_s, Duration::from_secs(12))
    }

    /// `pass_ms`, 120 ms by default. How long an event of a stream may take from its server to the client.
    #[must_use]
    pub fn event_forwarding_timeout(&self) -> Duration {
        duration_from_millis(self.event_forwarding_timeout_ms, Duration::from_millis(120))
    }

    /// `again_s`, 0 s by default. A duration that the platform's documents do not explain.
    #[must_use]
    pub fn again(&self) -> Duration {
        duration_from_secs(self.again_s, Duration::ZERO)
    }

    /// `finishS`, 10 s by default. How much longer batch jobs may run after client traffic has ended.
    #[must_use]
    pub fn batch_completion_extension(&self) -> Duration {
        duration_from_secs(self.batch_completion_extension_s, Duration::from_secs(10))
    }

    /// `statusS`, 120 s by default. How long after a batch job was sent its results have to be kept.
    #[must_use]
    pub fn result_retention(&self) -> Duration {
        duration_from_secs(self.result_retention_s, Duration::from_secs(120))
    }

    /// `recallMs`, 3 s by default. How long after the acknowledged end of a batch job its items may still run
    /// (rule UNASKED).
    #[must_use]
    pub fn cancellation_timeout(&self) -> Duration {
        duration_from_millis(self.cancellation_timeout_ms, Duration::from_secs(3))
    }

    /// `settleMs`, 1 s by default. How long a node may take to know an accepted batch job (rule LOST).
    #[must_use]
    pub fn batch_job_propagation_timeout(&self) -> Duration {
        duration_from_millis(self.batch_job_propagation_timeout_ms, Duration::from_secs(1))
    }

    /// `leaseMs`, 3 s by default. How far apart orders of successive holders of the leader lease have to be
    /// where servers do not check fencing tokens (rule ONE).
    #[must_use]
    pub fn leader_handover_interval(&self) -> Duration {
        duration_from_millis(self.leader_handover_interval_ms, Duration::from_secs(3))
    }

    /// `thawMs`, 300 ms by default. How long orders do not count after their sender resumed or a link healed
    /// (rule ONE).
    #[must_use]
    pub fn resume_tolerance(&self) -> Duration {
        duration_from_millis(self.resume_tolerance_ms, Duration::from_millis(300))
    }

    /// `quotaOver`, 0.1 by default. Fraction by which the use of a quota may exceed it.
    #[must_use]
    pub fn quota_overshoot(&self) -> f64 {
        self.quota_overshoot.unwrap_or(DEFAULT_QUOTA_OVERSHOOT)
    }

    /// `fenceChecked`, false by default. Whether servers reject orders with a lower fencing token than they have seen.
    #[must_use]
    pub fn servers_check_fencing(&self) -> bool {
        self.servers_check_fencing.unwrap_or(false)
    }
}
