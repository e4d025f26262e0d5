//! Two operators that change the configuration at the same time, and a trainer that names versions.

use std::collections::BTreeMap;
use std::time::Duration;

use fastrand::Rng;

use super::checker::Checker;
use crate::{Fleet, OperatorOrder, Reply, Request};

/// How many orders are under way at once at most.
const ORDERS_MOST: usize = 8;
/// An answer that has not come by then counts as lost.
const PATIENCE: Duration = Duration::from_millis(1000);
/// The longest pause before an order is sent again.
const PAUSE_MOST: Duration = Duration::from_millis(800);
/// One of so many orders is sent once more after it was acknowledged.
const REPEATED_ONE_IN: usize = 4;
/// The model whose versions are named.
const MODEL: &str = "m";
/// The time between two versions that are named.
const VERSION_EVERY: Duration = Duration::from_secs(2);

/// What an order is.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Wanted {
    /// A change of the configuration to this version, with a route of this name, on top of a version.
    Change { expected: u64, edition: u64, route: String },
    /// Read the newest configuration, which is this one at least.
    Read { at_least: u64 },
    /// A version of the model.
    Name { version: u64 },
}

/// An order under way.
struct Order {
    wanted: Wanted,
    order: OperatorOrder,
    begun: Duration,
    tries: u32,
    /// The present call, and when it is given up.
    call: Option<(u64, Duration)>,
    next_try: Duration,
    /// It was acknowledged before, and is sent once more.
    is_repeated: bool,
}

/// The operators.
pub(super) struct Operators {
    random: Rng,
    per_second: f64,
    orders: Vec<Order>,
    next_change: Duration,
    next_version: Duration,
    next_route: u64,
    /// The newest version that an operator knows of.
    known: u64,
    /// Acknowledged changes: version, by the version that they build on.
    acknowledged: BTreeMap<u64, (u64, String)>,
    /// Routes of changes that were refused.
    refused: Vec<String>,
    named: u64,
    longest: Duration,
}

impl Operators {
    pub(super) fn new(seed: u64, per_second: f64) -> Self {
        Self {
            random: Rng::with_seed(seed ^ 0x6f70_6572_6174_6f72),
            per_second,
            orders: Vec::new(),
            next_change: Duration::ZERO,
            next_version: Duration::ZERO,
            next_route: 0,
            known: 0,
            acknowledged: BTreeMap::new(),
            refused: Vec::new(),
            named: 1,
            longest: Duration::ZERO,
        }
    }

    /// The first configuration is taken.
    pub(super) fn begin(&mut self, fleet: &mut Fleet, most: Duration) -> Result<(), String> {
        let until = fleet.now + most;
        self.add_change(fleet.now, false);
        while !self.orders.is_empty() {
            if fleet.now > until {
                return Err("the first configuration is not acknowledged".to_owned());
            }
            self.send(fleet);
            self.take_replies(fleet)?;
            fleet.run(Duration::from_millis(20));
        }
        self.next_version = fleet.now + VERSION_EVERY;
        Ok(())
    }

    pub(super) fn look(&mut self, fleet: &mut Fleet, starts_new: bool) -> Result<(), String> {
        if starts_new {
            self.start_new(fleet.now);
        }
        self.send(fleet);
        self.take_replies(fleet)
    }

    pub(super) fn acknowledged(&self) -> usize {
        self.acknowledged.len()
    }

    pub(super) fn longest(&self) -> Duration {
        self.longest
    }

    pub(super) fn unfinished(&self) -> Option<String> {
        self.orders
            .first()
            .map(|order| format!("{:?} has no clear answer since {:?}", order.wanted, order.begun))
    }

    /// Every acknowledged change stands in the order of committed values, and none that was refused does.
    pub(super) fn check_end(&self, checker: &Checker) -> Result<(), String> {
        for (expected, (edition, route)) in &self.acknowledged {
            let Some(state) = checker.of_edition(*edition) else { continue };
            if !state.configuration.text().is_ok_and(|text| text.contains(&format!("\"{route}\""))) {
                return Err(format!(
                    "version {edition} on top of {expected} is not the one that was acknowledged"
                ));
            }
        }
        let newest = self.acknowledged.values().map(|(edition, _)| *edition).max().unwrap_or(0);
        match checker.of_edition(newest) {
            Some(_) => Ok(()),
            None => Err(format!("version {newest} was acknowledged, and no process knows it")),
        }
    }

    fn start_new(&mut self, now: Duration) {
        if now >= self.next_change && self.orders.len() < ORDERS_MOST {
            let pause = Duration::from_secs_f64(self.random.f64() * 2.0 / self.per_second);
            self.next_change = now + pause;
            match self.random.u8(..10) {
                0 => self.add(now, Wanted::Read { at_least: self.known }, OperatorOrder::Read),
                drawn => {
                    self.add_change(now, drawn % 2 == 0);
                    // The other operator builds on the same version.
                    if drawn > 7 && self.orders.len() < ORDERS_MOST {
                        self.add_change(now, drawn % 2 == 1);
                    }
                }
            }
        }
        if now >= self.next_version
            && !self.orders.iter().any(|order| matches!(order.wanted, Wanted::Name { .. }))
        {
            self.next_version = now + VERSION_EVERY;
            let version = self.named + 1;
            self.add(now, Wanted::Name { version }, OperatorOrder::Name { model: MODEL.into(), version });
        }
    }

