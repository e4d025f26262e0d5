//! Carries out the plan of weight versions while this process leads.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use futures_util::stream::{FuturesUnordered, StreamExt};
use rollout::{ModelName, Planner, ReportRequest, RolloutAction, VersionOrder};
use state::{ServerCondition, View};
use tokio::time::Instant;

use crate::order_desk::{CallOutcome, OrderTracker};
use crate::version_news::VersionNews;
use crate::{Leadership, ServerCalls, ViewCell};

/// The longest sleep between two looks at the plan.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// Brings servers to the named versions while this process leads.
pub async fn run_orders(
    station: String,
    leadership: Arc<Leadership>,
    view: Arc<ViewCell>,
    servers: Arc<dyn ServerCalls>,
) {
    let began = Instant::now();
    let mut views = view.subscribe();
    let mut desk = OrderTracker::default();
    let mut calls = FuturesUnordered::new();
    let mut news = VersionNews::default();
    loop {
        desk.follow(leadership.fence_for_orders());
        news.publish(began.elapsed(), &view, &leadership);
        let mut wake = LOOK_EVERY;
        let now = began.elapsed();
        let mut actions = Vec::new();
        if let Some(planner) = desk.planner() {
            feed(planner, now, &views.borrow_and_update());
            actions = planner.next_actions(now);
            let next = planner.next_wakeup(now).into_iter().chain(news.due()).min();
            wake = next.map_or(wake, |at| at.saturating_sub(now).min(wake));
        }
        for action in actions {
            // The lease is looked up anew before each order: the process may have been frozen.
            if leadership.fence_for_orders() != desk.fence() {
                break;
            }
            let Some((tag, fence)) = desk.begin(&action).zip(desk.fence()) else { break };
            let outcome = start(&servers, action, &station, fence);
            calls.push(async move { (tag, outcome.await) });
        }
        let leads = desk.fence().is_some();
        tokio::select! {
            biased;
            Some((tag, outcome)) = calls.next(), if !calls.is_empty() => {
                if let CallOutcome::Reported(server, report) = &outcome {
                    news.note(began.elapsed(), server, report);
                }
                desk.finish(began.elapsed(), tag, &outcome);
            }
            changed = views.changed(), if leads => {
                if changed.is_err() {
                    return;
                }
            }
            () = leadership.may_order(), if !leads => {}
            () = tokio::time::sleep(wake.max(Duration::from_millis(2))) => {}
        }
    }
}

fn feed(planner: &mut Planner, now: Duration, view: &View) {
    for (model, version) in &view.control.target_versions {
        planner.set_target_version(now, model, *version);
    }
    planner.set_in_place_models(models_to_keep(view));
    planner.set_servers(view.servers.servers.iter().filter(|server| !server.models.is_empty()).map(
        |server| rollout::RolloutServer {
            id: Arc::clone(&server.id),
            address: server.address,
            zone: Arc::clone(&server.zone),
            is_closing: server.condition == ServerCondition::Closing,
            models: server.models.clone(),
        },
    ));
}

/// Models of services to which no route leads that wants one version in a text.
fn models_to_keep(view: &View) -> BTreeSet<ModelName> {
    let Some(configuration) = &view.configuration else { return BTreeSet::new() };
    let single: BTreeSet<&str> = configuration
        .routes()
        .iter()
        .filter(|route| route.single_version)
        .flat_map(|route| route.targets.iter().map(|target| &*target.service))
        .collect();
    let servers = view.servers.servers.iter().filter(|server| !single.contains(&*server.service));
    servers.flat_map(|server| server.models.keys().cloned()).collect()
}

fn start(
    calls: &Arc<dyn ServerCalls>,
    action: RolloutAction,
    station: &str,
    fence: u64,
) -> BoxFuture<'static, CallOutcome> {
    let calls = Arc::clone(calls);
    match action {
        RolloutAction::SendOrder(order) => Box::pin(send_order(calls, order, station.to_owned(), fence)),
        RolloutAction::RequestReport(ask) => Box::pin(send_ask(calls, ask)),
    }
}

async fn send_order(
    calls: Arc<dyn ServerCalls>,
    order: VersionOrder,
    station: String,
    fence: u64,
) -> CallOutcome {
    let body = serde_json::to_string(&order.body(&station, fence)).unwrap_or_default();
    let answer = calls.order(&order, body).await;
    log::info!("order: {} to version {} of {}: {answer:?}", order.server, order.version, order.model);
    CallOutcome::Answered(order.server, answer)
}

async fn send_ask(calls: Arc<dyn ServerCalls>, ask: ReportRequest) -> CallOutcome {
    match calls.report(&ask).await {
        Some(report) => CallOutcome::Reported(ask.server, Box::new(report)),
        None => CallOutcome::NotReported(ask.server),
    }
}
