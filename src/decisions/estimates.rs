//! Running estimates: the pace of servers and classes, and the level of load in the fleet.

/// Outcomes that count in a running mean of one server; four times as many in one of all.
pub(super) const RECENT: f64 = 16.0;

/// Outcomes that the knowledge of all servers weighs as much as.
const PRIOR: f64 = 4.0;

/// In mean aims: the level follows new reports in this, though by a part at the least.
const LEVEL_FOLLOWS: f64 = 2.0;

const LEVEL_LEAST: f64 = 0.15;

/// In mean aims: where no reports come the level falls by half to an idle fleet's in this: refusals end.
const LEVEL_LASTS: f64 = 6.0;

/// Part of a mean aim that answers are thought to take at the most where nothing recent is known.
pub(super) const EASY: f64 = 0.25;

/// In mean aims: half of the part of attempts that servers turned away is forgotten in this. They slow down
/// where the pressure stays.
pub(super) const PRESSURE_LASTS: f64 = 20.0;

/// Running means of the latency, and of how many requests the server held meanwhile.
#[derive(Clone, Copy, Default)]
pub(super) struct Pace {
    pub(super) latency: f64,
    pub(super) depth: f64,
    pub(super) seen: f64,
    pub(super) at: f64,
}

impl Pace {
    /// What was seen still weighs this. Guards against judging by a trouble long past: little corrects it.
    pub(super) fn weight(&self, now: f64, half_life: f64) -> f64 {
        self.seen * 0.5_f64.powf((now - self.at) / half_life)
    }

    pub(super) fn add(&mut self, now: f64, half_life: f64, most: f64, latency: f64, depth: f64) {
        self.seen = (self.weight(now, half_life) + 1.0).min(most);
        self.latency += (latency - self.latency) / self.seen;
        self.depth += (depth - self.depth) / self.seen;
        self.at = now;
    }

    /// Mean latency and depth, the own outcomes weighed against what is known beyond them.
    pub(super) fn or(&self, now: f64, half_life: f64, prior: (f64, f64)) -> (f64, f64) {
        let weight = self.weight(now, half_life);
        let mix = |own: f64, prior: f64| (own * weight + prior * PRIOR) / (weight + PRIOR);
        (mix(self.latency, prior.0), mix(self.depth, prior.1))
    }
}

/// Requests held by a server of late, over all servers that this node hears from.
#[derive(Clone, Copy)]
pub(super) struct Level {
    pub(super) held: f64,
    pub(super) at: f64,
}

impl Level {
    /// What an idle server reports: the request that it has just answered.
    pub(super) const IDLE: f64 = 1.0;

    pub(super) fn add(&mut self, now: f64, aim: f64, reading: f64) {
        let kept = 0.5_f64.powf((now - self.at) / (LEVEL_FOLLOWS * aim)).min(1.0 - LEVEL_LEAST);
        *self = Self { held: reading + (self.held - reading) * kept, at: now };
    }

    pub(super) fn now(&self, now: f64, aim: f64) -> f64 {
        Self::IDLE + (self.held - Self::IDLE) * 0.5_f64.powf((now - self.at) / (LEVEL_LASTS * aim))
    }
}
