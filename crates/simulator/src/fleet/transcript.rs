//! A running digest of what processes send, by which two runs are told apart.

use std::hash::Hash;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3Default;

use crate::wire::{Outcome, Place};

/// The digest of all messages of a run, in their order and with their times.
#[derive(Clone, Default)]
pub(super) struct Transcript {
    hasher: Xxh3Default,
}

impl Transcript {
    /// A process has made a call.
    pub(super) fn note_call(&mut self, now: Duration, from: usize, to: Place, path: &str, body: &[u8]) {
        (now, from, to, path, body).hash(&mut self.hasher);
    }

    /// A process has answered a call.
    pub(super) fn note_answer(&mut self, now: Duration, call: u64, outcome: &Outcome) {
        let status = outcome.as_ref().map_or(0, |(status, _)| *status);
        let body = outcome.as_ref().map_or(&[][..], |(_, body)| body);
        (now, call, status, body).hash(&mut self.hasher);
    }

    /// The digest of all messages so far.
    pub(super) fn digest(&self) -> u64 {
        self.hasher.digest()
    }
}
