//! A store machine: its copies of batch jobs, and those that it owns.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use batch::{
    rendezvous_score, Ballot, Condition, Copies, Entry, HandedIn, ItemId, ItemResult, Job, JobId, Ownership,
    Phase, Replica, ReplicaRequest, StoreId,
};
use register::Member;
use state::{ControlState, StoreSet};

use crate::control::Control;
use crate::messages::{Endpoint, JobCall, Reply, Request};
use crate::process::{Context, Purpose};

/// An owner whose majority has not acknowledged anything for this time answers nothing.
const OWNER_LEASE: Duration = Duration::from_millis(900);
/// How often an owner asks its copies whether it still is the owner.
const HEARTBEAT_EVERY: Duration = Duration::from_millis(300);
/// How long a caller waits at most.
const WAIT_MOST: Duration = Duration::from_millis(1000);
/// How many items of a batch job run at once.
const ITEMS_AT_ONCE: usize = 2;
/// How long after a change of the store set each further copy waits before it moves a batch job.
const MOVE_STEP: Duration = Duration::from_millis(1000);

/// The stores that keep a batch job, the first to own it first.
pub(crate) fn copies_of(set: &StoreSet, job: &str) -> Vec<Member> {
    let mut members: Vec<Member> = set.members.iter().map(|store| store.member.clone()).collect();
    members.sort_by_key(|member| std::cmp::Reverse(rendezvous_score(&member.station, job)));
    members.truncate(set.copies);
    members
}

fn ids(members: &[Member]) -> Vec<StoreId> {
    members.iter().map(|member| member.incarnation.0).collect()
}

/// Who waits for the owner's answer.
struct Waiting {
    asker: (Endpoint, u64),
    asked: JobCall,
    since: Duration,
}

struct Owned {
    ownership: Ownership,
    waiting: Vec<Waiting>,
    running: BTreeSet<ItemId>,
    last_heartbeat: Duration,
}

/// A store.
pub(crate) struct Store {
    id: StoreId,
    replica: Replica,
    owned: BTreeMap<JobId, Owned>,
    /// The epoch under which each batch job is known to be whole.
    whole_since: BTreeMap<JobId, u64>,
    rejected: BTreeMap<JobId, Ballot>,
    epoch_seen_at: Duration,
}

impl Store {
    pub(crate) fn new(id: StoreId, replica: Replica, now: Duration) -> Self {
        let (owned, whole_since, rejected) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Self { id, replica, owned, whole_since, rejected, epoch_seen_at: now }
    }

    /// The epoch to which all batch jobs kept here have moved.
    pub(crate) fn settled_epoch(&self) -> u64 {
        let epoch = self.replica.epoch();
        let is_whole = |job: &JobId| self.whole_since.get(job).is_some_and(|since| *since >= epoch);
        let all = self.replica.logs().all(|(job, log)| log.entries.is_empty() || is_whole(job));
        if all {
            epoch
        } else {
            0
        }
    }

    pub(crate) fn settled(&mut self, job: JobId, epoch: u64) {
        let since = self.whole_since.entry(job).or_default();
        *since = epoch.max(*since);
    }

    pub(crate) fn replica(
        &mut self,
        context: &mut Context<'_>,
        from: (Endpoint, u64),
        job: &JobId,
        request: ReplicaRequest,
    ) {
        let (reply, records) = self.replica.handle(job, request);
        context.disk().keep_batch(records);
        context.answer(from, Reply::Replica(reply));
    }

    pub(crate) fn heartbeat(
        &mut self,
        context: &mut Context<'_>,
        from: (Endpoint, u64),
        job: &JobId,
        ballot: Ballot,
        length: usize,
    ) {
        context.answer(from, Reply::Replica(self.replica.check(job, ballot, length)));
    }

    /// A trainer's call: the owner answers it, and who is none becomes it.
    pub(crate) fn asked(
        &mut self,
        context: &mut Context<'_>,
        control: &Control,
        asker: (Endpoint, u64),
        job: JobId,
        asked: JobCall,
    ) {
        let Some(state) = control.state().filter(|state| state.stores.epoch == self.replica.epoch()) else {
            return context.answer(asker, Reply::Status(503));
        };
        if !self.owned.contains_key(&job) && !self.claim(context, state, &job) {
            return context.answer(asker, Reply::Status(503));
        }
        let waiting = Waiting { asker, asked, since: context.now };
        self.owned.get_mut(&job).expect("just claimed").waiting.push(waiting);
    }

