//! The clients by which a process calls other processes, the platform and the servers.

use std::sync::Arc;

use control_plane::{HttpServerCalls, ListSource, Platform, ServerCalls};
use settings::NodeSettings;

/// Clients for the other processes, the platform and the servers. The simulator provides its own.
#[derive(Clone)]
pub struct OutboundClients {
    /// Calls other processes of the system.
    pub rpc: rpc::Client,
    /// Reads the platform's list of servers; `None` where there is none.
    pub server_list: Option<Arc<dyn ListSource>>,
    /// Calls servers, for orders and reports of weight versions.
    pub servers: Arc<dyn ServerCalls>,
}

impl OutboundClients {
    /// Clients over HTTP. They connect when they are first used.
    pub fn http(settings: &NodeSettings) -> Self {
        let server_list = settings.platform_list.as_ref().map(|list| {
            let platform: Arc<dyn ListSource> = Arc::new(Platform::new(list.address.clone()));
            platform
        });
        Self { rpc: rpc::Client::new(), server_list, servers: Arc::new(HttpServerCalls::new()) }
    }
}
