//! Checks of a whole document, and its form for matching.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use validator::Validate;

use crate::document::{
    Count, Document, EngineDocument, LimitsDocument, Milliseconds, RouteDocument, ServiceDocument,
    TargetDocument,
};
use crate::error::ConfigurationError;
use crate::host;
use crate::route::{Route, RouteKind, Target};
use crate::service::{ConfigurationLimits, Engine, Service};

/// Held no longer than this where a route has no time-out.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Servers that a try may go to where a route doesn't tell.
const DEFAULT_TRIES: u32 = 1;
/// Weight of the only service of a route.
const WHOLE_SHARE: u32 = 1;

/// A checked configuration, compiled for route matching.
#[derive(Clone, Debug)]
pub struct Configuration {
    edition: u64,
    routes: Vec<Arc<Route>>,
    services: HashMap<Arc<str>, Arc<Service>>,
    limits: ConfigurationLimits,
    /// The routes of a host, longest prefix first.
    by_host: HashMap<Arc<str>, Vec<Arc<Route>>>,
}

impl Configuration {
    /// Reads and checks a whole document.
    ///
    /// # Errors
    ///
    /// When it cannot be read whole, or breaks a rule; the error names the field.
    pub fn parse(json: &[u8]) -> Result<Self, ConfigurationError> {
        let document = read_document(json)?;
        let services = compile_services(document.services)?;
        let routes = compile_routes(document.routes, &services)?;
        let by_host = index_by_host(&routes)?;
        let limits = document.limits.map_or_else(ConfigurationLimits::default, compile_limits);
        Ok(Self { edition: document.edition, routes, services, limits, by_host })
    }

    /// The version.
    #[must_use]
    pub fn edition(&self) -> u64 {
        self.edition
    }

    /// The routes, in the operator's order.
    #[must_use]
    pub fn routes(&self) -> &[Arc<Route>] {
        &self.routes
    }

    /// The services, in no order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// The service of that name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// What a client may send.
    #[must_use]
    pub fn limits(&self) -> &ConfigurationLimits {
        &self.limits
    }

    /// The models whose requests may go on under a new version of the weights: the servers that have the model
    /// get no request of a route that wants one version for a whole text.
    #[must_use]
    pub fn models_of_mixed_versions(&self) -> BTreeSet<Arc<str>> {
        let strict = self.routes.iter().filter(|route| route.single_version);
        let strict: BTreeSet<&Arc<str>> = strict.flat_map(|route| self.models_of(route)).collect();
        let engines = self.services.values().filter_map(|service| service.engine.as_ref());
        let models = engines.flat_map(|engine| &engine.models);
        models.filter(|model| !strict.contains(model)).cloned().collect()
    }

    /// The route of a request: among those of the host, the one with the longest prefix that begins the path.
    ///
    /// `host` may have a port and capitals, `path` a query.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        let routes = self.by_host.get(&*host::normalize(host))?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// The models of the services that a route sends to.
    fn models_of<'a>(&'a self, route: &'a Route) -> impl Iterator<Item = &'a Arc<str>> {
        let services = route.targets.iter().filter_map(|target| self.services.get(&target.service));
        services.filter_map(|service| service.engine.as_ref()).flat_map(|engine| &engine.models)
    }
}

fn read_document(json: &[u8]) -> Result<Document, ConfigurationError> {
    let mut reader = serde_json::Deserializer::from_slice(json);
    let document: Document = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        ConfigurationError::Unreadable { field: error.path().to_string(), cause: error.inner().to_string() }
    })?;
    reader.end().map_err(|error| ConfigurationError::whole_unreadable(&error))?;
    document.validate().map_err(|errors| unusable(&errors))?;
    Ok(document)
}

fn unusable(errors: &validator::ValidationErrors) -> ConfigurationError {
    ConfigurationError::Unusable { field: ".".to_owned(), cause: errors.to_string() }
}

fn compile_services(
    documents: Vec<ServiceDocument>,
) -> Result<HashMap<Arc<str>, Arc<Service>>, ConfigurationError> {
    let mut services = HashMap::with_capacity(documents.len());
    for document in documents {
        let service = Arc::new(compile_service(document));
        if let Some(earlier) = services.insert(Arc::clone(&service.name), service) {
            return Err(ConfigurationError::SameName { list: "postalLines", name: earlier.name.to_string() });
        }
    }
    Ok(services)
}

fn compile_service(document: ServiceDocument) -> Service {
    Service {
        name: document.name.into(),
        health_path: document.health_path.map(Arc::from),
        connections_most: document.connections_most.map(|Count(count)| count),
        engine: document.engine.map(compile_engine),
    }
}

fn compile_engine(document: EngineDocument) -> Engine {
    let models = document.models.unwrap_or_default();
    Engine {
        slots: document.slots.map_or(0, |Count(count)| count),
        cache_tokens: whole(document.cache_tokens).unwrap_or(0),
        cache_bytes: whole(document.cache_bytes).unwrap_or(0),
        link_mbps: document.link_mbps.unwrap_or(0.0),
        stride: whole(document.stride).unwrap_or(0),
        models: models.into_iter().map(|model| model.name.into()).collect(),
    }
}

