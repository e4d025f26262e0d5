//! The operator's configuration: types, checks, patches and route matching.

use std::sync::Arc;

/// A checked configuration, compiled for route matching.
#[derive(Clone, Debug)]
pub struct Configuration {
    routes: Vec<Arc<Route>>,
}

/// A route.
#[derive(Clone, Debug)]
pub struct Route {}

impl Configuration {
    /// The routes.
    #[must_use]
    pub fn routes(&self) -> &[Arc<Route>] {
        &self.routes
    }
}
