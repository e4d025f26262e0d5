//! The results of a batch job by position, as they were read.

use std::collections::HashSet;

use batch::ItemResult;

use crate::violation::{Rule, Violation};
use crate::wire::ResultPage;

/// What a reader has seen of a batch job.
#[derive(Debug)]
pub struct Listing {
    items: usize,
    results: Vec<ItemResult>,
    ids: HashSet<String>,
    last_read: usize,
}

impl Listing {
    /// Nothing is read yet of a batch job of so many items.
    #[must_use]
    pub fn new(items: usize) -> Self {
        Self { items, results: Vec::new(), ids: HashSet::new(), last_read: 0 }
    }

    /// Results that were read.
    #[must_use]
    pub fn count(&self) -> usize {
        self.results.len()
    }

    /// Where the last page ended.
    #[must_use]
    pub fn last_read(&self) -> usize {
        self.last_read
    }

    /// Whether an item is listed.
    #[must_use]
    pub fn holds(&self, id: &str) -> bool {
        self.ids.contains(id)
    }

    /// The items that are listed.
    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.ids.iter().map(String::as_str)
    }

    /// Takes a page that was asked for from position `from` on: the results that are new, and the broken rules.
    pub fn take(&mut self, job: &str, from: usize, page: ResultPage) -> (Vec<ItemResult>, Vec<Violation>) {
        let mut broken = Vec::new();
        if page.total != self.items {
            let seen = format!("batch job {job} tells {} items of {}", page.total, self.items);
            broken.push(Violation::new(Rule::Mixed, seen));
        }
        if page.next != from + page.results.len() {
            let seen =
                format!("batch job {job}: {} results from {from}, next {}", page.results.len(), page.next);
            broken.push(Violation::new(Rule::Mixed, seen));
        }
        if page.results.is_empty() && from < self.count() {
            broken
                .push(Violation::new(Rule::Lost, format!("batch job {job} has nothing at position {from}")));
        }
        self.last_read = from + page.results.len();
        let mut new = Vec::new();
        for (position, result) in (from..).zip(page.results) {
            match self.results.get(position) {
                Some(known) if *known == result => {}
                Some(known) => {
                    let seen = format!("position {position} of {job} held {}, now {}", known.id, result.id);
                    broken.push(Violation::new(Rule::Twice, seen));
                }
                None => broken.extend(self.add(job, result, &mut new)),
            }
        }
        (new, broken)
    }

    fn add(&mut self, job: &str, result: ItemResult, new: &mut Vec<ItemResult>) -> Option<Violation> {
        let twice = !self.ids.insert(result.id.to_string());
        let id = result.id.to_string();
        new.push(result.clone());
        self.results.push(result);
        twice.then(|| Violation::new(Rule::Twice, format!("item {id} stands at two positions of {job}")))
    }
}
