//! Settings of the decision module, and the check of their ranges.

use std::fmt;

use super::ServerEntry;

/// The servers that share one deduplication table for requests with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every server.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// What running a request twice does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// Nothing: it may be repeated freely.
    Safe,
    /// Repeats carry an idempotency key and are discarded, for a while, by the servers that know the key.
    Keyed {
        /// The servers that discard repeats.
        group: DeduplicationScope,
        /// For how long, in milliseconds from the sending of the first attempt that may have run.
        window_ms: f64,
    },
    /// It must never run twice.
    Unsafe,
}

impl Idempotency {
    /// Whether a request that may have run at `first` may be sent to `other`.
    #[must_use]
    pub fn allows_repeat(self, first: &ServerEntry, other: &ServerEntry) -> bool {
        match self {
            Self::Safe | Self::Keyed { group: DeduplicationScope::All, .. } => true,
            Self::Keyed { group: DeduplicationScope::Zone, .. } => first.zone == other.zone,
            Self::Keyed { group: DeduplicationScope::Cell, .. } => first.cell == other.cell,
            Self::Unsafe => false,
        }
    }

    /// Whether a request that may have run may be sent to any server.
    #[must_use]
    pub fn allows_repeat_anywhere(self) -> bool {
        matches!(self, Self::Safe | Self::Keyed { group: DeduplicationScope::All, .. })
    }

    /// For how long repeats are discarded, in milliseconds, where they are.
    #[must_use]
    pub fn window_ms(self) -> Option<f64> {
        match self {
            Self::Keyed { window_ms, .. } => Some(window_ms),
            Self::Safe | Self::Unsafe => None,
        }
    }
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Latency target in milliseconds: answers within it have the full value.
    pub latency_target_ms: f64,
    /// What a client waits in all, over every attempt, in milliseconds.
    pub deadline_ms: f64,
    /// What running a request twice does.
    pub idempotency: Idempotency,
    /// Value of an answer within the latency target.
    pub value: f64,
    /// Fraction of the value that a later answer keeps.
    pub late_value: f64,
}

impl RequestClass {
    /// A class of value one whose late answers have no value.
    #[must_use]
    pub fn new(latency_target_ms: f64, deadline_ms: f64, idempotency: Idempotency) -> Self {
        Self { latency_target_ms, deadline_ms, idempotency, value: 1.0, late_value: 0.0 }
    }
}

/// How the list of servers reaches a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Changes are pushed without a subscription.
    Push,
    /// Changes come only to a node that has subscribed.
    Subscribe,
}

/// What the listed weight of a server means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightMeaning {
    /// Nothing: it is always one.
    None,
    /// The server's size.
    Size,
    /// The server's size lowered by its load of some time ago.
    Live,
}

/// What a balancer is configured with at its start. Times are milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct DecisionSettings {
    /// Classes of requests; a request names one by index.
    pub classes: Vec<RequestClass>,
    /// Requests per second that each tenant may send through all nodes together.
    pub quotas_per_s: Vec<f64>,
    /// Fraction of the value that a request beyond its tenant's quota keeps.
    pub over_quota_value: f64,
    /// Number of nodes that share the servers.
    pub nodes: usize,
    /// The node's own number among them, from zero.
    pub node_index: usize,
    /// The node's own zone.
    pub zone: usize,
    /// Number of machine kinds.
    pub kinds: usize,
    /// How the list of servers arrives.
    pub discovery: DiscoveryMode,
    /// What the listed weights mean.
    pub weights: WeightMeaning,
    /// A node without a subscription must poll discovery again within this time.
    pub max_poll_interval_ms: f64,
    /// Requests may still be sent to a server for this long after discovery announced that it drains or is removed.
    pub drain_grace_ms: f64,
    /// Attempts allowed for one request; with zero, every request is rejected.
    pub max_attempts: usize,
    /// Whether two attempts of one request may be in flight at once.
    pub hedging: bool,
    /// Whether an attempt may be cancelled.
    pub cancel: bool,
    /// The longest retry hint that a client may be given; `None` where none may be given.
    pub max_retry_after_ms: Option<f64>,
    /// Whether servers may be probed.
    pub probes: bool,
    /// Whether nodes may send each other messages.
    pub peers: bool,
    /// Whether responses carry the load report.
    pub responses_carry_load: bool,
    /// Whether probes carry it. Where neither does, no report ever comes.
    pub probes_carry_load: bool,
    /// Price of one probe for each request, as a fraction of the result.
    pub probe_price: f64,
    /// A server that has just started has at least this fraction of its capacity.
    pub warmup_initial_fraction: f64,
    /// Time after which it has all of it.
    pub warmup_ms: f64,
    /// A warming server is overloaded when sent more than this multiple of its capacity ...
    pub warmup_overload_factor: f64,
    /// ... for this long.
    pub warmup_overload_ms: f64,
    /// Price of wasted server work, as a fraction of the result.
    pub waste_price: f64,
    /// Price of requests that cross zones, as a fraction of the result.
    pub cross_zone_price: f64,
}

