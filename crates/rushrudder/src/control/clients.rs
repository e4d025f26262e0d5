//! The clients with which a process calls other processes, the platform and the model servers.

use std::sync::Arc;

use control_plane::{HttpServerCalls, ListSource, Platform, ServerCalls};
use settings::NodeSettings;

/// Clients for other processes, the platform and the model servers. The simulator replaces them with
/// simulated ones.
#[derive(Clone)]
pub struct OutboundClients {
    /// Client for calls to other processes of the system.
    pub rpc: rpc::Client,
    /// Reader of the platform's server list; `None` if the settings name no platform list.
    pub server_list: Option<Arc<dyn ListSource>>,
    /// Client that orders model servers to load weight versions, and reads their reports.
    pub servers: Arc<dyn ServerCalls>,
}

impl OutboundClients {
    /// Creates clients that use HTTP. They connect when they are first used.
    pub fn http(settings: &NodeSettings) -> Self {
        let server_list = settings.platform_list.as_ref().map(|list| {
            let platform: Arc<dyn ListSource> = Arc::new(Platform::new(list.address.clone()));
            platform
        });
        Self { rpc: rpc::Client::new(), server_list, servers: Arc::new(HttpServerCalls::new()) }
    }
}
