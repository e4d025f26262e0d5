//! The emulated platform: an HTTP API for the list of servers, which lags, is paginated and has a rate limit.

mod lagging_list;
mod rate_limit;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use poem::http::StatusCode;
use poem::{Request, Response, Route};
use serde::{Deserialize, Serialize};

use crate::http::{Connections, HttpListener};
use crate::protocol::{json_response, ListedServer, ServerListPage};

pub use lagging_list::LaggingList;
pub use rate_limit::RateLimit;

/// Prefix of a page token; the position of the page's first entry follows.
const PAGE_TOKEN_PREFIX: &str = "p-";

/// Behavior of the emulated platform.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Time from a change of the list until calls return it.
    pub lag: Duration,
    /// Number of calls a second that the platform accepts from all callers together; further calls get status
    /// 429.
    pub calls_per_second: f64,
    /// Maximum number of entries of a page.
    pub page_entries: usize,
}

/// Numbers of calls to the platform; in JSON an array `[total, rejected]`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(into = "(u64, u64)")]
pub struct PlatformCalls {
    /// All calls, including rejected ones.
    pub total: u64,
    /// Calls that were rejected because they exceeded the rate limit.
    pub rejected: u64,
}

impl From<PlatformCalls> for (u64, u64) {
    fn from(calls: PlatformCalls) -> Self {
        (calls.total, calls.rejected)
    }
}

#[derive(Debug)]
struct PlatformState {
    list: LaggingList,
    limit: RateLimit,
    calls: PlatformCalls,
}

/// A running emulator of the platform; dropping it closes its listener.
#[derive(Debug)]
pub struct Platform {
    state: Arc<Mutex<PlatformState>>,
    listener: HttpListener,
}

#[derive(Deserialize)]
struct ListQuery {
    /// Zone whose servers are requested; `None` for all zones.
    zone: Option<String>,
    /// Token of the requested page; `None` for the first page.
    #[serde(rename = "leaf")]
    page: Option<String>,
}

impl Platform {
    /// Starts the platform with an empty list at `address` (port 0 selects a free port).
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn start(address: SocketAddr, options: PlatformOptions) -> io::Result<Self> {
        let list = LaggingList::new(options.lag);
        let limit = RateLimit::new(options.calls_per_second);
        let state = PlatformState { list, limit, calls: PlatformCalls::default() };
        let state = Arc::new(Mutex::new(state));
        let shared = Arc::clone(&state);
        let list = poem::endpoint::make_sync(move |request: Request| {
            lock(&shared).respond(&request, options.page_entries)
        });
        let routes = Route::new().at("/carriers", poem::get(list));
        let listener = HttpListener::start(address, Connections::default(), routes).await?;
        Ok(Self { state, listener })
    }

    /// Replaces the list of servers. The first list is visible at once, a later one after the lag.
    pub fn set_servers(&self, servers: Vec<ListedServer>) {
        lock(&self.state).list.replace(Instant::now(), servers);
    }

    /// Returns the numbers of calls so far.
    #[must_use]
    pub fn calls(&self) -> PlatformCalls {
        lock(&self.state).calls
    }

    /// Returns the address that the listener is bound to, with the actual port.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }
}

fn lock(state: &Mutex<PlatformState>) -> MutexGuard<'_, PlatformState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl PlatformState {
    fn respond(&mut self, request: &Request, page_entries: usize) -> Response {
        let now = Instant::now();
        self.calls.total += 1;
        if !self.limit.try_acquire(now) {
            self.calls.rejected += 1;
            return StatusCode::TOO_MANY_REQUESTS.into();
        }
        let Ok(query) = request.params::<ListQuery>() else {
            return StatusCode::BAD_REQUEST.into();
        };
        let Some(first) = first_entry(query.page.as_deref()) else {
            return StatusCode::BAD_REQUEST.into();
        };
        json_response(&self.page(now, query.zone.as_deref(), first, page_entries))
    }

    /// Returns the page that starts at position `first` of the visible servers of `zone`.
    fn page(
        &mut self,
        now: Instant,
        zone: Option<&str>,
        first: usize,
        page_entries: usize,
    ) -> ServerListPage {
        let visible = self.list.visible(now);
        let is_in_zone = |server: &&ListedServer| zone.is_none_or(|zone| &*server.zone == zone);
        let matching: Vec<&ListedServer> = visible.iter().filter(is_in_zone).collect();
        let end = (first + page_entries).min(matching.len());
        let entries = matching.get(first..end).unwrap_or_default();
        let servers = entries.iter().map(|server| (*server).clone()).collect();
        let next = (end < matching.len()).then(|| format!("{PAGE_TOKEN_PREFIX}{end}"));
        ServerListPage { servers, next }
    }
}

/// Returns the position of the first entry of the page with this token; `None` if the token is invalid.
fn first_entry(page: Option<&str>) -> Option<usize> {
    match page {
        None | Some("") => Some(0),
        Some(page) => page.strip_prefix(PAGE_TOKEN_PREFIX)?.parse().ok(),
    }
}
