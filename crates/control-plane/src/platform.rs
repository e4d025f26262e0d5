//! The platform's list of servers.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use serde::Deserialize;
use state::{ServerCondition, ServerEntry, ServerList, ServerListVersion};

/// How long one page may take.
const PAGE_TIMEOUT: Duration = Duration::from_millis(900);
/// More pages than this are no list. Guards against a platform that never ends one.
const PAGES_MOST: usize = 400;

/// Why the list could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformError {
    /// More calls than the platform takes.
    TooManyCalls,
    /// No answer, or none that is a list.
    Unreadable(String),
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooManyCalls => f.write_str("the platform takes no more calls now"),
            Self::Unreadable(why) => write!(f, "the platform's list cannot be read: {why}"),
        }
    }
}

impl std::error::Error for PlatformError {}

#[derive(Deserialize)]
struct Page {
    carriers: Vec<PageEntry>,
    #[serde(default)]
    next: Option<String>,
}

#[derive(Deserialize)]
struct PageEntry {
    id: Arc<str>,
    #[serde(rename = "postalLine")]
    service: Arc<str>,
    address: SocketAddr,
    #[serde(default)]
    zone: Arc<str>,
    #[serde(rename = "berths", default = "one")]
    slots: u32,
    condition: ServerCondition,
    #[serde(rename = "coldMs", default)]
    cold_ms: f64,
    #[serde(default)]
    models: Vec<PageModel>,
}

#[derive(Deserialize)]
struct PageModel {
    name: Arc<str>,
    #[serde(rename = "edition")]
    version: u64,
}

fn one() -> u32 {
    1
}

impl From<PageEntry> for ServerEntry {
    fn from(entry: PageEntry) -> Self {
        let models: BTreeMap<_, _> = entry.models.into_iter().map(|m| (m.name, m.version)).collect();
        Self {
            id: entry.id,
            service: entry.service,
            address: entry.address,
            zone: entry.zone,
            slots: entry.slots,
            condition: entry.condition,
            warm_up_ms: entry.cold_ms.max(0.0) as u64,
            models,
        }
    }
}

/// Where the list of servers is read.
pub trait ListSource: Send + Sync {
    /// Reads the whole list and gives it this version.
    ///
    /// # Errors
    ///
    /// When a part of it is refused or cannot be read; half a list is none.
    fn read(&self, version: ServerListVersion) -> BoxFuture<'_, Result<ServerList, PlatformError>>;
}

/// Reads the platform's list.
#[derive(Clone)]
pub struct Platform {
    http: reqwest::Client,
    address: String,
}

impl ListSource for Platform {
    fn read(&self, version: ServerListVersion) -> BoxFuture<'_, Result<ServerList, PlatformError>> {
        Box::pin(self.read_pages(version))
    }
}

impl Platform {
    /// A reader of the platform at `address`.
    ///
    /// # Panics
    ///
    /// When the HTTP client cannot be set up, which takes no I/O.
    #[must_use]
    pub fn new(address: String) -> Self {
        let http = reqwest::Client::builder()
            .connect_timeout(Duration::from_millis(500))
            .tcp_nodelay(true)
            .no_proxy()
            .retry(reqwest::retry::never())
            .redirect(reqwest::redirect::Policy::none())
            .build()
            .expect("the HTTP client is set up without I/O");
        Self { http, address }
    }

    async fn read_pages(&self, version: ServerListVersion) -> Result<ServerList, PlatformError> {
        let mut servers: Vec<ServerEntry> = Vec::new();
        let mut leaf: Option<String> = None;
        for _ in 0..PAGES_MOST {
            let page = self.page(leaf.as_deref()).await?;
            servers.extend(page.carriers.into_iter().map(ServerEntry::from));
            leaf = page.next;
            if leaf.is_none() {
                servers.sort_by(|a, b| a.id.cmp(&b.id));
                servers.dedup_by(|a, b| a.id == b.id);
                return Ok(ServerList { version, servers });
            }
        }
        Err(PlatformError::Unreadable("it has no last page".into()))
    }

    async fn page(&self, leaf: Option<&str>) -> Result<Page, PlatformError> {
        let unreadable = |error: reqwest::Error| PlatformError::Unreadable(error.to_string());
        let url = match leaf {
            Some(leaf) => format!("http://{}/carriers?leaf={leaf}", self.address),
            None => format!("http://{}/carriers", self.address),
        };
        let answer = self.http.get(url).timeout(PAGE_TIMEOUT).send().await.map_err(unreadable)?;
        match answer.status().as_u16() {
            200 => {}
            429 => return Err(PlatformError::TooManyCalls),
            status => return Err(PlatformError::Unreadable(format!("status {status}"))),
        }
        let body = answer.bytes().await.map_err(unreadable)?;
        serde_json::from_slice(&body).map_err(|error| PlatformError::Unreadable(error.to_string()))
    }
}
