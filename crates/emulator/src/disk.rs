//! The disk of a machine, and what its process recovers from it.

use std::path::Path;

use register::{Acceptor, AcceptorState, Incarnation};
use serde::{Deserialize, Serialize};
use state::ControlState;
use storage::simulated::SimulatedDisk;
use storage::{Options, Ring};

/// Large enough that nothing has to be released within a story.
const OPTIONS: Options = Options { segment_bytes: 256 * 1024, segments: 64 };

#[derive(Serialize, Deserialize)]
enum Record {
    Acceptor(AcceptorState<ControlState>),
    Batch(batch::Record),
}

/// The ring of a process that runs.
pub(crate) struct Disk {
    ring: Ring,
}

/// What a start finds.
pub(crate) struct Recovered {
    pub(crate) disk: Disk,
    pub(crate) incarnation: Incarnation,
    pub(crate) acceptor: Acceptor<ControlState>,
    pub(crate) replica: batch::Replica,
}

impl Disk {
    pub(crate) fn open(disk: &SimulatedDisk) -> Recovered {
        let mut acceptor = None;
        let mut batch = Vec::new();
        let mut visit = |_, bytes: Vec<u8>| match decode(&bytes) {
            Record::Acceptor(state) => acceptor = Some(state),
            Record::Batch(record) => batch.push(record),
        };
        let (ring, identity) =
            Ring::open(disk.file_system(), Path::new("/data"), OPTIONS, &mut visit).expect("the disk opens");
        let incarnation = Incarnation(identity.incarnation);
        Recovered {
            disk: Self { ring },
            incarnation,
            acceptor: Acceptor::new(acceptor.unwrap_or_else(|| AcceptorState::empty(incarnation))),
            replica: batch::Replica::recover(batch),
        }
    }

    pub(crate) fn keep_acceptor(&mut self, state: &AcceptorState<ControlState>) {
        self.append(&Record::Acceptor(state.clone()));
    }

    pub(crate) fn keep_batch(&mut self, records: Vec<batch::Record>) {
        records.into_iter().for_each(|record| self.append(&Record::Batch(record)));
    }

    fn append(&mut self, record: &Record) {
        let bytes =
            bincode::serde::encode_to_vec(record, bincode::config::standard()).expect("it is encoded");
        let outcome = self.ring.append(&[bytes]).pop().expect("one record, one outcome");
        outcome.expect("the disk has space");
    }
}

fn decode(bytes: &[u8]) -> Record {
    let decoded = bincode::serde::decode_from_slice(bytes, bincode::config::standard());
    decoded.expect("what was written is read").0
}
