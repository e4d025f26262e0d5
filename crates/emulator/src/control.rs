//! The control plane of a process: register, lease, first start, upkeep and orders to servers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use lease::{Action, Candidate, Grantor, GrantorId};
use register::{
    Acceptor, AcceptorRequest, Ballot, Confirmation, Member, Outcome as Shown, Verdict, Versioned,
};
use rollout::{Pacing, Planner};
use state::change::{choose_first, first_state, next_upkeep, HeldLease, Observation};
use state::{ControlState, StoreMember};

use crate::changes::{answer_of, answer_to, decide, Change, Identity};
use crate::messages::{Endpoint, Reply, Request};
use crate::process::{Context, Purpose};
use crate::proposing::{Outcome, Proposing, Wanted};

/// How long a grant of the lease lasts.
pub(crate) const LEASE_TTL: Duration = Duration::from_millis(1500);
/// The time that must lie between the orders of two holders, and how long an order may be under way.
const BETWEEN_HOLDERS: Duration = Duration::from_millis(3000 + 300 + 1000);
const POLL_EVERY: Duration = Duration::from_millis(250);
const CONFIRM_EVERY: Duration = Duration::from_millis(400);
const PING_EVERY: Duration = Duration::from_millis(700);
const ROUND_MOST: Duration = Duration::from_millis(2400);
const COLLECT: Duration = Duration::from_millis(2500);
const SEED_STEP: Duration = Duration::from_millis(4000);
const JOIN_EVERY: Duration = Duration::from_millis(1500);
const FIRST_BALLOT: Ballot = Ballot { round: 1, proposer: 0 };

