//! The state of a store's part in the replication, and the sending of requests.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use batch::{
    Ballot, Copies, Entry, Job, JobId, Ownership, Phase, Record, Replica, ReplicaReply, ReplicaRequest,
};
use batch::{ItemResult, StoreId};
use register::Member;
use state::{StoreSet, View};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use super::copies::copies_of;
use super::journal::RecordJournal;
use super::messages::{Call, ReplicateReply, REPLICATE_PATH};
use super::owned::{Deposed, JobState, OwnedJob};
use super::writer::{self, WriteRequest};

/// How long a request to another store may take.
const REPLICATE_TIMEOUT: Duration = Duration::from_millis(500);
/// Longer logs may take this much longer for each byte.
const REPLICATE_TIMEOUT_PER_BYTE: Duration = Duration::from_nanos(500);

/// Times that the operators' sheet gives.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Results can be read for this long after the batch job was handed in.
    pub results_kept: Duration,
}

/// A batch job that this store owns or claims.
pub(super) struct Owned {
    /// Distinguishes this ownership from earlier ones of this process; kept over changes of the store set.
    pub token: u64,
    pub ownership: Ownership,
    pub since: Instant,
    /// The parsed batch job, once its log was adopted.
    pub job: Option<Arc<Job>>,
    pub state: watch::Sender<JobState>,
    /// Told of each change of the ownership.
    pub progress: Arc<watch::Sender<()>>,
}

/// All that changes.
pub(super) struct State {
    pub replica: Replica,
    pub owned: HashMap<JobId, Owned>,
    /// When another owner of a batch job was last heard of.
    pub heard: HashMap<JobId, Instant>,
    /// Since when a batch job is known to this process, put back by what other stores told.
    pub first_seen: HashMap<JobId, Instant>,
    /// Epoch under which the owner of a batch job has committed its log.
    pub settled: HashMap<JobId, u64>,
    /// The highest ballot that a claim was rejected for.
    pub rejected: HashMap<JobId, Ballot>,
    /// Batch jobs of which a record was lost: they are written whole the next time.
    pub tainted: HashSet<JobId>,
    /// Writes on their way to the disk, by batch job.
    pub undurable: HashMap<JobId, usize>,
    /// Position of the oldest record that a batch job needs.
    pub oldest: HashMap<JobId, u64>,
    /// Stores that did not answer the last time.
    pub unreachable: HashSet<StoreId>,
    /// Stores that a heartbeat is on its way to.
    pub beating: HashSet<StoreId>,
    /// The epoch that is durably refused to fall below, and the position of its record.
    pub epoch: (u64, u64),
    next_token: u64,
    writer: mpsc::UnboundedSender<WriteRequest>,
}

/// What all parts of a store share.
pub(super) struct Shared {
    pub me: Member,
    pub rpc: rpc::Client,
    pub view: watch::Receiver<Arc<View>>,
    pub limits: Limits,
    pub started: Instant,
    pub journal: Arc<dyn RecordJournal>,
    pub owned_jobs: mpsc::UnboundedSender<OwnedJob>,
    state: Mutex<State>,
}

/// A store's part in keeping batch jobs. Clones share it.
#[derive(Clone)]
pub struct JobStore {
    pub(super) shared: Arc<Shared>,
    queue: Arc<Mutex<Option<mpsc::UnboundedReceiver<WriteRequest>>>>,
}

impl JobStore {
    /// A store that holds what the records of its journal say, oldest first. The receiver is handed each batch
    /// job whose items are to be run here. Nothing is done before [`Self::run`].
    pub fn open(
        me: Member,
        journal: Arc<dyn RecordJournal>,
        recovered: impl IntoIterator<Item = (u64, Vec<u8>)>,
        rpc: rpc::Client,
        view: watch::Receiver<Arc<View>>,
        limits: Limits,
    ) -> (Self, mpsc::UnboundedReceiver<OwnedJob>) {
        let (owned_jobs, handed_out) = mpsc::unbounded_channel();
        let (writer, queue) = mpsc::unbounded_channel();
        let state = State::recover(recovered, writer);
        let state = Mutex::new(state);
        let started = Instant::now();
        let shared = Shared { me, rpc, view, limits, started, journal, owned_jobs, state };
        let queue = Arc::new(Mutex::new(Some(queue)));
        (Self { shared: Arc::new(shared), queue }, handed_out)
    }

