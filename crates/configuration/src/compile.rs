//! Compiles a document into routes and services, and performs the checks that involve several items.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use crate::document::{
    Count, EngineDocument, LimitsDocument, Milliseconds, RouteDocument, Seconds, ServiceDocument,
    TargetDocument,
};
use crate::error::ConfigurationError;
use crate::host;
use crate::limits::ConfigurationLimits;
use crate::route::{Route, RouteKind, Target};
use crate::service::{Engine, Service};

/// Timeout of a route that does not set `expiryMs`.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of servers that may run one request of a client, for a route that does not set `tries`.
const DEFAULT_MAX_ATTEMPTS: u32 = 1;
/// Weight of the service of a route that has `postalLine` instead of `split`.
const SINGLE_TARGET_WEIGHT: u32 = 1;

/// Compiled services by name.
pub(crate) type Services = HashMap<Arc<str>, Arc<Service>>;

/// Compiles the services.
///
/// # Errors
///
/// Returns [`ConfigurationError::DuplicateName`] if two services have the same name.
pub(crate) fn services(documents: Vec<ServiceDocument>) -> Result<Services, ConfigurationError> {
    let mut services = Services::with_capacity(documents.len());
    for document in documents {
        let service = Arc::new(Service::from(document));
        if let Some(earlier) = services.insert(Arc::clone(&service.name), service) {
            let name = earlier.name.to_string();
            return Err(ConfigurationError::DuplicateName { list: "postalLines", name });
        }
    }
    Ok(services)
}

/// Compiles the routes.
///
/// # Errors
///
/// Returns an error if two routes have the same name, or if the timeout, the services or the weights of a
/// route are invalid.
pub(crate) fn routes(
    documents: Vec<RouteDocument>,
    services: &Services,
) -> Result<Vec<Arc<Route>>, ConfigurationError> {
    let mut routes: Vec<Arc<Route>> = Vec::with_capacity(documents.len());
    let mut names = HashSet::new();
    for document in documents {
        let route = compile_route(document, services)?;
        if !names.insert(Arc::clone(&route.name)) {
            let name = route.name.to_string();
            return Err(ConfigurationError::DuplicateName { list: "routes", name });
        }
        routes.push(Arc::new(route));
    }
    Ok(routes)
}

/// Groups the routes by host, and sorts the routes of each host by descending length of the prefix.
///
/// # Errors
///
/// Returns [`ConfigurationError::DuplicatePrefix`] if two routes have the same host and prefix.
pub(crate) fn index_by_host(
    routes: &[Arc<Route>],
) -> Result<HashMap<Arc<str>, Vec<Arc<Route>>>, ConfigurationError> {
    let mut routes_by_host: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
    for route in routes {
        routes_by_host.entry(Arc::clone(&route.host)).or_default().push(Arc::clone(route));
    }
    for routes in routes_by_host.values_mut() {
        routes.sort_by(|a, b| b.prefix.len().cmp(&a.prefix.len()).then_with(|| a.prefix.cmp(&b.prefix)));
        check_distinct_prefixes(routes)?;
    }
    Ok(routes_by_host)
}

/// Compiles the limits; absent limits get their defaults.
pub(crate) fn limits(document: LimitsDocument) -> ConfigurationLimits {
    let default = ConfigurationLimits::default();
    ConfigurationLimits {
        head_bytes: to_integer(document.head_bytes).unwrap_or(default.head_bytes),
        body_bytes: to_integer(document.body_bytes).unwrap_or(default.body_bytes),
        head_timeout: to_duration(document.head_timeout).unwrap_or(default.head_timeout),
        idle_timeout: to_duration(document.idle_timeout).unwrap_or(default.idle_timeout),
    }
}

impl From<ServiceDocument> for Service {
    fn from(document: ServiceDocument) -> Self {
        Self {
            name: document.name.into(),
            health_path: document.health_path.map(Arc::from),
            max_connections: document.max_connections.map(|Count(count)| count),
            engine: document.engine.map(Engine::from),
        }
    }
}