    fn add_change(&mut self, now: Duration, is_patch: bool) {
        let expected = self.known;
        let edition = expected + self.random.u64(1..4);
        self.next_route += 1;
        let route = format!("r-{}", self.next_route);
        let is_patch = is_patch && expected > 0;
        let order = if is_patch {
            let body = format!(r#"{{"edition":{edition},"loadIn":{{"routes":[{}]}}}}"#, route_of(&route));
            OperatorOrder::Patch { expected, body }
        } else {
            let body = format!(
                r#"{{"edition":{edition},"routes":[{}],"postalLines":[{{"name":"s","healthPath":"/health"}}]}}"#,
                route_of(&route)
            );
            OperatorOrder::Put { expected, body }
        };
        self.add(now, Wanted::Change { expected, edition, route }, order);
    }

    fn add(&mut self, now: Duration, wanted: Wanted, order: OperatorOrder) {
        let begun = now;
        self.orders.push(Order {
            wanted,
            order,
            begun,
            tries: 0,
            call: None,
            next_try: now,
            is_repeated: false,
        });
    }

    fn send(&mut self, fleet: &mut Fleet) {
        let nodes = fleet.present_nodes();
        for order in &mut self.orders {
            if order.call.is_none() && order.next_try <= fleet.now {
                let node = nodes[self.random.usize(..nodes.len())];
                let call = fleet.request(node, Request::Operator(order.order.clone()));
                order.call = Some((call, fleet.now + PATIENCE));
                order.tries += 1;
            }
        }
    }

    fn take_replies(&mut self, fleet: &mut Fleet) -> Result<(), String> {
        let mut orders = std::mem::take(&mut self.orders);
        let mut left = Vec::new();
        for mut order in orders.drain(..) {
            let Some((call, until)) = order.call else {
                left.push(order);
                continue;
            };
            let reply = fleet.reply(call);
            let is_unclear = matches!(reply, Some(Reply::Status(503 | 504)));
            match reply {
                Some(reply) if !is_unclear => {
                    if let Some(again) = self.answered(fleet.now, order, &reply)? {
                        left.push(again);
                    }
                }
                _ => {
                    if is_unclear || fleet.now >= until {
                        order.call = None;
                        let pause = Duration::from_millis(50 * u64::from(order.tries)).min(PAUSE_MOST);
                        order.next_try = fleet.now + pause.mul_f64(self.random.f64());
                    }
                    left.push(order);
                }
            }
        }
        self.orders.append(&mut left);
        Ok(())
    }

    /// Judges a clear answer; an acknowledged order may be sent once more.
    fn answered(&mut self, now: Duration, order: Order, reply: &Reply) -> Result<Option<Order>, String> {
        self.longest = self.longest.max(now - order.begun);
        match (&order.wanted, reply) {
            (Wanted::Change { expected, edition, route }, Reply::Status(200)) => {
                let taken = (*edition, route.clone());
                if self.refused.contains(route) {
                    return Err(format!("{route} was refused and then acknowledged"));
                }
                let held = self.acknowledged.entry(*expected).or_insert_with(|| taken.clone());
                if *held != taken {
                    return Err(format!(
                        "{held:?} and {taken:?} were both acknowledged on top of {expected}"
                    ));
                }
                self.known = self.known.max(*edition);
                return Ok(self.repeat(now, order));
            }
            (Wanted::Change { expected, route, .. }, Reply::Status(412)) => {
                if order.is_repeated {
                    return Err(format!("{route} was acknowledged and then refused"));
                }
                if *expected >= self.known {
                    // Somebody else has won: what is current is read before the next change.
                    self.add(now, Wanted::Read { at_least: self.known }, OperatorOrder::Read);
                }
                self.refused.push(route.clone());
            }
            (Wanted::Read { at_least }, Reply::Configuration(edition, _)) => {
                if edition < at_least {
                    return Err(format!("read version {edition} after {at_least} was acknowledged"));
                }
                self.known = self.known.max(*edition);
            }
            (Wanted::Name { version }, Reply::Status(200)) => self.named = *version,
            (wanted, reply) => return Err(format!("{wanted:?} was answered with {reply:?}")),
        }
        Ok(None)
    }

    fn repeat(&mut self, now: Duration, order: Order) -> Option<Order> {
        if order.is_repeated || self.random.usize(..REPEATED_ONE_IN) > 0 {
            return None;
        }
        // Some come again much later.
        let pause = Duration::from_millis(self.random.u64(10..6000));
        Some(Order { is_repeated: true, call: None, next_try: now + pause, begun: now + pause, ..order })
    }
}

fn route_of(name: &str) -> String {
    format!(
        r#"{{"name":"{name}","depot":"h","lanePrefix":"/{name}/","kind":"rollout","expiryMs":1500,"postalLine":"s"}}"#
    )
}
