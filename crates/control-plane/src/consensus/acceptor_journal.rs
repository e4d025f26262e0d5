//! What the acceptor writes into its journal, and how its state is recovered from there.

use register::{AcceptorState, Ballot, Incarnation};
use serde::{Deserialize, Serialize};
use state::ControlState;
use storage::Position;

/// A durable record of the acceptor. Encoded by position: variants must keep their order and types.
#[derive(Serialize, Deserialize)]
enum JournalRecord {
    /// A promise alone.
    Promise(Ballot),
    /// The complete state; all earlier records are obsolete.
    State(AcceptorState<ControlState>),
}

/// An encoded record.
pub(super) struct EncodedRecord {
    pub(super) bytes: Vec<u8>,
    /// Whether it contains the complete state, so that earlier records can be released.
    pub(super) is_complete: bool,
}

/// The part of the acceptor's state that is durable, and the part that was queued for writing.
pub(super) struct PersistedState {
    durable: AcceptorState<ControlState>,
    /// Ballot of the accepted value in the latest complete record that was queued; `None` after a failed write.
    written_accepted: Option<Ballot>,
    /// Ballot of the committed value in that record.
    written_committed: Option<Ballot>,
}

impl PersistedState {
    /// A state that was recovered from the journal.
    pub(super) fn recovered(state: AcceptorState<ControlState>) -> Self {
        let (written_accepted, written_committed) = (accepted_ballot(&state), committed_ballot(&state));
        Self { durable: state, written_accepted, written_committed }
    }

    /// The newest state that is certainly on disk. Only this one may be reported to readers.
    pub(super) fn durable(&self) -> &AcceptorState<ControlState> {
        &self.durable
    }

    /// The next record, which makes `state` durable: a promise alone where the values are in an earlier record.
    pub(super) fn next_record(&mut self, state: &AcceptorState<ControlState>) -> EncodedRecord {
        let (accepted, committed) = (accepted_ballot(state), committed_ballot(state));
        if accepted == self.written_accepted && committed == self.written_committed {
            let bytes = rpc::encode(&JournalRecord::Promise(state.promised));
            return EncodedRecord { bytes, is_complete: false };
        }
        self.written_accepted = accepted;
        self.written_committed = committed;
        let bytes = rpc::encode(&JournalRecord::State(state.clone()));
        EncodedRecord { bytes, is_complete: true }
    }

    /// Records that `state` is on disk. Writes may complete out of order: an older state than the present one changes
    /// nothing.
    pub(super) fn record_durable(&mut self, state: AcceptorState<ControlState>) {
        let is_newer = state.promised >= self.durable.promised
            && accepted_ballot(&state) >= accepted_ballot(&self.durable);
        if is_newer {
            self.durable = state;
        }
    }

    /// Records that a write has failed: the next record contains the complete state again.
    pub(super) fn record_failed_write(&mut self) {
        self.written_accepted = None;
        self.written_committed = None;
    }
}

fn accepted_ballot(state: &AcceptorState<ControlState>) -> Option<Ballot> {
    state.accepted.as_ref().map(|value| value.ballot)
}

fn committed_ballot(state: &AcceptorState<ControlState>) -> Option<Ballot> {
    state.committed.as_ref().map(|value| value.ballot)
}

/// The state after all these records of the journal. Records that cannot be read are skipped and logged.
pub(super) fn recover(
    incarnation: Incarnation,
    records: &[(Position, Vec<u8>)],
) -> AcceptorState<ControlState> {
    let mut state = AcceptorState::empty(incarnation);
    for (_, bytes) in records {
        match rpc::decode::<JournalRecord>(bytes) {
            Ok(JournalRecord::State(newer)) => state = newer,
            Ok(JournalRecord::Promise(ballot)) => state.promised = state.promised.max(ballot),
            Err(error) => log::warn!("skips a record of the acceptor: {error}"),
        }
    }
    state.incarnation = incarnation;
    state
}
