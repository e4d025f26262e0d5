//! The event stream of one generation.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream::{self, Stream};
use tokio::sync::watch;

use super::slots::Slot;
use super::weights::WeightState;
use crate::http::Connection;
use crate::protocol::header;
use crate::verification::{EventData, GenerationId, RequestLog};

/// The content and timing of a stream, and the event after which it breaks off.
pub struct GenerationPlan {
    /// The generation.
    pub id: GenerationId,
    /// It continues after this event; 0: from the start of the text.
    pub after: u64,
    /// Events of the complete text.
    pub events: u64,
    /// Time from one event to the next.
    pub event_interval: Duration,
    /// The caller's deadline.
    pub deadline: Option<Instant>,
    /// The connection is aborted after this event.
    pub truncate_after: Option<u64>,
    /// The connection that carries the events.
    pub connection: Connection,
}

struct Generation {
    plan: GenerationPlan,
    weights: watch::Receiver<WeightState>,
    request_log: Arc<RequestLog>,
    last_event: u64,
    /// The version that was last announced to the caller, by the header or by an event.
    announced_version: u64,
    _slot: Slot,
}

/// Generates the events of a text one by one. While new weights are loaded the generation pauses; it continues with the
/// new version.
pub fn events(
    plan: GenerationPlan,
    weights: watch::Receiver<WeightState>,
    request_log: Arc<RequestLog>,
    slot: Slot,
) -> impl Stream<Item = io::Result<Bytes>> + Send + 'static {
    let (last_event, announced_version) = (plan.after, weights.borrow().version);
    let generation = Generation { plan, weights, request_log, last_event, announced_version, _slot: slot };
    stream::unfold(Some(generation), |generation| async move { generation?.next().await })
}

impl Generation {
    /// The next event and the rest of the generation; there is no rest after an error.
    async fn next(mut self) -> Option<(io::Result<Bytes>, Option<Self>)> {
        if self.last_event >= self.plan.events {
            return None;
        }
        if self.plan.truncate_after.is_some_and(|truncate_after| self.last_event >= truncate_after) {
            return self.abort(io::ErrorKind::ConnectionReset);
        }
        tokio::time::sleep(self.plan.event_interval).await;
        let loaded = self.weights.wait_for(|weights| !weights.is_loading).await;
        let Ok(version) = loaded.map(|weights| weights.version) else {
            return self.abort(io::ErrorKind::ConnectionReset);
        };
        if self.plan.deadline.is_some_and(|deadline| Instant::now() >= deadline) {
            return self.abort(io::ErrorKind::TimedOut);
        }
        let event = self.generate(version);
        Some((Ok(event), Some(self)))
    }

    /// Aborts the connection, so that the response does not look complete.
    fn abort(self, reason: io::ErrorKind) -> Option<(io::Result<Bytes>, Option<Self>)> {
        self.plan.connection.abort();
        Some((Err(reason.into()), None))
    }

    fn generate(&mut self, version: u64) -> Bytes {
        let index = self.last_event + 1;
        self.last_event = index;
        self.request_log.record_event(self.plan.id, index, version);
        let version_field = if version == self.announced_version {
            String::new()
        } else {
            self.announced_version = version;
            format!("{}: {version}\n", header::VERSION.to_ascii_lowercase())
        };
        let data = EventData { index, generation: self.plan.id, version };
        Bytes::from(format!("{version_field}id: {index}\ndata: {data}\n\n"))
    }
}
