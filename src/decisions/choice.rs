//! The choice of a server, by HSQ (Islam, "Network Load Balancing Methods", IV.E): `pick` takes the lowest
//! count, and `report` lets a fresh report overwrite its server's count.

use super::attempts::{Attempt, Held};
use super::estimates::{Level, EASY, RECENT};
use super::servers::Server;
use super::{Balancer, HALF_LIFE, PACE_LASTS, SHARERS};
use crate::interface::*;

/// Recent outcomes lose half their weight in so many usual gaps between requests at the least, of an aim each
/// at most.
const GAPS: f64 = 2.0;

/// A server expected to take this many times the best one's time is not picked. Over 2: counts decide.
const BACKED_UP: f64 = 2.5;

/// Among several nodes, in mean aims: half of what a report told beyond the level is forgotten in this.
const REPORT_LASTS: f64 = 12.0;

/// Servers of each part of the ring, near and far, that one request is offered at the most.
/// Guards against weighing tens of thousands for it; up to so many are offered all.
pub(super) const OFFERED_MOST: usize = 64;

/// How far chance moves an old count where it only decides whom to ask. Guards against crowding the lowest.
const BLUR: f64 = 0.7;

/// A server is not believed to hold more than this: a count of that size would never be the lowest again.
const HELD_MOST: f64 = 100_000.0;

/// What is usual over all servers when one is chosen.
struct Usual {
    /// Latency and depth, by all outcomes and by the recent ones alone.
    lasting: (f64, f64),
    recent: (f64, f64),
    /// The count of a server of which nothing was reported.
    mean: f64,
}

/// What is expected of one server.
struct Expected {
    count: f64,
    latency: f64,
    depth: f64,
}

/// A server as `pick` sees it: the answer expected there, and its count in the same unit.
pub(super) struct Candidate {
    pub(super) server: usize,
    pub(super) wait: f64,
    /// Nothing is before the request there, and its aim is not shorter than what it takes.
    pub(super) idle: bool,
    pub(super) rank: f64,
    pub(super) unfit: u8,
    pub(super) near: bool,
}

impl Balancer {
    /// A report overwrites the count of its server alone, whole: it counts the requests of all nodes.
    pub(super) fn report(&mut self, now: f64, at: usize, report: Report) {
        let Some(reading) = self.reading(&report) else { return };
        self.level.add(now, self.aim, reading);
        if let Some(waiting) = report.queued.filter(|_| self.sparse) {
            let in_work = (reading - waiting).max(Level::IDLE);
            let of_late = self.in_work.get_or_insert(in_work);
            *of_late += (in_work - *of_late) / RECENT;
        }
        if let Some(server) = self.servers.get_mut(at) {
            server.count = Some(reading);
            server.reported_at = Some(now);
        }
    }

    /// The requests that a report says its server holds. Those that wait are told without the ones in work:
    /// the request that has just been answered was one of those.
    pub(super) fn reading(&self, report: &Report) -> Option<f64> {
        let in_work = if self.sparse { Level::IDLE } else { 0.0 };
        let held = report.in_flight.or(report.queued.map(|waiting| waiting + in_work));
        held.filter(|held| *held <= HELD_MOST)
    }

    /// The eligible servers with the lowest counts, ties broken at random.
    pub(super) fn pick(&mut self, now: f64, held: &Held, limit: f64, most: usize) -> Vec<usize> {
        let mut candidates = self.candidates(now, held);
        // Those that are not healthy, or tried already, are left only where there are no others.
        let fittest = candidates.iter().map(|c| c.unfit).min();
        candidates.retain(|c| Some(c.unfit) == fittest && (c.idle || c.wait <= limit));
        let least = candidates.iter().map(|c| c.wait).fold(f64::INFINITY, f64::min);
        let bound = if self.asks > 0 || self.sparse { limit } else { least * BACKED_UP };
        // A crossing has its price; and nodes that keep to their zones are less in each other's way, unseen.
        // One node of many sees too late that its zone fills up: there the price alone speaks for a zone.
        let near = self.asks == 0 && !self.sparse && candidates.iter().any(|c| c.near && c.wait <= bound);
        candidates.retain(|c| (c.idle || c.wait <= bound) && (c.near || !near));
        self.random.shuffle(&mut candidates);
        let mut picked = Vec::with_capacity(most);
        while picked.len() < most {
            let lowest = candidates.iter().enumerate().min_by(|(_, a), (_, b)| a.rank.total_cmp(&b.rank));
            let Some((lowest, _)) = lowest else { break };
            picked.push(candidates.remove(lowest).server);
        }
        picked
    }

