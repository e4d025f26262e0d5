//! Figures of the rules.

use std::time::Duration;

use serde::Deserialize;
use validator::Validate;

const QUOTA_OVER_DEFAULT: f64 = 0.1;

/// A time in milliseconds, or the default where the file has none or one below 0.
pub(crate) fn milliseconds(figure: Option<f64>, default: Duration) -> Duration {
    figure.map_or(default, |figure| Duration::try_from_secs_f64(figure / 1000.0).unwrap_or(default))
}

/// A time in seconds, or the default where the file has none or one below 0.
pub(crate) fn seconds(figure: Option<f64>, default: Duration) -> Duration {
    figure.map_or(default, |figure| Duration::try_from_secs_f64(figure).unwrap_or(default))
}

/// Figures of the rules. All may be absent.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Validate)]
#[serde(default)]
pub struct Timetable {
    #[serde(rename = "seedLagS")]
    #[validate(range(min = 0.0, message = "timetable.seedLagS is below 0"))]
    seed_lag: Option<f64>,
    #[serde(rename = "reuseAfterS")]
    #[validate(range(min = 0.0, message = "timetable.reuseAfterS is below 0"))]
    reuse_after: Option<f64>,
    #[serde(rename = "touchMs")]
    #[validate(range(min = 0.0, message = "timetable.touchMs is below 0"))]
    touch: Option<f64>,
    #[serde(rename = "receiptMs")]
    #[validate(range(min = 0.0, message = "timetable.receiptMs is below 0"))]
    receipt: Option<f64>,
    #[serde(rename = "catchUpS")]
    #[validate(range(min = 0.0, message = "timetable.catchUpS is below 0"))]
    catch_up: Option<f64>,
    #[serde(rename = "drainMs")]
    #[validate(range(min = 0.0, message = "timetable.drainMs is below 0"))]
    drain: Option<f64>,
    #[serde(rename = "graceS")]
    #[validate(range(min = 0.0, message = "timetable.graceS is below 0"))]
    grace: Option<f64>,
    #[serde(rename = "lostMs")]
    #[validate(range(min = 0.0, message = "timetable.lostMs is below 0"))]
    lost: Option<f64>,
    #[serde(rename = "inForceMs")]
    #[validate(range(min = 0.0, message = "timetable.inForceMs is below 0"))]
    in_force: Option<f64>,
    #[serde(rename = "backMs")]
    #[validate(range(min = 0.0, message = "timetable.backMs is below 0"))]
    back: Option<f64>,
    #[serde(rename = "stretchMs")]
    #[validate(range(min = 0.0, message = "timetable.stretchMs is below 0"))]
    stretch: Option<f64>,
    #[serde(rename = "recoverS")]
    #[validate(range(min = 0.0, message = "timetable.recoverS is below 0"))]
    recover: Option<f64>,
    #[serde(rename = "pass_ms")]
    #[validate(range(min = 0.0, message = "timetable.pass_ms is below 0"))]
    pass: Option<f64>,
    #[serde(rename = "again_s")]
    #[validate(range(min = 0.0, message = "timetable.again_s is below 0"))]
    again: Option<f64>,
    #[serde(rename = "finishS")]
    #[validate(range(min = 0.0, message = "timetable.finishS is below 0"))]
    finish: Option<f64>,
    #[serde(rename = "statusS")]
    #[validate(range(min = 0.0, message = "timetable.statusS is below 0"))]
    status: Option<f64>,
    #[serde(rename = "recallMs")]
    #[validate(range(min = 0.0, message = "timetable.recallMs is below 0"))]
    recall: Option<f64>,
    #[serde(rename = "settleMs")]
    #[validate(range(min = 0.0, message = "timetable.settleMs is below 0"))]
    settle: Option<f64>,
    #[serde(rename = "leaseMs")]
    #[validate(range(min = 0.0, message = "timetable.leaseMs is below 0"))]
    lease: Option<f64>,
    #[serde(rename = "thawMs")]
    #[validate(range(min = 0.0, message = "timetable.thawMs is below 0"))]
    thaw: Option<f64>,
    #[serde(rename = "quotaOver")]
    quota_over: Option<f64>,
    #[serde(rename = "fenceChecked")]
    fence_checked: Option<bool>,
}

/// The shortest silence after which a member may be replaced ...
const MEMBER_SILENCE_LEAST: Duration = Duration::from_secs(1);
/// ... and the longest that is waited for.
const MEMBER_SILENCE_MOST: Duration = Duration::from_secs(4);

impl Timetable {
    pub(crate) const BEAT_DEFAULT: Duration = Duration::from_millis(1200);

