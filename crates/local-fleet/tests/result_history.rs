//! The results of a batch job keep their positions.

use batch::{ItemCondition, ItemResult};
use local_fleet::protocol::ResultPage;
use local_fleet::trainer::ResultHistory;
use local_fleet::Rule;
use yare::parameterized;

fn result(id: &str) -> ItemResult {
    let text = format!("text of {id}");
    ItemResult { id: id.into(), condition: ItemCondition::Delivered, text, versions: vec![1], grade: None }
}

fn page(from: usize, ids: &[&str]) -> ResultPage {
    ResultPage { total: 3, next: from + ids.len(), results: ids.iter().map(|id| result(id)).collect() }
}

fn rules(history: &mut ResultHistory, from: usize, page: ResultPage) -> Vec<Rule> {
    history.add_page("j1", from, page).1.into_iter().map(|violation| violation.rule).collect()
}

/// A reader that has seen `a` and `b`.
fn history() -> ResultHistory {
    let mut history = ResultHistory::new(3);
    assert_eq!(rules(&mut history, 0, page(0, &["a", "b"])), []);
    history
}

#[test]
fn given_two_results_when_a_third_is_read_then_only_it_is_new() {
    let (new, violations) = history().add_page("j1", 1, page(1, &["b", "c"]));
    assert_eq!((new, violations), (vec![result("c")], vec![]));
}

#[parameterized(
    again_the_same = { 0, &["a", "b"], &[] },
    nothing_more_yet = { 2, &[], &[] },
    swapped = { 0, &["b", "a"], &[Rule::Duplicate, Rule::Duplicate] },
    listed_twice = { 2, &["a"], &[Rule::Duplicate] },
    missing = { 1, &[], &[Rule::Lost] },
)]
fn given_two_results_when_read_again_then_positions_are_fixed(from: usize, ids: &[&str], expected: &[Rule]) {
    assert_eq!(rules(&mut history(), from, page(from, ids)), expected);
}

#[parameterized(
    total = { ResultPage { total: 4, ..page(2, &["c"]) } },
    next = { ResultPage { next: 2, ..page(2, &["c"]) } },
)]
fn given_a_wrong_count_when_read_then_it_is_a_mismatch(page: ResultPage) {
    assert_eq!(rules(&mut history(), 2, page), [Rule::Mismatch]);
}

#[test]
fn given_another_text_at_a_position_when_read_then_it_is_a_duplicate() {
    let changed = ItemResult { text: "another".into(), ..result("a") };
    let page = ResultPage { total: 3, next: 1, results: vec![changed] };
    assert_eq!(rules(&mut history(), 0, page), [Rule::Duplicate]);
}
