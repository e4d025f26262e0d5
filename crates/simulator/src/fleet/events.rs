//! The events of a simulated fleet, in the order in which they happen.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::external_requests::{ExternalReply, ExternalRequest};
use crate::transport::CallOutcome;

/// Something that happens at a time.
pub(super) enum FleetEvent {
    /// A machine starts its process, unless a process has ended there since this was scheduled (`process_exits`
    /// differs).
    Start { machine: usize, process_exits: u64 },
    /// A call arrives.
    CallArrives { call: u64, resends: u32 },
    /// The reply to a call arrives.
    ReplyArrives { call: u64, outcome: CallOutcome, resends: u32 },
    /// A request of an operator or trainer arrives at a node.
    ExternalRequestArrives { node: usize, call: u64, request: ExternalRequest },
    /// The reply to a request of an operator or trainer arrives.
    ExternalReplyArrives { call: u64, reply: ExternalReply },
}

/// Pending events by time; those of the same time happen in the order in which they were scheduled.
#[derive(Default)]
pub(super) struct EventQueue {
    events: BTreeMap<(Duration, u64), FleetEvent>,
    last_number: u64,
}

impl EventQueue {
    /// The next number of an event or a call.
    pub(super) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Schedules an event.
    pub(super) fn schedule(&mut self, at: Duration, event: FleetEvent) {
        let number = self.next_number();
        self.events.insert((at, number), event);
    }

    /// Takes the first event that is due at `now`.
    pub(super) fn pop_due(&mut self, now: Duration) -> Option<FleetEvent> {
        let first = self.events.first_entry().filter(|entry| entry.key().0 <= now)?;
        Some(first.remove())
    }
}
