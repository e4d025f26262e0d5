//! The checked configuration that processes use.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use crate::document::ConfigurationDocument;
use crate::error::ConfigurationError;
use crate::limits::ConfigurationLimits;
use crate::route::Route;
use crate::service::Service;
use crate::{compile, host};

/// A checked configuration, compiled for route matching. Names of routes and services are unique, and each
/// route has at least one service with a weight above 0.
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
    /// Returns an error that names the field if the text is not a configuration document or fails a check.
    pub fn parse(json: &[u8]) -> Result<Self, ConfigurationError> {
        let document = ConfigurationDocument::parse(json)?;
        let services = compile::services(document.services)?;
        let routes = compile::routes(document.routes, &services)?;
        let routes_by_host = compile::index_by_host(&routes)?;
        let limits = document.limits.map_or_else(ConfigurationLimits::default, compile::limits);
        Ok(Self { version: document.version, routes, services, limits, routes_by_host })
    }

    /// Returns `edition`: the version of the configuration; each change must raise it.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns all routes, in the order of the document.
    #[must_use]
    pub fn routes(&self) -> &[Arc<Route>] {
        &self.routes
    }

    /// Iterates over all services, in unspecified order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Returns the service with this name; `None` if there is none.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns the limits on the requests of clients.
    #[must_use]
    pub fn limits(&self) -> &ConfigurationLimits {
        &self.limits
    }

    /// Returns the models for which another weight version may continue a text than the one that began it.
    /// A model is excluded if a route that requires a single version has a target with the model.
    #[must_use]
    pub fn models_of_mixed_versions(&self) -> BTreeSet<Arc<str>> {
        let single_version_routes = self.routes.iter().filter(|route| route.single_version);
        let single_version_models: BTreeSet<&Arc<str>> =
            single_version_routes.flat_map(|route| self.models_of(route)).collect();
        let engines = self.services.values().filter_map(|service| service.engine.as_ref());
        let models = engines.flat_map(|engine| &engine.models);
        models.filter(|model| !single_version_models.contains(model)).cloned().collect()
    }

    /// Returns the route of a request: among the routes of its host, the one with the longest prefix that its
    /// path starts with. `None` if no route matches.
    ///
    /// `host` may contain a port and upper-case letters, `path` may contain a query.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        let routes = self.routes_by_host.get(&*host::normalize(host))?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the models of all targets of a route.
    fn models_of<'a>(&'a self, route: &'a Route) -> impl Iterator<Item = &'a Arc<str>> {
        let services = route.targets.iter().filter_map(|target| self.services.get(&target.service));
        services.filter_map(|service| service.engine.as_ref()).flat_map(|engine| &engine.models)
    }
}
