//! Updates of the server list, and the subscription that brings them.

use super::{Balancer, Context, RESUBSCRIBE_TIMER};
use crate::interface::*;

/// The longest backoff, as a part of the longest poll interval; each failed call doubles it up to that.
const MAX_RESUBSCRIBE_FRACTION: f64 = 0.25;
const MAX_DOUBLINGS: i32 = 4;

/// A change counts as announced after this time. The backoff is no longer than this part of it: two of them,
/// each with a call that times out, are over by then.
const ANNOUNCED_WITHIN_MS: f64 = 6_000.0;
const MAX_ANNOUNCED_FRACTION: f64 = 0.4;

/// Where lists are pushed, the backoff is also no longer than this part of the drain grace. Its upper bound
/// is no shorter than this time, whatever the settings say.
const MAX_PUSH_GRACE_FRACTION: f64 = 0.25;
const MIN_RESUBSCRIBE_MS: f64 = 50.0;

/// The subscription to the server list.
#[derive(Default)]
pub(super) struct Subscription {
    subscribed: bool,
    retry_scheduled: bool,
    failed_calls: i32,
}

impl Subscription {
    /// The timer of the next subscription has fired.
    pub(super) fn retry(&mut self, cx: &mut Context) {
        if std::mem::take(&mut self.retry_scheduled) {
            cx.actions.push(BalancerAction::Subscribe);
        }
    }

    fn updated(&mut self, cx: &mut Context, mode: DiscoveryMode) {
        if std::mem::take(&mut self.failed_calls) > 0 {
            cx.actions.push(BalancerAction::Log("the list of servers comes again".into()));
        }
        if mode == DiscoveryMode::Subscribe && !self.subscribed {
            self.subscribed = true;
            cx.actions.push(BalancerAction::Subscribe);
        }
    }

    /// A call failed: sets the timer of the next one, unless that is set already.
    fn failed(&mut self, cx: &mut Context, max_backoff_ms: f64, random: &mut fastrand::Rng) {
        if std::mem::replace(&mut self.retry_scheduled, true) {
            return;
        }
        if self.failed_calls == 0 {
            cx.actions.push(BalancerAction::Log("the list of servers does not come".into()));
        }
        let backoff_ms = max_backoff_ms / 2_f64.powi(MAX_DOUBLINGS - self.failed_calls);
        let after_ms = backoff_ms * (0.5 + 0.5 * random.f64());
        self.failed_calls = (self.failed_calls + 1).min(MAX_DOUBLINGS);
        cx.actions.push(BalancerAction::SetTimer { timer: RESUBSCRIBE_TIMER, after_ms });
    }
}

/// The longest backoff between two calls, in milliseconds.
fn max_backoff_ms(settings: &DecisionSettings) -> f64 {
    let max = settings.max_poll_interval_ms * MAX_RESUBSCRIBE_FRACTION;
    let max = max.min(ANNOUNCED_WITHIN_MS * MAX_ANNOUNCED_FRACTION);
    let by_grace = settings.drain_grace_ms * MAX_PUSH_GRACE_FRACTION;
    let max = if settings.discovery == DiscoveryMode::Push { max.min(by_grace) } else { max };
    max.max(MIN_RESUBSCRIBE_MS)
}

impl Balancer {
    /// Handles an update of the server list, or the failure of a call for one.
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
