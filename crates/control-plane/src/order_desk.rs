//! Which calls to servers may go out in a term of the lease, and whose answers they are. Without I/O and clock.

use std::time::Duration;

use rollout::{OrderReply, Pacing, Planner, RolloutAction, ServerId, ServerReport};

/// What came of a call.
#[derive(Clone, Debug)]
pub enum CallOutcome {
    /// An order was answered, or had no clear answer.
    Answered(ServerId, OrderReply),
    /// A server gave its report.
    Reported(ServerId, Box<ServerReport>),
    /// A server gave no report.
    NotReported(ServerId),
}

/// A call that is under way: the term that made it, and whether it is an order.
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

/// Keeps the terms of one process apart.
///
/// Calls outlive their term. What comes of one is told to the planner that has made it and to no other; and as long
/// as an order of an earlier term may still reach its server, no order of the present one goes out.
#[derive(Default)]
pub struct OrderTracker {
    term: Option<Term>,
    /// The fencing token of each order without an answer.
    under_way: Vec<u64>,
}

impl OrderTracker {
    /// Goes on with the term of this fencing token, or with none.
    pub fn follow(&mut self, fence: Option<u64>) {
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

    /// The planner of the present term, once all orders of earlier terms have ended.
    pub fn planner(&mut self) -> Option<&mut Planner> {
        let term = self.term.as_mut()?;
        let is_alone = self.under_way.iter().all(|fence| *fence == term.fence);
        is_alone.then_some(&mut term.planner)
    }

    /// Takes note that a call of the present term goes out now; `None` where there is no term.
    pub fn begin(&mut self, action: &RolloutAction) -> Option<CallTag> {
        let tag = CallTag { fence: self.fence()?, is_order: matches!(action, RolloutAction::SendOrder(_)) };
        if tag.is_order {
            self.under_way.push(tag.fence);
        }
        Some(tag)
    }

    /// Takes what came of a call.
    pub fn finish(&mut self, now: Duration, tag: CallTag, outcome: &CallOutcome) {
        if tag.is_order {
            let ended = self.under_way.iter().position(|fence| *fence == tag.fence);
            ended.map(|ended| self.under_way.swap_remove(ended));
        }
        let Some(term) = self.term.as_mut().filter(|term| term.fence == tag.fence) else { return };
        match outcome {
            CallOutcome::Answered(server, answer) => term.planner.on_order_reply(now, server, *answer),
            CallOutcome::Reported(server, report) => term.planner.on_report(now, server, report),
            CallOutcome::NotReported(server) => term.planner.on_report_failure(now, server),
        }
    }
}
