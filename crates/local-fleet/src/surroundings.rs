//! The stand-ins around a fleet: platform and servers.

use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use crate::configuration_file::Names;
use crate::engine_server::{EngineOptions, EngineServer};
use crate::layout::Layout;
use crate::ledger::Ledger;
use crate::plain_server::{PlainOptions, PlainServer};
use crate::platform::{Platform, PlatformOptions};
use crate::settings_file::{PLATFORM_CALLS_PER_SECOND, PLATFORM_LAG};
use crate::wire::{Carrier, ModelVersion, ServerCondition};

/// Requests that a plain server works on at once.
const PLAIN_SLOTS: usize = 6;
/// Requests that an engine works on at once.
pub const ENGINE_SLOTS: usize = 8;
/// Requests that may wait at a server.
const WAITING_MOST: usize = 4;
/// Memory of an engine in tokens.
pub const CACHE_TOKENS: u64 = 39_117;
/// Work of a request at a plain server.
const PLAIN_WORK: Duration = Duration::from_millis(25);
/// From one event of a text to the next.
const EVENT_STEP: Duration = Duration::from_millis(12);
/// How long a change of version takes.
const LOAD: Duration = Duration::from_millis(400);
/// Entries of a page of the list of servers.
const PAGE_ENTRIES: usize = 5;
/// The list is compared with the engines this often.
const LISTED_EVERY: Duration = Duration::from_millis(100);
/// The version of the servers' software.
const SOFTWARE: &str = "v1";

/// Platform and servers.
#[derive(Debug)]
pub struct Surroundings {
    /// The platform.
    pub platform: Arc<Platform>,
    /// The engines.
    pub engines: Arc<[EngineServer]>,
    carriers: Vec<Carrier>,
    _plain: Vec<PlainServer>,
}

impl Surroundings {
    /// Starts them. Every `cut_every`th text of an engine is cut.
    pub async fn start(
        layout: &Layout,
        names: &Names,
        ledger: &Arc<Ledger>,
        cut_every: u64,
    ) -> io::Result<Self> {
        let options = PlatformOptions {
            lag: PLATFORM_LAG,
            calls_per_second: PLATFORM_CALLS_PER_SECOND,
            page_entries: PAGE_ENTRIES,
        };
        let platform = Arc::new(Platform::start(layout.platform(), options).await?);
        let mut carriers = Vec::new();
        let mut plain = Vec::new();
        for number in 0..layout.plain_servers {
            let options = plain_options(names);
            carriers.push(plain_entry(layout, number, &options));
            plain.push(PlainServer::start(layout.plain_server(number), options, Arc::clone(ledger)).await?);
        }
        let mut engines = Vec::new();
        for number in 0..layout.engines {
            let options = engine_options(names, cut_every);
            carriers.push(engine_entry(layout, number, &options));
            engines.push(EngineServer::start(layout.engine(number), options, Arc::clone(ledger)).await?);
        }
        platform.set(carriers.clone());
        Ok(Self { platform, engines: engines.into(), carriers, _plain: plain })
    }

    /// Keeps the versions of the list at those of the engines.
    pub fn list_versions(&self) -> impl Future<Output = ()> + Send + 'static {
        let (platform, engines) = (Arc::clone(&self.platform), Arc::clone(&self.engines));
        let mut listed = self.carriers.clone();
        async move {
            loop {
                tokio::time::sleep(LISTED_EVERY).await;
                let current = with_versions(&listed, &engines);
                if current != listed {
                    listed = current;
                    platform.set(listed.clone());
                }
            }
        }
    }
}

/// The list of servers with the present versions of the engines.
fn with_versions(carriers: &[Carrier], engines: &[EngineServer]) -> Vec<Carrier> {
    let mut carriers = carriers.to_vec();
    for engine in engines {
        let entry = carriers.iter_mut().find(|carrier| carrier.address == engine.address());
        entry
            .into_iter()
            .flat_map(|entry| &mut entry.models)
            .for_each(|model| model.version = engine.version());
    }
    carriers
}

fn server_id() -> Arc<str> {
    format!("i-{:08x}", fastrand::u32(..)).into()
}

fn plain_options(names: &Names) -> PlainOptions {
    PlainOptions {
        service: names.plain_service.as_str().into(),
        id: server_id(),
        health_path: "/health".into(),
        slots: PLAIN_SLOTS,
        waiting_most: WAITING_MOST,
        work: PLAIN_WORK,
    }
}

fn engine_options(names: &Names, cut_every: u64) -> EngineOptions {
    EngineOptions {
        service: names.engine_service.as_str().into(),
        id: server_id(),
        health_path: "/health".into(),
        model: names.model.as_str().into(),
        slots: ENGINE_SLOTS,
        waiting_most: WAITING_MOST,
        step: EVENT_STEP,
        load: LOAD,
        cache_tokens: CACHE_TOKENS,
        cut_every,
    }
}

fn plain_entry(layout: &Layout, number: u8, options: &PlainOptions) -> Carrier {
    Carrier {
        service: Arc::clone(&options.service),
        address: layout.plain_server(number),
        zone: layout.zone(number).into(),
        software: SOFTWARE.into(),
        slots: options.slots,
        condition: ServerCondition::Open,
        cold_ms: 0,
        part: None,
        models: Vec::new(),
        id: Arc::clone(&options.id),
    }
}

fn engine_entry(layout: &Layout, number: u8, options: &EngineOptions) -> Carrier {
    Carrier {
        service: Arc::clone(&options.service),
        address: layout.engine(number),
        zone: layout.zone(number).into(),
        software: SOFTWARE.into(),
        slots: options.slots,
        condition: ServerCondition::Open,
        cold_ms: 0,
        part: Some("both".into()),
        models: vec![ModelVersion { name: Arc::clone(&options.model), version: 1, adapters: Vec::new() }],
        id: Arc::clone(&options.id),
    }
}