/// Moments at which something was last done.
#[derive(Default)]
struct LastDone(BTreeMap<&'static str, Duration>);

impl LastDone {
    fn is_due(&mut self, now: Duration, what: &'static str, every: Duration) -> bool {
        let is_due = self.0.get(what).is_none_or(|last| now >= *last + every);
        if is_due {
            self.0.insert(what, now);
        }
        is_due
    }
}

/// The control plane of a process.
pub(crate) struct Control {
    identity: Identity,
    started: Duration,
    pub(crate) committed: Option<Versioned<ControlState>>,
    acceptor: Option<Acceptor<ControlState>>,
    grantor: Grantor,
    candidate: Candidate,
    held: Option<HeldLease>,
    planner: Option<(u64, Planner)>,
    proposing: Proposing<Change>,
    confirmation: Option<(u64, Confirmation<ControlState>)>,
    confirmations: u64,
    announced: BTreeMap<String, (Member, bool)>,
    shown: Vec<Option<Versioned<ControlState>>>,
    offered: Option<(Versioned<ControlState>, usize)>,
    observed: Observation,
    answered: BTreeMap<Member, u64>,
    last_round: Duration,
    last: LastDone,
}

impl Control {
    pub(crate) fn new(
        identity: Identity,
        acceptor: Option<Acceptor<ControlState>>,
        now: Duration,
        random: u64,
    ) -> Self {
        let name = format!("{}#{random:x}", identity.member.station);
        Self {
            committed: acceptor.as_ref().and_then(|acceptor| acceptor.state().committed.clone()),
            acceptor,
            grantor: Grantor::new(now, LEASE_TTL),
            candidate: Candidate::new(name, LEASE_TTL),
            held: None,
            planner: None,
            proposing: Proposing::new(random),
            confirmation: None,
            confirmations: 0,
            announced: BTreeMap::new(),
            shown: Vec::new(),
            offered: None,
            observed: Observation::default(),
            answered: BTreeMap::new(),
            last_round: now,
            last: LastDone::default(),
            started: now,
            identity,
        }
    }

    pub(crate) fn state(&self) -> Option<&Arc<ControlState>> {
        self.committed.as_ref().map(|committed| &committed.value)
    }

    /// The stores that keep a batch job, the first to own it first.
    pub(crate) fn copies(&self, job: &str) -> Vec<Member> {
        self.state().map_or(Vec::new(), |state| crate::stores::copies_of(&state.stores, job))
    }

    fn adopt(&mut self, newer: &Versioned<ControlState>) {
        if self.committed.as_ref().is_none_or(|known| known.ballot < newer.ballot) {
            self.committed = Some(newer.clone());
        }
    }

    fn fence(&self, now: Duration) -> Option<u64> {
        self.held?.fence_at(now)
    }

    /// Looks at all that is due.
    pub(crate) fn tick(&mut self, context: &mut Context<'_>) {
        let now = context.now;
        if self.identity.first_start && self.committed.is_none() {
            self.start_first(context);
        }
        if self.last.is_due(now, "poll", POLL_EVERY) {
            self.poll(context);
        }
        if let Some(done) = self.proposing.tick(context, self.committed.as_ref()) {
            self.done(context, done);
        }
        self.join(now);
        if self.acceptor.is_none() {
            return;
        }
        if self.last.is_due(now, "confirm", CONFIRM_EVERY) {
            self.confirm(context);
        }
        self.seek_lease(context);
        if self.fence(now).is_some() {
            self.note_order_holder(now);
            self.give_orders(context);
            if self.last.is_due(now, "ping", PING_EVERY) {
                self.upkeep(context);
            }
        } else {
            (self.observed, self.planner, self.last_round) = (Observation::default(), None, now);
        }
    }

    /// Answers a request.
    pub(crate) fn request(&mut self, context: &mut Context<'_>, from: (Endpoint, u64), request: Request) {
        let now = context.now;
        match request {
            Request::Register(request) => {
                match &request {
                    AcceptorRequest::Learn(committed) => {
                        self.adopt(committed);
                        observe(&mut self.grantor, &committed.value);
                    }
                    AcceptorRequest::Accept(proposed) => observe(&mut self.grantor, &proposed.value),
                    _ => {}
                }
                let Some(acceptor) = &mut self.acceptor else { return };
                let handled = acceptor.handle(request);
                if handled.must_persist {
                    context.disk().keep_acceptor(acceptor.state());
                }
                context.answer(from, Reply::Register(handled.reply));
            }
            Request::First(first) => {
                observe(&mut self.grantor, &first.value);
                let Some(acceptor) = &mut self.acceptor else { return };
                if acceptor.initialise(first).must_persist {
                    context.disk().keep_acceptor(acceptor.state());
                }
                context.answer(from, Reply::Value(acceptor.state().accepted.clone()));
            }
            Request::Lease(request) => {
                if let Some(known) = &self.committed {
                    let id = |member: &Member| GrantorId(member.incarnation.0);
                    let grantors: Vec<GrantorId> = known.value.acceptors.iter().map(id).collect();
                    self.grantor.learn(now, known.value.revision, &grantors);
                }
                context.answer(from, Reply::Lease(self.grantor.handle(now, &request)));
            }
            Request::Release(release) => self.grantor.release(&release),
            Request::Poll(ballot) => {
                let newer = self.committed.clone().filter(|known| known.ballot > ballot);
                context.answer(from, Reply::Value(newer));
            }
            Request::Announce(member, is_store) => {
                self.announced.insert(member.station.clone(), (member, is_store));
                context.answer(from, Reply::Status(200));
            }
            Request::Operator(order) => self.proposing.want(now, Change::Operator(order), Some(from)),
            other => unreachable!("the control plane is not asked {other:?}"),
        }
    }

    /// Takes the reply to a call.
    pub(crate) fn returned(&mut self, context: &mut Context<'_>, purpose: Purpose, reply: Option<Reply>) {
        let now = context.now;
        match (purpose, reply) {
            (Purpose::Change(number, member), Some(Reply::Register(reply))) => {
                let Self { proposing, identity, .. } = self;
                let decide = |change: &Change, state: &ControlState| decide(identity, change, state);
                if let Some(done) = proposing.reply(context, number, &member, reply, decide) {
                    self.done(context, done);
                }
            }
            (Purpose::Confirm(round, member), Some(Reply::Register(reply))) => {
                let Some((_, confirmation)) = self.confirmation.as_mut().filter(|(now, _)| *now == round)
                else {
                    return;
                };
                match confirmation.on_reply(&member, reply) {
                    Verdict::Newer(value) => self.adopt(&value),
                    Verdict::Undecided(_)
                        if !self.proposing.has(|change| matches!(change, Change::Settle)) =>
                    {
                        self.proposing.want(now, Change::Settle, None);
                    }
                    _ => {}
                }
            }
            (Purpose::Lease(term, grantor), Some(Reply::Lease(reply))) => {
                self.candidate.on_reply(term, grantor, &reply);
                if self.candidate.holds(now) {
                    self.hold(now);
                }
            }
            (Purpose::Poll, Some(Reply::Value(Some(newer)))) => self.adopt(&newer),
            (Purpose::Ping(member), Some(Reply::Pong(settled))) => {
                self.answered.insert(member, settled);
            }
            (Purpose::ReadFirst, Some(Reply::Register(reply))) => {
                if let Shown::Current { accepted, .. } = reply.outcome {
                    self.shown.push(accepted);
                }
            }
            (Purpose::OfferFirst, Some(Reply::Value(Some(stands)))) => self.first_taken(&stands),
            (Purpose::Load(server), reply) => {
                self.told(|planner| planner.answered(now, &server, answer_of(reply)))
            }
            (Purpose::Report(server), Some(Reply::Report(report))) => {
                self.told(|planner| planner.reported(now, &server, &report));
            }
            (Purpose::Report(server), _) => self.told(|planner| planner.not_reported(now, &server)),
            _ => {}
        }
    }

    fn told(&mut self, tell: impl FnOnce(&mut Planner)) {
        if let Some((_, planner)) = &mut self.planner {
            tell(planner);
        }
    }

    /// Announces this machine to the seeds; a seed whose turn it is forms the first value.
    fn start_first(&mut self, context: &mut Context<'_>) {
        let now = context.now;
        if self.last.is_due(now, "announce", POLL_EVERY) {
            for seed in self.identity.seeds.clone() {
                let request = Request::Announce(self.identity.member.clone(), self.identity.is_store);
                context.call(Endpoint::Machine(seed), request, Purpose::Announce);
            }
        }
        let Some(rank) = self.identity.seeds.iter().position(|seed| *seed == context.this) else { return };
        let turn = COLLECT + SEED_STEP * u32::try_from(rank).expect("there are few seeds");
        if now >= self.started + turn && self.last.is_due(now, "form", JOIN_EVERY) {
            self.offer_first(context);
        }
    }

    /// What an earlier collector began with is taken up; that is told by the reads of the turn before.
    fn offer_first(&mut self, context: &mut Context<'_>) {
        let of = |is_store: bool| {
            let announced = self.announced.values().filter(move |(_, store)| *store == is_store);
            announced.map(|(member, _)| member.clone())
        };
        let acceptors: Vec<Member> = of(false).collect();
        let stores = of(true).map(|member| StoreMember { zone: "zone".into(), member }).collect();
        let Some(own) = first_state(acceptors.clone(), stores, self.identity.machines_lost) else { return };
        let shown = std::mem::take(&mut self.shown);
        let own = Versioned::new(FIRST_BALLOT, Arc::new(own));
        if let Some(first) = choose_first(own, shown) {
            for member in &first.value.acceptors {
                context.call_member(member, Request::First(first.clone()), Purpose::OfferFirst);
            }
            self.offered = Some((first, 0));
        }
        for member in &acceptors {
            context.call_member(member, Request::Register(AcceptorRequest::Read), Purpose::ReadFirst);
        }
    }

    fn first_taken(&mut self, stands: &Versioned<ControlState>) {
        let Some((first, taken)) = self.offered.as_mut().filter(|(first, _)| first == stands) else { return };
        *taken += 1;
        if *taken * 2 > first.value.acceptors.len() {
            let first = first.clone();
            self.adopt(&first);
        }
    }

    fn poll(&mut self, context: &mut Context<'_>) {
        let known = self.state().map_or(Vec::new(), |state| state.acceptors.clone());
        let mut peers: Vec<usize> = known.iter().filter_map(|member| member.address.parse().ok()).collect();
        peers.extend(&self.identity.seeds);
        let peer = peers[context.random.usize(..peers.len())];
        let ballot = self.committed.as_ref().map_or(Ballot::default(), |known| known.ballot);
        context.call(Endpoint::Machine(peer), Request::Poll(ballot), Purpose::Poll);
    }

    fn join(&mut self, now: Duration) {
        let Some(state) = self.state() else { return };
        let is_joining = |change: &Change| matches!(change, Change::JoinAcceptors | Change::JoinStores);
        let change = if self.identity.is_store { Change::JoinStores } else { Change::JoinAcceptors };
        let wants = decide(&self.identity, &change, state).is_ok() && !self.proposing.has(is_joining);
        if wants && self.last.is_due(now, "join", JOIN_EVERY) {
            self.proposing.want(now, change, None);
        }
    }

    fn confirm(&mut self, context: &mut Context<'_>) {
        let Some(known) = self.committed.clone() else { return };
        let (confirmation, requests) = Confirmation::start(known);
        self.confirmations += 1;
        self.confirmation = Some((self.confirmations, confirmation));
        for (member, request) in requests {
            let purpose = Purpose::Confirm(self.confirmations, member.clone());
            context.call_member(&member, Request::Register(request), purpose);
        }
    }

    fn seek_lease(&mut self, context: &mut Context<'_>) {
        let Some(state) = self.state().cloned() else { return };
        match self.candidate.next_action(context.now) {
            Action::Wait(_) => {}
            Action::Ask if !state.acceptors.contains(&self.identity.member) => {}
            Action::Ask => {
                let id = |member: &Member| GrantorId(member.incarnation.0);
                let grantors: Vec<GrantorId> = state.acceptors.iter().map(id).collect();
                self.candidate.set_first_grantors(state.has_first_acceptors());
                let request = self.candidate.begin(context.now, state.revision, &grantors);
                for member in &state.acceptors {
                    let purpose = Purpose::Lease(request.term, id(member));
                    context.call_member(member, Request::Lease(request.clone()), purpose);
                }
            }
            Action::GiveUp => {
                let release = self.candidate.give_up(context.now);
                for (member, release) in state.acceptors.iter().zip(release.iter().cycle()) {
                    context.call_member(member, Request::Release(release.clone()), Purpose::Nothing);
                }
            }
        }
    }

    fn hold(&mut self, now: Duration) {
        self.held = self.held.and_then(|held| held.renewed(now, self.candidate.held_until()));
        if self.held.is_none() && !self.proposing.has(|change| matches!(change, Change::Fence)) {
            self.proposing.want(now, Change::Fence, None);
        }
    }

    fn note_order_holder(&mut self, now: Duration) {
        let Some(fence) = self.held.and_then(|held| held.order_holder_due(now)) else { return };
        if !self.proposing.has(|change| matches!(change, Change::OrderHolder(_))) {
            self.proposing.want(now, Change::OrderHolder(fence), None);
        }
    }

    fn give_orders(&mut self, context: &mut Context<'_>) {
        let now = context.now;
        let Some(fence) = self.held.and_then(|held| held.order_fence_at(now)) else { return };
        let Some(state) = self.state().cloned() else { return };
        if self.planner.as_ref().is_none_or(|(of, _)| *of != fence) {
            self.planner = Some((fence, Planner::new(Pacing::default())));
        }
        let Some((_, planner)) = &mut self.planner else { return };
        for (model, version) in &state.named_versions {
            planner.set_named(now, model, *version);
        }
        planner.set_servers(context.servers.iter().cloned());
        for action in planner.decide(now) {
            match action {
                rollout::Action::Ask(ask) => {
                    context.call_server(&ask.server, Request::Report, Purpose::Report(ask.server.clone()));
                }
                rollout::Action::Order(order) => {
                    let holder = self.identity.member.station.clone();
                    let request = Request::Load { holder, fence, model: order.model, version: order.version };
                    context.call_server(&order.server, request, Purpose::Load(order.server.clone()));
                }
            }
        }
    }

    /// Judges the answers of the last round, and begins the next.
    fn upkeep(&mut self, context: &mut Context<'_>) {
        let (Some(state), Some(fence)) = (self.state().cloned(), self.fence(context.now)) else { return };
        let answered = std::mem::take(&mut self.answered);
        let heard: Vec<Member> = answered.keys().cloned().collect();
        if !heard.is_empty() {
            self.observed.settled =
                answered.iter().map(|(member, epoch)| (member.incarnation, *epoch)).collect();
            self.observed.reachability.round(&state, &heard, context.now - self.last_round, ROUND_MOST);
        }
        self.last_round = context.now;
        let is_wanted = next_upkeep(&state, fence, &self.observed).is_some();
        if is_wanted && !self.proposing.has(|change| matches!(change, Change::Upkeep(..))) {
            self.proposing.want(context.now, Change::Upkeep(fence, self.observed.clone()), None);
        }
        for member in Observation::to_ping(&state) {
            context.call_member(&member, Request::Ping, Purpose::Ping(member.clone()));
        }
    }

    fn done(&mut self, context: &mut Context<'_>, (wanted, outcome): (Wanted<Change>, Outcome)) {
        if let Outcome::Committed(value) | Outcome::Declined(_, value) = &outcome {
            self.adopt(value);
        }
        match (&wanted.change, &outcome) {
            (Change::Fence, Outcome::Committed(value)) => {
                let (station, until) = (&self.identity.member.station, self.candidate.held_until());
                self.held = Some(HeldLease::won(&value.value, station, context.now, until, BETWEEN_HOLDERS));
            }
            (Change::OrderHolder(fence), Outcome::Committed(_)) => {
                if let Some(held) = &mut self.held {
                    held.note_order_holder(*fence);
                }
            }
            (Change::Operator(order), outcome) => {
                if let Some(asker) = wanted.asker {
                    context.answer(asker, answer_to(order, outcome));
                }
            }
            _ => {}
        }
    }
}

/// Tells the grantor who the grantors are, before a value that changes them is answered for.
fn observe(grantor: &mut Grantor, state: &ControlState) {
    let grantors: Vec<GrantorId> =
        state.acceptors.iter().map(|member| GrantorId(member.incarnation.0)).collect();
    grantor.observe(state.revision, &grantors);
}