    /// All servers that the rules allow for this request.
    pub(super) fn candidates(&mut self, now: f64, held: &Held) -> Vec<Candidate> {
        let subset = self.ring.subset(OFFERED_MOST, &mut self.random);
        let seen = subset.len();
        let bound = held.ran.is_some();
        let usual = self.usual(now, &subset);
        let ramp = self.ramp(bound);
        let slots = self.eligible(held, subset);
        let mut candidates = Vec::with_capacity(slots.len());
        let mut warm = 0;
        for slot in slots {
            let server = &mut self.servers.slots[slot];
            let age = server.age(now);
            let cold = age < self.settings.cold_ms;
            warm += u32::from(!cold && server.ejected_until.is_none());
            let asked = held.attempts.is_empty() && held.reported.contains(&server.entry.server.0);
            if held.attempts.is_empty() && !asked && !held.reported.is_empty() {
                continue;
            }
            server.count.get_or_insert(usual.mean);
            let near = server.entry.zone == self.settings.zone;
            if cold && !asked && !self.may_see_cold(&ramp, age, near) {
                continue;
            }
            candidates.push(self.candidate(now, held, slot, &usual));
        }
        if !bound {
            self.warm = f64::from(warm) * self.ring.len() as f64 / seen.max(1) as f64;
        }
        candidates
    }

    /// What is usual over all servers at this moment.
    fn usual(&self, now: f64, subset: &[usize]) -> Usual {
        let half_life = HALF_LIFE * self.aim;
        // What is not confirmed fades to an easy guess: a node that refuses all would learn nothing more.
        let known = self.all.seen > 0.0;
        let (latency, depth) = if known { (self.all.latency, self.all.depth) } else { (self.aim, 1.0) };
        let guess = (latency.min(self.aim * EASY), depth);
        // Where no report ever comes, own sends are all that a count can tell: they go round and do not fade.
        let counts = || subset.iter().filter_map(|slot| self.servers.slots[*slot].count);
        let mean = match self.sparse && self.told() {
            true => self.level.now(now, self.aim),
            false => counts().sum::<f64>() / counts().count().max(1) as f64,
        };
        Usual {
            lasting: self.all.or(now, f64::INFINITY, (self.aim * EASY, 1.0)),
            recent: self.all.or(now, half_life.max(GAPS * self.gap), guess),
            mean,
        }
    }

    /// A request that may have run is bound to its group, wherever that is; any other to the subset.
    fn eligible(&self, held: &Held, subset: Vec<usize>) -> Vec<usize> {
        let Some(home) = held.ran.map(|first| &held.attempts[first]) else { return subset };
        let effect = self.settings.classes[held.class].effect;
        let may = |slot: &usize| may_move(effect, home, &self.servers.slots[*slot].entry);
        let parts = self.ring.parts().into_iter();
        parts.flat_map(|part| part.filter(may).take(OFFERED_MOST)).collect()
    }

