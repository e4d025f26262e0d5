//! The acceptor of the register on a machine with a disk.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};
use register::{
    Acceptor, AcceptorReply, AcceptorRequest, AcceptorState, AddressedRequest, Ballot, Confirmation,
    ConfirmationStatus, Incarnation, Member, PendingReply, ReplyOutcome, Versioned,
};
use serde::{Deserialize, Serialize};
use state::ControlState;
use storage::{Journal, Position};
use tokio::time::Instant;

use crate::messages::paths;
use crate::{AcceptorContacts, Proposer, ViewCell};

/// How often the newest value is confirmed with a majority.
const CONFIRM_EVERY: Duration = Duration::from_millis(400);
/// How long one acceptor may take for that.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(350);

/// A durable record of the acceptor.
#[derive(Serialize, Deserialize)]
enum Record {
    /// A promise alone.
    Promise(Ballot),
    /// The whole state; everything before it is no longer needed.
    State(AcceptorState<ControlState>),
}

struct Inner {
    acceptor: Acceptor<ControlState>,
    /// What is certainly on disk: only this is told to readers.
    durable: AcceptorState<ControlState>,
    written: Option<Versioned<ControlState>>,
    written_committed: Option<Ballot>,
}

/// Answers requests to the acceptor, after what they changed is durable.
pub struct AcceptorService {
    inner: Mutex<Inner>,
    journal: Journal,
    incarnation: Incarnation,
}

impl AcceptorService {
    /// An acceptor with what its journal held.
    #[must_use]
    pub fn new(journal: Journal, incarnation: Incarnation, records: &[(Position, Vec<u8>)]) -> Arc<Self> {
        let state = recover(incarnation, records);
        let inner = Inner {
            written: state.accepted.clone(),
            written_committed: state.committed.as_ref().map(|v| v.ballot),
            durable: state.clone(),
            acceptor: Acceptor::new(state),
        };
        Arc::new(Self { inner: Mutex::new(inner), journal, incarnation })
    }

    /// The newest value known here to be committed, and durable.
    #[must_use]
    pub fn committed(&self) -> Option<Versioned<ControlState>> {
        self.lock().durable.committed.clone()
    }

    /// The value accepted last, and durable.
    #[must_use]
    pub fn accepted(&self) -> Option<Versioned<ControlState>> {
        self.lock().durable.accepted.clone()
    }

    /// Whether any value was ever accepted here.
    #[must_use]
    pub fn is_initialised(&self) -> bool {
        self.lock().acceptor.state().accepted.is_some()
    }

    /// Takes the first value, durably, if none was taken yet; tells which one stands.
    pub async fn initialise(&self, first: Versioned<ControlState>) -> Option<Versioned<ControlState>> {
        self.carry_out(|acceptor| acceptor.initialise(first)).await?;
        self.lock().durable.accepted.clone()
    }

    /// Answers a request; `None` where the change could not be made durable.
    pub async fn handle(
        &self,
        request: AcceptorRequest<ControlState>,
    ) -> Option<AcceptorReply<ControlState>> {
        if matches!(request, AcceptorRequest::Read) {
            let inner = self.lock();
            let (accepted, committed) = (inner.durable.accepted.clone(), inner.durable.committed.clone());
            return Some(AcceptorReply {
                incarnation: self.incarnation,
                outcome: ReplyOutcome::Current { accepted, committed },
            });
        }
        self.carry_out(|acceptor| acceptor.handle(request)).await
    }

