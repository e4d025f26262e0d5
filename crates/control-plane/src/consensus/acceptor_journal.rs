//! Records that the acceptor writes into its journal, and the recovery of its state from them.

use register::{AcceptorState, Ballot, Incarnation};
use rpc::DecodeError;
use serde::{Deserialize, Serialize};
use state::ControlState;
use storage::Position;

/// Durable record of the acceptor. `bincode` encodes it by position: variants must keep their order and
/// types.
#[derive(Serialize, Deserialize)]
enum JournalRecord {
    /// New promise. The accepted and the committed value are unchanged since the previous records.
    Promise(Ballot),
    /// Complete state, which makes all earlier records obsolete.
    State(AcceptorState<ControlState>),
}

/// Encoded journal record.
pub(super) struct EncodedRecord {
    pub(super) bytes: Vec<u8>,
    /// Whether the record contains the complete state, so that all earlier records can be released.
    pub(super) is_complete: bool,
}

/// Newest state of the acceptor that is known to be durable.
pub(super) struct PersistedState {
    durable: AcceptorState<ControlState>,
    /// Number of the write that made `durable` durable.
    durable_write: WriteNumber,
    last_write: WriteNumber,
}

/// Sequence number of a journal write of this process, in the order in which writes were queued.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct WriteNumber(u64);

/// State that was queued for writing and is not yet known to be durable.
pub(super) struct PendingWrite {
    number: WriteNumber,
    state: AcceptorState<ControlState>,
}

impl PersistedState {
    /// Creates the tracker from the state that was recovered from the journal.
    pub(super) fn recovered(state: AcceptorState<ControlState>) -> Self {
        let initial_write = WriteNumber::default();
        Self { durable: state, durable_write: initial_write, last_write: initial_write }
    }

    /// Returns the newest state that is certainly on disk. Only this state may be reported to readers.
    pub(super) fn durable(&self) -> &AcceptorState<ControlState> {
        &self.durable
    }

    /// Returns the record that makes `state` durable. It contains only the promise if the accepted and
    /// committed values are durable already. A value that is only queued does not count, because its write
    /// may fail while the write of this record succeeds.
    pub(super) fn next_record(
        &mut self,
        state: &AcceptorState<ControlState>,
    ) -> (EncodedRecord, PendingWrite) {
        self.last_write.0 += 1;
        let write = PendingWrite { number: self.last_write, state: state.clone() };
        let has_durable_values = accepted_ballot(state) == accepted_ballot(&self.durable)
            && committed_ballot(state) == committed_ballot(&self.durable);
        let record = if has_durable_values {
            let bytes = rpc::encode(&JournalRecord::Promise(state.promised));
            EncodedRecord { bytes, is_complete: false }
        } else {
            let bytes = rpc::encode(&JournalRecord::State(state.clone()));
            EncodedRecord { bytes, is_complete: true }
        };
        (record, write)
    }

    /// Records that a state is on disk. Writes may be reported out of order: a write that was queued before
    /// the newest durable one has no effect.
    pub(super) fn record_durable(&mut self, write: PendingWrite) {
        if write.number > self.durable_write {
            self.durable = write.state;
            self.durable_write = write.number;
        }
    }

    /// Returns whether the committed value of `state`, or a newer one, is durable.
    pub(super) fn has_committed(&self, state: &AcceptorState<ControlState>) -> bool {
        committed_ballot(&self.durable) >= committed_ballot(state)
    }
}

fn accepted_ballot(state: &AcceptorState<ControlState>) -> Option<Ballot> {
    state.accepted.as_ref().map(|value| value.ballot)
}

fn committed_ballot(state: &AcceptorState<ControlState>) -> Option<Ballot> {
    state.committed.as_ref().map(|value| value.ballot)
}

/// Checks that a record of the journal can be decoded.
///
/// # Errors
///
/// Returns the decoding error if another build wrote the record or the disk has corrupted it.
pub fn check_acceptor_record(bytes: &[u8]) -> Result<(), DecodeError> {
    rpc::decode::<JournalRecord>(bytes).map(drop)
}

/// State that was recovered from the records of a journal.
pub(super) struct RecoveredState {
    pub(super) state: AcceptorState<ControlState>,
    /// Position of the newest record with the complete state, which makes all earlier records obsolete;
    /// `None` if no record has one.
    pub(super) complete_position: Option<Position>,
}

/// Replays the records of a journal in their order.
///
/// # Errors
///
/// Returns the position of the first record that cannot be decoded. The promises of the acceptor are then
/// unknown.
pub(super) fn recover(
    incarnation: Incarnation,
    records: &[(Position, Vec<u8>)],
) -> Result<RecoveredState, Position> {
    let mut state = AcceptorState::empty(incarnation);
    let mut complete_position = None;
    for (position, bytes) in records {
        match rpc::decode::<JournalRecord>(bytes) {
            Ok(JournalRecord::State(newer)) => {
                state = newer;
                complete_position = Some(*position);
            }
            Ok(JournalRecord::Promise(ballot)) => state.promised = state.promised.max(ballot),
            Err(_) => return Err(*position),
        }
    }
    state.incarnation = incarnation;
    Ok(RecoveredState { state, complete_position })
}