fn compile_limits(document: LimitsDocument) -> ConfigurationLimits {
    let default = ConfigurationLimits::default();
    ConfigurationLimits {
        head_bytes: whole(document.head_bytes).unwrap_or(default.head_bytes),
        body_bytes: whole(document.body_bytes).unwrap_or(default.body_bytes),
        head_timeout: duration(document.head_timeout).unwrap_or(default.head_timeout),
        idle: duration(document.idle).unwrap_or(default.idle),
    }
}

/// The whole part of a figure; figures below 0 count as 0.
fn whole(figure: Option<f64>) -> Option<u64> {
    figure.map(|figure| figure as u64)
}

fn duration(figure: Option<Milliseconds>) -> Option<Duration> {
    figure.map(|Milliseconds(duration)| duration)
}

fn compile_routes(
    documents: Vec<RouteDocument>,
    services: &HashMap<Arc<str>, Arc<Service>>,
) -> Result<Vec<Arc<Route>>, ConfigurationError> {
    let mut routes: Vec<Arc<Route>> = Vec::with_capacity(documents.len());
    let mut names = HashSet::new();
    for document in documents {
        let route = compile_route(document, services)?;
        if !names.insert(Arc::clone(&route.name)) {
            return Err(ConfigurationError::SameName { list: "routes", name: route.name.to_string() });
        }
        routes.push(Arc::new(route));
    }
    Ok(routes)
}

fn compile_route(
    document: RouteDocument,
    services: &HashMap<Arc<str>, Arc<Service>>,
) -> Result<Route, ConfigurationError> {
    let timeout = duration(document.timeout).unwrap_or(DEFAULT_TIMEOUT);
    if timeout.is_zero() {
        return Err(ConfigurationError::NoTimeout { route: document.name });
    }
    let targets = compile_targets(&document.name, document.service, document.split, services)?;
    Ok(Route {
        name: document.name.into(),
        host: host::normalize(&document.host).into(),
        prefix: document.prefix.into(),
        kind: RouteKind::from_keyword(&document.kind),
        timeout,
        latency_target: duration(document.aim).unwrap_or(timeout),
        urgency: document.urgency.map_or(0, |Count(count)| count),
        targets,
        max_attempts: document.tries.map_or(DEFAULT_TRIES, |Count(count)| count.max(1)),
        resume: document.resume.0,
        single_version: document.single_version.0,
        delivery_due: duration(document.delivery_due),
        shelf_life: document.shelf_life.map(|figure| figure.0),
        prefix_affinity: document.same_server.0,
    })
}

fn compile_targets(
    route: &str,
    service: Option<String>,
    split: Option<Vec<TargetDocument>>,
    services: &HashMap<Arc<str>, Arc<Service>>,
) -> Result<Vec<Target>, ConfigurationError> {
    let wanted = match (split, service) {
        (Some(split), _) => split,
        (None, Some(service)) => vec![TargetDocument { service, share: Count(WHOLE_SHARE) }],
        (None, None) => return Err(no_target(route)),
    };
    let targets = wanted
        .into_iter()
        .map(|target| compile_target(route, &target, services))
        .collect::<Result<Vec<_>, _>>()?;
    if targets.iter().all(|target| target.weight == 0) {
        return Err(ConfigurationError::NoWeight { route: route.to_owned() });
    }
    Ok(targets)
}

fn no_target(route: &str) -> ConfigurationError {
    ConfigurationError::Unreadable {
        field: format!("routes[{route}].postalLine"),
        cause: "there is neither postalLine nor split".to_owned(),
    }
}

fn compile_target(
    route: &str,
    target: &TargetDocument,
    services: &HashMap<Arc<str>, Arc<Service>>,
) -> Result<Target, ConfigurationError> {
    let Some((service, _)) = services.get_key_value(&*target.service) else {
        return Err(ConfigurationError::UnknownService {
            route: route.to_owned(),
            service: target.service.clone(),
        });
    };
    Ok(Target { service: Arc::clone(service), weight: target.share.0 })
}

fn index_by_host(routes: &[Arc<Route>]) -> Result<HashMap<Arc<str>, Vec<Arc<Route>>>, ConfigurationError> {
    let mut by_host: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
    for route in routes {
        by_host.entry(Arc::clone(&route.host)).or_default().push(Arc::clone(route));
    }
    for of_host in by_host.values_mut() {
        of_host.sort_by(|a, b| b.prefix.len().cmp(&a.prefix.len()).then_with(|| a.prefix.cmp(&b.prefix)));
        refuse_same_place(of_host)?;
    }
    Ok(by_host)
}

/// `of_host` is ordered by prefix, so that routes of the same place stand side by side.
fn refuse_same_place(of_host: &[Arc<Route>]) -> Result<(), ConfigurationError> {
    match of_host.windows(2).find(|pair| pair[0].prefix == pair[1].prefix) {
        Some(pair) => Err(ConfigurationError::SamePlace {
            first: pair[0].name.to_string(),
            second: pair[1].name.to_string(),
        }),
        None => Ok(()),
    }
}
