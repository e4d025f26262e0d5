//! Queue of the future events of a simulated fleet.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::external_requests::{ExternalReply, ExternalRequest};
use crate::transport::CallOutcome;

/// An event that is scheduled for a point in simulated time.
pub(super) enum FleetEvent {
    /// A machine starts its process. `process_exits` is the number of processes that had ended on the machine
    /// when the start was scheduled. If more have ended since then, the event is ignored.
    Start { machine: usize, process_exits: u64 },
    /// A call arrives at its receiver, after `resends` earlier arrivals that a partition prevented.
    CallArrives { call: u64, resends: u32 },
    /// The connection of a call fails, because TCP has given up.
    ConnectionFails { call: u64 },
    /// The reply to a call arrives at the caller, after `resends` earlier arrivals that a partition
    /// prevented.
    ReplyArrives { call: u64, outcome: CallOutcome, resends: u32 },
    /// A request of an operator or trainer arrives at a node.
    ExternalRequestArrives { node: usize, call: u64, request: ExternalRequest },
    /// The reply to a request of an operator or trainer arrives.
    ExternalReplyArrives { call: u64, reply: ExternalReply },
}

/// Pending events by time. Events of the same time are handled in the order in which they were scheduled.
#[derive(Default)]
pub(super) struct EventQueue {
    events: BTreeMap<(Duration, u64), FleetEvent>,
    last_number: u64,
}

impl EventQueue {
    /// Returns a new number for an event or a call.
    pub(super) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Schedules an event for the time `at`.
    pub(super) fn schedule(&mut self, at: Duration, event: FleetEvent) {
        let number = self.next_number();
        self.events.insert((at, number), event);
    }

    /// Removes and returns the earliest event that is due at `now`.
    pub(super) fn pop_due(&mut self, now: Duration) -> Option<FleetEvent> {
        let first = self.events.first_entry().filter(|entry| entry.key().0 <= now)?;
        Some(first.remove())
    }
}
