//! Simulated operators, who change and read the configuration concurrently, and a trainer that sets target
//! versions.

mod order;

use std::collections::BTreeMap;
use std::time::Duration;

use fastrand::Rng;

use super::checker::Checker;
use super::convergence::Unconverged;
use super::violation::{AcknowledgedChange, ConfigurationViolation, SimulationViolation};
use crate::{ExternalReply, Fleet, OperatorOrder};

use order::{Intent, Order, OrderProgress};

/// XORed with the seed, so that the operators' random numbers are independent of the others of a run.
const SEED_SALT: u64 = 0x6f70_6572_6174_6f72;
/// Number of pending orders at which no further changes and reads are started.
const MAX_PENDING_ORDERS: usize = 8;
/// One in this number of acknowledged changes is sent again.
const REPEATED_ONE_IN: usize = 4;
/// Range of the delay before an acknowledged change is sent again, in milliseconds.
const REPETITION_DELAY_MS: std::ops::Range<u64> = 10..6000;
/// Name of the model whose target version is set.
const MODEL: &str = "m";
/// Time between two changes of the target version.
const VERSION_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two ticks until the first configuration is acknowledged.
const START_TICK_INTERVAL: Duration = Duration::from_millis(20);

/// The operators of a run, with their pending orders and the replies that they have received.
pub(super) struct Operators {
    random: Rng,
    changes_per_second: f64,
    pending: Vec<Order>,
    /// The time at which the next change or read is due.
    next_change: Duration,
    /// The time at which the next target version is due.
    next_version: Duration,
    /// Number of routes that changes add, acknowledged or not.
    route_count: u64,
    /// The newest version of the configuration that was acknowledged to an operator or read by one.
    newest_version: u64,
    /// Acknowledged changes, by the version of the configuration that they change.
    acknowledged: BTreeMap<u64, AcknowledgedChange>,
    /// Names of the routes of rejected changes.
    rejected_routes: Vec<String>,
    /// The newest acknowledged target version of the model.
    target_version: u64,
    /// The longest time from an order to its conclusive reply.
    longest_order: Duration,
}

impl Operators {
    pub(super) fn new(seed: u64, changes_per_second: f64) -> Self {
        Self {
            random: Rng::with_seed(seed ^ SEED_SALT),
            changes_per_second,
            pending: Vec::new(),
            next_change: Duration::ZERO,
            next_version: Duration::ZERO,
            route_count: 0,
            newest_version: 0,
            acknowledged: BTreeMap::new(),
            rejected_routes: Vec::new(),
            target_version: 1,
            longest_order: Duration::ZERO,
        }
    }

    /// Sends the first configuration and advances the fleet until it is acknowledged.
    pub(super) fn put_first_configuration(
        &mut self,
        fleet: &mut Fleet,
        timeout: Duration,
    ) -> Result<(), SimulationViolation> {
        let deadline = fleet.now + timeout;
        self.push_change(fleet.now, false);
        while !self.pending.is_empty() {
            if fleet.now > deadline {
                return Err(ConfigurationViolation::NotStarted.into());
            }
            self.tick(fleet, false)?;
            fleet.run_for(START_TICK_INTERVAL);
        }
        self.next_version = fleet.now + VERSION_INTERVAL;
        Ok(())
    }

    /// Starts due orders if `starts_new_orders`, sends due attempts, and checks replies.
    pub(super) fn tick(
        &mut self,
        fleet: &mut Fleet,
        starts_new_orders: bool,
    ) -> Result<(), SimulationViolation> {
        if starts_new_orders {
            self.add_order_if_due(fleet.now);
            self.set_target_version_if_due(fleet.now);
        }
        self.send_attempts(fleet);
        self.take_replies(fleet)
    }

    /// Returns the number of acknowledged changes.
    pub(super) fn acknowledged_changes(&self) -> usize {
        self.acknowledged.len()
    }

    /// Returns the longest time from an order to its conclusive reply.
    pub(super) fn longest_order(&self) -> Duration {
        self.longest_order
    }