    /// Writes records, takes over batch jobs whose owner is silent, renews ownership, moves batch jobs to new
    /// store sets. Runs until dropped.
    pub async fn run(self) {
        let queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner).take();
        let Some(queue) = queue else { return };
        let journal = Arc::clone(&self.shared.journal);
        let writing = writer::run(Arc::clone(&self.shared), journal, queue);
        tokio::join!(writing, self.shared.tend());
    }
}

impl State {
    fn recover(
        recovered: impl IntoIterator<Item = (u64, Vec<u8>)>,
        writer: mpsc::UnboundedSender<WriteRequest>,
    ) -> Self {
        let mut state = Self {
            replica: Replica::default(),
            owned: HashMap::new(),
            heard: HashMap::new(),
            first_seen: HashMap::new(),
            settled: HashMap::new(),
            rejected: HashMap::new(),
            tainted: HashSet::new(),
            undurable: HashMap::new(),
            oldest: HashMap::new(),
            unreachable: HashSet::new(),
            beating: HashSet::new(),
            epoch: (0, 0),
            next_token: 0,
            writer,
        };
        let mut all = Vec::new();
        for (position, bytes) in recovered {
            let Ok(records) = rpc::decode::<Vec<Record>>(&bytes) else {
                log::error!("batch jobs: a record of the journal cannot be read");
                continue;
            };
            state.note_positions(&records, position);
            all.extend(records);
        }
        state.replica = Replica::recover(all);
        state
    }

    /// Keeps note of the oldest record that each batch job needs.
    fn note_positions(&mut self, records: &[Record], position: u64) {
        for record in records {
            match record {
                Record::Epoch(epoch) => self.epoch = self.epoch.max((*epoch, position)),
                Record::Forget { job } => drop(self.oldest.remove(job)),
                Record::Snapshot { job, .. } => drop(self.oldest.insert(Arc::clone(job), position)),
                Record::Promise { job, .. } | Record::Write { job, .. } => {
                    self.oldest.entry(Arc::clone(job)).or_insert(position);
                }
            }
        }
    }

    /// Queues records; ready when they, and all before them, are durable.
    pub fn persist(&mut self, records: Vec<Record>) -> oneshot::Receiver<()> {
        for job in records.iter().filter_map(Record::job) {
            *self.undurable.entry(Arc::clone(job)).or_default() += 1;
        }
        let (done, durable) = oneshot::channel();
        // The receiver is only gone when the process ends; then nothing is acknowledged.
        let _ = self.writer.send(WriteRequest { records, done });
        durable
    }

    fn settle_write(&mut self, records: &[Record]) {
        for job in records.iter().filter_map(Record::job) {
            if let Some(count) = self.undurable.get_mut(job) {
                *count -= 1;
                if *count == 0 {
                    self.undurable.remove(job);
                }
            }
        }
    }

    /// Carries out a request of an owner.
    pub fn handle(
        &mut self,
        job: &JobId,
        request: ReplicaRequest,
        now: Instant,
    ) -> (ReplicaReply, Option<oneshot::Receiver<()>>) {
        if request != ReplicaRequest::Query {
            self.first_seen.entry(Arc::clone(job)).or_insert(now);
        }
        let (reply, mut records) = self.replica.handle(job, request);
        if self.tainted.remove(job) {
            // The reply may rest on a record that was lost.
            records = vec![Record::Epoch(self.replica.epoch()), self.replica.snapshot(job)];
        }
        let must_wait = !records.is_empty() || self.undurable.contains_key(job);
        let durable = must_wait.then(|| self.persist(records));
        (reply, durable)
    }
}

