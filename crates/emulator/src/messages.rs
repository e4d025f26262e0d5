//! What the parts of the fleet say to each other.

use batch::{ItemId, ItemResult, JobId, ReplicaReply, ReplicaRequest};
use lease::{LeaseRelease, LeaseReply, LeaseRequest};
use register::{AcceptorReply, AcceptorRequest, Ballot, Member, Versioned};
use rollout::{ModelName, Report};
use state::ControlState;

/// Who sends and receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Endpoint {
    /// A machine of the system.
    Machine(usize),
    /// A model server.
    Server(usize),
    /// The operator and the trainers.
    Outside,
}

/// An order of the operator or of a trainer.
#[derive(Clone, Debug)]
pub enum OperatorOrder {
    /// A whole configuration on top of a version.
    Put {
        /// The version it builds on.
        expected: u64,
        /// The document.
        body: String,
    },
    /// Read the configuration back.
    Read,
    /// Name a version of a model.
    Name {
        /// The model.
        model: String,
        /// The version.
        version: u64,
    },
    /// Have a store machine emptied.
    Retire(String),
    /// Tell how far the emptying is.
    ReadRetire(String),
}

/// A call of a trainer about a batch job.
#[derive(Clone, Debug)]
pub enum JobCall {
    /// Hand it in.
    Submit(String),
    /// Read the results from this position on.
    Read(usize),
    /// End it.
    End,
}

/// A request.
#[derive(Clone, Debug)]
pub enum Request {
    /// To the acceptor of the register.
    Register(AcceptorRequest<ControlState>),
    /// For the leader lease.
    Lease(LeaseRequest),
    /// The leader lease is given back.
    Release(LeaseRelease),
    /// For a value newer than this one.
    Poll(Ballot),
    /// A machine exists, and keeps batch jobs or not.
    Announce(Member, bool),
    /// Take this first value.
    First(Versioned<ControlState>),
    /// Are you there?
    Ping,
    /// To the store's copy of a batch job.
    Replica(JobId, ReplicaRequest),
    /// Does the owner's ballot still count? With the length of its log.
    Heartbeat(JobId, batch::Ballot, usize),
    /// The batch job is whole under the store set of this epoch.
    Settled(JobId, u64),
    /// By the operator or a trainer.
    Operator(OperatorOrder),
    /// By a trainer, or sent on.
    Job(JobId, JobCall),
    /// A server is to load a version.
    Load {
        /// Who says so.
        holder: String,
        /// With which fencing token.
        fence: u64,
        /// The model.
        model: ModelName,
        /// The version.
        version: u64,
    },
    /// For a server's report.
    Report,
    /// Run an item at a server.
    Generate(ItemId),
}

/// A reply.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Of the acceptor.
    Register(AcceptorReply<ControlState>),
    /// Of the grantor.
    Lease(LeaseReply),
    /// A committed value, if one is there that is wanted.
    Value(Option<Versioned<ControlState>>),
    /// With the epoch to which all batch jobs have moved.
    Pong(u64),
    /// Of the store.
    Replica(ReplicaReply),
    /// Status of an order or call.
    Status(u16),
    /// The configuration: its version and text.
    Configuration(u64, String),
    /// Results of a batch job.
    Results(Vec<ItemResult>),
    /// Of a server.
    Report(Box<Report>),
    /// A text, and the version that made it.
    Text(String, u64),
}

/// A message.
#[derive(Clone, Debug)]
pub(crate) enum Body {
    Request(Request),
    Reply(Reply),
}

/// A message with its way. A reply has the number of the call that it answers.
#[derive(Clone, Debug)]
pub(crate) struct Envelope {
    pub(crate) from: Endpoint,
    pub(crate) to: Endpoint,
    pub(crate) call: u64,
    pub(crate) body: Body,
}
