//! The clients with which a process calls other processes, the platform and the model servers.

use std::sync::Arc;

use control_plane::{HttpServerCalls, ListSource, Platform, ServerCalls};
use settings::NodeSettings;

/// Clients for other processes, the platform and the model servers. The simulator replaces them by simulated
/// ones.
#[derive(Clone)]
pub struct OutboundClients {
    /// Calls other processes of the system.
    pub rpc: rpc::Client,
    /// Reads the platform's list of servers; `None` if the settings name no platform list.
    pub server_list: Option<Arc<dyn ListSource>>,
    /// Sends orders to load weight versions to model servers, and reads their reports.
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
