//! The events of one text.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream::{self, Stream};
use tokio::sync::watch;

use crate::connections::Connection;
use crate::engine_server::Weights;
use crate::ledger::{Ledger, RunId};
use crate::slots::Slot;
use crate::verify::EventData;
use crate::wire::header;

/// What a stream is to hold.
pub struct StreamPlan {
    /// The run.
    pub run: RunId,
    /// It goes on behind this event.
    pub after: u64,
    /// Events of the whole text.
    pub events: u64,
    /// From one event to the next.
    pub step: Duration,
    /// When the caller stops to wait.
    pub until: Option<Instant>,
    /// The connection is cut behind this event.
    pub cut_after: Option<u64>,
    /// The connection that the events go by.
    pub connection: Connection,
}

struct Generation {
    plan: StreamPlan,
    weights: watch::Receiver<Weights>,
    ledger: Arc<Ledger>,
    last: u64,
    told_version: u64,
    _slot: Slot,
}

/// The events of a text, one by one. A run that meets a change of version waits and goes on under the new one.
pub fn events(
    plan: StreamPlan,
    weights: watch::Receiver<Weights>,
    ledger: Arc<Ledger>,
    slot: Slot,
) -> impl Stream<Item = io::Result<Bytes>> + Send + 'static {
    let (last, told_version) = (plan.after, weights.borrow().version);
    let generation = Generation { plan, weights, ledger, last, told_version, _slot: slot };
    stream::unfold(Some(generation), |generation| async move { generation?.next().await })
}

impl Generation {
    /// The next event, and what is left; after an error nothing is.
    async fn next(mut self) -> Option<(io::Result<Bytes>, Option<Self>)> {
        if self.last >= self.plan.events {
            return None;
        }
        if self.plan.cut_after.is_some_and(|cut_after| self.last >= cut_after) {
            return self.break_off(io::ErrorKind::ConnectionReset);
        }
        tokio::time::sleep(self.plan.step).await;
        let Ok(version) =
            self.weights.wait_for(|weights| !weights.loading).await.map(|weights| weights.version)
        else {
            return self.break_off(io::ErrorKind::ConnectionReset);
        };
        if self.plan.until.is_some_and(|until| Instant::now() >= until) {
            return self.break_off(io::ErrorKind::TimedOut);
        }
        let event = self.make(version);
        Some((Ok(event), Some(self)))
    }

    /// Cuts the connection, so that the answer does not look complete.
    fn break_off(self, why: io::ErrorKind) -> Option<(io::Result<Bytes>, Option<Self>)> {
        self.plan.connection.cut();
        Some((Err(why.into()), None))
    }

    fn make(&mut self, version: u64) -> Bytes {
        let index = self.last + 1;
        self.last = index;
        self.ledger.made(self.plan.run, index, version);
        let change = if version == self.told_version {
            String::new()
        } else {
            self.told_version = version;
            format!("{}: {version}\n", header::VERSION.to_ascii_lowercase())
        };
        let data = EventData { index, run: self.plan.run, version };
        Bytes::from(format!("{change}id: {index}\ndata: {data}\n\n"))
    }
}
