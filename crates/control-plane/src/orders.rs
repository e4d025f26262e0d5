//! Carries out the plan of weight versions while this process leads.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use futures_util::stream::{FuturesUnordered, StreamExt};
use rollout::{Action, Answer, Ask, ModelName, Order, Pacing, Planner, Report, ServerId};
use state::{Condition, View};
use tokio::time::Instant;

use crate::version_news::VersionNews;
use crate::{Leadership, ServerCalls, ViewCell};

/// The longest sleep between two looks at the plan.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// A call that was made under one fencing token.
struct Call {
    fence: u64,
    outcome: BoxFuture<'static, Outcome>,
}

impl Call {
    /// The outcome, with the fencing token under which the call was made.
    async fn finish(self) -> (u64, Outcome) {
        (self.fence, self.outcome.await)
    }
}

/// What came of a call.
enum Outcome {
    Answered(ServerId, Answer),
    Reported(ServerId, Box<Report>),
    NotReported(ServerId),
}

/// One term of the lease.
struct Term {
    fence: u64,
    planner: Planner,
}

/// Brings servers to the named versions while this process leads.
pub async fn run_orders(
    station: String,
    leadership: Arc<Leadership>,
    view: Arc<ViewCell>,
    servers: Arc<dyn ServerCalls>,
) {
    let began = Instant::now();
    let mut views = view.subscribe();
    let mut term: Option<Term> = None;
    let mut calls = FuturesUnordered::new();
    // The fencing token of each order without an answer.
    let mut under_way: Vec<u64> = Vec::new();
    let mut news = VersionNews::default();
    loop {
        follow_lease(&mut term, &leadership);
        news.publish(began.elapsed(), &view, &leadership);
        let mut wake = LOOK_EVERY;
        // An order of an earlier term may still reach its server: none of this term may come before it.
        let earlier = term.as_ref().is_some_and(|term| under_way.iter().any(|fence| *fence != term.fence));
        if let Some(term) = term.as_mut().filter(|_| !earlier) {
            let now = began.elapsed();
            feed(&mut term.planner, now, &views.borrow_and_update());
            for action in term.planner.decide(now) {
                // The lease is looked up anew before each order: the process may have been frozen.
                if leadership.fence_for_orders() != Some(term.fence) {
                    break;
                }
                if matches!(action, Action::Order(_)) {
                    under_way.push(term.fence);
                }
                let outcome = start(&servers, action, &station, term.fence);
                calls.push(Call { fence: term.fence, outcome }.finish());
            }
            let next = term.planner.next_wake(now).into_iter().chain(news.due()).min();
            wake = next.map_or(wake, |at| at.saturating_sub(now).min(wake));
        }
        tokio::select! {
            biased;
            Some((fence, outcome)) = calls.next(), if !calls.is_empty() => {
                if matches!(outcome, Outcome::Answered(..)) {
                    under_way.iter().position(|other| *other == fence).map(|ended| under_way.swap_remove(ended));
                }
                if let Outcome::Reported(server, report) = &outcome {
                    news.note(began.elapsed(), server, report);
                }
                // The planner of another term has not made this call: what came of it is no answer to its own.
                if let Some(term) = term.as_mut().filter(|term| term.fence == fence) {
                    tell(&mut term.planner, began.elapsed(), outcome);
                }
            }
            changed = views.changed(), if term.is_some() => {
                if changed.is_err() {
                    return;
                }
            }
            () = leadership.may_order(), if term.is_none() => {}
            () = tokio::time::sleep(wake.max(Duration::from_millis(2))) => {}
        }
    }
}

/// A planner belongs to one term of the lease.
fn follow_lease(term: &mut Option<Term>, leadership: &Leadership) {
    match leadership.fence_for_orders() {
        None => *term = None,
        Some(fence) if term.as_ref().is_some_and(|term| term.fence == fence) => {}
        Some(fence) => *term = Some(Term { fence, planner: Planner::new(Pacing::default()) }),
    }
}

fn feed(planner: &mut Planner, now: Duration, view: &View) {
    for (model, version) in &view.control.named_versions {
        planner.set_named(now, model, *version);
    }
    planner.set_keep(models_to_keep(view));
    planner.set_servers(view.servers.servers.iter().filter(|server| !server.models.is_empty()).map(
        |server| rollout::Server {
            id: Arc::clone(&server.id),
            address: server.address,
            zone: Arc::clone(&server.zone),
            closing: server.condition == Condition::Closing,
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
    action: Action,
    station: &str,
    fence: u64,
) -> BoxFuture<'static, Outcome> {
    let calls = Arc::clone(calls);
    match action {
        Action::Order(order) => Box::pin(send_order(calls, order, station.to_owned(), fence)),
        Action::Ask(ask) => Box::pin(send_ask(calls, ask)),
    }
}

async fn send_order(calls: Arc<dyn ServerCalls>, order: Order, station: String, fence: u64) -> Outcome {
    let body = serde_json::to_string(&order.body(&station, fence)).unwrap_or_default();
    let answer = calls.order(&order, body).await;
    log::info!("order: {} to version {} of {}: {answer:?}", order.server, order.version, order.model);
    Outcome::Answered(order.server, answer)
}

async fn send_ask(calls: Arc<dyn ServerCalls>, ask: Ask) -> Outcome {
    match calls.report(&ask).await {
        Some(report) => Outcome::Reported(ask.server, Box::new(report)),
        None => Outcome::NotReported(ask.server),
    }
}

fn tell(planner: &mut Planner, now: Duration, outcome: Outcome) {
    match outcome {
        Outcome::Answered(server, answer) => planner.answered(now, &server, answer),
        Outcome::Reported(server, report) => planner.reported(now, &server, &report),
        Outcome::NotReported(server) => planner.not_reported(now, &server),
    }
}
