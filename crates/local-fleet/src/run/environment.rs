//! The emulated platform and servers of a run, with their parameters.

use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use crate::deployment::{Layout, Names, PLATFORM_CALLS_PER_SECOND, PLATFORM_LAG};
use crate::platform::{Platform, PlatformOptions};
use crate::protocol::{ListedServer, ModelVersion, ServerCondition};
use crate::servers::{EngineOptions, EngineServer, PlainOptions, PlainServer, PREFILL_AND_DECODE};
use crate::verification::RequestLog;

/// Number of requests that a plain server runs concurrently.
const PLAIN_SLOTS: usize = 6;
/// Number of requests that an engine runs concurrently.
pub(super) const ENGINE_SLOTS: usize = 8;
/// Maximum number of requests that wait for a slot at a server.
const MAX_QUEUED_REQUESTS: usize = 4;
/// Capacity of an engine's KV cache, in tokens.
pub(super) const ENGINE_CACHE_TOKENS: u64 = 39_117;
/// Time that a request runs at a plain server.
const PLAIN_SERVICE_TIME: Duration = Duration::from_millis(25);
/// Time before each event of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(12);
/// Time that an engine takes to load a version of its weights.
const LOAD_TIME: Duration = Duration::from_millis(400);
/// Maximum number of entries on a page of the server list.
const PAGE_ENTRIES: usize = 5;
/// Time between two comparisons of the server list with the versions of the engines.
const LIST_UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Software version that the server list states for all servers.
const SOFTWARE_VERSION: &str = "v1";
/// Path of the health check at all servers.
const HEALTH_PATH: &str = "/health";

/// The running platform and servers; dropping it stops all of them.
#[derive(Debug)]
pub(super) struct Environment {
    pub(super) platform: Arc<Platform>,
    pub(super) engines: Arc<[EngineServer]>,
    /// Server list at the start of the run.
    listed: Vec<ListedServer>,
    _plain_servers: Vec<PlainServer>,
}

impl Environment {
    /// Starts the platform and the servers. Each engine truncates every `truncate_every`th of its streams; 0
    /// truncates none.
    pub(super) async fn start(
        layout: &Layout,
        names: &Names,
        request_log: &Arc<RequestLog>,
        truncate_every: u64,
    ) -> io::Result<Self> {
        let options = PlatformOptions {
            lag: PLATFORM_LAG,
            calls_per_second: PLATFORM_CALLS_PER_SECOND,
            page_entries: PAGE_ENTRIES,
        };
        let platform = Arc::new(Platform::start(layout.platform_address(), options).await?);
        let mut listed = Vec::new();
        let mut plain_servers = Vec::new();
        for number in 0..layout.plain_servers {
            let (options, address) = (plain_options(names), layout.plain_server_address(number));
            listed.push(listed_plain_server(layout, number, &options));
            plain_servers.push(PlainServer::start(address, options, Arc::clone(request_log)).await?);
        }
        let mut engines = Vec::new();
        for number in 0..layout.engines {
            let (options, address) = (engine_options(names, truncate_every), layout.engine_address(number));
            listed.push(listed_engine(layout, number, &options));
            engines.push(EngineServer::start(address, options, Arc::clone(request_log)).await?);
        }
        platform.set_servers(listed.clone());
        Ok(Self { platform, engines: engines.into(), listed, _plain_servers: plain_servers })
    }

    /// Updates the versions in the server list whenever an engine has loaded another one; the future never
    /// completes.
    pub(super) fn update_list(&self) -> impl Future<Output = ()> + Send + 'static {
        let (platform, engines) = (Arc::clone(&self.platform), Arc::clone(&self.engines));
        let mut listed = self.listed.clone();
        async move {
            loop {
                tokio::time::sleep(LIST_UPDATE_INTERVAL).await;
                let current = with_current_versions(&listed, &engines);
                if current != listed {
                    listed = current;
                    platform.set_servers(listed.clone());
                }
            }
        }
    }
}

/// Returns the entries of `listed` with the versions that the engines use now.
fn with_current_versions(listed: &[ListedServer], engines: &[EngineServer]) -> Vec<ListedServer> {
    let mut servers = listed.to_vec();
    for engine in engines {
        let entry = servers.iter_mut().find(|server| server.address == engine.address());
        let models = entry.into_iter().flat_map(|entry| &mut entry.models);
        models.for_each(|model| model.version = engine.version());
    }
    servers
}

fn random_server_id() -> Arc<str> {
    format!("i-{:08x}", fastrand::u32(..)).into()
}

fn plain_options(names: &Names) -> PlainOptions {
    PlainOptions {
        service: names.plain_service.as_str().into(),
        id: random_server_id(),
        health_path: HEALTH_PATH.into(),
        slots: PLAIN_SLOTS,
        max_queued: MAX_QUEUED_REQUESTS,
        service_time: PLAIN_SERVICE_TIME,
    }
}

fn engine_options(names: &Names, truncate_every: u64) -> EngineOptions {
    EngineOptions {
        service: names.engine_service.as_str().into(),
        id: random_server_id(),
        health_path: HEALTH_PATH.into(),
        model: names.model.as_str().into(),
        slots: ENGINE_SLOTS,
        max_queued: MAX_QUEUED_REQUESTS,
        event_interval: EVENT_INTERVAL,
        load_time: LOAD_TIME,
        cache_tokens: ENGINE_CACHE_TOKENS,
        truncate_every,
    }
}

fn listed_plain_server(layout: &Layout, number: u8, options: &PlainOptions) -> ListedServer {
    ListedServer {
        service: Arc::clone(&options.service),
        address: layout.plain_server_address(number),
        zone: layout.zone(number).into(),
        software: SOFTWARE_VERSION.into(),
        slots: options.slots,
        condition: ServerCondition::Open,
        warm_up_ms: 0,
        phase: None,
        models: Vec::new(),
        id: Arc::clone(&options.id),
    }
}

fn listed_engine(layout: &Layout, number: u8, options: &EngineOptions) -> ListedServer {
    ListedServer {
        service: Arc::clone(&options.service),
        address: layout.engine_address(number),
        zone: layout.zone(number).into(),
        software: SOFTWARE_VERSION.into(),
        slots: options.slots,
        condition: ServerCondition::Open,
        warm_up_ms: 0,
        phase: Some(PREFILL_AND_DECODE.into()),
        models: vec![ModelVersion { name: Arc::clone(&options.model), version: 1, adapters: Vec::new() }],
        id: Arc::clone(&options.id),
    }
}
