//! The JSON documents that trainers exchange with the system: batch jobs and the results of their items.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::{Deserialize, Serialize};

/// Identity of a batch job: the `Attempt-Id` header of its submission.
pub type JobId = Arc<str>;
/// Identity of an item: the `Attempt-Id` header of its generation request.
pub type ItemId = Arc<str>;

/// A batch job: generation requests, and the number of complete groups among them that the trainer requires.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Number of the training step that the job belongs to; `None` if the trainer does not give it.
    pub step: Option<u64>,
    /// The model that generates the text of each item; `None` allows any model.
    pub model: Option<Arc<str>>,
    /// The oldest version of the weights that may generate any part of a text; `None` allows all versions.
    #[serde(rename = "oldestEdition")]
    pub oldest_version: Option<u64>,
    /// Number of complete groups that the trainer requires; `None` requires all groups.
    #[serde(rename = "wanted")]
    pub required_groups: Option<u32>,
    /// The items; groups that are carried over from an earlier batch job come first.
    #[serde(rename = "parcels")]
    pub items: Vec<Item>,
}

impl Item {
    /// Decodes the body. The result is empty if the body is not base64;
    /// [`JobOutline::parse`](crate::JobOutline::parse) rejects such items.
    #[must_use]
    pub fn decoded_body(&self) -> Vec<u8> {
        decode_base64(&self.body).unwrap_or_default()
    }

    /// Returns a hash of what determines the generated text and its grade: the requests without the id of the item.
    #[must_use]
    pub fn request_hash(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (&self.path, &self.headers, &self.body).hash(&mut hasher);
        let reward = self.reward.as_ref().map(|call| (&call.id, &call.host, &call.path, &call.body));
        reward.hash(&mut hasher);
        hasher.finish()
    }

    /// Whether the bodies of the item and of its reward request are base64.
    pub(crate) fn has_valid_bodies(&self) -> bool {
        let reward = self.reward.as_ref().map_or("", |reward| &reward.body);
        decode_base64(&self.body).is_some() && decode_base64(reward).is_some()
    }
}

impl RewardRequest {
    /// Decodes the body. The result is empty if the body is not base64;
    /// [`JobOutline::parse`](crate::JobOutline::parse) rejects such items.
    #[must_use]
    pub fn decoded_body(&self) -> Vec<u8> {
        decode_base64(&self.body).unwrap_or_default()
    }
}

/// Returns the decoded body of an item of a submission that [`JobOutline::parse`](crate::JobOutline::parse) accepts; `None` if it has no such item.
/// Does not build the other items in memory.
#[must_use]
pub fn find_item_body(submission: &[u8], item: &str) -> Option<Vec<u8>> {
    let job: JobBodies<'_> = serde_json::from_slice(submission).ok()?;
    let found = job.items.iter().find(|candidate| candidate.id == item)?;
    Some(decode_base64(&found.body).unwrap_or_default())
}

/// The bodies of the items of a [`Job`], as they stand in its JSON.
#[derive(Deserialize)]
struct JobBodies<'a> {
    #[serde(rename = "parcels", borrow)]
    items: Vec<ItemBody<'a>>,
}

#[derive(Deserialize)]
struct ItemBody<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    #[serde(rename = "payload", borrow, default)]
    body: Cow<'a, str>,
}

fn decode_base64(body: &str) -> Option<Vec<u8>> {
    STANDARD.decode(body).ok()
}

/// One generation request of a batch job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Identity of the item, unique in its batch job.
    pub id: ItemId,
    /// Path of the generation request.
    #[serde(rename = "lane")]
    pub path: String,
    /// Headers of the generation request, by name.
    #[serde(rename = "envelope", default)]
    pub headers: BTreeMap<String, String>,
    /// Body of the generation request, in base64.
    #[serde(rename = "payload", default)]
    pub body: String,
    /// Number of prompt tokens plus the maximum number of generated tokens. Within a group, items with more
    /// tokens are started first.
    #[serde(default)]
    pub tokens: u64,
    /// Name of the group; `None` makes the item a group by itself. Items of a group share their prompt, and
    /// the trainer uses complete groups only.
    #[serde(rename = "bundle", default)]
    pub group: Option<Arc<str>>,
    /// The request that grades the generated text; `None` if the text is not graded.
    #[serde(rename = "scorer", default)]
    pub reward: Option<RewardRequest>,
}

/// The request that grades the generated text of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RewardRequest {
    /// Identity of the reward request, sent as its `Attempt-Id` header.
    pub id: String,
    /// The `Host` header, which selects the route.
    #[serde(rename = "depot")]
    pub host: String,
    /// Path of the reward request.
    #[serde(rename = "lane")]
    pub path: String,
    /// Body of the reward request, in base64.
    #[serde(rename = "payload", default)]
    pub body: String,
}

/// Outcome of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ItemCondition {
    /// The generated text is complete.
    Delivered,
    /// All attempts failed, or no further attempt is allowed.
    Undeliverable,
}

/// The result of an item, as trainers read it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ItemResult {
    /// Identity of the item that the result belongs to.
    pub id: ItemId,
    /// Whether the item was delivered.
    pub condition: ItemCondition,
    /// The data of all events of the generated text, in order and separated by line feeds.
    pub text: String,
    /// All versions of the weights that generated at least one event of the text, in ascending order.
    #[serde(rename = "editions")]
    pub versions: Vec<u64>,
    /// The `Postmark` header of the reply to the reward request; `None` if there is none.
    pub grade: Option<String>,
}

/// Reason why a submitted batch job is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobError {
    /// The body is not the JSON of a batch job.
    Malformed(String),
    /// The batch job has no items.
    NoItems,
    /// Two items of the batch job have this id.
    DuplicateItem(ItemId),
    /// The body of the item with this id, or of its reward request, is not base64.
    InvalidBody(ItemId),
}

impl fmt::Display for JobError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(cause) => write!(f, "the batch job cannot be read: {cause}"),
            Self::NoItems => f.write_str("the batch job has no items"),
            Self::DuplicateItem(id) => write!(f, "item {id} stands twice in the batch job"),
            Self::InvalidBody(id) => write!(f, "the payload of item {id} is not base64"),
        }
    }
}

impl std::error::Error for JobError {}
