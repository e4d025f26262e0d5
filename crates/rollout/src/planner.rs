//! Which server gets which order next.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::member::{Goal, Member};
use crate::types::{
    Method, ModelName, OrderReply, Pacing, ReportRequest, RolloutAction, RolloutServer, ServerId,
    VersionOrder,
};
use crate::wire::ServerReport;

/// The newest version of a model that was named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Named {
    version: u64,
    /// When the planner learned of it; what was named first is brought out first.
    since: Duration,
}

/// Brings the servers to the named versions. One planner serves one term of a holder of the leader lease.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    pacing: Pacing,
    named: BTreeMap<ModelName, Named>,
    keep: BTreeSet<ModelName>,
    members: BTreeMap<ServerId, Member>,
    superseded: bool,
}

impl Planner {
    /// A planner that knows nothing yet.
    #[must_use]
    pub fn new(pacing: Pacing) -> Self {
        Self { pacing, ..Self::default() }
    }

    /// The version of a model that the register holds as named. Lower versions than before change nothing.
    pub fn set_target_version(&mut self, now: Duration, model: &str, version: u64) {
        match self.named.get_mut(model) {
            Some(named) if named.version >= version => {}
            Some(named) => *named = Named { version, since: now },
            None => {
                self.named.insert(model.into(), Named { version, since: now });
            }
        }
    }

    /// The models whose requests may go on under a new version: no route that uses them wants one version.
    pub fn set_keep(&mut self, models: BTreeSet<ModelName>) {
        self.keep = models;
    }

    /// The servers, as a newer list shows them; those that it lacks are forgotten.
    pub fn set_servers(&mut self, servers: impl IntoIterator<Item = RolloutServer>) {
        let mut earlier = std::mem::take(&mut self.members);
        for server in servers {
            let id = ServerId::clone(&server.id);
            let member = match earlier.remove(&id) {
                Some(mut member) => {
                    member.listed(server);
                    member
                }
                None => Member::new(server, &self.pacing),
            };
            self.members.insert(id, member);
        }
    }

    /// A version was seen in an answer of the server.
    pub fn on_version_observed(&mut self, server: &str, model: &str, version: u64) {
        if let Some(member) = self.members.get_mut(server) {
            member.has_version(&model.into(), version);
        }
    }

    /// How many requests run at the server, as far as the caller knows; idle servers go first.
    pub fn set_running(&mut self, server: &str, running: u64) {
        if let Some(member) = self.members.get_mut(server) {
            member.running = running;
        }
    }

    /// The outcome of an order.
    pub fn on_order_reply(&mut self, now: Duration, server: &str, answer: OrderReply) {
        if answer == OrderReply::Fenced {
            self.superseded = true;
        }
        if let Some(member) = self.members.get_mut(server) {
            member.answered(now, answer, &self.pacing);
        }
    }

    /// The report that a server was asked for.
    pub fn on_report(&mut self, now: Duration, server: &str, report: &ServerReport) {
        if let Some(member) = self.members.get_mut(server) {
            member.reported(now, report, &self.pacing);
        }
    }

    /// A server that was asked for its report gave none.
    pub fn on_report_failure(&mut self, now: Duration, server: &str) {
        if let Some(member) = self.members.get_mut(server) {
            member.not_reported(now, &self.pacing);
        }
    }

    /// Whether a server has seen a higher fencing token: the term is over, and no more orders are given.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// The version of the model that the server is known to have.
    #[must_use]
    pub fn version(&self, server: &str, model: &str) -> Option<u64> {
        self.members.get(server)?.version(model)
    }

    /// Whether every open server is known to have the newest named version of each of its models.
    #[must_use]
    pub fn is_converged(&self) -> bool {
        let mut open = self.members.values().filter(|member| !member.server.closing);
        !open.any(|member| self.wanted(member).is_some())
    }

