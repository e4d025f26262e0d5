//! Checks a result of a batch job against what the engines generated and the reward servers returned.

use std::collections::{BTreeSet, HashMap};
use std::str::FromStr;

use batch::{ItemCondition, ItemResult};

use super::event_data::EventData;
use super::request_log::{GeneratedEvent, GenerationId, GenerationRecord, RequestLog};
use super::violation::{Rule, Violation};

/// What the result of an item must satisfy.
#[derive(Clone, Debug)]
pub struct ExpectedItem {
    /// Events of its complete text.
    pub events: u64,
    /// The id of its reward call.
    pub reward: String,
}

/// What the results of a batch job must satisfy.
#[derive(Clone, Debug)]
pub struct JobExpectations {
    /// Its items, by id.
    pub items: HashMap<String, ExpectedItem>,
    /// No older version of the weights may generate a text.
    pub oldest_version: u64,
    /// One version must generate a complete text.
    pub single_version: bool,
    /// Items may be listed as undeliverable: the batch job was ended.
    pub may_be_undeliverable: bool,
}

/// Returns a violation for each rule that a listed result breaks.
#[must_use]
pub fn check_result(
    request_log: &RequestLog,
    expected: &JobExpectations,
    result: &ItemResult,
) -> Vec<Violation> {
    let id = &result.id;
    let mismatch = |description| vec![Violation::new(Rule::Mismatch, description)];
    let Some(item) = expected.items.get(&**id) else {
        return mismatch(format!("{id} belongs to another batch job"));
    };
    if result.condition == ItemCondition::Undeliverable {
        return if expected.may_be_undeliverable {
            Vec::new()
        } else {
            mismatch(format!("{id} is given up"))
        };
    }
    let Ok(text) = result.text.lines().map(EventData::from_str).collect::<Result<Vec<_>, _>>() else {
        return mismatch(format!("the text of {id} holds what no engine made"));
    };
    let generations = Generations::load(request_log, &text);
    let mut violations = Vec::new();
    violations.extend(check_length(id, &text, item.events));
    violations.extend(check_event_order(id, &text));
    violations.extend(check_generations(id, &text, &generations));
    violations.extend(check_versions(expected, result, &text));
    violations.extend(check_grade(request_log, item, result, generations.sequence_of_last(&text)));
    violations
}

/// The generations that contributed to a text.
struct Generations(HashMap<GenerationId, GenerationRecord>);

impl Generations {
    fn load(request_log: &RequestLog, text: &[EventData]) -> Self {
        let ids: BTreeSet<GenerationId> = text.iter().map(|event| event.generation).collect();
        Self(ids.into_iter().filter_map(|id| Some((id, request_log.generation(id)?))).collect())
    }

    fn event(&self, event: &EventData) -> Option<&GeneratedEvent> {
        let record = self.0.get(&event.generation)?;
        record
            .events
            .iter()
            .find(|generated| generated.index == event.index && generated.version == event.version)
    }

    /// When the last event of a text was generated, in the order of the request log.
    fn sequence_of_last(&self, text: &[EventData]) -> Option<u64> {
        text.last().and_then(|event| self.event(event)).map(|event| event.sequence)
    }
}

fn check_length(id: &str, text: &[EventData], events: u64) -> Option<Violation> {
    (text.len() as u64 != events).then(|| {
        let description = format!("the text of {id} has {} events of {events}", text.len());
        Violation::new(Rule::Mismatch, description)
    })
}

fn check_event_order(id: &str, text: &[EventData]) -> Option<Violation> {
    let (event, expected) = text.iter().zip(1u64..).find(|(event, index)| event.index != *index)?;
    let description = format!("the text of {id} has event {} in place of {expected}", event.index);
    Some(Violation::new(Rule::EventOrder, description))
}

fn check_generations(id: &str, text: &[EventData], generations: &Generations) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut previous: Option<&EventData> = None;
    for event in text {
        if generations.event(event).is_none() {
            let description = format!("the text of {id} has an event that was not made: {event}");
            violations.push(Violation::new(Rule::Mismatch, description));
        }
        if previous.map(|previous| previous.generation) != Some(event.generation) {
            violations.extend(check_first_event(id, event, previous, generations));
        }
        previous = Some(event);
    }
    violations
}

/// The first event that a generation contributes: it belongs to the item, and continues where the text ended.
fn check_first_event(
    id: &str,
    event: &EventData,
    previous: Option<&EventData>,
    generations: &Generations,
) -> Option<Violation> {
    let record = generations.0.get(&event.generation)?;
    if record.item != id {
        let description = format!("the text of {id} has events of {}", record.item);
        return Some(Violation::new(Rule::Mismatch, description));
    }
    let expected_after = previous.map_or(0, |previous| previous.index);
    (record.after != expected_after).then(|| {
        let description = format!(
            "the text of {id} goes on behind event {expected_after} with a run behind {}",
            record.after
        );
        Violation::new(Rule::EventOrder, description)
    })
}

fn check_versions(expected: &JobExpectations, result: &ItemResult, text: &[EventData]) -> Vec<Violation> {
    let id = &result.id;
    let actual: BTreeSet<u64> = text.iter().map(|event| event.version).collect();
    let reported: BTreeSet<u64> = result.versions.iter().copied().collect();
    let mut descriptions = Vec::new();
    if actual != reported {
        descriptions.push(format!("{id} tells versions {reported:?}, was made by {actual:?}"));
    }
    if actual.first().is_some_and(|oldest| *oldest < expected.oldest_version) {
        descriptions.push(format!("{id} was made by {actual:?}, older than {}", expected.oldest_version));
    }
    if expected.single_version && actual.len() > 1 {
        descriptions.push(format!("{id} was made by several versions: {actual:?}"));
    }
    descriptions.into_iter().map(|description| Violation::new(Rule::Version, description)).collect()
}

/// The grade is the stamp of a successful response to the item's reward call, which followed the last event.
fn check_grade(
    request_log: &RequestLog,
    item: &ExpectedItem,
    result: &ItemResult,
    last_event_sequence: Option<u64>,
) -> Option<Violation> {
    let id = &result.id;
    let mismatch = |description: String| Some(Violation::new(Rule::Mismatch, description));
    let Some(grade) = &result.grade else {
        return mismatch(format!("{id} is listed without a grade"));
    };
    let Some(response) = request_log.response(grade) else {
        return mismatch(format!("the grade of {id} is no server's stamp"));
    };
    if response.id != item.reward || !(200..300).contains(&response.status) {
        return mismatch(format!(
            "the grade of {id} is the stamp of {} (status {})",
            response.id, response.status
        ));
    }
    if last_event_sequence.is_some_and(|last_event_sequence| response.arrival_sequence < last_event_sequence)
    {
        return mismatch(format!("the reward call of {id} came before its text was whole"));
    }
    None
}