impl From<EngineDocument> for Engine {
    fn from(document: EngineDocument) -> Self {
        let models = document.models.unwrap_or_default();
        Self {
            slots: document.slots.map_or(0, |Count(count)| count),
            cache_tokens: to_integer(document.cache_tokens).unwrap_or(0),
            cache_bytes_per_token: to_integer(document.cache_bytes_per_token).unwrap_or(0),
            link_mbps: document.link_mbps.unwrap_or(0.0),
            progress_interval_tokens: to_integer(document.progress_interval_tokens).unwrap_or(0),
            models: models.into_iter().map(|model| model.name.into()).collect(),
        }
    }
}

fn compile_route(document: RouteDocument, services: &Services) -> Result<Route, ConfigurationError> {
    let timeout = to_duration(document.timeout).unwrap_or(DEFAULT_TIMEOUT);
    if timeout.is_zero() {
        return Err(ConfigurationError::ZeroTimeout { route: document.name });
    }
    let targets = compile_targets(&document.name, document.service, document.split, services)?;
    Ok(Route {
        name: document.name.into(),
        host: host::normalize(&document.host).into(),
        prefix: document.prefix.into(),
        kind: RouteKind::from_keyword(&document.kind),
        timeout,
        latency_target: to_duration(document.latency_target).unwrap_or(timeout),
        urgency: document.urgency.map_or(0, |Count(count)| count),
        targets,
        max_attempts: document.max_attempts.map_or(DEFAULT_MAX_ATTEMPTS, |Count(count)| count.max(1)),
        resume: document.resume.0,
        single_version: document.single_version.0,
        delivery_due: to_duration(document.delivery_due),
        shelf_life: document.shelf_life.map(|Seconds(duration)| duration),
        prefix_affinity: document.prefix_affinity.0,
    })
}

fn compile_targets(
    route: &str,
    service: Option<String>,
    split: Option<Vec<TargetDocument>>,
    services: &Services,
) -> Result<Vec<Target>, ConfigurationError> {
    let documents = match (split, service) {
        (Some(split), _) => split,
        (None, Some(service)) => vec![TargetDocument { service, weight: Count(SINGLE_TARGET_WEIGHT) }],
        (None, None) => return Err(missing_target(route)),
    };
    let targets = documents
        .into_iter()
        .map(|document| compile_target(route, document, services))
        .collect::<Result<Vec<_>, _>>()?;
    if targets.iter().all(|target| target.weight == 0) {
        return Err(ConfigurationError::ZeroWeights { route: route.to_owned() });
    }
    Ok(targets)
}

fn compile_target(
    route: &str,
    document: TargetDocument,
    services: &Services,
) -> Result<Target, ConfigurationError> {
    match services.get_key_value(&*document.service) {
        Some((service, _)) => Ok(Target { service: Arc::clone(service), weight: document.weight.0 }),
        None => {
            Err(ConfigurationError::UnknownService { route: route.to_owned(), service: document.service })
        }
    }
}

fn missing_target(route: &str) -> ConfigurationError {
    ConfigurationError::Malformed {
        field: format!("routes[{route}].postalLine"),
        cause: "there is neither postalLine nor split".to_owned(),
    }
}

/// Checks that the routes of a host have different prefixes. `routes` must be sorted, so that routes with
/// equal prefixes are adjacent.
fn check_distinct_prefixes(routes: &[Arc<Route>]) -> Result<(), ConfigurationError> {
    match routes.windows(2).find(|pair| pair[0].prefix == pair[1].prefix) {
        Some(pair) => Err(ConfigurationError::DuplicatePrefix {
            first: pair[0].name.to_string(),
            second: pair[1].name.to_string(),
        }),
        None => Ok(()),
    }
}

/// Converts a number to its integer part; negative numbers become 0.
fn to_integer(number: Option<f64>) -> Option<u64> {
    number.map(|number| number as u64)
}

fn to_duration(milliseconds: Option<Milliseconds>) -> Option<Duration> {
    milliseconds.map(|Milliseconds(duration)| duration)
}
