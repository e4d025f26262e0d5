//! Two operators that change the configuration at the same time, and a trainer that names versions.

mod order;

use std::collections::BTreeMap;
use std::time::Duration;

use fastrand::Rng;

use super::checker::Checker;
use super::convergence::Unconverged;
use super::violation::{AcknowledgedChange, ConfigurationViolation, SimulationViolation};
use crate::{ExternalReply, Fleet, OperatorOrder};

use order::{Intent, Order, OrderProgress};

/// Mixed into the seed, so that these draws differ from the others of a run.
const SEED_SALT: u64 = 0x6f70_6572_6174_6f72;
/// How many orders are pending at once at most.
const MAX_PENDING_ORDERS: usize = 8;
/// One of so many orders is sent once more after it was acknowledged.
const REPEATED_ONE_IN: usize = 4;
/// The delay of such a repetition, in milliseconds.
const REPETITION_DELAY_MS: std::ops::Range<u64> = 10..6000;
/// The model whose versions are named.
const MODEL: &str = "m";
/// Time from one named version to the next.
const VERSION_INTERVAL: Duration = Duration::from_secs(2);
/// Time from one turn to the next until the first configuration is acknowledged.
const START_TICK_INTERVAL: Duration = Duration::from_millis(20);

/// The operators.
pub(super) struct Operators {
    random: Rng,
    changes_per_second: f64,
    pending: Vec<Order>,
    next_change: Duration,
    next_version: Duration,
    /// How many routes were added.
    route_count: u64,
    /// The newest version of the configuration that was acknowledged to an operator or read by one.
    known_version: u64,
    /// Acknowledged changes, by the version that they build on.
    acknowledged: BTreeMap<u64, AcknowledgedChange>,
    /// Routes of rejected changes.
    rejected_routes: Vec<String>,
    /// The newest version of the model that was named.
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
            known_version: 0,
            acknowledged: BTreeMap::new(),
            rejected_routes: Vec::new(),
            target_version: 1,
            longest_order: Duration::ZERO,
        }
    }

    /// Puts the first configuration, and lets time pass until it is acknowledged.
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

    /// Starts orders that are due, sends attempts, and checks replies.
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

    /// How many changes were acknowledged.
    pub(super) fn acknowledged_changes(&self) -> usize {
        self.acknowledged.len()
    }

    /// The longest time from an order to its conclusive reply.
    pub(super) fn longest_order(&self) -> Duration {
        self.longest_order
    }

    /// An order without a conclusive reply, if there is one.
    pub(super) fn pending_order(&self) -> Option<Unconverged> {
        let order = self.pending.first()?;
        Some(Unconverged::PendingOrder { order: order.intent.to_string(), since: order.started })
    }

    /// Every acknowledged change is among the committed values, and the newest is known.
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

    /// Starts a read or a change if one is due; now and then both operators build on the same version.
    fn add_order_if_due(&mut self, now: Duration) {
        if now < self.next_change || self.pending.len() >= MAX_PENDING_ORDERS {
            return;
        }
        let pause = Duration::from_secs_f64(self.random.f64() * 2.0 / self.changes_per_second);
        self.next_change = now + pause;
        match self.random.u8(..10) {
            0 => self.push_read(now),
            drawn => {
                self.push_change(now, drawn % 2 == 0);
                if drawn > 7 && self.pending.len() < MAX_PENDING_ORDERS {
                    self.push_change(now, drawn % 2 == 1);
                }
            }
        }
    }

    /// Names the next version if it is due and no other is being named.
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

    fn push_read(&mut self, now: Duration) {
        let intent = Intent::Read { at_least: self.known_version };
        self.pending.push(Order::new(now, intent, OperatorOrder::Read));
    }

    fn push_change(&mut self, now: Duration, is_patch: bool) {
        let expected = self.known_version;
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

    fn send_attempts(&mut self, fleet: &mut Fleet) {
        let nodes = fleet.present_nodes();
        for order in &mut self.pending {
            order.send_if_due(fleet, &nodes, &mut self.random);
        }
    }

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

    /// Checks a conclusive reply; returns the order if it is sent once more.
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
                self.known_version = self.known_version.max(version);
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

    /// At most one change is acknowledged on top of each version, and none that was rejected.
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
        self.known_version = self.known_version.max(change.version);
        Ok(())
    }

    /// Another change has won on top of the version, unless this one was acknowledged before.
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
        if expected >= self.known_version {
            // The newest version is read before the next change.
            self.push_read(now);
        }
        self.rejected_routes.push(route.to_owned());
        Ok(())
    }

    /// Sends some acknowledged orders once more, possibly much later.
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
