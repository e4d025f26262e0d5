//! Checks that a change of results that were read before is reported as a violation.

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

/// Adds a page and returns the rules that it breaks.
fn broken_rules(history: &mut ResultHistory, from: usize, page: ResultPage) -> Vec<Rule> {
    history.add_page("j1", from, page).1.into_iter().map(|violation| violation.rule).collect()
}

/// Returns a history in which the results of `a` and `b` were read.
fn history_of_a_and_b() -> ResultHistory {
    let mut history = ResultHistory::new(3);
    assert_eq!(broken_rules(&mut history, 0, page(0, &["a", "b"])), []);
    history
}

#[test]
fn given_two_results_when_a_third_is_read_then_only_the_third_is_new() {
    let (new, violations) = history_of_a_and_b().add_page("j1", 1, page(1, &["b", "c"]));
    assert_eq!((new, violations), (vec![result("c")], vec![]));
}

#[parameterized(
    unchanged = { 0, &["a", "b"], &[] },
    no_further_result = { 2, &[], &[] },
    swapped = { 0, &["b", "a"], &[Rule::Duplicate, Rule::Duplicate] },
    item_at_two_positions = { 2, &["a"], &[Rule::Duplicate] },
    missing = { 1, &[], &[Rule::Lost] },
)]
fn given_two_results_when_another_page_is_read_then_changed_repeated_and_missing_results_are_violations(
    from: usize,
    ids: &[&str],
    expected: &[Rule],
) {
    assert_eq!(broken_rules(&mut history_of_a_and_b(), from, page(from, ids)), expected);
}

#[parameterized(
    total = { ResultPage { total: 4, ..page(2, &["c"]) } },
    next = { ResultPage { next: 2, ..page(2, &["c"]) } },
)]
fn given_a_page_with_a_wrong_count_when_read_then_it_is_a_mismatch(page: ResultPage) {
    assert_eq!(broken_rules(&mut history_of_a_and_b(), 2, page), [Rule::Mismatch]);
}

#[test]
fn given_a_changed_text_at_a_position_when_read_then_it_is_reported_as_a_duplicate() {
    let changed = ItemResult { text: "another".into(), ..result("a") };
    let page = ResultPage { total: 3, next: 1, results: vec![changed] };
    assert_eq!(broken_rules(&mut history_of_a_and_b(), 0, page), [Rule::Duplicate]);
}