    async fn carry_out(
        &self,
        act: impl FnOnce(&mut Acceptor<ControlState>) -> PendingReply<ControlState>,
    ) -> Option<AcceptorReply<ControlState>> {
        let (reply, state, write) = {
            let mut inner = self.lock();
            let pending = act(&mut inner.acceptor);
            if !pending.must_persist {
                return Some(pending.reply);
            }
            let state = inner.acceptor.state().clone();
            let (record, whole) = inner.record(&state);
            // Queued under the lock, so that the disk sees the states in the order in which they came about.
            (pending.reply, state, (self.journal.append(record), whole))
        };
        let (append, whole) = write;
        match append.await {
            Ok(position) => {
                if whole {
                    self.journal.release(position);
                }
                self.lock().now_durable(state);
                Some(reply)
            }
            Err(error) => {
                log::warn!("the acceptor's state cannot be written: {error}");
                self.lock().forget_written();
                None
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// The record that makes `state` durable, and whether it is the whole of it.
    fn record(&mut self, state: &AcceptorState<ControlState>) -> (Vec<u8>, bool) {
        let committed = state.committed.as_ref().map(|v| v.ballot);
        let same_accepted =
            self.written.as_ref().map(|v| v.ballot) == state.accepted.as_ref().map(|v| v.ballot);
        if same_accepted && committed == self.written_committed {
            return (rpc::encode(&Record::Promise(state.promised)), false);
        }
        self.written.clone_from(&state.accepted);
        self.written_committed = committed;
        (rpc::encode(&Record::State(state.clone())), true)
    }

    /// After a failed write: the next record holds the whole state again.
    fn forget_written(&mut self) {
        self.written = None;
        self.written_committed = None;
    }

    fn now_durable(&mut self, state: AcceptorState<ControlState>) {
        let accepted = |s: &AcceptorState<ControlState>| s.accepted.as_ref().map(|v| v.ballot);
        let newer = state.promised >= self.durable.promised && accepted(&state) >= accepted(&self.durable);
        if newer {
            self.durable = state;
        }
    }
}

fn recover(incarnation: Incarnation, records: &[(Position, Vec<u8>)]) -> AcceptorState<ControlState> {
    let mut state =
        AcceptorState { incarnation, promised: Ballot::default(), accepted: None, committed: None };
    for (_, bytes) in records {
        match rpc::decode::<Record>(bytes) {
            Ok(Record::State(newer)) => state = newer,
            Ok(Record::Promise(ballot)) => state.promised = state.promised.max(ballot),
            Err(error) => log::warn!("a record of the acceptor is passed over: {error}"),
        }
    }
    state.incarnation = incarnation;
    state
}

/// Confirms with a majority, again and again, that the committed value known here is the newest (read repair).
pub async fn run_scrub(view: Arc<ViewCell>, client: rpc::Client, proposer: Arc<Proposer>) {
    loop {
        let began = Instant::now();
        if let Some(known) = view.committed() {
            proposer.contacts().begin_round(&known.value.acceptors);
            confirm_once(&view, &client, &proposer, known, began).await;
        }
        tokio::time::sleep(CONFIRM_EVERY.saturating_sub(began.elapsed()).max(CONFIRM_EVERY / 4)).await;
    }
}

/// Asks all acceptors once, until a majority has confirmed; the others' answers are still noted. A value that is accepted somewhere but not provably committed is settled by a proposal.
pub(crate) async fn confirm_once(
    view: &ViewCell,
    client: &rpc::Client,
    proposer: &Proposer,
    known: Versioned<ControlState>,
    began: Instant,
) -> bool {
    let (mut confirmation, requests) = Confirmation::start(known);
    let contacts = Arc::clone(proposer.contacts());
    let mut calls: FuturesUnordered<_> =
        requests.into_iter().map(|request| ask(client.clone(), request)).collect();
    let mut status = ConfirmationStatus::Pending;
    while let Some((member, reply)) = calls.next().await {
        let Some(reply) = reply else { continue };
        note_contact(&contacts, &member, &reply);
        status = confirmation.on_reply(&member, reply);
        if !matches!(status, ConfirmationStatus::Pending) {
            break;
        }
    }
    tokio::spawn(async move {
        while let Some((member, reply)) = calls.next().await {
            reply.iter().for_each(|reply| note_contact(&contacts, &member, reply));
        }
    });
    match status {
        ConfirmationStatus::Pending => false,
        ConfirmationStatus::Confirmed => {
            view.confirm(began);
            true
        }
        ConfirmationStatus::Superseded(value) => {
            view.adopt_control(&value);
            false
        }
        ConfirmationStatus::Undecided(_) => proposer.settle().await,
    }
}

/// Only the acceptor itself counts, not another disk at its address.
fn note_contact(contacts: &AcceptorContacts, member: &Member, reply: &AcceptorReply<ControlState>) {
    if reply.incarnation == member.incarnation {
        contacts.record_contact(member.incarnation);
    }
}

async fn ask(
    client: rpc::Client,
    AddressedRequest { to: member, request }: AddressedRequest<ControlState>,
) -> (Member, Option<AcceptorReply<ControlState>>) {
    let reply = client.call(&member.address, paths::REGISTER, &request, CONFIRM_TIMEOUT).await;
    (member, reply.ok())
}