    fn claim(&mut self, context: &mut Context<'_>, state: &ControlState, job: &JobId) -> bool {
        let present = ids(&copies_of(&state.stores, job));
        let previous = state.previous_stores.as_ref().map_or(Vec::new(), |set| ids(&copies_of(set, job)));
        let log = self.replica.log(job);
        let promised = log.map_or(Ballot::default(), |log| log.promised);
        let rejected = self.rejected.get(job).copied().unwrap_or_default();
        let highest = promised.max(rejected).max(Ballot::floor(self.replica.epoch()));
        let ballot = Ballot::above(highest, state.stores.epoch, self.id, context.random.u64(..));
        let Some(ballot) = ballot.filter(|_| present.contains(&self.id)) else { return false };
        let ownership = Ownership::claim(ballot, Copies { present, previous }, log);
        let owned = Owned {
            ownership,
            waiting: Vec::new(),
            running: BTreeSet::new(),
            last_heartbeat: Duration::ZERO,
        };
        self.owned.insert(Arc::clone(job), owned);
        true
    }

    /// Looks at all that is due.
    pub(crate) fn tick(&mut self, context: &mut Context<'_>, control: &Control) {
        let Some(state) = control.state().cloned() else { return };
        if let Some(record) = self.replica.raise_epoch(state.stores.epoch) {
            context.disk().keep_batch(vec![record]);
            self.epoch_seen_at = context.now;
            let ended = std::mem::take(&mut self.owned);
            ended.into_values().for_each(|owned| owned.give_up(context));
        }
        if state.previous_stores.is_some() {
            self.move_jobs(context, &state);
        }
        let members =
            || state.stores.members.iter().chain(state.previous_stores.iter().flat_map(|set| &set.members));
        let address =
            |id: StoreId| members().map(|s| &s.member).find(|member| member.incarnation.0 == id).cloned();
        let mut lost = Vec::new();
        for (job, owned) in &mut self.owned {
            match owned.ownership.phase() {
                Phase::Lost(higher) => lost.push((Arc::clone(job), higher)),
                _ => owned.advance(context, job, &address, state.previous_stores.is_some()),
            }
        }
        for (job, higher) in lost {
            self.rejected.insert(Arc::clone(&job), higher);
            self.owned.remove(&job).into_iter().for_each(|owned| owned.give_up(context));
        }
    }

    /// Claims what is kept here and not known to be whole under the present store set.
    fn move_jobs(&mut self, context: &mut Context<'_>, state: &ControlState) {
        let epoch = state.stores.epoch;
        let kept: Vec<JobId> =
            self.replica.logs().filter(|(_, log)| !log.entries.is_empty()).map(|(j, _)| j.clone()).collect();
        for job in kept {
            let is_whole = self.whole_since.get(&job).is_some_and(|since| *since >= epoch);
            let rank = ids(&copies_of(&state.stores, &job)).iter().position(|id| *id == self.id);
            let Some(rank) = rank.filter(|_| !is_whole && !self.owned.contains_key(&job)) else { continue };
            let turn = MOVE_STEP * u32::try_from(rank).expect("there are few copies");
            if context.now >= self.epoch_seen_at + turn {
                self.claim(context, state, &job);
            }
        }
    }

    /// Takes the reply to a call.
    pub(crate) fn returned(&mut self, purpose: Purpose, sent: Duration, reply: Option<Reply>) {
        match (purpose, reply) {
            (Purpose::Replica(job, ballot, from), reply) => {
                let Some(owned) = self.owned.get_mut(&job) else { return };
                if owned.ownership.ballot() != ballot {
                    return;
                }
                match reply {
                    Some(Reply::Replica(reply)) => owned.ownership.reply(from, reply, sent),
                    _ => owned.ownership.no_reply(from),
                }
            }
            (Purpose::Generate(job, item), reply) => {
                if let Some(owned) = self.owned.get_mut(&job) {
                    owned.generated(item, reply);
                }
            }
            _ => {}
        }
    }
}

impl Owned {
    fn give_up(self, context: &mut Context<'_>) {
        self.waiting.into_iter().for_each(|waiting| context.answer(waiting.asker, Reply::Status(503)));
    }

    fn advance(
        &mut self,
        context: &mut Context<'_>,
        job: &JobId,
        address: &impl Fn(StoreId) -> Option<Member>,
        is_moving: bool,
    ) {
        let ballot = self.ownership.ballot();
        if self.ownership.is_established() {
            self.serve(context, is_moving, job, address);
        }
        for (store, request) in self.ownership.requests(|_| true) {
            let purpose = Purpose::Replica(job.clone(), ballot, store);
            match address(store) {
                Some(member) => context.call_member(&member, Request::Replica(job.clone(), request), purpose),
                None => self.ownership.no_reply(store),
            }
        }
        let expired = |waiting: &Waiting| context.now >= waiting.since + WAIT_MOST;
        let (late, waiting) = std::mem::take(&mut self.waiting).into_iter().partition::<Vec<_>, _>(expired);
        self.waiting = waiting;
        late.into_iter().for_each(|waiting| context.answer(waiting.asker, Reply::Status(503)));
    }

