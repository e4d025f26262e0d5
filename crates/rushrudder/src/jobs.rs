//! Calls on batch jobs at a traffic node.

use data_plane::JobEndpoint;
use futures_util::future::BoxFuture;
use poem::http::StatusCode;
use poem::{Request, Response};
use settings::Settings;

use crate::control::Control;

/// Brings calls on batch jobs to the stores that keep them.
pub struct Jobs {}

impl Jobs {
    /// Calls go to the stores that `control` knows.
    pub fn new(_control: &Control, _settings: &Settings) -> Self {
        Self {}
    }
}

impl JobEndpoint for Jobs {
    fn handle(&self, _request: Request) -> BoxFuture<'_, Response> {
        Box::pin(async { StatusCode::SERVICE_UNAVAILABLE.into() })
    }
}