impl DecisionSettings {
    /// Settings for one node with these classes; the rest is what an unrestricted site would use.
    #[must_use]
    pub fn new(classes: Vec<RequestClass>) -> Self {
        Self {
            classes,
            quotas_per_s: Vec::new(),
            over_quota_value: 1.0,
            nodes: 1,
            node_index: 0,
            zone: 0,
            kinds: 1,
            discovery: DiscoveryMode::Push,
            weights: WeightMeaning::None,
            max_poll_interval_ms: 10_000.0,
            drain_grace_ms: 2_000.0,
            max_attempts: 3,
            hedging: false,
            cancel: true,
            max_retry_after_ms: None,
            probes: false,
            peers: false,
            responses_carry_load: true,
            probes_carry_load: true,
            probe_price: 0.0,
            warmup_initial_fraction: 1.0,
            warmup_ms: 0.0,
            warmup_overload_factor: 2.0,
            warmup_overload_ms: 1_000.0,
            waste_price: 0.0,
            cross_zone_price: 0.0,
        }
    }

    /// Mean latency target of the classes, in milliseconds: the time scale of all estimates.
    pub(crate) fn mean_latency_target_ms(&self) -> f64 {
        self.classes.iter().map(|c| c.latency_target_ms).sum::<f64>() / self.classes.len() as f64
    }

    /// The longest deadline of any class, in milliseconds.
    pub(crate) fn longest_deadline_ms(&self) -> f64 {
        self.classes.iter().map(|class| class.deadline_ms).fold(0.0, f64::max)
    }

    /// Checks that every figure is in range.
    ///
    /// # Errors
    ///
    /// Names the first setting that is not.
    pub fn validate(&self) -> Result<(), SettingsError> {
        require(!self.classes.is_empty(), "classes")?;
        self.classes.iter().try_for_each(RequestClass::validate)?;
        require(self.quotas_per_s.iter().all(|q| is_non_negative(*q)), "quotas_per_s")?;
        require(is_non_negative(self.over_quota_value), "over_quota_worth")?;
        require(self.nodes > 0, "nodes")?;
        require(is_non_negative(self.max_poll_interval_ms), "ask_within_ms")?;
        require(is_non_negative(self.drain_grace_ms), "drain_grace_ms")?;
        require(self.max_retry_after_ms.is_none_or(is_non_negative), "max_retry_after_ms")?;
        require((0.0..=1.0).contains(&self.warmup_initial_fraction), "cold_from")?;
        require(is_non_negative(self.warmup_ms), "cold_ms")?;
        require(is_non_negative(self.warmup_overload_factor), "tip_multiple")?;
        require(is_non_negative(self.warmup_overload_ms), "tip_after_ms")?;
        require(is_non_negative(self.probe_price), "probe_price")?;
        require(is_non_negative(self.waste_price), "waste_price")?;
        require(is_non_negative(self.cross_zone_price), "cross_zone_price")
    }
}

impl RequestClass {
    fn validate(&self) -> Result<(), SettingsError> {
        require(is_positive(self.latency_target_ms), "classes[].aim_ms")?;
        require(is_positive(self.deadline_ms), "classes[].deadline_ms")?;
        require(is_non_negative(self.value), "classes[].worth")?;
        require(is_non_negative(self.late_value), "classes[].late_worth")?;
        match self.idempotency {
            Idempotency::Keyed { window_ms, .. } => {
                require(is_non_negative(window_ms), "classes[].window_ms")
            }
            Idempotency::Safe | Idempotency::Unsafe => Ok(()),
        }
    }
}

fn require(in_range: bool, key: &'static str) -> Result<(), SettingsError> {
    if in_range {
        Ok(())
    } else {
        Err(SettingsError { key })
    }
}

fn is_positive(x: f64) -> bool {
    x.is_finite() && x > 0.0
}

fn is_non_negative(x: f64) -> bool {
    x.is_finite() && x >= 0.0
}

/// A setting that is missing or out of range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    key: &'static str,
}

impl SettingsError {
    /// The name of the setting, as operators know it.
    #[must_use]
    pub fn key(&self) -> &str {
        self.key
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting `{}` is missing or out of range", self.key)
    }
}

impl std::error::Error for SettingsError {}