    fn serve(
        &mut self,
        context: &mut Context<'_>,
        is_moving: bool,
        job: &JobId,
        address: &impl Fn(StoreId) -> Option<Member>,
    ) {
        let copies = self.ownership.copies().clone();
        if context.now >= self.last_heartbeat + HEARTBEAT_EVERY {
            self.last_heartbeat = context.now;
            let (ballot, length) = (self.ownership.ballot(), self.ownership.log().len());
            for (store, member) in copies.present.iter().filter_map(|store| Some((*store, address(*store)?)))
            {
                let request = Request::Heartbeat(job.clone(), ballot, length);
                context.call_member(&member, request, Purpose::Replica(job.clone(), ballot, store));
                if is_moving && !self.ownership.committed().is_empty() {
                    context.call_member(
                        &member,
                        Request::Settled(job.clone(), ballot.epoch),
                        Purpose::Nothing,
                    );
                }
            }
        }
        if !self.ownership.holds_lease(context.now, OWNER_LEASE) {
            return;
        }
        for waiting in std::mem::take(&mut self.waiting) {
            match self.answer(job, &waiting.asked) {
                Some(reply) => context.answer(waiting.asker, reply),
                None => self.waiting.push(waiting),
            }
        }
        self.run_items(context, job);
    }

    /// The answer to a call, if it can be given yet.
    fn answer(&mut self, job: &JobId, asked: &JobCall) -> Option<Reply> {
        let committed = self.ownership.committed();
        let is_kept = !committed.is_empty();
        match asked {
            JobCall::Submit(_) if is_kept => Some(Reply::Status(202)),
            JobCall::Submit(body) => {
                if self.ownership.log().is_empty() {
                    let (host, path, body) = ("h".into(), format!("/{job}").into(), body.clone().into());
                    self.ownership.append([Arc::new(Entry::Job(HandedIn { host, path, body, total: 0 }))]);
                }
                None
            }
            _ if !is_kept => Some(Reply::Status(404)),
            JobCall::Read(after) => Some(Reply::Results(results(committed).skip(*after).cloned().collect())),
            JobCall::End if committed.iter().any(|entry| **entry == Entry::End) => Some(Reply::Status(200)),
            JobCall::End => {
                if !self.is_ended() {
                    self.ownership.append([Arc::new(Entry::End)]);
                }
                None
            }
        }
    }

    fn is_ended(&self) -> bool {
        self.ownership.log().iter().any(|entry| **entry == Entry::End)
    }

    fn run_items(&mut self, context: &mut Context<'_>, job: &JobId) {
        let Some(Entry::Job(handed_in)) = self.ownership.committed().first().map(|entry| &**entry) else {
            return;
        };
        if self.is_ended() {
            return;
        }
        let parsed = Job::parse(&handed_in.body).expect("only proper batch jobs are handed in");
        let oldest = parsed.oldest_version.unwrap_or(1);
        let listed: BTreeSet<ItemId> =
            results(self.ownership.log()).map(|result| result.id.clone()).collect();
        let fits = |server: &&rollout::Server| server.models.values().all(|version| *version >= oldest);
        let servers: Vec<rollout::Server> = context.servers.iter().filter(fits).cloned().collect();
        for item in parsed.items.iter().filter(|item| !listed.contains(&item.id)) {
            let is_full = self.running.len() >= ITEMS_AT_ONCE || servers.is_empty();
            if !is_full && self.running.insert(item.id.clone()) {
                let server = &servers[context.random.usize(..servers.len())].id;
                let purpose = Purpose::Generate(job.clone(), item.id.clone());
                context.call_server(server, Request::Generate(item.id.clone()), purpose);
            }
        }
    }

    fn generated(&mut self, item: ItemId, reply: Option<Reply>) {
        let is_open = self.running.remove(&item) && self.ownership.is_established() && !self.is_ended();
        let Some(Reply::Text(text, version)) = reply.filter(|_| is_open) else { return };
        let versions = vec![version];
        let result = ItemResult { id: item, condition: Condition::Delivered, text, versions, grade: None };
        self.ownership.append([Arc::new(Entry::Result(result))]);
    }
}

fn results(entries: &[Arc<Entry>]) -> impl Iterator<Item = &ItemResult> {
    entries.iter().filter_map(|entry| match &**entry {
        Entry::Result(result) => Some(result),
        _ => None,
    })
}
