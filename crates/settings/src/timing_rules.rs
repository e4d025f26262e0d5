//! The section `[timetable]`: durations and bounds in the platform's rules.

use std::time::Duration;

use serde::Deserialize;
use validator::Validate;

use crate::parse::{duration_from_millis, duration_from_secs};

/// Lower bound of [`TimingRules::member_failure_timeout`].
const MIN_MEMBER_FAILURE_TIMEOUT: Duration = Duration::from_secs(1);
/// Upper bound of [`TimingRules::member_failure_timeout`].
const MAX_MEMBER_FAILURE_TIMEOUT: Duration = Duration::from_secs(4);

const DEFAULT_QUOTA_OVERSHOOT: f64 = 0.1;

/// Durations and bounds in the platform's rules. All fields are optional; the comment of each accessor names
/// the field in the file and its default. Names of rules, such as DRAIN, are those of the platform's
/// documents.
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
    /// Returns `seedLagS` (3 s by default): the time by which the operator's list of nodes lags behind the
    /// state of the nodes.
    #[must_use]
    pub fn node_list_lag(&self) -> Duration {
        duration_from_secs(self.node_list_lag_s, Duration::from_secs(3))
    }

    /// Returns `reuseAfterS` (2 s by default): the time from the end of a server until its address may be
    /// assigned to a server of another service.
    #[must_use]
    pub fn address_reuse_delay(&self) -> Duration {
        duration_from_secs(self.address_reuse_delay_s, Duration::from_secs(2))
    }

    /// Returns `touchMs` (3 s by default): the time that a machine and the core must be without faults before
    /// rules with time bounds apply to the machine (the rules call this "in touch").
    ///
    /// The core consists of the nodes with a disk, or of all nodes if none has one. It is stable while more than
    /// half of it is running and connected, no machine or link of it is slowed, and this time has passed since
    /// the last disturbance: a slowdown, a kill, stop, start, suspension, resumption or removal of one of its
    /// machines, a clock step, a reset of connections, or a partition that began or ended. Disturbances of
    /// stores count as well.
    #[must_use]
    pub fn stabilization_period(&self) -> Duration {
        duration_from_millis(self.stabilization_period_ms, Duration::from_secs(3))
    }

    /// Returns `receiptMs` (4 s by default): the time within which an order of the operator must be
    /// acknowledged while the core is stable (see [`Self::stabilization_period`]).
    #[must_use]
    pub fn acknowledgement_timeout(&self) -> Duration {
        duration_from_millis(self.acknowledgement_timeout_ms, Duration::from_secs(4))
    }

    /// Returns `catchUpS` (5 s by default): the time that a machine still counts as failed after it returned,
    /// or after its start if it is new.
    #[must_use]
    pub fn rejoin_period(&self) -> Duration {
        duration_from_secs(self.rejoin_period_s, Duration::from_secs(5))
    }

    /// Returns the time without contact after which a member counts as failed and another machine replaces
    /// it: two fifths of [`Self::rejoin_period`], at least 1 s and at most 4 s.
    ///
    /// The next machine may fail one rejoin period after the start of the machine that replaces a failed one.
    /// Within that period the new process must find the others, the failure must be detected, and the change
    /// of members must be committed and reach a majority. With two fifths for the detection, at least as much
    /// is left for the other steps. Even with the shortest rejoin period that the platform gives, the timeout
    /// exceeds the second within which a killed process restarts.
    #[must_use]
    pub fn member_failure_timeout(&self) -> Duration {
        (self.rejoin_period() * 2 / 5).clamp(MIN_MEMBER_FAILURE_TIMEOUT, MAX_MEMBER_FAILURE_TIMEOUT)
    }

    /// Returns `drainMs` (3 s by default): the time for which requests may still be sent to a server after
    /// the platform's list shows it as closing (rule DRAIN).
    #[must_use]
    pub fn drain_timeout(&self) -> Duration {
        duration_from_millis(self.drain_timeout_ms, Duration::from_secs(3))
    }

    /// Returns `graceS` (8 s by default): the time from SIGTERM to SIGKILL.
    #[must_use]
    pub fn termination_grace_period(&self) -> Duration {
        duration_from_secs(self.termination_grace_period_s, Duration::from_secs(8))
    }

    /// Returns `lostMs` (200 ms by default): the time from the last byte of a request until the request
    /// counts as accepted, so that planned work must not abort it (rule LOST).
    #[must_use]
    pub fn request_acceptance_delay(&self) -> Duration {
        duration_from_millis(self.request_acceptance_delay_ms, Duration::from_millis(200))
    }

    /// Returns `inForceMs` (2 s by default): the time after the acknowledgement of a configuration for which
    /// a node may still act on an older one (rule CONFIG).
    #[must_use]
    pub fn configuration_propagation_timeout(&self) -> Duration {
        duration_from_millis(self.configuration_propagation_timeout_ms, Duration::from_secs(2))
    }

    /// Returns `backMs` (250 ms by default): the time for which a node may still act on an older
    /// configuration after it acted on a newer one (rule CONFIG).
    #[must_use]
    pub fn configuration_regression_tolerance(&self) -> Duration {
        duration_from_millis(self.configuration_regression_tolerance_ms, Duration::from_millis(250))
    }

    /// Returns `stretchMs` (5 s by default): the time by which an unstable core (see
    /// [`Self::stabilization_period`]) extends [`Self::configuration_propagation_timeout`].
    #[must_use]
    pub fn unstable_core_extension(&self) -> Duration {
        duration_from_millis(self.unstable_core_extension_ms, Duration::from_secs(5))
    }

    /// Returns `recoverS` (12 s by default): the time within which the system must serve again after the
    /// machines returned from the last fault of a day (rule RECOVER).
    #[must_use]
    pub fn recovery_timeout(&self) -> Duration {
        duration_from_secs(self.recovery_timeout_s, Duration::from_secs(12))
    }

    /// Returns `pass_ms` (120 ms by default): the time within which an event of a stream must get from its
    /// server to the client.
    #[must_use]
    pub fn event_forwarding_timeout(&self) -> Duration {
        duration_from_millis(self.event_forwarding_timeout_ms, Duration::from_millis(120))
    }

    /// Returns `again_s` (0 s by default): a duration that the platform's documents do not explain and that
    /// the system does not use.
    #[must_use]
    pub fn again_duration(&self) -> Duration {
        duration_from_secs(self.again_s, Duration::ZERO)
    }

    /// Returns `finishS` (10 s by default): the time that batch jobs may continue to run after the end of
    /// client traffic.
    #[must_use]
    pub fn batch_completion_extension(&self) -> Duration {
        duration_from_secs(self.batch_completion_extension_s, Duration::from_secs(10))
    }

    /// Returns `statusS` (120 s by default): the time after the submission of a batch job for which its
    /// results must be kept.
    #[must_use]
    pub fn result_retention(&self) -> Duration {
        duration_from_secs(self.result_retention_s, Duration::from_secs(120))
    }

    /// Returns `recallMs` (3 s by default): the time after the acknowledged end of a batch job for which its
    /// items may still run (rule UNASKED).
    #[must_use]
    pub fn cancellation_timeout(&self) -> Duration {
        duration_from_millis(self.cancellation_timeout_ms, Duration::from_secs(3))
    }

    /// Returns `settleMs` (1 s by default): the time within which an accepted batch job must be visible at a
    /// node (rule LOST).
    #[must_use]
    pub fn batch_job_propagation_timeout(&self) -> Duration {
        duration_from_millis(self.batch_job_propagation_timeout_ms, Duration::from_secs(1))
    }

    /// Returns `leaseMs` (3 s by default): the minimum time between orders of successive holders of the
    /// leader lease if servers do not check fencing tokens (rule ONE).
    #[must_use]
    pub fn leader_handover_interval(&self) -> Duration {
        duration_from_millis(self.leader_handover_interval_ms, Duration::from_secs(3))
    }

    /// Returns `thawMs` (300 ms by default): the time after the sender resumed or a network link was restored
    /// during which its orders do not count (rule ONE).
    #[must_use]
    pub fn resume_tolerance(&self) -> Duration {
        duration_from_millis(self.resume_tolerance_ms, Duration::from_millis(300))
    }

    /// Returns `quotaOver` (0.1 by default): the fraction of a quota by which its use may exceed it.
    #[must_use]
    pub fn quota_overshoot(&self) -> f64 {
        self.quota_overshoot.unwrap_or(DEFAULT_QUOTA_OVERSHOOT)
    }

    /// Returns `fenceChecked` (false by default): whether servers reject orders with a fencing token that is
    /// lower than the highest they have seen.
    #[must_use]
    pub fn servers_check_fencing(&self) -> bool {
        self.servers_check_fencing.unwrap_or(false)
    }
}