impl Shared {
    pub fn id(&self) -> StoreId {
        self.me.incarnation.0
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The time that ownerships count in.
    pub fn time(&self, at: Instant) -> Duration {
        at.saturating_duration_since(self.started)
    }

    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.borrow())
    }

    pub fn address_of(&self, store: StoreId) -> Option<String> {
        let view = self.view();
        let sets = [Some(&view.control.stores), view.control.previous_stores.as_ref()];
        let mut members = sets.into_iter().flatten().flat_map(|set| &set.members);
        let found = members.find(|one| one.member.incarnation.0 == store);
        found.map(|one| one.member.address.clone())
    }

    pub fn write_done(&self, records: &[Record], position: Option<u64>) {
        let mut state = self.lock();
        state.settle_write(records);
        if let Some(position) = position {
            state.note_positions(records, position);
        }
    }

    /// Takes note of lost records; `lost` collects them while nothing more can be queued.
    pub fn writes_failed(&self, lost: impl FnOnce() -> Vec<Record>) {
        let mut state = self.lock();
        let records = lost();
        state.settle_write(&records);
        let jobs = records.iter().filter_map(|record| record.job().cloned());
        state.tainted.extend(jobs);
    }

    /// The stores that an owner under the present view asks; `None` if this store doesn't keep the batch job.
    pub fn copies(&self, view: &View, job: &str) -> Option<Copies> {
        let ids = |set: &StoreSet| -> Vec<StoreId> {
            copies_of(set, job).iter().map(|store| store.member.incarnation.0).collect()
        };
        let present = ids(&view.control.stores);
        let previous = view.control.previous_stores.as_ref().map(ids).unwrap_or_default();
        present.contains(&self.id()).then_some(Copies { present, previous })
    }

    /// Claims a batch job unless it is owned or claimed already. `false` if this store cannot own it.
    pub fn acquire(self: &Arc<Self>, job: &JobId) -> bool {
        let view = self.view();
        let Some(copies) = self.copies(&view, job) else { return false };
        let mut state = self.lock();
        if state.owned.contains_key(job) {
            return true;
        }
        let Some(ownership) = self.new_claim(&state, &view, job, copies) else { return false };
        state.next_token += 1;
        let owned = Owned {
            token: state.next_token,
            ownership,
            since: Instant::now(),
            job: None,
            state: watch::Sender::new(JobState::Open),
            progress: Arc::new(watch::Sender::new(())),
        };
        state.first_seen.entry(Arc::clone(job)).or_insert_with(Instant::now);
        state.owned.insert(Arc::clone(job), owned);
        drop(state);
        self.drive(job);
        true
    }

    pub fn new_claim(&self, state: &State, view: &View, job: &JobId, copies: Copies) -> Option<Ownership> {
        let log = state.replica.log(job);
        let promised = log.map_or(Ballot::default(), |log| log.promised);
        let rejected = state.rejected.get(job).copied().unwrap_or_default();
        let highest = promised.max(rejected).max(Ballot::floor(state.replica.epoch()));
        let epoch = view.control.stores.epoch;
        let ballot = Ballot::above(highest, epoch, self.id(), fastrand::u64(..))?;
        Some(Ownership::claim(ballot, copies, log))
    }

    /// Sends what is to be sent for a batch job that this store owns.
    pub fn drive(self: &Arc<Self>, job: &JobId) {
        let mut guard = self.lock();
        let state = &mut *guard;
        let Some(owned) = state.owned.get_mut(job) else { return };
        let ballot = owned.ownership.ballot();
        let unreachable = &state.unreachable;
        let requests = owned.ownership.requests(|store| !unreachable.contains(&store));
        drop(guard);
        for (store, request) in requests {
            let (shared, job) = (Arc::clone(self), Arc::clone(job));
            tokio::spawn(async move { shared.deliver(job, ballot, store, request).await });
        }
    }

    async fn deliver(self: Arc<Self>, job: JobId, ballot: Ballot, store: StoreId, request: ReplicaRequest) {
        let sent = Instant::now();
        let reply = self.ask(store, &job, request).await;
        let answered = reply.is_some();
        self.with_ownership(&job, ballot, |shared, state| {
            let Some(reply) = reply else {
                if let Some(owned) = state.owned.get_mut(&job) {
                    owned.ownership.no_reply(store);
                }
                return;
            };
            let known_since = sent.checked_sub(Duration::from_millis(reply.age_ms)).unwrap_or(sent);
            let first_seen = state.first_seen.entry(Arc::clone(&job)).or_insert(known_since);
            *first_seen = (*first_seen).min(known_since);
            if let Some(owned) = state.owned.get_mut(&job) {
                owned.ownership.reply(store, reply.reply, shared.time(sent));
            }
        });
        if answered {
            self.drive(&job);
        }
    }

    /// Changes an ownership, if it is still that of `ballot`, and acts on what came of it.
    pub fn with_ownership(
        self: &Arc<Self>,
        job: &JobId,
        ballot: Ballot,
        change: impl FnOnce(&Self, &mut State),
    ) {
        let mut state = self.lock();
        if state.owned.get(job).is_none_or(|owned| owned.ownership.ballot() != ballot) {
            return;
        }
        change(self, &mut state);
        self.after_change(&mut state, job);
    }

    fn after_change(self: &Arc<Self>, state: &mut State, job: &JobId) {
        let Some(owned) = state.owned.get_mut(job) else { return };
        owned.progress.send_replace(());
        if let Phase::Lost(promised) = owned.ownership.phase() {
            let rejected = state.rejected.entry(Arc::clone(job)).or_default();
            *rejected = (*rejected).max(promised);
            state.heard.insert(Arc::clone(job), Instant::now());
            state.depose(job);
            return;
        }
        if owned.job.is_none() && owned.ownership.is_established() {
            self.hand_out(state, job);
        }
    }

    /// Hands the batch job to the runner, once its log is committed under this ownership.
    fn hand_out(self: &Arc<Self>, state: &mut State, id: &JobId) {
        let Some(owned) = state.owned.get_mut(id) else { return };
        let committed = owned.ownership.committed();
        let Some(Entry::Job(handed_in)) = committed.first().map(|entry| &**entry) else { return };
        let Ok(job) = Job::parse(&handed_in.body) else { return };
        let job = Arc::new(job);
        owned.job = Some(Arc::clone(&job));
        let listed: Vec<ItemResult> = results(committed).cloned().collect();
        if has_end(owned.ownership.log()) {
            owned.state.send_replace(JobState::Ended);
        }
        if has_end(committed) || listed.len() >= job.items.len() {
            return;
        }
        let age = state.first_seen.get(id).map_or(Duration::ZERO, Instant::elapsed);
        let handed_out = OwnedJob {
            id: Arc::clone(id),
            job,
            host: Arc::clone(&handed_in.host),
            path: Arc::clone(&handed_in.path),
            age,
            listed,
            token: owned.token,
            state: owned.state.subscribe(),
            shared: Arc::clone(self),
        };
        let _ = self.owned_jobs.send(handed_out);
    }

    /// Asks a store, which may be this one.
    pub async fn ask(&self, store: StoreId, job: &JobId, request: ReplicaRequest) -> Option<ReplicateReply> {
        if store == self.id() {
            return self.replicate(job, request).await;
        }
        let address = self.address_of(store)?;
        let timeout = REPLICATE_TIMEOUT + REPLICATE_TIMEOUT_PER_BYTE * size_of_request(&request);
        let call = Call { to: store, job: Arc::clone(job), request };
        let answer = self.rpc.call(&address, REPLICATE_PATH, &call, timeout).await;
        if answer.is_err() {
            self.lock().unreachable.insert(store);
        }
        answer.ok()
    }

    /// Carries out a request of an owner; `None` if it could not be made durable.
    pub async fn replicate(&self, job: &JobId, request: ReplicaRequest) -> Option<ReplicateReply> {
        let (reply, durable, age) = {
            let mut state = self.lock();
            let now = Instant::now();
            let is_owner = matches!(request, ReplicaRequest::Claim { .. } | ReplicaRequest::Write { .. });
            let (reply, durable) = state.handle(job, request, now);
            if is_owner && !matches!(reply, ReplicaReply::Rejected { .. }) {
                state.heard.insert(Arc::clone(job), now);
            }
            if matches!(reply, ReplicaReply::Forgotten { .. }) {
                state.forget(job);
            }
            let age = state.first_seen.get(job).map_or(Duration::ZERO, |since| now - *since);
            (reply, durable, age)
        };
        if let Some(durable) = durable {
            durable.await.ok()?;
        }
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(0);
        Some(ReplicateReply { reply, age_ms })
    }

    /// Lists results; done when they are committed.
    pub async fn list(
        self: &Arc<Self>,
        job: &JobId,
        token: u64,
        results: Vec<ItemResult>,
    ) -> Result<(), Deposed> {
        let mut entries: Vec<Arc<Entry>> = results.into_iter().map(|r| Arc::new(Entry::Result(r))).collect();
        loop {
            let mut progress = {
                let mut state = self.lock();
                let owned = state.owned.get_mut(job).filter(|owned| owned.token == token).ok_or(Deposed)?;
                let progress = owned.progress.subscribe();
                let committed = owned.ownership.committed();
                entries.retain(|entry| !contains(committed, entry));
                entries.retain(|entry| owned.job.as_ref().is_none_or(|job| is_of(job, entry)));
                if entries.is_empty() {
                    return Ok(());
                }
                if has_end(committed) {
                    return Err(Deposed);
                }
                if !has_end(owned.ownership.log()) {
                    owned.append_missing(&entries);
                }
                progress
            };
            self.drive(job);
            progress.changed().await.map_err(|_| Deposed)?;
        }
    }
}

