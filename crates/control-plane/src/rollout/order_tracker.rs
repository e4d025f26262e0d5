//! Tracking of the calls to servers in each term of the lease: which calls may be sent, and which term
//! receives their outcomes. This module performs no I/O and reads no clock.

use std::collections::BTreeSet;
use std::time::Duration;

use rollout::{
    OrderReply, Pacing, Planner, RolloutAction, RolloutServer, ServerId, ServerReport, VersionOrder,
};

/// Outcome of a call to a server.
#[derive(Clone, Debug)]
pub enum CallOutcome {
    /// An order has finished: the server has replied or was not reached, or it is unknown whether the order
    /// has arrived.
    Answered(VersionOrder, OrderReply),
    /// A server has sent its report.
    Reported(ServerId, Box<ServerReport>),
    /// A server has not sent a valid report in time.
    NotReported(ServerId),
}

/// Tag of a call in flight: the fencing token of the term that started the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallTag {
    fence: u64,
}

/// Term of the lease that this process holds now.
struct Term {
    fence: u64,
    planner: Planner,
}

/// Tracker that separates the terms in which one process is the leader.
///
/// Calls may outlive the term that started them. The outcome of a call is passed only to the planner of its
/// own term. While an order of an earlier term may still arrive at its server, the present term sends no
/// calls to that server.
#[derive(Default)]
pub struct OrderTracker {
    term: Option<Term>,
    /// Fencing token and server of all orders in flight, one entry per order.
    orders_in_flight: Vec<(u64, ServerId)>,
}

impl OrderTracker {
    /// Continues the term with this fencing token, or starts it with a new planner. `None` ends the present
    /// term. Returns whether the term has changed.
    pub fn set_term(&mut self, fence: Option<u64>) -> bool {
        let has_changed = self.fence() != fence;
        if has_changed {
            self.term = fence.map(|fence| Term { fence, planner: Planner::new(Pacing::default()) });
        }
        has_changed
    }

    /// Returns the fencing token of the present term, or `None` if there is no term.
    #[must_use]
    pub fn fence(&self) -> Option<u64> {
        self.term.as_ref().map(|term| term.fence)
    }

    /// Returns the planner of the present term, or `None` without a term.
    pub fn planner(&mut self) -> Option<&mut Planner> {
        self.term.as_mut().map(|term| &mut term.planner)
    }

    /// Passes the servers of the newest server list to the planner, without those at which an order of an
    /// earlier term may still arrive. Must be called again once such an order has finished
    /// ([`OrderTracker::record_outcome`]).
    pub fn set_servers(&mut self, servers: impl IntoIterator<Item = RolloutServer>) {
        let Some(term) = &mut self.term else { return };
        let earlier_orders = self.orders_in_flight.iter().filter(|(fence, _)| *fence != term.fence);
        let blocked: BTreeSet<&ServerId> = earlier_orders.map(|(_, server)| server).collect();
        term.planner.set_servers(servers.into_iter().filter(|server| !blocked.contains(&server.id)));
    }

    /// Records that a call of the present term is sent now. Returns `None` if there is no term.
    pub fn record_call(&mut self, action: &RolloutAction) -> Option<CallTag> {
        let fence = self.fence()?;
        if let RolloutAction::SendOrder(order) = action {
            self.orders_in_flight.push((fence, ServerId::clone(&order.server)));
        }
        Some(CallTag { fence })
    }

    /// Records the outcome of a call at the time `now`, and passes it to the planner if the call belongs to
    /// the present term. Returns whether an order of an earlier term has finished.
    pub fn record_outcome(&mut self, now: Duration, tag: CallTag, outcome: &CallOutcome) -> bool {
        if let CallOutcome::Answered(order, _) = outcome {
            let is_finished =
                |(fence, server): &(u64, ServerId)| *fence == tag.fence && *server == order.server;
            let finished = self.orders_in_flight.iter().position(is_finished);
            finished.map(|index| self.orders_in_flight.swap_remove(index));
        }
        let Some(term) = self.term.as_mut().filter(|term| term.fence == tag.fence) else {
            return matches!(outcome, CallOutcome::Answered(..));
        };
        match outcome {
            CallOutcome::Answered(order, reply) => term.planner.on_order_reply(now, order, *reply),
            CallOutcome::Reported(server, report) => term.planner.on_report(now, server, report),
            CallOutcome::NotReported(server) => term.planner.on_report_failure(now, server),
        }
        false
    }
}
