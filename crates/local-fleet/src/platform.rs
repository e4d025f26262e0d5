//! Stand-in of the platform: its list of servers, which lags, comes in pages and is limited in its rate.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use poem::http::StatusCode;
use poem::{Request, Response, Route};
use serde::Deserialize;

use crate::connections::Connections;
use crate::serving::Serving;
use crate::wire::{Carrier, CarrierPage};

/// Begins the name of a page; the position of its first entry follows.
const PAGE_PREFIX: &str = "p-";

/// How the platform behaves.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// How far the list lags.
    pub lag: Duration,
    /// Calls a second that it takes.
    pub calls_per_second: f64,
    /// Entries of a page.
    pub page_entries: usize,
}

/// A list that shows what it was some time ago.
#[derive(Debug)]
pub struct LaggingList {
    lag: Duration,
    versions: VecDeque<(Instant, Arc<[Carrier]>)>,
}

impl LaggingList {
    /// An empty list that lags by `lag`.
    #[must_use]
    pub fn new(lag: Duration) -> Self {
        Self { lag, versions: VecDeque::new() }
    }

    /// Replaces the list; the first one shows at once.
    pub fn set(&mut self, now: Instant, carriers: Vec<Carrier>) {
        let shows = if self.versions.is_empty() { now } else { now + self.lag };
        self.versions.push_back((shows, carriers.into()));
    }

    /// What shows now.
    pub fn shown(&mut self, now: Instant) -> Arc<[Carrier]> {
        while self.versions.get(1).is_some_and(|(shows, _)| *shows <= now) {
            self.versions.pop_front();
        }
        self.versions.front().map_or_else(|| Arc::from([]), |(_, carriers)| Arc::clone(carriers))
    }
}

/// Calls a second, with a burst of as many.
#[derive(Debug)]
pub struct RateLimit {
    per_second: f64,
    left: f64,
    counted: Option<Instant>,
}

impl RateLimit {
    /// A limit that allows a second's calls at once.
    #[must_use]
    pub fn new(per_second: f64) -> Self {
        Self { per_second, left: per_second, counted: None }
    }

    /// Whether a call is allowed now.
    pub fn allows(&mut self, now: Instant) -> bool {
        let passed = self.counted.map_or(Duration::ZERO, |counted| now.saturating_duration_since(counted));
        self.counted = Some(now);
        self.left = (self.left + passed.as_secs_f64() * self.per_second).min(self.per_second);
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}

#[derive(Debug)]
struct PlatformState {
    list: LaggingList,
    limit: RateLimit,
    calls: u64,
    refused: u64,
}

/// The platform.
#[derive(Debug)]
pub struct Platform {
    state: Arc<Mutex<PlatformState>>,
    serving: Serving,
}

#[derive(Deserialize)]
struct ListQuery {
    zone: Option<String>,
    #[serde(rename = "leaf")]
    page: Option<String>,
}

impl Platform {
    /// Starts it at `address`.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened at.
    pub async fn start(address: SocketAddr, options: PlatformOptions) -> io::Result<Self> {
        let list = LaggingList::new(options.lag);
        let limit = RateLimit::new(options.calls_per_second);
        let state = Arc::new(Mutex::new(PlatformState { list, limit, calls: 0, refused: 0 }));
        let answering = Arc::clone(&state);
        let list = poem::endpoint::make_sync(move |request: Request| {
            answer(&request, &mut lock(&answering), options.page_entries)
        });
        let serving =
            Serving::start(address, Connections::default(), Route::new().at("/carriers", poem::get(list)))
                .await?;
        Ok(Self { state, serving })
    }

    /// Replaces the list of servers.
    pub fn set(&self, carriers: Vec<Carrier>) {
        lock(&self.state).list.set(Instant::now(), carriers);
    }

    /// Calls so far, and those of them refused over the rate.
    #[must_use]
    pub fn calls(&self) -> (u64, u64) {
        let state = lock(&self.state);
        (state.calls, state.refused)
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.serving.address()
    }
}

fn lock(state: &Mutex<PlatformState>) -> std::sync::MutexGuard<'_, PlatformState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn answer(request: &Request, state: &mut PlatformState, page_entries: usize) -> Response {
    let now = Instant::now();
    state.calls += 1;
    if !state.limit.allows(now) {
        state.refused += 1;
        return StatusCode::TOO_MANY_REQUESTS.into();
    }
    let Ok(query) = request.params::<ListQuery>() else {
        return StatusCode::BAD_REQUEST.into();
    };
    let Some(first) = first_entry(query.page.as_deref()) else {
        return StatusCode::BAD_REQUEST.into();
    };
    let shown = state.list.shown(now);
    let in_zone = |carrier: &&Carrier| query.zone.as_deref().is_none_or(|zone| &*carrier.zone == zone);
    let wanted: Vec<&Carrier> = shown.iter().filter(in_zone).collect();
    let end = (first + page_entries).min(wanted.len());
    let carriers =
        wanted.get(first..end).unwrap_or_default().iter().map(|carrier| (*carrier).clone()).collect();
    let next = (end < wanted.len()).then(|| format!("{PAGE_PREFIX}{end}"));
    json(&CarrierPage { carriers, next })
}

fn first_entry(page: Option<&str>) -> Option<usize> {
    match page {
        None | Some("") => Some(0),
        Some(page) => page.strip_prefix(PAGE_PREFIX)?.parse().ok(),
    }
}

/// A 200 with a JSON body.
pub(crate) fn json<T: serde::Serialize>(body: &T) -> Response {
    match serde_json::to_vec(body) {
        Ok(bytes) => Response::builder().content_type("application/json").body(bytes),
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into(),
    }
}
