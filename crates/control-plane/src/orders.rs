//! Carries out the plan of weight versions while this process leads.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::BoxFuture;
use futures_util::stream::{FuturesUnordered, StreamExt};
use rollout::{Action, Answer, Ask, ModelName, Order, Pacing, Planner, Report, ServerId};
use state::{Condition, View};

use crate::version_news::VersionNews;
use crate::{Leadership, ViewCell};

/// The paths of a server.
const ORDER_PATH: &str = "/api/order";
const REPORT_PATH: &str = "/api/report";
/// The header that names the server meant.
const EXPECTED_SERVER: &str = "Expected-Carrier";
/// How long a server may take to answer.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(1000);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
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
pub async fn run_orders(station: String, leadership: Arc<Leadership>, view: Arc<ViewCell>) {
    let http = http_client();
    let began = Instant::now();
    let mut views = view.subscribe();
    let mut term: Option<Term> = None;
    let mut calls = FuturesUnordered::new();
    let mut news = VersionNews::default();
    loop {
        follow_lease(&mut term, &leadership);
        news.publish(began.elapsed(), &view, &leadership);
        let mut wake = LOOK_EVERY;
        if let Some(term) = &mut term {
            let now = began.elapsed();
            feed(&mut term.planner, now, &views.borrow_and_update());
            for action in term.planner.decide(now) {
                // The lease is looked up anew before each order: the process may have been frozen.
                if leadership.fence_for_orders() != Some(term.fence) {
                    break;
                }
                let outcome = start(&http, action, &station, term.fence);
                calls.push(Call { fence: term.fence, outcome }.finish());
            }
            let next = term.planner.next_wake(now).into_iter().chain(news.due()).min();
            wake = next.map_or(wake, |at| at.saturating_sub(now).min(wake));
        }
        tokio::select! {
            Some((fence, outcome)) = calls.next(), if !calls.is_empty() => {
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

fn http_client() -> reqwest::Client {
    reqwest::Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .build()
        .expect("the HTTP client is set up without I/O")
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

fn start(http: &reqwest::Client, action: Action, station: &str, fence: u64) -> BoxFuture<'static, Outcome> {
    match action {
        Action::Order(order) => Box::pin(send_order(http.clone(), order, station.to_owned(), fence)),
        Action::Ask(ask) => Box::pin(send_ask(http.clone(), ask)),
    }
}

async fn send_order(http: reqwest::Client, order: Order, station: String, fence: u64) -> Outcome {
    let body = serde_json::to_string(&order.body(&station, fence)).unwrap_or_default();
    let call = http
        .post(format!("http://{}{ORDER_PATH}", order.address))
        .header("Content-Type", "application/json")
        .header(EXPECTED_SERVER, &*order.server)
        .timeout(CALL_TIMEOUT)
        .body(body);
    let answer = match call.send().await {
        Ok(answer) => Answer::from_status(answer.status().as_u16()),
        Err(error) if error.is_connect() => Answer::NotTaken,
        Err(_) => Answer::Unclear,
    };
    log::info!("order: {} to version {} of {}: {answer:?}", order.server, order.version, order.model);
    Outcome::Answered(order.server, answer)
}

async fn send_ask(http: reqwest::Client, ask: Ask) -> Outcome {
    match report(&http, &ask).await {
        Some(report) => Outcome::Reported(ask.server, Box::new(report)),
        None => Outcome::NotReported(ask.server),
    }
}

async fn report(http: &reqwest::Client, ask: &Ask) -> Option<Report> {
    let call = http
        .get(format!("http://{}{REPORT_PATH}", ask.address))
        .header(EXPECTED_SERVER, &*ask.server)
        .timeout(CALL_TIMEOUT);
    let answer = call.send().await.ok().filter(|answer| answer.status().as_u16() == 200)?;
    serde_json::from_slice(&answer.bytes().await.ok()?).ok()
}

fn tell(planner: &mut Planner, now: Duration, outcome: Outcome) {
    match outcome {
        Outcome::Answered(server, answer) => planner.answered(now, &server, answer),
        Outcome::Reported(server, report) => planner.reported(now, &server, &report),
        Outcome::NotReported(server) => planner.not_reported(now, &server),
    }
}
