//! How a process that knows no acceptor finds one although its seeds know none either.
//!
//! A process polls its seeds until it knows the acceptors. Seeds may be nodes without a disk; after a loss of power of
//! all machines these know nothing, and whoever was given them as seeds would ask in vain for ever. So knowledge also
//! goes the other way: who knows the acceptors introduces them to its own seeds, at once when it comes to know them or
//! is given other seeds, and again now and then, as a seed may have been restarted since. Between the two, what one
//! process knows reaches all that are connected with it by seeds in either direction.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_util::future::join_all;
use state::ControlState;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::messages::{paths, GossipMessage};
use crate::ViewCell;

/// How long a call may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// A seed that could not be told is told again after this pause, which doubles each time ...
const RETRY_FIRST: Duration = Duration::from_millis(250);
/// ... up to this one.
const RETRY_MOST: Duration = Duration::from_secs(5);
/// How often the seeds are looked at.
const LOOK_EVERY: Duration = Duration::from_millis(250);
/// Between two introductions of a process with an acceptor to seeds that were told before ...
const REPEAT_ACCEPTOR: Duration = Duration::from_secs(1);
/// ... and of any other process.
const REPEAT_OTHER: Duration = Duration::from_secs(5);

impl GossipMessage {
    /// Introduces the acceptors of a state.
    pub(crate) fn of(state: &ControlState) -> Self {
        let acceptors = state.acceptors.iter().map(|member| member.address.clone()).collect();
        Self { revision: state.revision, acceptors }
    }
}

/// The newest acceptors that others have introduced to this process.
#[derive(Default)]
pub struct AcceptorGossip {
    newest: Mutex<GossipMessage>,
}

impl AcceptorGossip {
    /// Takes note of an introduction, unless a newer one is known.
    pub fn receive(&self, introduction: GossipMessage) {
        let mut newest = self.lock();
        if introduction.revision >= newest.revision {
            *newest = introduction;
        }
    }

    /// The internal addresses of the acceptors that were introduced.
    #[must_use]
    pub fn acceptors(&self) -> Vec<String> {
        self.lock().acceptors.clone()
    }

    fn lock(&self) -> MutexGuard<'_, GossipMessage> {
        self.newest.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Introduces the acceptors to the process at an address; tells whether it was told.
pub(crate) async fn introduce(client: &rpc::Client, address: &str, introduction: &GossipMessage) -> bool {
    let told: Result<(), _> = client.call(address, paths::INTRODUCE, introduction, CALL_TIMEOUT).await;
    told.is_ok()
}

/// When each seed is told again.
#[derive(Default)]
struct Schedule {
    /// Seeds that were not told yet, with the next try and the pause behind it.
    untold: BTreeMap<String, (Instant, Duration)>,
    told: Vec<String>,
    next_repeat: Option<Instant>,
}

impl Schedule {
    /// All of these seeds are to be told now.
    fn begin(seeds: &[String], this_address: &str) -> Self {
        let now = Instant::now();
        let others = seeds.iter().filter(|seed| *seed != this_address);
        let untold = others.map(|seed| (seed.clone(), (now, RETRY_FIRST))).collect();
        Self { untold, ..Self::default() }
    }

    /// The seeds that are to be told now.
    fn due(&mut self, repeat_every: Duration) -> Vec<String> {
        let now = Instant::now();
        let untold = self.untold.iter().filter(|(_, (at, _))| *at <= now);
        let mut due: Vec<String> = untold.map(|(seed, _)| seed.clone()).collect();
        if self.next_repeat.is_none_or(|at| at <= now) {
            if self.next_repeat.is_some() && !self.told.is_empty() {
                self.told.rotate_left(1);
                due.extend(self.told.last().cloned());
            }
            self.next_repeat = Some(now + repeat_every.mul_f64(0.75 + fastrand::f64() / 2.0));
        }
        due
    }

    fn note(&mut self, seed: &str, was_told: bool) {
        let earlier = self.untold.remove(seed);
        if was_told {
            if !self.told.iter().any(|told| told == seed) {
                self.told.push(seed.to_owned());
            }
            return;
        }
        self.told.retain(|told| told != seed);
        let pause = earlier.map_or(RETRY_FIRST, |(_, pause)| (pause * 2).min(RETRY_MOST));
        self.untold.insert(seed.to_owned(), (Instant::now() + pause, pause));
    }
}

/// Introduces the acceptors to the seeds, for as long as the process runs.
pub async fn run_acceptor_gossip(
    view: Arc<ViewCell>,
    client: rpc::Client,
    mut seeds: watch::Receiver<Vec<String>>,
    this_address: String,
    is_acceptor: bool,
) {
    let repeat_every = if is_acceptor { REPEAT_ACCEPTOR } else { REPEAT_OTHER };
    let mut schedule = Schedule::begin(&seeds.borrow_and_update(), &this_address);
    loop {
        if seeds.has_changed().unwrap_or(false) {
            schedule = Schedule::begin(&seeds.borrow_and_update(), &this_address);
        }
        if let Some(known) = view.committed() {
            let introduction = GossipMessage::of(&known.value);
            let due = schedule.due(repeat_every);
            let told = join_all(due.iter().map(|seed| introduce(&client, seed, &introduction))).await;
            due.iter().zip(told).for_each(|(seed, was_told)| schedule.note(seed, was_told));
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}
