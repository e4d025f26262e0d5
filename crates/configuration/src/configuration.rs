//! A checked configuration, as the processes use it.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use crate::document::ConfigurationDocument;
use crate::error::ConfigurationError;
use crate::limits::ConfigurationLimits;
use crate::route::Route;
use crate::service::Service;
use crate::{compile, host};

/// A checked configuration, compiled for route matching. Names of routes and services are unique, and each route has
/// at least one service with a weight above 0.
#[derive(Clone, Debug)]
pub struct Configuration {
    version: u64,
    routes: Vec<Arc<Route>>,
    services: HashMap<Arc<str>, Arc<Service>>,
    limits: ConfigurationLimits,
    /// The routes of each host, longest prefix first.
    routes_by_host: HashMap<Arc<str>, Vec<Arc<Route>>>,
}

impl Configuration {
    /// Parses and checks a document.
    ///
    /// # Errors
    ///
    /// When it is no such document or breaks a check; the error names the field.
    pub fn parse(json: &[u8]) -> Result<Self, ConfigurationError> {
        let document = ConfigurationDocument::parse(json)?;
        let services = compile::services(document.services)?;
        let routes = compile::routes(document.routes, &services)?;
        let routes_by_host = compile::index_by_host(&routes)?;
        let limits = document.limits.map_or_else(ConfigurationLimits::default, compile::limits);
        Ok(Self { version: document.version, routes, services, limits, routes_by_host })
    }

    /// The version of the configuration; each change raises it.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
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

    /// Limits on the requests of clients.
    #[must_use]
    pub fn limits(&self) -> &ConfigurationLimits {
        &self.limits
    }

    /// The models for which a text may be continued by another weight version: no route that wants a single version
    /// sends requests to servers with the model.
    #[must_use]
    pub fn models_of_mixed_versions(&self) -> BTreeSet<Arc<str>> {
        let strict_routes = self.routes.iter().filter(|route| route.single_version);
        let strict_models: BTreeSet<&Arc<str>> =
            strict_routes.flat_map(|route| self.models_of(route)).collect();
        let engines = self.services.values().filter_map(|service| service.engine.as_ref());
        let models = engines.flat_map(|engine| &engine.models);
        models.filter(|model| !strict_models.contains(model)).cloned().collect()
    }

    /// The route of a request: of the routes of its host, the one with the longest prefix of its path.
    ///
    /// `host` may have a port and capitals, `path` a query.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        let routes = self.routes_by_host.get(&*host::normalize(host))?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// The models of the services that a route sends to.
    fn models_of<'a>(&'a self, route: &'a Route) -> impl Iterator<Item = &'a Arc<str>> {
        let services = route.targets.iter().filter_map(|target| self.services.get(&target.service));
        services.filter_map(|service| service.engine.as_ref()).flat_map(|engine| &engine.models)
    }
}
