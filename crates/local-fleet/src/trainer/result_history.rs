//! Checks that the results of a batch job keep their positions and contents over several reads.

use std::collections::HashSet;

use batch::ItemResult;

use crate::protocol::ResultPage;
use crate::verification::{Rule, Violation};

/// The results of a batch job that a reader has received, by position.
#[derive(Debug)]
pub struct ResultHistory {
    /// Number of items of the batch job.
    items: usize,
    /// Results in the order of their positions, without gaps.
    results: Vec<ItemResult>,
    /// Ids of the items in `results`.
    ids: HashSet<String>,
    last_page_end: usize,
}

impl ResultHistory {
    /// Returns the empty history of a batch job with `items` items.
    #[must_use]
    pub fn new(items: usize) -> Self {
        Self { items, results: Vec::new(), ids: HashSet::new(), last_page_end: 0 }
    }

    /// Returns the number of results that were read.
    #[must_use]
    pub fn count(&self) -> usize {
        self.results.len()
    }

    /// Returns the position after the last result of the page that was added last; 0 before the first page.
    #[must_use]
    pub fn last_page_end(&self) -> usize {
        self.last_page_end
    }

    /// Returns whether the result of an item was read.
    #[must_use]
    pub fn contains(&self, id: &str) -> bool {
        self.ids.contains(id)
    }

    /// Returns the ids of the items whose results were read, in no particular order.
    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.ids.iter().map(String::as_str)
    }

    /// Adds a page of batch job `job` that was requested from position `from` on; returns the new results and
    /// the violations. Results that were read before must be unchanged.
    pub fn add_page(
        &mut self,
        job: &str,
        from: usize,
        page: ResultPage,
    ) -> (Vec<ItemResult>, Vec<Violation>) {
        let mut violations = self.check_page(job, from, &page);
        self.last_page_end = from + page.results.len();
        let mut new = Vec::new();
        for (position, result) in (from..).zip(page.results) {
            match self.results.get(position) {
                Some(existing) if *existing == result => {}
                Some(existing) => {
                    let description =
                        format!("position {position} of {job} held {}, now {}", existing.id, result.id);
                    violations.push(Violation::new(Rule::Duplicate, description));
                }
                None => {
                    violations.extend(self.add_result(job, &result));
                    new.push(result);
                }
            }
        }
        (new, violations)
    }

    /// Checks that the counts of a page are consistent, and that the page is not empty where results were
    /// read before.
    fn check_page(&self, job: &str, from: usize, page: &ResultPage) -> Vec<Violation> {
        let mut violations = Vec::new();
        if page.total != self.items {
            let description = format!("batch job {job} tells {} items of {}", page.total, self.items);
            violations.push(Violation::new(Rule::Mismatch, description));
        }
        if page.next != from + page.results.len() {
            let description =
                format!("batch job {job}: {} results from {from}, next {}", page.results.len(), page.next);
            violations.push(Violation::new(Rule::Mismatch, description));
        }
        if page.results.is_empty() && from < self.count() {
            let description = format!("batch job {job} has nothing at position {from}");
            violations.push(Violation::new(Rule::Lost, description));
        }
        violations
    }

    /// Adds a new result; returns a violation if the item has a result at another position.
    fn add_result(&mut self, job: &str, result: &ItemResult) -> Option<Violation> {
        let is_duplicate = !self.ids.insert(result.id.to_string());
        self.results.push(result.clone());
        is_duplicate.then(|| {
            Violation::new(Rule::Duplicate, format!("item {} stands at two positions of {job}", result.id))
        })
    }
}
