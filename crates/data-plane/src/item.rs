//! Items of batch jobs: requests for tokens whose text is gathered here.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use configuration::Route;
use dispatch::{Need, VersionNeed};
use http::header::{HeaderMap, HeaderName, HeaderValue, HOST};
use http::{Method, StatusCode};
use tokio::time::Instant;

use crate::answer::ExecutionStatus;
use crate::attempt::{open, Extra, Failure, Opened};
use crate::call::{end_to_end, Call, ATTEMPT_ID, MODEL};
use crate::event_stream::{Event, EventParser};
use crate::sender::{Sender, Ticket};

/// When an item may be tried again if no server names a time.
const COME_BACK: Duration = Duration::from_millis(50);

/// A server that is silent for this long, before the first event or between two, is thought gone.
const SILENCE_MOST: Duration = Duration::from_millis(1500);

/// Pause of an item that cannot be sent as it is; it may be given up only after its shelf life.
const UNSENDABLE_PAUSE: Duration = Duration::from_secs(1);

/// One run of an item.
#[derive(Clone, Debug)]
pub struct ItemCall {
    /// The route of its batch job.
    pub route: Arc<Route>,
    /// The host of that route.
    pub host: Arc<str>,
    /// The path that it is sent to.
    pub path: String,
    /// Its own headers.
    pub headers: Vec<(String, String)>,
    /// Its identity.
    pub id: Arc<str>,
    /// Its body.
    pub body: Bytes,
    /// The model that makes its text.
    pub model: Option<Arc<str>>,
    /// The oldest version that may make an event of it.
    pub oldest_version: u64,
    /// Its group, whose items share their prompt.
    pub group: Option<Arc<str>>,
    /// Its tokens.
    pub tokens: u64,
    /// What has been gathered of its text.
    pub progress: ItemProgress,
    /// When the run ends at the latest.
    pub deadline: Instant,
}

/// What has been gathered of the text of an item.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ItemProgress {
    /// The data of each event.
    pub events: Vec<Bytes>,
    /// The id of the last event.
    pub last_event_id: Option<u64>,
    /// The versions that made the events.
    pub versions: BTreeSet<u64>,
}

/// How a run of an item ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemOutcome {
    /// The text is whole.
    Whole(ItemProgress),
    /// The server answered with an error of its own: a failed attempt.
    Failed,
    /// It can never be done.
    Impossible,
    /// It may go on from here, or anew where nothing is left of it.
    Interrupted(ItemProgress),
    /// No server has run it.
    NotRun {
        /// When it may be tried again.
        retry_after: Duration,
    },
}

/// Gathers the events of one run.
struct Gathering {
    progress: ItemProgress,
    version: Option<u64>,
    oldest: u64,
    single: bool,
}

/// Why a run cannot go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Misfit {
    /// The event does not follow the last one, or its version is not known or too old.
    Event,
    /// Two versions would make a text that wants one.
    Versions,
}

impl Sender {
    /// Runs an item once, from where its progress stands.
    pub async fn run_item(&self, item: ItemCall) -> ItemOutcome {
        let Some(call) = request(&item) else {
            log::error!("item {} cannot be sent: a header of it is no header", item.id);
            return ItemOutcome::NotRun { retry_after: UNSENDABLE_PAUSE };
        };
        let Some(ticket) = self.choose_for(&item) else {
            return ItemOutcome::NotRun { retry_after: COME_BACK };
        };
        let known = ticket.choice.version;
        let extra = Extra {
            deadline: item.deadline,
            version: known.filter(|_| item.route.single_version),
            last_event_id: item.progress.last_event_id,
            silence_most: Some(SILENCE_MOST),
        };
        let opened = match open(ticket, &call, extra).await {
            Ok(opened) => opened,
            Err(Failure { verdict: ExecutionStatus::NotRun, retry_after, .. }) => {
                return ItemOutcome::NotRun { retry_after: retry_after.unwrap_or(COME_BACK) };
            }
            Err(_) => return ItemOutcome::Interrupted(item.progress),
        };
        match opened.status() {
            StatusCode::INTERNAL_SERVER_ERROR => {
                opened.discard();
                ItemOutcome::Failed
            }
            StatusCode::UNPROCESSABLE_ENTITY => {
                opened.discard();
                ItemOutcome::Impossible
            }
            status if status.is_success() => gather(item, opened, known).await,
            _ => ItemOutcome::Interrupted(item.progress),
        }
    }