    /// Returns the first order without a conclusive reply; `None` if there is none.
    pub(super) fn pending_order(&self) -> Option<Unconverged> {
        let order = self.pending.first()?;
        Some(Unconverged::PendingOrder { order: order.intent.to_string(), since: order.started })
    }

    /// Checks that each committed version that was acknowledged contains the acknowledged change, and that
    /// the newest acknowledged version was committed.
    pub(super) fn check_acknowledged(&self, checker: &Checker) -> Result<(), ConfigurationViolation> {
        for (expected, AcknowledgedChange { version, route }) in &self.acknowledged {
            let Some(state) = checker.state_with_configuration(*version) else { continue };
            let has_route =
                state.configuration.text().is_ok_and(|text| text.contains(&format!("\"{route}\"")));
            if !has_route {
                let (expected, version) = (*expected, *version);
                return Err(ConfigurationViolation::ChangeReplaced { expected, version });
            }
        }
        let newest = self.acknowledged.values().map(|change| change.version).max().unwrap_or(0);
        match checker.state_with_configuration(newest) {
            Some(_) => Ok(()),
            None => Err(ConfigurationViolation::ChangeLost { version: newest }),
        }
    }

    /// Starts a read or a change if one is due. In a fifth of the cases it starts two changes of the same
    /// version, of which only one may be acknowledged.
    fn add_order_if_due(&mut self, now: Duration) {
        if now < self.next_change || self.pending.len() >= MAX_PENDING_ORDERS {
            return;
        }
        let pause = Duration::from_secs_f64(self.random.f64() * 2.0 / self.changes_per_second);
        self.next_change = now + pause;
        match self.random.u8(..10) {
            0 => self.push_read(now),
            choice => {
                self.push_change(now, choice % 2 == 0);
                if choice > 7 && self.pending.len() < MAX_PENDING_ORDERS {
                    self.push_change(now, choice % 2 == 1);
                }
            }
        }
    }

    /// Sets the next target version if it is due and no earlier one is pending.
    fn set_target_version_if_due(&mut self, now: Duration) {
        let is_setting_version =
            self.pending.iter().any(|order| matches!(order.intent, Intent::SetTargetVersion { .. }));
        if now < self.next_version || is_setting_version {
            return;
        }
        self.next_version = now + VERSION_INTERVAL;
        let version = self.target_version + 1;
        let request = OperatorOrder::SetTargetVersion { model: MODEL.into(), version };
        self.pending.push(Order::new(now, Intent::SetTargetVersion { version }, request));
    }

    /// Adds a read of the configuration.
    fn push_read(&mut self, now: Duration) {
        let intent = Intent::Read { at_least: self.newest_version };
        self.pending.push(Order::new(now, intent, OperatorOrder::Read));
    }

    /// Adds a change of the newest version of the configuration that an operator has seen, as a patch or as a
    /// complete document.
    fn push_change(&mut self, now: Duration, is_patch: bool) {
        let expected = self.newest_version;
        let version = expected + self.random.u64(1..4);
        self.route_count += 1;
        let route = format!("r-{}", self.route_count);
        let request = if is_patch && expected > 0 {
            OperatorOrder::Patch { expected, body: patch_document(version, &route) }
        } else {
            OperatorOrder::Put { expected, body: configuration_document(version, &route) }
        };
        self.pending.push(Order::new(now, Intent::Change { expected, version, route }, request));
    }

    /// Sends the due attempts of all pending orders.
    fn send_attempts(&mut self, fleet: &mut Fleet) {
        let nodes = fleet.present_nodes();
        for order in &mut self.pending {
            order.send_if_due(fleet, &nodes, &mut self.random);
        }
    }

    /// Handles the replies that have arrived.
    fn take_replies(&mut self, fleet: &mut Fleet) -> Result<(), SimulationViolation> {
        let orders = std::mem::take(&mut self.pending);
        let mut still_pending = Vec::new();
        for mut order in orders {
            match order.take_reply(fleet, &mut self.random) {
                OrderProgress::Pending => still_pending.push(order),
                OrderProgress::Replied(reply) => {
                    still_pending.extend(self.handle_reply(fleet.now, order, &reply)?);
                }
            }
        }
        // Handling a reply may have added orders.
        self.pending.append(&mut still_pending);
        Ok(())
    }

