//! What the outcome of an attempt says of its server: its pace, and whether it is healthy.

use super::attempts::Attempt;
use super::estimates::{Level, RECENT};
use super::{Balancer, HALF_LIFE, PACE_LASTS, SHARERS};
use crate::interface::*;

/// Failures in a row, none served between them, that take a server out.
const STRIKES: u32 = 3;

/// A server is taken out for this many mean aims.
const EJECT: f64 = 2.0;

/// One node of many meets a server seldom: there one failure takes it out, and for longer. By the third in a
/// row, and with trials in between every other aim, each node would have paid for what all of them know.
const SPARSE_STRIKES: u32 = 1;
const SPARSE_EJECT: f64 = 30.0;

/// Attempts over which the part that was turned away is told.
const PRESSURE_OVER: f64 = 6.0;

impl Balancer {
    pub(super) fn judge(
        &mut self,
        now: f64,
        class: usize,
        attempt: &Attempt,
        outcome: &Outcome,
        to: &mut Vec<Action>,
    ) {
        let (at, depth, elapsed) = (attempt.server, attempt.depth, outcome.elapsed_ms);
        let half_life = if self.sparse { PACE_LASTS } else { HALF_LIFE } * self.aim;
        let relative = self.relative(class);
        // What one node of many has out says nothing of a queue: its report does.
        let told = outcome.report.and_then(|report| self.reading(&report));
        let depth = told.filter(|_| self.sparse).map_or(depth, |held| held.max(Level::IDLE));
        let turned_away = f64::from(u8::from(outcome.ending == Ending::Full));
        let pressure = self.pressure(now);
        self.pressure = (pressure + (turned_away - pressure) / PRESSURE_OVER, now);
        let warm = self.servers.get(at).is_some_and(|s| s.age(now) >= self.settings.cold_ms);
        if matches!(outcome.ending, Ending::Served | Ending::Full | Ending::TimedOut) {
            self.chosen(warm && outcome.ending == Ending::Served);
        }
        let server = self.servers.get_mut(at).expect("kept while something is out");
        server.out = server.out.saturating_sub(1);
        if server.is_over() {
            self.servers.remove(at);
            return;
        }
        if matches!(outcome.ending, Ending::Served | Ending::Full | Ending::Error) {
            server.heard_at = now;
        }
        let failed = match outcome.ending {
            Ending::Cancelled if attempt.cut => true,
            // A full server is busy, not ill; a time-out within the aim says nothing of it.
            Ending::Served | Ending::Full => false,
            Ending::TimedOut => elapsed >= self.settings.classes[class].aim_ms,
            Ending::Error | Ending::Unreachable | Ending::Reset => true,
            Ending::Cancelled | Ending::NotSent => return,
        };
        if matches!(outcome.ending, Ending::Served | Ending::TimedOut) {
            self.classes[class].add(now, f64::INFINITY, 4.0 * RECENT, elapsed, depth);
            self.all.add(now, f64::INFINITY, 4.0 * RECENT, elapsed, depth);
            server.pace.add(now, half_life, RECENT, elapsed / relative, depth);
        }
        if outcome.ending == Ending::Served {
            server.strikes = 0;
            if server.ejected_until.take().is_some() {
                to.push(Action::Note(format!("server {at} is back")));
            }
        } else if failed {
            self.strike(now, at, to);
        }
    }

    /// Guards against servers that fail quickly, hang or cannot be reached: counts alone favour them.
    fn strike(&mut self, now: f64, at: usize, to: &mut Vec<Action>) {
        // A node of few meets each server often: one spoilt answer says little there.
        let (strikes, eject) = match self.sparse && self.settings.nodes as f64 > SHARERS {
            true => (SPARSE_STRIKES, SPARSE_EJECT),
            false => (STRIKES, EJECT),
        };
        let server = self.servers.get_mut(at).expect("kept while something is out");
        server.strikes += 1;
        let due = server.ejected_until.map_or(server.strikes >= strikes, |until| until <= now);
        if due && server.ejected_until.replace(now + eject * self.aim).is_none() {
            to.push(Action::Note(format!("server {at} is taken out")));
        }
    }
}