    /// How a server looks to this request.
    fn candidate(&mut self, now: f64, held: &Held, slot: usize, usual: &Usual) -> Candidate {
        let blur = if self.asks > 0 && held.reported.is_empty() { BLUR } else { 0.0 };
        let blur = 1.0 + blur * (2.0 * self.random.f64() - 1.0);
        let server = &self.servers.slots[slot];
        let class = &self.settings.classes[held.class];
        let at = server.entry.server.0;
        let near = server.entry.zone == self.settings.zone;
        let cold = server.age(now) < self.settings.cold_ms;
        let expected = self.expected(now, server, usual);
        let Expected { count, latency, depth } = expected;
        let trial = server.out == 0 && class.effect != Effect::Unsafe;
        let healthy = server.ejected_until.is_none_or(|until| until <= now && trial);
        // At one of many nodes a cold server gets all that it is let see: before each node has its own
        // report of it, and counts it as idle, it would be warm.
        let ration = if self.sparse && cold { 0.0 } else { 1.0 };
        // Where others send unseen, only its own report tells that a server is idle.
        let idle = match self.sparse {
            true => server.reported_at.is_some() && count < Level::IDLE + 0.5,
            false => self.asks == 0 && server.out == 0,
        };
        // A crossing counts as its price in aims.
        let crossing = if near { 0.0 } else { self.settings.cross_zone_price * class.aim_ms };
        Candidate {
            server: at,
            wait: self.wait(server, &expected, usual),
            idle: idle && self.relative(held.class) * latency / depth <= class.aim_ms,
            rank: ration * (count + 1.0) * latency / depth * blur + crossing,
            unfit: 2 * u8::from(!healthy) + u8::from(held.attempts.iter().any(|a| a.server == at)),
            near,
        }
    }

    /// The count and the pace that are expected of a server now.
    fn expected(&self, now: f64, server: &Server, usual: &Usual) -> Expected {
        let count = server.count.unwrap_or(usual.mean);
        if !self.sparse {
            let (latency, depth) = server.pace.or(now, HALF_LIFE * self.aim, usual.recent);
            return Expected { count, latency, depth };
        }
        // What an old report told is likely over: what it says beyond the level counts for less.
        let told = self.told();
        let fades = |at: f64| 0.5_f64.powf((now - at) / (REPORT_LASTS * self.aim));
        let fresh = server.reported_at.map_or(if told { 0.0 } else { 1.0 }, fades);
        // A node of few sends a good part of all that a server holds: its own attempts there are known, and
        // only the other nodes' part of the level is a guess. The level is that of the servers in use. Guards
        // against leaving alone a server that looked busy once.
        let others = 1.0 - 1.0 / self.settings.nodes as f64;
        let unheard = match told && self.settings.nodes as f64 <= SHARERS {
            true => server.out as f64 + usual.mean * others,
            false => usual.mean,
        };
        let (latency, depth) = server.pace.or(now, PACE_LASTS * self.aim, usual.lasting);
        Expected { count: unheard + (count - unheard) * fresh, latency, depth }
    }

    /// How long an answer of a server is expected to take.
    fn wait(&self, server: &Server, expected: &Expected, usual: &Usual) -> f64 {
        let Expected { count, latency, depth } = *expected;
        // A count just asked for is that of all nodes, and so is its pace; an idle server is never late.
        // A report of an answer counts the request that was answered, whose place the next one takes.
        match self.asks > 0 {
            _ if self.sparse && self.told() => count * latency / depth,
            true if count < 0.5 => 0.0,
            true => (count + 1.0) * usual.lasting.0 / usual.lasting.1,
            false => (server.out + 1) as f64 * latency / depth,
        }
    }

    /// Whether reports come: those of answers, or of the servers asked before each send.
    pub(super) fn told(&self) -> bool {
        self.settings.answers_report || self.asks > 0
    }
}

/// Whether a request that may have run on `first` may be sent to `other`.
fn may_move(effect: Effect, first: &Attempt, other: &ServerEntry) -> bool {
    match effect {
        Effect::Safe | Effect::Keyed { group: Group::All, .. } => true,
        Effect::Keyed { group: Group::Zone, .. } => first.zone == other.zone,
        Effect::Keyed { group: Group::Cell, .. } => first.cell == other.cell,
        Effect::Unsafe => false,
    }
}
