//! One process: its parts, and the calls that it has made.

use std::collections::BTreeMap;
use std::time::Duration;

use batch::{ItemId, JobId, StoreId};
use fastrand::Rng;
use lease::GrantorId;
use register::Member;
use rollout::ServerId;

use crate::control::Control;
use crate::disk::Disk;
use crate::messages::{Body, Endpoint, Envelope, JobCall, Reply, Request};
use crate::stores::Store;

/// How long a call to another process or a server may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// What a call was made for.
#[derive(Clone, Debug)]
pub(crate) enum Purpose {
    Change(u64, Member),
    Confirm(u64, Member),
    Lease(u64, GrantorId),
    Poll,
    Ping(Member),
    Announce,
    ReadFirst,
    OfferFirst,
    Replica(JobId, batch::Ballot, StoreId),
    Forward { caller: Endpoint, call: u64, job: JobId, asked: JobCall, rank: usize },
    Load(ServerId),
    Report(ServerId),
    Generate(JobId, ItemId),
    Nothing,
}

/// A call without a reply yet.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    pub(crate) purpose: Purpose,
    pub(crate) sent: Duration,
}

/// What the parts of a process work with.
pub(crate) struct Context<'a> {
    /// The steady clock of this machine.
    pub(crate) now: Duration,
    pub(crate) random: &'a mut Rng,
    /// The platform's list.
    pub(crate) servers: &'a [rollout::Server],
    pub(crate) this: usize,
    pub(crate) next_call: &'a mut u64,
    pub(crate) pending: &'a mut BTreeMap<u64, Pending>,
    pub(crate) disk: Option<&'a mut Disk>,
    pub(crate) sent: &'a mut Vec<Envelope>,
}

impl Context<'_> {
    pub(crate) fn call(&mut self, to: Endpoint, request: Request, purpose: Purpose) {
        *self.next_call += 1;
        let call = *self.next_call;
        self.pending.insert(call, Pending { purpose, sent: self.now });
        self.sent.push(Envelope {
            from: Endpoint::Machine(self.this),
            to,
            call,
            body: Body::Request(request),
        });
    }

    pub(crate) fn call_member(&mut self, member: &Member, request: Request, purpose: Purpose) {
        let machine = member.address.parse().expect("addresses are numbers of machines");
        self.call(Endpoint::Machine(machine), request, purpose);
    }

    pub(crate) fn call_server(&mut self, server: &ServerId, request: Request, purpose: Purpose) {
        let listed =
            self.servers.iter().find(|listed| listed.id == *server).expect("only listed servers are called");
        self.call(Endpoint::Server(listed.address.port().into()), request, purpose);
    }

    pub(crate) fn answer(&mut self, (to, call): (Endpoint, u64), reply: Reply) {
        self.sent.push(Envelope { from: Endpoint::Machine(self.this), to, call, body: Body::Reply(reply) });
    }

    pub(crate) fn disk(&mut self) -> &mut Disk {
        self.disk.as_mut().expect("this machine has a disk")
    }
}

/// A process while it runs.
pub(crate) struct Process {
    pub(crate) control: Control,
    pub(crate) store: Option<Store>,
    pub(crate) disk: Option<Disk>,
    pub(crate) pending: BTreeMap<u64, Pending>,
}

impl Process {
    /// Looks at all that is due.
    pub(crate) fn tick(&mut self, context: &mut Context<'_>) {
        let late = |pending: &Pending| context.now >= pending.sent + CALL_TIMEOUT;
        let late: Vec<u64> = context.pending.iter().filter(|(_, p)| late(p)).map(|(call, _)| *call).collect();
        for call in late {
            let pending = context.pending.remove(&call).expect("just seen");
            self.returned(context, pending, None);
        }
        self.control.tick(context);
        if let Some(store) = &mut self.store {
            store.tick(context, &self.control);
        }
    }

    /// Takes a message.
    pub(crate) fn take(&mut self, context: &mut Context<'_>, envelope: Envelope) {
        match envelope.body {
            Body::Request(request) => self.request(context, (envelope.from, envelope.call), request),
            Body::Reply(reply) => {
                if let Some(pending) = context.pending.remove(&envelope.call) {
                    self.returned(context, pending, Some(reply));
                }
            }
        }
    }

    fn request(&mut self, context: &mut Context<'_>, from: (Endpoint, u64), request: Request) {
        match (request, &mut self.store) {
            (Request::Job(job, asked), Some(store)) => store.asked(context, &self.control, from, job, asked),
            (Request::Job(job, asked), None) => self.forward(context, from, job, asked, 0),
            (Request::Replica(job, request), Some(store)) => store.replica(context, from, &job, request),
            (Request::Heartbeat(job, ballot, length), Some(store)) => {
                store.heartbeat(context, from, &job, ballot, length);
            }
            (Request::Settled(job, epoch), Some(store)) => store.settled(job, epoch),
            (Request::Ping, store) => {
                let settled = store.as_ref().map_or(0, |store| store.settled_epoch());
                context.answer(from, Reply::Pong(settled));
            }
            (request, _) => self.control.request(context, from, request),
        }
    }

    /// Sends a call about a batch job to the stores that may keep it, one after the other.
    fn forward(
        &mut self,
        context: &mut Context<'_>,
        from: (Endpoint, u64),
        job: JobId,
        asked: JobCall,
        rank: usize,
    ) {
        let copies = self.control.copies(&job);
        let Some(store) = copies.get(rank) else { return context.answer(from, Reply::Status(503)) };
        let request = Request::Job(job.clone(), asked.clone());
        let purpose = Purpose::Forward { caller: from.0, call: from.1, job, asked, rank };
        context.call_member(store, request, purpose);
    }

    /// Takes the reply to a call, or notes that there is none.
    fn returned(&mut self, context: &mut Context<'_>, pending: Pending, reply: Option<Reply>) {
        match (pending.purpose, reply) {
            (Purpose::Forward { caller, call, job, asked, rank }, None | Some(Reply::Status(503))) => {
                self.forward(context, (caller, call), job, asked, rank + 1);
            }
            (Purpose::Forward { caller, call, .. }, Some(reply)) => context.answer((caller, call), reply),
            (purpose @ (Purpose::Replica(..) | Purpose::Generate(..)), reply) => {
                if let Some(store) = &mut self.store {
                    store.returned(purpose, pending.sent, reply);
                }
            }
            (purpose, reply) => self.control.returned(context, purpose, reply),
        }
    }
}
