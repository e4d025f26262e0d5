//! Tracking of the calls to servers in each term of the lease: which calls may be sent, and which term
//! receives their outcomes. This module performs no I/O and reads no clock.

use std::time::Duration;

use rollout::{OrderReply, Pacing, Planner, RolloutAction, ServerId, ServerReport, VersionOrder};

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

/// Tag of a call in flight: the term that started the call, and whether it is an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallTag {
    fence: u64,
    is_order: bool,
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
/// calls.
#[derive(Default)]
pub struct OrderTracker {
    term: Option<Term>,
    /// Fencing tokens of all orders in flight, one entry per order.
    orders_in_flight: Vec<u64>,
}

impl OrderTracker {
    /// Continues the term with this fencing token, or starts it with a new planner. `None` ends the present
    /// term.
    pub fn set_term(&mut self, fence: Option<u64>) {
        match fence {
            None => self.term = None,
            Some(fence) if self.fence() == Some(fence) => {}
            Some(fence) => self.term = Some(Term { fence, planner: Planner::new(Pacing::default()) }),
        }
    }

    /// Returns the fencing token of the present term, or `None` if there is no term.
    #[must_use]
    pub fn fence(&self) -> Option<u64> {
        self.term.as_ref().map(|term| term.fence)
    }

    /// Returns the planner of the present term, or `None` without a term or while an order of an earlier term
    /// is in flight.
    pub fn planner(&mut self) -> Option<&mut Planner> {
        let term = self.term.as_mut()?;
        let has_earlier_orders = self.orders_in_flight.iter().any(|fence| *fence != term.fence);
        (!has_earlier_orders).then_some(&mut term.planner)
    }

    /// Records that a call of the present term is sent now. Returns `None` if there is no term.
    pub fn record_call(&mut self, action: &RolloutAction) -> Option<CallTag> {
        let tag = CallTag { fence: self.fence()?, is_order: matches!(action, RolloutAction::SendOrder(_)) };
        if tag.is_order {
            self.orders_in_flight.push(tag.fence);
        }
        Some(tag)
    }

    /// Records the outcome of a call at the time `now`, and passes it to the planner if the call belongs to
    /// the present term.
    pub fn record_outcome(&mut self, now: Duration, tag: CallTag, outcome: &CallOutcome) {
        if tag.is_order {
            let finished = self.orders_in_flight.iter().position(|fence| *fence == tag.fence);
            finished.map(|index| self.orders_in_flight.swap_remove(index));
        }
        let Some(term) = self.term.as_mut().filter(|term| term.fence == tag.fence) else { return };
        match outcome {
            CallOutcome::Answered(order, reply) => term.planner.on_order_reply(now, order, *reply),
            CallOutcome::Reported(server, report) => term.planner.on_report(now, server, report),
            CallOutcome::NotReported(server) => term.planner.on_report_failure(now, server),
        }
    }
}
