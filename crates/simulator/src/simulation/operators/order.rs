//! One order of an operator, from its first attempt to its conclusive reply.

use std::fmt;
use std::time::Duration;

use fastrand::Rng;

use crate::{ExternalReply, ExternalRequest, Fleet, OperatorOrder};

/// An attempt without a reply within this time counts as failed.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1000);
/// The longest delay before a retry grows by this with each attempt, up to [`MAX_BACKOFF`].
const BACKOFF_STEP_MS: u64 = 50;
/// The longest delay before any retry.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// The purpose of an order, by which its reply is checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Intent {
    /// Change the configuration from version `expected` to `version`, which adds a route of this name.
    Change { expected: u64, version: u64, route: String },
    /// Read the newest configuration, whose version is `at_least`.
    Read { at_least: u64 },
    /// Name a version of the model.
    SetTargetVersion { version: u64 },
}

impl fmt::Display for Intent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Change { expected, version, route } => {
                write!(f, "change from version {expected} to {version} with route {route}")
            }
            Self::Read { at_least } => write!(f, "read of version {at_least} or newer"),
            Self::SetTargetVersion { version } => write!(f, "naming of model version {version}"),
        }
    }
}

/// An attempt that waits for its reply.
#[derive(Clone, Copy)]
struct OrderAttempt {
    call: u64,
    deadline: Duration,
}

/// The state of an order after a check for its reply.
pub(super) enum OrderProgress {
    /// There is no conclusive reply yet.
    Pending,
    /// The conclusive reply.
    Replied(ExternalReply),
}

/// An order that is sent to random nodes until one gives a conclusive reply.
pub(super) struct Order {
    pub(super) intent: Intent,
    request: OperatorOrder,
    /// When it was first sent.
    pub(super) started: Duration,
    attempts: u32,
    attempt: Option<OrderAttempt>,
    next_attempt: Duration,
    /// Whether it was acknowledged before, and is sent once more.
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

    /// The same order once more, from `start` on.
    pub(super) fn repeat(self, start: Duration) -> Self {
        Self { is_repetition: true, attempt: None, next_attempt: start, started: start, ..self }
    }

    /// Sends it to a random node if an attempt is due.
    pub(super) fn send_if_due(&mut self, fleet: &mut Fleet, nodes: &[usize], random: &mut Rng) {
        if self.attempt.is_some() || self.next_attempt > fleet.now {
            return;
        }
        let node = nodes[random.usize(..nodes.len())];
        let call = fleet.send_request(node, ExternalRequest::Operator(self.request.clone()));
        self.attempt = Some(OrderAttempt { call, deadline: fleet.now + REPLY_TIMEOUT });
        self.attempts += 1;
    }

    /// Checks for the reply to the present attempt; schedules a retry if it is inconclusive or has not
    /// arrived in time.
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

    fn schedule_retry(&mut self, now: Duration, random: &mut Rng) {
        self.attempt = None;
        let backoff = Duration::from_millis(BACKOFF_STEP_MS * u64::from(self.attempts)).min(MAX_BACKOFF);
        self.next_attempt = now + backoff.mul_f64(random.f64());
    }
}
