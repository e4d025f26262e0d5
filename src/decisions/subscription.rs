//! Updates of the server list, and the subscription that brings them.

use super::{Balancer, RESUBSCRIBE_TIMER};
use crate::interface::*;

/// The longest wait before a new subscription, as a part of what may pass without one.
const MAX_RESUBSCRIBE_FRACTION: f64 = 0.25;

/// Each failure doubles the wait, so the shortest one is a sixteenth of the longest.
const MAX_DOUBLINGS: i32 = 4;

/// A change counts as announced after this time at the latest, whatever became of the calls. The wait is no longer
/// than this part of it: two of them, each with a call that times out, are over by then.
const ANNOUNCED_WITHIN_MS: f64 = 6_000.0;
const MAX_ANNOUNCED_FRACTION: f64 = 0.4;

/// Where lists are pushed, the wait is no longer than this part of the grace after a drain: what the agent has
/// counts as announced, received or not.
const MAX_PUSH_GRACE_FRACTION: f64 = 0.25;

/// The wait is no shorter than this, whatever the settings say.
const MIN_RESUBSCRIBE_MS: f64 = 50.0;

/// The state of the subscription to the server list.
#[derive(Default)]
pub(super) struct Subscription {
    subscribed: bool,
    /// A call failed, and the timer of the next one is set.
    retry_scheduled: bool,
    /// Failures since the last update, [`MAX_DOUBLINGS`] at most.
    failed_calls: i32,
}

impl Subscription {
    /// The timer of the next subscription has fired.
    pub(super) fn retry(&mut self, actions: &mut Vec<BalancerAction>) {
        if std::mem::take(&mut self.retry_scheduled) {
            actions.push(BalancerAction::Subscribe);
        }
    }

    /// An update came.
    fn updated(&mut self, mode: DiscoveryMode, actions: &mut Vec<BalancerAction>) {
        if std::mem::take(&mut self.failed_calls) > 0 {
            actions.push(BalancerAction::Log("the list of servers comes again".into()));
        }
        if mode == DiscoveryMode::Subscribe && !self.subscribed {
            self.subscribed = true;
            actions.push(BalancerAction::Subscribe);
        }
    }

    /// A call failed: sets the timer of the next one, unless that is set already. Without a subscription the node
    /// would send to servers removed long ago.
    fn failed(
        &mut self,
        settings: &DecisionSettings,
        random: &mut fastrand::Rng,
        actions: &mut Vec<BalancerAction>,
    ) {
        if self.retry_scheduled {
            return;
        }
        if self.failed_calls == 0 {
            actions.push(BalancerAction::Log("the list of servers does not come".into()));
        }
        self.retry_scheduled = true;
        let backoff = max_backoff_ms(settings) / 2_f64.powi(MAX_DOUBLINGS - self.failed_calls);
        let after_ms = backoff * (0.5 + 0.5 * random.f64());
        self.failed_calls = (self.failed_calls + 1).min(MAX_DOUBLINGS);
        actions.push(BalancerAction::SetTimer { timer: RESUBSCRIBE_TIMER, after_ms });
    }
}

/// The longest wait between two calls, in milliseconds.
fn max_backoff_ms(settings: &DecisionSettings) -> f64 {
    let by_poll = settings.max_poll_interval_ms * MAX_RESUBSCRIBE_FRACTION;
    let max = by_poll.min(ANNOUNCED_WITHIN_MS * MAX_ANNOUNCED_FRACTION);
    let max = match settings.discovery {
        DiscoveryMode::Push => max.min(settings.drain_grace_ms * MAX_PUSH_GRACE_FRACTION),
        DiscoveryMode::Subscribe => max,
    };
    max.max(MIN_RESUBSCRIBE_MS)
}

impl Balancer {
    /// Discovery sent an update of the server list, or failed to.
    pub(super) fn update_endpoints(&mut self, update: EndpointUpdate, actions: &mut Vec<BalancerAction>) {
        let (entries, complete) = match update {
            EndpointUpdate::Delta(entries) => (entries, false),
            EndpointUpdate::Snapshot(entries) | EndpointUpdate::CachedSnapshot(entries) => (entries, true),
            EndpointUpdate::Unavailable => {
                return self.subscription.failed(&self.settings, &mut self.random, actions);
            }
        };
        self.subscription.updated(self.settings.discovery, actions);
        self.endpoints.update(entries, complete);
    }
}
