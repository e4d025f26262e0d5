//! Updates of the server list, and the subscription to them with its retries.

use super::{Balancer, Context, RESUBSCRIBE_TIMER};
use crate::interface::*;

/// Maximum backoff as a fraction of `max_poll_interval_ms`, and the doublings from the first backoff to it.
const MAX_RESUBSCRIBE_FRACTION: f64 = 0.25;
const MAX_DOUBLINGS: i32 = 4;

/// Time in ms after which a change of the list counts as announced. The maximum backoff is also at most
/// `MAX_ANNOUNCED_FRACTION` of it, so that two backoffs, each with a call that times out, fit into it.
const ANNOUNCED_WITHIN_MS: f64 = 6_000.0;
const MAX_ANNOUNCED_FRACTION: f64 = 0.4;

/// With `DiscoveryMode::Push`, the maximum backoff is also at most this fraction of the drain grace. It is
/// never below `MIN_RESUBSCRIBE_MS`, whatever the settings say.
const MAX_PUSH_GRACE_FRACTION: f64 = 0.25;
const MIN_RESUBSCRIBE_MS: f64 = 50.0;

/// State of the subscription to the server list. `failed_calls` counts up to `MAX_DOUBLINGS`.
#[derive(Default)]
pub(super) struct Subscription {
    subscribed: bool,
    retry_scheduled: bool,
    failed_calls: i32,
}

impl Subscription {
    /// Handles the resubscribe timer: subscribes again if a retry was scheduled.
    pub(super) fn retry(&mut self, cx: &mut Context) {
        if std::mem::take(&mut self.retry_scheduled) {
            cx.actions.push(BalancerAction::Subscribe);
        }
    }

    fn updated(&mut self, cx: &mut Context, mode: DiscoveryMode) {
        if std::mem::take(&mut self.failed_calls) > 0 {
            cx.actions.push(BalancerAction::Log("the server list is updated again".into()));
        }
        if mode == DiscoveryMode::Subscribe && !self.subscribed {
            self.subscribed = true;
            cx.actions.push(BalancerAction::Subscribe);
        }
    }

    /// Handles a failed call: sets the timer for the next call unless it is already set.
    fn failed(&mut self, cx: &mut Context, max_backoff_ms: f64, random: &mut fastrand::Rng) {
        if std::mem::replace(&mut self.retry_scheduled, true) {
            return;
        }
        if self.failed_calls == 0 {
            cx.actions.push(BalancerAction::Log("failed to update the server list; will retry".into()));
        }
        let backoff_ms = max_backoff_ms / 2_f64.powi(MAX_DOUBLINGS - self.failed_calls);
        let after_ms = backoff_ms * (0.5 + 0.5 * random.f64());
        self.failed_calls = (self.failed_calls + 1).min(MAX_DOUBLINGS);
        cx.actions.push(BalancerAction::SetTimer { timer: RESUBSCRIBE_TIMER, after_ms });
    }
}

/// Returns the maximum backoff between two calls, in milliseconds.
fn max_backoff_ms(settings: &DecisionSettings) -> f64 {
    let max = settings.max_poll_interval_ms * MAX_RESUBSCRIBE_FRACTION;
    let max = max.min(ANNOUNCED_WITHIN_MS * MAX_ANNOUNCED_FRACTION);
    let grace_limit = settings.drain_grace_ms * MAX_PUSH_GRACE_FRACTION;
    let max = if settings.discovery == DiscoveryMode::Push { max.min(grace_limit) } else { max };
    max.max(MIN_RESUBSCRIBE_MS)
}

impl Balancer {
    /// Handles an update of the server list, or a failed call or broken subscription.
    pub(super) fn update_endpoints(&mut self, cx: &mut Context, update: EndpointUpdate) {
        let (entries, complete) = match update {
            EndpointUpdate::Delta(entries) => (entries, false),
            EndpointUpdate::Snapshot(entries) | EndpointUpdate::CachedSnapshot(entries) => (entries, true),
            EndpointUpdate::Unavailable => {
                return self.subscription.failed(cx, max_backoff_ms(&self.settings), &mut self.random);
            }
        };
        self.subscription.updated(cx, self.settings.discovery);
        self.endpoints.update(entries, complete);
    }
}
