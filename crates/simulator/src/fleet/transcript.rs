//! Running digest of all messages of a run. Two runs with the same seed have the same digest unless the code
//! behaves differently.

use std::hash::Hash;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3Default;

use crate::transport::{CallOutcome, Endpoint};

/// The digest of all messages of a run, in their order and with their times.
#[derive(Clone, Default)]
pub(super) struct Transcript {
    hasher: Xxh3Default,
}

impl Transcript {
    /// Adds a call of a process to the digest.
    pub(super) fn record_call(&mut self, now: Duration, from: usize, to: Endpoint, path: &str, body: &[u8]) {
        (now, from, to, path, body).hash(&mut self.hasher);
    }

    /// Adds the reply of a process to a call to the digest.
    pub(super) fn record_reply(&mut self, now: Duration, call: u64, outcome: &CallOutcome) {
        let status = outcome.as_ref().map_or(0, |(status, _)| *status);
        let body = outcome.as_ref().map_or(&[][..], |(_, body)| body);
        (now, call, status, body).hash(&mut self.hasher);
    }

    /// Returns the digest of all messages so far.
    pub(super) fn digest(&self) -> u64 {
        self.hasher.digest()
    }
}
