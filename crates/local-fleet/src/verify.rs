//! Checks of the results of a batch job.

use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::str::FromStr;

use batch::{ItemCondition, ItemResult};

use crate::ledger::{EventRecord, Ledger, RunId, RunRecord};
use crate::violation::{Rule, Violation};

/// The data of an event: enough to tell which run made it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventData {
    /// The id of the event.
    pub index: u64,
    /// The run that made it.
    pub run: RunId,
    /// The version of the weights that made it.
    pub version: u64,
}

/// The text is no data of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoEventData;

impl fmt::Display for EventData {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "event {} of run {} by version {}", self.index, self.run.0, self.version)
    }
}

impl FromStr for EventData {
    type Err = NoEventData;

    fn from_str(text: &str) -> Result<Self, NoEventData> {
        let words: Vec<&str> = text.split(' ').collect();
        let ["event", index, "of", "run", run, "by", "version", version] = words[..] else {
            return Err(NoEventData);
        };
        let number = |word: &str| word.parse::<u64>().map_err(|_| NoEventData);
        Ok(Self { index: number(index)?, run: RunId(number(run)?), version: number(version)? })
    }
}

/// What is known of an item before it runs.
#[derive(Clone, Debug)]
pub struct ItemTerms {
    /// How many events make its whole text.
    pub events: u64,
    /// The identity of its reward call.
    pub reward: String,
}

/// What the results of a batch job must satisfy.
#[derive(Clone, Debug)]
pub struct JobTerms {
    /// The items by id.
    pub items: HashMap<String, ItemTerms>,
    /// The oldest version of the weights that may make an event.
    pub oldest_version: u64,
    /// One version must make a whole text.
    pub single_version: bool,
    /// Items may be listed as given up.
    pub may_give_up: bool,
}

/// Names every rule that a listed result breaks.
#[must_use]
pub fn check_result(ledger: &Ledger, terms: &JobTerms, result: &ItemResult) -> Vec<Violation> {
    let id = &result.id;
    let Some(item) = terms.items.get(&**id) else {
        return vec![Violation::new(Rule::Mixed, format!("{id} belongs to another batch job"))];
    };
    if result.condition == ItemCondition::Undeliverable {
        return if terms.may_give_up {
            Vec::new()
        } else {
            vec![Violation::new(Rule::Mixed, format!("{id} is given up"))]
        };
    }
    let mut broken = Vec::new();
    let Ok(text) = result.text.lines().map(EventData::from_str).collect::<Result<Vec<_>, _>>() else {
        return vec![Violation::new(Rule::Mixed, format!("the text of {id} holds what no engine made"))];
    };
    if text.len() as u64 != item.events {
        let seen = format!("the text of {id} has {} events of {}", text.len(), item.events);
        broken.push(Violation::new(Rule::Mixed, seen));
    }
    broken.extend(check_order(id, &text));
    let runs = Runs::read(ledger, &text);
    broken.extend(check_runs(id, &text, &runs));
    broken.extend(check_versions(terms, result, &text));
    broken.extend(check_grade(ledger, item, result, runs.last_made(&text)));
    broken
}

/// The runs that a text was made by.
struct Runs(HashMap<RunId, RunRecord>);

impl Runs {
    fn read(ledger: &Ledger, text: &[EventData]) -> Self {
        let ids: BTreeSet<RunId> = text.iter().map(|event| event.run).collect();
        Self(ids.into_iter().filter_map(|run| Some((run, ledger.run(run)?))).collect())
    }

    fn event(&self, event: &EventData) -> Option<&EventRecord> {
        let record = self.0.get(&event.run)?;
        record.events.iter().find(|made| made.index == event.index && made.version == event.version)
    }

    fn last_made(&self, text: &[EventData]) -> Option<u64> {
        text.last().and_then(|event| self.event(event)).map(|event| event.made)
    }
}

fn check_order(id: &str, text: &[EventData]) -> Option<Violation> {
    let misplaced = text.iter().zip(1u64..).find(|(event, index)| event.index != *index)?;
    let seen = format!("the text of {id} has event {} in place of {}", misplaced.0.index, misplaced.1);
    Some(Violation::new(Rule::Order, seen))
}

fn check_runs(id: &str, text: &[EventData], runs: &Runs) -> Vec<Violation> {
    let mut broken = Vec::new();
    let mut before: Option<&EventData> = None;
    for event in text {
        if runs.event(event).is_none() {
            broken.push(Violation::new(
                Rule::Mixed,
                format!("the text of {id} has an event that was not made: {event}"),
            ));
        }
        if before.map(|before| before.run) != Some(event.run) {
            broken.extend(check_start(id, event, before, runs));
        }
        before = Some(event);
    }
    broken
}

fn check_start(id: &str, event: &EventData, before: Option<&EventData>, runs: &Runs) -> Option<Violation> {
    let run = runs.0.get(&event.run)?;
    if run.item != id {
        return Some(Violation::new(Rule::Mixed, format!("the text of {id} has events of {}", run.item)));
    }
    let asked_after = before.map_or(0, |before| before.index);
    (run.after != asked_after).then(|| {
        let seen =
            format!("the text of {id} goes on behind event {asked_after} with a run behind {}", run.after);
        Violation::new(Rule::Order, seen)
    })
}

fn check_versions(terms: &JobTerms, result: &ItemResult, text: &[EventData]) -> Vec<Violation> {
    let id = &result.id;
    let made: BTreeSet<u64> = text.iter().map(|event| event.version).collect();
    let told: BTreeSet<u64> = result.versions.iter().copied().collect();
    let mut broken = Vec::new();
    if made != told {
        broken.push(Violation::new(
            Rule::Version,
            format!("{id} tells versions {told:?}, was made by {made:?}"),
        ));
    }
    if made.first().is_some_and(|oldest| *oldest < terms.oldest_version) {
        let seen = format!("{id} was made by {made:?}, older than {}", terms.oldest_version);
        broken.push(Violation::new(Rule::Version, seen));
    }
    if terms.single_version && made.len() > 1 {
        broken.push(Violation::new(Rule::Version, format!("{id} was made by several versions: {made:?}")));
    }
    broken
}

fn check_grade(
    ledger: &Ledger,
    item: &ItemTerms,
    result: &ItemResult,
    last_made: Option<u64>,
) -> Option<Violation> {
    let id = &result.id;
    let mixed = |seen: String| Some(Violation::new(Rule::Mixed, seen));
    let Some(grade) = &result.grade else {
        return mixed(format!("{id} is listed without a grade"));
    };
    let Some(answer) = ledger.answer(grade) else {
        return mixed(format!("the grade of {id} is no server's stamp"));
    };
    if answer.id != item.reward || !(200..300).contains(&answer.status) {
        return mixed(format!("the grade of {id} is the stamp of {} (status {})", answer.id, answer.status));
    }
    if last_made.is_some_and(|last_made| answer.arrived < last_made) {
        return mixed(format!("the reward call of {id} came before its text was whole"));
    }
    None
}