    fn choose_for(&self, item: &ItemCall) -> Option<Ticket> {
        let made = item.progress.versions.first().filter(|_| item.route.single_version);
        let version = match made {
            Some(version) => VersionNeed::Exactly(*version),
            None => VersionNeed::AtLeast(item.oldest_version),
        };
        let favourite = item.group.as_ref().and_then(|group| self.state().favourites.of(group));
        let need = Need {
            targets: &item.route.targets,
            model: item.model.as_deref(),
            version,
            tried: &[],
            favourite: favourite.as_ref(),
            with_room: true,
            idle_usable: None,
        };
        let ticket = self.choose(&need)?;
        if let Some(group) = &item.group {
            self.state().favourites.note(group, &ticket.choice.id);
        }
        Some(ticket)
    }
}

/// The request of an item.
fn request(item: &ItemCall) -> Option<Call> {
    let mut headers = HeaderMap::new();
    for (name, value) in &item.headers {
        headers.append(HeaderName::try_from(name).ok()?, HeaderValue::from_str(value).ok()?);
    }
    let mut headers = end_to_end(&headers);
    headers.insert(HOST, HeaderValue::from_str(&item.host).ok()?);
    headers.insert(ATTEMPT_ID, HeaderValue::from_str(&item.id).ok()?);
    if let Some(model) = item.model.as_ref().filter(|_| !headers.contains_key(MODEL)) {
        headers.insert(MODEL, HeaderValue::from_str(model).ok()?);
    }
    Some(Call { method: Method::POST, target: item.path.clone(), headers, body: item.body.clone() })
}

/// Reads the events of a run.
async fn gather(item: ItemCall, mut opened: Opened, known: Option<u64>) -> ItemOutcome {
    let mut parser = EventParser::default();
    let version = opened.version.or(known);
    let mut gathering = Gathering {
        progress: item.progress,
        version,
        oldest: item.oldest_version,
        single: item.route.single_version,
    };
    loop {
        let chunk = match opened.chunk().await {
            Ok(Some(chunk)) => chunk,
            Ok(None) if !parser.has_partial() && !gathering.progress.events.is_empty() => {
                return ItemOutcome::Whole(gathering.progress);
            }
            _ => return ItemOutcome::Interrupted(gathering.progress),
        };
        parser.push(&chunk);
        while let Some(event) = parser.next_event() {
            if let (Some(version), Some(model)) = (event.version, item.model.as_deref()) {
                let ticket = &opened.ticket;
                ticket.sender.state().dispatcher.version_seen(&ticket.choice.id, model, version);
            }
            match gathering.add(&event) {
                Ok(()) => {}
                Err(Misfit::Event) => return ItemOutcome::Interrupted(gathering.progress),
                Err(Misfit::Versions) => return ItemOutcome::Interrupted(ItemProgress::default()),
            }
        }
    }
}

impl Gathering {
    fn add(&mut self, event: &Event) -> Result<(), Misfit> {
        if event.is_comment() {
            return Ok(());
        }
        let id = event.id.ok_or(Misfit::Event)?;
        let follows = match self.progress.last_event_id {
            Some(last) => id == last + 1,
            None => id <= 1,
        };
        let version = event.version.or(self.version);
        // Only a text that is made without a model has no versions.
        let is_new_enough = version.map_or(self.oldest == 0, |version| version >= self.oldest);
        if !follows || !is_new_enough {
            return Err(Misfit::Event);
        }
        self.version = version;
        if let Some(version) = version {
            self.progress.versions.insert(version);
        }
        if self.single && self.progress.versions.len() > 1 {
            return Err(Misfit::Versions);
        }
        self.progress.last_event_id = Some(id);
        self.progress.events.push(event.data.clone());
        Ok(())
    }
}