    /// The calls to make now. Each is told once; the caller reports its outcome.
    pub fn decide(&mut self, now: Duration) -> Vec<RolloutAction> {
        if self.superseded {
            return Vec::new();
        }
        for member in self.members.values_mut() {
            member.expire_calls(now, &self.pacing);
        }
        self.look_at_unseen(now);
        let mut actions = self.due_asks(now);
        while let Some(order) = self.next_order(now) {
            actions.push(RolloutAction::Order(order));
        }
        actions
    }

    /// When [`Planner::decide`] has something to do next if nothing is heard before.
    #[must_use]
    pub fn next_wake(&self, now: Duration) -> Option<Duration> {
        if self.superseded {
            return None;
        }
        let timers = self.members.values().filter_map(|member| member.next_timer(now, &self.pacing));
        timers.chain(self.next_place(now)).min()
    }

    /// When a server that waits for its turn may get its order, since another has loaded for long enough.
    fn next_place(&self, now: Duration) -> Option<Duration> {
        self.best_candidate(now)?;
        let ends = self.members.values().filter_map(|member| member.loads_until(&self.pacing));
        ends.filter(|end| *end > now).min()
    }

    /// Servers that are to get their first order of this term are asked for a report before.
    fn look_at_unseen(&mut self, now: Duration) {
        let behind: Vec<ServerId> = self
            .members
            .iter()
            .filter(|(_, member)| member.is_unseen() && self.wanted(member).is_some())
            .map(|(id, _)| ServerId::clone(id))
            .collect();
        for id in behind {
            if let Some(member) = self.members.get_mut(&id) {
                member.want_report(now);
            }
        }
    }

    fn due_asks(&mut self, now: Duration) -> Vec<RolloutAction> {
        let mut asks = Vec::new();
        for (id, member) in &mut self.members {
            if member.takes_ask(now) {
                let ask = ReportRequest { server: ServerId::clone(id), address: member.server.address };
                asks.push(RolloutAction::Ask(ask));
            }
        }
        asks
    }

    /// The next order, if a server may get one; it counts as sent.
    fn next_order(&mut self, now: Duration) -> Option<VersionOrder> {
        let loading = self.members.values().filter(|member| member.loads(now, &self.pacing)).count();
        if loading >= self.loading_most() {
            return None;
        }
        let (id, goal) = self.best_candidate(now)?;
        let member = self.members.get_mut(&id)?;
        member.order_sent(now, goal.clone());
        Some(VersionOrder {
            server: id,
            address: member.server.address,
            model: goal.model,
            version: goal.version,
            method: goal.method,
        })
    }

    /// How many servers may load at once.
    fn loading_most(&self) -> usize {
        let open = self.members.values().filter(|member| !member.server.closing).count();
        self.pacing.at_once.max(open.div_ceil(self.pacing.one_in))
    }

    /// Idle servers go first, then those of the zone in which the fewest load.
    fn best_candidate(&self, now: Duration) -> Option<(ServerId, Goal)> {
        let candidates = self.members.iter().filter(|(_, member)| member.takes_order(now));
        let wanted = candidates.filter_map(|(id, member)| Some((id, member, self.wanted(member)?)));
        let best =
            wanted.min_by_key(|(_, member, _)| (member.running, self.loading_in(&member.server.zone, now)));
        best.map(|(id, _, goal)| (ServerId::clone(id), goal))
    }

    fn loading_in(&self, zone: &str, now: Duration) -> usize {
        let of_zone = self.members.values().filter(|member| &*member.server.zone == zone);
        of_zone.filter(|member| member.loads(now, &self.pacing)).count()
    }

    /// What the server has to load next: of the models that it is behind with, the one that was named first.
    fn wanted(&self, member: &Member) -> Option<Goal> {
        let behind = self
            .named
            .iter()
            .filter(|(model, named)| member.version(model).is_some_and(|version| version < named.version));
        let (model, named) = behind.min_by_key(|(_, named)| named.since)?;
        let method = if self.keep.contains(model) { Method::Keep } else { Method::Hold };
        Some(Goal { model: ModelName::clone(model), version: named.version, method })
    }
}
