//! Settings of the decision logic, and the check of their ranges.

use std::fmt;

use super::ServerEntry;

/// Group of servers that share one deduplication table for requests with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All servers share one table.
    All,
    /// The servers of one zone share a table.
    Zone,
    /// The servers of one cell share a table.
    Cell,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// The request may be repeated at any server and at any time.
    Safe,
    /// Repeats carry an idempotency key, by which the servers of the group discard them within a time window.
    Keyed {
        /// Servers that share the deduplication table with the server of the first attempt.
        group: DeduplicationScope,
        /// Length of the window in milliseconds, from the sending of the first attempt that may have run.
        window_ms: f64,
    },
    /// The request must never run twice.
    Unsafe,
}

impl Idempotency {
    /// Returns whether a request that may have run at `first` may be sent to `other` (within the window).
    #[must_use]
    pub fn allows_repeat(self, first: &ServerEntry, other: &ServerEntry) -> bool {
        match self {
            Self::Safe | Self::Keyed { group: DeduplicationScope::All, .. } => true,
            Self::Keyed { group: DeduplicationScope::Zone, .. } => first.zone == other.zone,
            Self::Keyed { group: DeduplicationScope::Cell, .. } => first.cell == other.cell,
            Self::Unsafe => false,
        }
    }

    /// Returns whether a request that may have run may be sent to any server (within the window).
    #[must_use]
    pub fn allows_repeat_anywhere(self) -> bool {
        matches!(self, Self::Safe | Self::Keyed { group: DeduplicationScope::All, .. })
    }

    /// Returns the length of the deduplication window in milliseconds; `None` without deduplication.
    #[must_use]
    pub fn window_ms(self) -> Option<f64> {
        match self {
            Self::Keyed { window_ms, .. } => Some(window_ms),
            Self::Safe | Self::Unsafe => None,
        }
    }
}

/// A class of requests with the same targets, value and idempotency.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// Latency target in milliseconds; answers within it have the full value.
    pub latency_target_ms: f64,
    /// Total time that a client waits, over all attempts, in milliseconds.
    pub deadline_ms: f64,
    /// Whether a request of the class may run more than once.
    pub idempotency: Idempotency,
    /// Value of an answer within the latency target, relative to the other classes.
    pub value: f64,
    /// Fraction of the value that an answer after the latency target has.
    pub late_value: f64,
}

impl RequestClass {
    /// Creates a class of value 1 whose late answers have no value.
    #[must_use]
    pub fn new(latency_target_ms: f64, deadline_ms: f64, idempotency: Idempotency) -> Self {
        Self { latency_target_ms, deadline_ms, idempotency, value: 1.0, late_value: 0.0 }
    }
}

/// How updates of the server list reach a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Changes are pushed to every node without a subscription.
    Push,
    /// Changes are sent only to nodes that have subscribed.
    Subscribe,
}

/// Meaning of the weight of a server in the server list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightMeaning {
    /// No meaning; the weight is always 1.
    None,
    /// Size of the server.
    Size,
    /// Size of the server, reduced by its load at an earlier time.
    Live,
}

/// Settings of a balancer, fixed at its creation. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct DecisionSettings {
    /// Classes of requests; a request refers to its class by index.
    pub classes: Vec<RequestClass>,
    /// Quota of each tenant in requests per second, over all nodes. Tenants without an entry have no quota.
    pub quotas_per_s: Vec<f64>,
    /// Fraction of its value that a request beyond the quota of its tenant keeps.
    pub over_quota_value: f64,
    /// Number of nodes that share the servers, at least 1.
    pub nodes: usize,
    /// Index of this node among the nodes, from zero.
    pub node_index: usize,
    /// Index of the zone of this node.
    pub zone: usize,
    /// Number of machine kinds of the servers.
    pub kinds: usize,
    /// How updates of the server list reach this node.
    pub discovery: DiscoveryMode,
    /// Meaning of the weights in the server list.
    pub weights: WeightMeaning,
    /// Maximum time between two polls of discovery by a node without a subscription.
    pub max_poll_interval_ms: f64,
    /// Time after the announcement of a drain or removal in which requests may still be sent to the server.
    pub drain_grace_ms: f64,
    /// Maximum number of attempts of one request; with zero, every request is rejected.
    pub max_attempts: usize,
    /// Whether two attempts of one request may be in flight at once.
    pub hedging: bool,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Maximum retry hint in an answer to a client; `None` if hints are not allowed.
    pub max_retry_after_ms: Option<f64>,
    /// Whether servers may be probed.
    pub probes: bool,
    /// Whether nodes may exchange messages.
    pub peers: bool,
    /// Whether responses carry a load report.
    pub responses_carry_load: bool,
    /// Whether answers to probes carry a load report. If responses do not either, no report ever arrives.
    pub probes_carry_load: bool,
    /// Price of sending one probe for each request, as a fraction of the result.
    pub probe_price: f64,
    /// Minimum fraction of its capacity that a server has at its start.
    pub warmup_initial_fraction: f64,
    /// Time from its start after which a server has its full capacity.
    pub warmup_ms: f64,
    /// Multiple of its capacity above which a warming server is overloaded, if sustained for
    /// `warmup_overload_ms`.
    pub warmup_overload_factor: f64,
    /// Time over which the load of a warming server is compared with `warmup_overload_factor`.
    pub warmup_overload_ms: f64,
    /// Price of wasted server work, as a fraction of the result.
    pub waste_price: f64,
    /// Price of requests that cross zones, as a fraction of the result.
    pub cross_zone_price: f64,
}

impl DecisionSettings {
    /// Creates settings with these classes for a single node; all other settings get their defaults.
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

    /// Returns the mean latency target of the classes in ms, which is the time scale of all estimates.
    pub(crate) fn mean_latency_target_ms(&self) -> f64 {
        self.classes.iter().map(|c| c.latency_target_ms).sum::<f64>() / self.classes.len() as f64
    }

    /// Returns the longest deadline of all classes, in milliseconds.
    pub(crate) fn longest_deadline_ms(&self) -> f64 {
        self.classes.iter().map(|class| class.deadline_ms).fold(0.0, f64::max)
    }

    /// Checks that every number is in its range.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first setting out of range.
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

/// Error about a setting that is missing or out of range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    key: &'static str,
}

impl SettingsError {
    /// Returns the name of the setting for operators, which may differ from the name of the field.
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