impl State {
    /// Gives up an ownership.
    pub fn depose(&mut self, job: &JobId) {
        if let Some(owned) = self.owned.remove(job) {
            owned.state.send_replace(JobState::Deposed);
            owned.progress.send_replace(());
        }
    }
}

impl Owned {
    /// Adds those entries that the log lacks, if entries may be added.
    pub fn append_missing(&mut self, entries: &[Arc<Entry>]) {
        if !self.ownership.is_established() {
            return;
        }
        for entry in entries {
            if !contains(self.ownership.log(), entry) {
                self.ownership.append([Arc::clone(entry)]);
            }
        }
    }
}

/// The results among entries.
pub(super) fn results(entries: &[Arc<Entry>]) -> impl Iterator<Item = &ItemResult> {
    entries.iter().filter_map(|entry| match &**entry {
        Entry::Result(result) => Some(result),
        Entry::Job(_) | Entry::End => None,
    })
}

/// Whether the trainer ended the batch job.
pub(super) fn has_end(entries: &[Arc<Entry>]) -> bool {
    entries.last().is_some_and(|entry| matches!(**entry, Entry::End))
}

fn contains(log: &[Arc<Entry>], wanted: &Entry) -> bool {
    match wanted {
        Entry::Result(result) => results(log).any(|listed| listed.id == result.id),
        Entry::End => has_end(log),
        Entry::Job(_) => !log.is_empty(),
    }
}

fn is_of(job: &Job, entry: &Entry) -> bool {
    match entry {
        Entry::Result(result) => job.items.iter().any(|item| item.id == result.id),
        Entry::Job(_) | Entry::End => true,
    }
}

fn size_of_request(request: &ReplicaRequest) -> u32 {
    let ReplicaRequest::Write { entries, .. } = request else { return 0 };
    let sizes = entries.iter().map(|entry| match &**entry {
        Entry::Job(handed_in) => handed_in.body.len(),
        Entry::Result(result) => result.text.len(),
        Entry::End => 0,
    });
    u32::try_from(sizes.sum::<usize>()).unwrap_or(u32::MAX)
}