    /// Checks a conclusive reply. Returns the order if it is to be sent again.
    fn handle_reply(
        &mut self,
        now: Duration,
        order: Order,
        reply: &ExternalReply,
    ) -> Result<Option<Order>, SimulationViolation> {
        self.longest_order = self.longest_order.max(now - order.started);
        match (&order.intent, reply) {
            (Intent::Change { expected, version, route }, ExternalReply::Status(200)) => {
                let change = AcknowledgedChange { version: *version, route: route.clone() };
                self.record_acknowledged(*expected, change)?;
                return Ok(self.maybe_repeat(now, order));
            }
            (Intent::Change { expected, route, .. }, ExternalReply::Status(412)) => {
                self.record_rejected(now, *expected, route, order.is_repetition)?;
            }
            (Intent::Read { at_least }, ExternalReply::Configuration(version, _)) => {
                let (version, at_least) = (*version, *at_least);
                if version < at_least {
                    return Err(ConfigurationViolation::StaleRead { version, at_least }.into());
                }
                self.newest_version = self.newest_version.max(version);
            }
            (Intent::SetTargetVersion { version }, ExternalReply::Status(200)) => {
                self.target_version = *version
            }
            (intent, reply) => {
                let (request, reply) = (intent.to_string(), reply.clone());
                return Err(SimulationViolation::UnexpectedReply { request, reply });
            }
        }
        Ok(None)
    }

    /// Records an acknowledged change. Checks that it was not rejected before, and that it is the only
    /// acknowledged change of its version.
    fn record_acknowledged(
        &mut self,
        expected: u64,
        change: AcknowledgedChange,
    ) -> Result<(), ConfigurationViolation> {
        if self.rejected_routes.contains(&change.route) {
            return Err(ConfigurationViolation::AcknowledgedAfterRejection { route: change.route });
        }
        let first = self.acknowledged.entry(expected).or_insert_with(|| change.clone());
        if *first != change {
            let changes = Box::new([first.clone(), change]);
            return Err(ConfigurationViolation::BothAcknowledged { expected, changes });
        }
        self.newest_version = self.newest_version.max(change.version);
        Ok(())
    }

    /// Records a rejected change, whose version another change has replaced. A change that was acknowledged
    /// before must not be rejected.
    fn record_rejected(
        &mut self,
        now: Duration,
        expected: u64,
        route: &str,
        is_repetition: bool,
    ) -> Result<(), ConfigurationViolation> {
        if is_repetition {
            return Err(ConfigurationViolation::RejectedAfterAcknowledgement { route: route.to_owned() });
        }
        if expected >= self.newest_version {
            // The version that caused the rejection is newer than any that the operators have seen.
            self.push_read(now);
        }
        self.rejected_routes.push(route.to_owned());
        Ok(())
    }

    /// Returns an acknowledged change to be sent again after a random delay, in one of [`REPEATED_ONE_IN`]
    /// cases. The repetition must be acknowledged too.
    fn maybe_repeat(&mut self, now: Duration, order: Order) -> Option<Order> {
        if order.is_repetition || self.random.usize(..REPEATED_ONE_IN) > 0 {
            return None;
        }
        let delay = Duration::from_millis(self.random.u64(REPETITION_DELAY_MS));
        Some(order.repeat(now + delay))
    }
}

fn patch_document(version: u64, route: &str) -> String {
    format!(r#"{{"edition":{version},"loadIn":{{"routes":[{}]}}}}"#, route_document(route))
}

fn configuration_document(version: u64, route: &str) -> String {
    format!(
        r#"{{"edition":{version},"routes":[{}],"postalLines":[{{"name":"s","healthPath":"/health"}}]}}"#,
        route_document(route)
    )
}

fn route_document(name: &str) -> String {
    format!(
        r#"{{"name":"{name}","depot":"h","lanePrefix":"/{name}/","kind":"rollout","expiryMs":1500,"postalLine":"s"}}"#
    )
}