    /// How far the operator's list of nodes lags.
    #[must_use]
    pub fn seed_lag(&self) -> Duration {
        seconds(self.seed_lag, Duration::from_secs(3))
    }

    /// How long after the end of a server its address may go to another service.
    #[must_use]
    pub fn reuse_after(&self) -> Duration {
        seconds(self.reuse_after, Duration::from_secs(2))
    }

    /// How long a machine has to be without trouble to be in touch.
    #[must_use]
    pub fn touch(&self) -> Duration {
        milliseconds(self.touch, Duration::from_secs(3))
    }

    /// How long the operator waits for an acknowledgement.
    #[must_use]
    pub fn receipt(&self) -> Duration {
        milliseconds(self.receipt, Duration::from_secs(4))
    }

    /// How long a machine that returned counts as lost.
    #[must_use]
    pub fn catch_up(&self) -> Duration {
        seconds(self.catch_up, Duration::from_secs(5))
    }

    /// A member that is silent for this long is gone where another machine waits to take its place.
    ///
    /// The successor of a machine that is gone has [`Self::catch_up`] from its start until the next machine may be
    /// lost. In that time its process must find the others, the silence must be noticed, and the change must be
    /// committed and known to a majority. Two fifths of it for the silence leave as much for the rest, and more than
    /// the second in which a killed process is back, for the shortest catch-up time that the operators give.
    #[must_use]
    pub fn member_silence(&self) -> Duration {
        (self.catch_up() * 2 / 5).clamp(MEMBER_SILENCE_LEAST, MEMBER_SILENCE_MOST)
    }

    /// How long a closing server may still be sent requests.
    #[must_use]
    pub fn drain(&self) -> Duration {
        milliseconds(self.drain, Duration::from_secs(3))
    }

    /// Time from SIGTERM to SIGKILL.
    #[must_use]
    pub fn grace(&self) -> Duration {
        seconds(self.grace, Duration::from_secs(8))
    }

    /// After this long a request that was read whole may not be lost.
    #[must_use]
    pub fn lost(&self) -> Duration {
        milliseconds(self.lost, Duration::from_millis(200))
    }

    /// How long a node may take to act on an acknowledged configuration.
    #[must_use]
    pub fn in_force(&self) -> Duration {
        milliseconds(self.in_force, Duration::from_secs(2))
    }

    /// How long a node may still act on an older configuration after a newer.
    #[must_use]
    pub fn back(&self) -> Duration {
        milliseconds(self.back, Duration::from_millis(250))
    }

    /// How much longer it may take while the core is unstable.
    #[must_use]
    pub fn stretch(&self) -> Duration {
        milliseconds(self.stretch, Duration::from_secs(5))
    }

    /// How long recovery after a final fault may take.
    #[must_use]
    pub fn recover(&self) -> Duration {
        seconds(self.recover, Duration::from_secs(12))
    }

    /// How long an event may take from its server to the client.
    #[must_use]
    pub fn pass(&self) -> Duration {
        milliseconds(self.pass, Duration::from_millis(120))
    }

    /// Not explained by the operators' pages.
    #[must_use]
    pub fn again(&self) -> Duration {
        seconds(self.again, Duration::ZERO)
    }

    /// How much longer batch jobs get after traffic has ended.
    #[must_use]
    pub fn finish(&self) -> Duration {
        seconds(self.finish, Duration::from_secs(10))
    }

    /// How long results are kept after a batch job was sent.
    #[must_use]
    pub fn status(&self) -> Duration {
        seconds(self.status, Duration::from_secs(120))
    }

    /// How long after the end of a batch job its items may still run.
    #[must_use]
    pub fn recall(&self) -> Duration {
        milliseconds(self.recall, Duration::from_secs(3))
    }

    /// How long a node may take to know an accepted batch job.
    #[must_use]
    pub fn settle(&self) -> Duration {
        milliseconds(self.settle, Duration::from_secs(1))
    }

    /// How long holders of the leader lease must be apart.
    #[must_use]
    pub fn lease(&self) -> Duration {
        milliseconds(self.lease, Duration::from_secs(3))
    }

    /// How long a thawed sender's orders are not counted.
    #[must_use]
    pub fn thaw(&self) -> Duration {
        milliseconds(self.thaw, Duration::from_millis(300))
    }

    /// Share by which a quota may be passed.
    #[must_use]
    pub fn quota_over(&self) -> f64 {
        self.quota_over.unwrap_or(QUOTA_OVER_DEFAULT)
    }

    /// Whether servers refuse orders with a fencing token below one that they saw.
    #[must_use]
    pub fn fence_checked(&self) -> bool {
        self.fence_checked.unwrap_or(false)
    }
}
