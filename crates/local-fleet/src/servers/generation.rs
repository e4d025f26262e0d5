//! The event stream that an engine returns for one generation.

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

/// The content and timing of a stream, and the event after which it is truncated.
pub struct GenerationPlan {
    /// Id of the generation in the request log.
    pub id: GenerationId,
    /// Index of the event after which the stream continues; 0 if it starts at the beginning of the text.
    pub after: u64,
    /// Number of events in the complete text.
    pub events: u64,
    /// Time before each event.
    pub event_interval: Duration,
    /// Deadline of the caller, after which the connection is aborted; `None` for no deadline.
    pub deadline: Option<Instant>,
    /// Index of the event after which the connection is aborted; `None` for a complete stream.
    pub truncate_after: Option<u64>,
    /// Connection on which the events are sent.
    pub connection: Connection,
}

struct Generation {
    plan: GenerationPlan,
    weights: watch::Receiver<WeightState>,
    request_log: Arc<RequestLog>,
    /// Index of the event that was generated last.
    last_event: u64,
    /// Version of the weights that was last reported to the caller, in the response header or in an event.
    announced_version: u64,
    /// Frees the slot when the stream ends.
    _slot: Slot,
}

/// Returns the stream of the events, which are generated one by one. While weights are loaded, the generation
/// pauses; it continues with the new version.
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
    /// Generates the next event; returns it with the remaining generation, or an error without one. Returns
    /// `None` when the text is complete.
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

    /// Aborts the connection, so that the client does not consider the response complete.
    fn abort(self, reason: io::ErrorKind) -> Option<(io::Result<Bytes>, Option<Self>)> {
        self.plan.connection.abort();
        Some((Err(reason.into()), None))
    }

    /// Records the next event in the request log and encodes it. The event reports the version of the weights
    /// if it has changed since the last report.
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
