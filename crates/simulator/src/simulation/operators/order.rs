//! An operator's order, which is a request to the operator API, from the first attempt to the conclusive
//! reply.

use std::fmt;
use std::time::Duration;

use fastrand::Rng;

use crate::{ExternalReply, ExternalRequest, Fleet, OperatorOrder};

/// Time after which an attempt without a reply counts as failed.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1000);
/// Increase of the upper bound of the backoff with each attempt, in milliseconds, up to [`MAX_BACKOFF`].
const BACKOFF_STEP_MS: u64 = 50;
/// Maximum backoff before a retry.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// The purpose of an order, against which its reply is checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Intent {
    /// Changes the configuration from version `expected` to `version` and adds the route with this name.
    Change { expected: u64, version: u64, route: String },
    /// Reads the configuration, whose version must be `at_least` or higher.
    Read { at_least: u64 },
    /// Sets the target version of the model.
    SetTargetVersion { version: u64 },
}

impl fmt::Display for Intent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Change { expected, version, route } => {
                write!(
                    f,
                    "change of the configuration from version {expected} to {version} with route {route}"
                )
            }
            Self::Read { at_least } => write!(f, "read of the configuration in version {at_least} or newer"),
            Self::SetTargetVersion { version } => write!(f, "change of the target version to {version}"),
        }
    }
}

/// An attempt without a reply so far.
#[derive(Clone, Copy)]
struct OrderAttempt {
    /// The number of the request.
    call: u64,
    deadline: Duration,
}

/// The state of an order after a check for its reply.
pub(super) enum OrderProgress {
    /// The order has no conclusive reply yet.
    Pending,
    /// The order has this conclusive reply.
    Replied(ExternalReply),
}

/// An order that is sent to random nodes until one gives a conclusive reply.
pub(super) struct Order {
    pub(super) intent: Intent,
    request: OperatorOrder,
    /// The time at which the order was started, or is to be sent again.
    pub(super) started: Duration,
    /// Number of attempts so far.
    attempts: u32,
    /// The attempt that waits for its reply; `None` between two attempts.
    attempt: Option<OrderAttempt>,
    /// The earliest time of the next attempt.
    next_attempt: Duration,
    /// Whether the order was acknowledged before and is sent again.
    pub(super) is_repetition: bool,
}

impl Order {
    pub(super) fn new(now: Duration, intent: Intent, request: OperatorOrder) -> Self {
        Self {
            intent,
            request,
            started: now,
            attempts: 0,
            attempt: None,
            next_attempt: now,
            is_repetition: false,
        }
    }

    /// Returns the same order as a repetition that is sent from `start` on.
    pub(super) fn repeat(self, start: Duration) -> Self {
        Self { is_repetition: true, attempt: None, next_attempt: start, started: start, ..self }
    }

    /// Sends the order to a random node if an attempt is due.
    pub(super) fn send_if_due(&mut self, fleet: &mut Fleet, nodes: &[usize], random: &mut Rng) {
        if self.attempt.is_some() || self.next_attempt > fleet.now {
            return;
        }
        let node = nodes[random.usize(..nodes.len())];
        let call = fleet.send_request(node, ExternalRequest::Operator(self.request.clone()));
        self.attempt = Some(OrderAttempt { call, deadline: fleet.now + REPLY_TIMEOUT });
        self.attempts += 1;
    }

    /// Takes the reply to the present attempt if it has arrived. Schedules a retry if the reply is
    /// inconclusive or has not arrived in time.
    pub(super) fn take_reply(&mut self, fleet: &mut Fleet, random: &mut Rng) -> OrderProgress {
        let Some(attempt) = self.attempt else { return OrderProgress::Pending };
        let is_late = fleet.now >= attempt.deadline;
        match fleet.take_reply(attempt.call) {
            Some(reply) if reply.is_conclusive() => return OrderProgress::Replied(reply),
            None if !is_late => {}
            _ => self.schedule_retry(fleet.now, random),
        }
        OrderProgress::Pending
    }

    /// Schedules the next attempt after a random backoff, whose upper bound grows with the number of
    /// attempts.
    fn schedule_retry(&mut self, now: Duration, random: &mut Rng) {
        self.attempt = None;
        let backoff = Duration::from_millis(BACKOFF_STEP_MS * u64::from(self.attempts)).min(MAX_BACKOFF);
        self.next_attempt = now + backoff.mul_f64(random.f64());
    }
}
