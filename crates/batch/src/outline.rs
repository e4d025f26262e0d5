//! [`JobOutline`]: what is in memory of a batch job while its items run. The items themselves stay in the submission,
//! of which one item at a time is read.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::ops::Range;
use std::sync::Arc;

use serde::Deserialize;
use serde_json::value::RawValue;

use crate::job::{Item, ItemId, JobError};

/// A batch job without the requests of its items.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobOutline {
    /// The model that generates the text of each item; `None` allows any model.
    pub model: Option<Arc<str>>,
    /// The oldest version of the weights that may generate any part of a text; `None` allows all versions.
    pub oldest_version: Option<u64>,
    /// Number of complete groups that the trainer requires; `None` requires all groups.
    pub required_groups: Option<u32>,
    /// The items; groups that are carried over from an earlier batch job come first.
    pub items: Vec<ItemOutline>,
}

/// An item of a [`JobOutline`], and where it stands in the submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemOutline {
    /// Identity of the item, unique in its batch job.
    pub id: ItemId,
    /// Number of prompt tokens plus the maximum number of generated tokens.
    pub tokens: u64,
    /// Name of the group; `None` makes the item a group by itself.
    pub group: Option<Arc<str>>,
    /// Whether a reward request grades the generated text.
    pub has_reward: bool,
    /// Hash of what determines the text of the item and its grade, besides the batch job's address.
    pub request_hash: u64,
    /// The JSON of the item, in bytes from the start of the submission.
    pub json: Range<usize>,
    /// Hash of the JSON.
    json_hash: u64,
}

/// Error of [`ItemOutline::parse`]: the bytes are not those of the item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ItemChanged;

impl fmt::Display for ItemChanged {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the bytes are not those of the item that was submitted")
    }
}

impl std::error::Error for ItemChanged {}

/// The JSON of a [`Job`](crate::Job) whose items are not parsed.
#[derive(Deserialize)]
struct JobDocument<'a> {
    /// Checked although nothing depends on it.
    #[serde(rename = "step")]
    _step: Option<u64>,
    model: Option<Arc<str>>,
    #[serde(rename = "oldestEdition")]
    oldest_version: Option<u64>,
    #[serde(rename = "wanted")]
    required_groups: Option<u32>,
    #[serde(rename = "parcels", borrow)]
    items: Vec<&'a RawValue>,
}

impl JobOutline {
    /// Parses and validates the body of a submission, the JSON of a [`Job`](crate::Job). One item at a time is in
    /// memory for it.
    ///
    /// # Errors
    ///
    /// Returns an error if `body` is not the JSON of a batch job, if the job has no items or two items with
    /// the same id, or if the body of an item or of a reward request is not base64.
    pub fn parse(body: &[u8]) -> Result<Self, JobError> {
        let document: JobDocument<'_> =
            serde_json::from_slice(body).map_err(|error| JobError::Malformed(error.to_string()))?;
        if document.items.is_empty() {
            return Err(JobError::NoItems);
        }
        Ok(Self {
            model: document.model,
            oldest_version: document.oldest_version,
            required_groups: document.required_groups,
            items: outline_items(body, &document.items)?,
        })
    }

    /// Returns the item with an id.
    #[must_use]
    pub fn item(&self, id: &str) -> Option<&ItemOutline> {
        self.items.iter().find(|item| *item.id == *id)
    }
}

/// Parses and validates the items of a submission, one after the other.
fn outline_items(body: &[u8], items: &[&RawValue]) -> Result<Vec<ItemOutline>, JobError> {
    let mut ids = HashSet::with_capacity(items.len());
    let mut groups: HashMap<Arc<str>, Arc<str>> = HashMap::new();
    let mut outlines = Vec::with_capacity(items.len());
    for (index, json) in items.iter().enumerate() {
        let item: Item = serde_json::from_str(json.get())
            .map_err(|error| JobError::Malformed(format!("item {index}: {error}")))?;
        if !ids.insert(Arc::clone(&item.id)) {
            return Err(JobError::DuplicateItem(item.id));
        }
        if !item.has_valid_bodies() {
            return Err(JobError::InvalidBody(item.id));
        }
        let start = json.get().as_ptr() as usize - body.as_ptr() as usize;
        outlines.push(ItemOutline {
            tokens: item.tokens,
            // The items of a group share its name.
            group: item
                .group
                .as_ref()
                .map(|name| Arc::clone(groups.entry(Arc::clone(name)).or_insert_with(|| Arc::clone(name)))),
            has_reward: item.reward.is_some(),
            request_hash: item.request_hash(),
            json: start..start + json.get().len(),
            json_hash: hash(json.get().as_bytes()),
            id: item.id,
        });
    }
    Ok(outlines)
}

impl ItemOutline {
    /// Parses the item from its JSON.
    ///
    /// # Errors
    ///
    /// Fails if `json` is not the JSON with which the outline was made.
    pub fn parse(&self, json: &[u8]) -> Result<Item, ItemChanged> {
        if hash(json) != self.json_hash {
            return Err(ItemChanged);
        }
        serde_json::from_slice(json).map_err(|_| ItemChanged)
    }
}

fn hash(bytes: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    bytes.hash(&mut hasher);
    hasher.finish()
}
