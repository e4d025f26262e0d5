//! Which calls to servers may be sent in a term of the lease, and to whom their outcomes belong. Without I/O and clock.

use std::time::Duration;

use rollout::{OrderReply, Pacing, Planner, RolloutAction, ServerId, ServerReport};

/// The outcome of a call.
#[derive(Clone, Debug)]
pub enum CallOutcome {
    /// A server has replied to an order, or the reply is unknown.
    Answered(ServerId, OrderReply),
    /// A server has sent its report.
    Reported(ServerId, Box<ServerReport>),
    /// A server has sent no report.
    NotReported(ServerId),
}

/// Identifies a call that is in flight: the term that started it, and whether it is an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallTag {
    fence: u64,
    is_order: bool,
}

/// One term of the lease.
struct Term {
    fence: u64,
    planner: Planner,
}

/// Separates the terms of one process.
///
/// Calls may outlive the term that started them. The outcome of a call is passed to the planner of its own term and to
/// no other; and while an order of an earlier term may still arrive at its server, the present term sends none.
#[derive(Default)]
pub struct OrderTracker {
    term: Option<Term>,
    /// The fencing token of each order without an outcome.
    orders_in_flight: Vec<u64>,
}

impl OrderTracker {
    /// Continues the term of this fencing token, or starts it; `None` ends the present one.
    pub fn set_term(&mut self, fence: Option<u64>) {
        match fence {
            None => self.term = None,
            Some(fence) if self.fence() == Some(fence) => {}
            Some(fence) => self.term = Some(Term { fence, planner: Planner::new(Pacing::default()) }),
        }
    }

    /// The fencing token of the present term.
    #[must_use]
    pub fn fence(&self) -> Option<u64> {
        self.term.as_ref().map(|term| term.fence)
    }

    /// The planner of the present term, once no order of an earlier term is in flight.
    pub fn planner(&mut self) -> Option<&mut Planner> {
        let term = self.term.as_mut()?;
        let has_earlier_orders = self.orders_in_flight.iter().any(|fence| *fence != term.fence);
        (!has_earlier_orders).then_some(&mut term.planner)
    }

    /// Records that a call of the present term is sent now; `None` where there is no term.
    pub fn record_call(&mut self, action: &RolloutAction) -> Option<CallTag> {
        let tag = CallTag { fence: self.fence()?, is_order: matches!(action, RolloutAction::SendOrder(_)) };
        if tag.is_order {
            self.orders_in_flight.push(tag.fence);
        }
        Some(tag)
    }

    /// Records the outcome of a call.
    pub fn record_outcome(&mut self, now: Duration, tag: CallTag, outcome: &CallOutcome) {
        if tag.is_order {
            let finished = self.orders_in_flight.iter().position(|fence| *fence == tag.fence);
            finished.map(|index| self.orders_in_flight.swap_remove(index));
        }
        let Some(term) = self.term.as_mut().filter(|term| term.fence == tag.fence) else { return };
        match outcome {
            CallOutcome::Answered(server, reply) => term.planner.on_order_reply(now, server, *reply),
            CallOutcome::Reported(server, report) => term.planner.on_report(now, server, report),
            CallOutcome::NotReported(server) => term.planner.on_report_failure(now, server),
        }
    }
}
