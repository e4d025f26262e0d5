//! Client for the platform's list of servers, which is read page by page over HTTP.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use serde::Deserialize;
use state::{ServerCondition, ServerEntry, ServerList, ServerListVersion};

/// Maximum time to establish a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum time to read one page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum number of pages of a list. A list with more pages is rejected, in case a faulty platform always
/// returns a next page.
const MAX_PAGES: usize = 400;

/// Reason why the list could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformError {
    /// The platform's rate limit was exceeded.
    TooManyCalls,
    /// The platform did not reply, or the reply is not a valid list; contains the cause.
    Unreadable(String),
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooManyCalls => f.write_str("the platform takes no more calls now"),
            Self::Unreadable(cause) => write!(f, "the platform's list cannot be read: {cause}"),
        }
    }
}

impl std::error::Error for PlatformError {}

/// One page of the list, as the platform encodes it in JSON.
#[derive(Deserialize)]
struct Page {
    #[serde(rename = "carriers")]
    servers: Vec<PageEntry>,
    /// Key that requests the next page; `None` on the last page.
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
    #[serde(rename = "berths", default = "default_slots")]
    slots: u32,
    condition: ServerCondition,
    #[serde(rename = "coldMs", default)]
    warm_up_ms: f64,
    #[serde(default)]
    models: Vec<PageModel>,
}

#[derive(Deserialize)]
struct PageModel {
    name: Arc<str>,
    #[serde(rename = "edition")]
    version: u64,
}

fn default_slots() -> u32 {
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
            warm_up_ms: entry.warm_up_ms.max(0.0) as u64,
            models,
        }
    }
}

/// Source of the complete server list.
pub trait ListSource: Send + Sync {
    /// Reads the complete list and gives it the version `version`.
    ///
    /// # Errors
    ///
    /// Returns an error if any page is rejected or cannot be read. A partial list is never returned.
    fn read(&self, version: ServerListVersion) -> BoxFuture<'_, Result<ServerList, PlatformError>>;
}

/// Client that reads the platform's list over HTTP.
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
    /// Creates a client for the platform at `address`, given as host and port.
    ///
    /// # Panics
    ///
    /// Panics if the HTTP client cannot be created. Creating it involves no I/O.
    #[must_use]
    pub fn new(address: String) -> Self {
        Self { http: rpc::http_client(CONNECT_TIMEOUT, PAGE_TIMEOUT), address }
    }

    async fn read_pages(&self, version: ServerListVersion) -> Result<ServerList, PlatformError> {
        let mut servers: Vec<ServerEntry> = Vec::new();
        let mut page_key: Option<String> = None;
        for _ in 0..MAX_PAGES {
            let page = self.read_page(page_key.as_deref()).await?;
            servers.extend(page.servers.into_iter().map(ServerEntry::from));
            page_key = page.next;
            if page_key.is_none() {
                return Ok(ServerList::new(version, servers));
            }
        }
        Err(PlatformError::Unreadable(format!("it has more than {MAX_PAGES} pages")))
    }

    async fn read_page(&self, key: Option<&str>) -> Result<Page, PlatformError> {
        let unreadable = |error: reqwest::Error| PlatformError::Unreadable(error.to_string());
        let url = match key {
            Some(key) => format!("http://{}/carriers?leaf={key}", self.address),
            None => format!("http://{}/carriers", self.address),
        };
        let response = self.http.get(url).timeout(PAGE_TIMEOUT).send().await.map_err(unreadable)?;
        match response.status().as_u16() {
            200 => {}
            429 => return Err(PlatformError::TooManyCalls),
            status => {
                return Err(PlatformError::Unreadable(format!("the platform replied with status {status}")))
            }
        }
        let body = response.bytes().await.map_err(unreadable)?;
        serde_json::from_slice(&body).map_err(|error| PlatformError::Unreadable(error.to_string()))
    }
}
