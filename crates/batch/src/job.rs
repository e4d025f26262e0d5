//! The JSON documents that trainers exchange with the system: batch jobs and their results.

use std::collections::{BTreeMap, HashSet};
use std::fmt;
use std::sync::Arc;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::{Deserialize, Serialize};

/// Identity of a batch job: the `Attempt-Id` header of its submission.
pub type JobId = Arc<str>;
/// Identity of an item, also the `Attempt-Id` under which it runs.
pub type ItemId = Arc<str>;

/// A batch job: items that are run together, and when the trainer can go on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// The training step that the job belongs to.
    pub step: Option<u64>,
    /// The model that generates the output; any model if absent.
    pub model: Option<Arc<str>>,
    /// The oldest version of the weights that may generate any part of a text.
    #[serde(rename = "oldestEdition")]
    pub oldest_version: Option<u64>,
    /// How many complete groups the trainer requires; all of them if absent.
    #[serde(rename = "wanted")]
    pub required_groups: Option<u32>,
    /// The items; groups that are carried over from an earlier batch job come first.
    #[serde(rename = "parcels")]
    pub items: Vec<Item>,
}

impl Job {
    /// Parses and validates the body of a submission.
    ///
    /// # Errors
    ///
    /// If it is not the JSON of a batch job, has no items, has two items with one id, or a body that is not base64.
    pub fn parse(body: &[u8]) -> Result<Self, JobError> {
        let job: Self = serde_json::from_slice(body).map_err(|e| JobError::Malformed(e.to_string()))?;
        job.validate()?;
        Ok(job)
    }

    fn validate(&self) -> Result<(), JobError> {
        if self.items.is_empty() {
            return Err(JobError::NoItems);
        }
        let mut ids = HashSet::with_capacity(self.items.len());
        for item in &self.items {
            if !ids.insert(&item.id) {
                return Err(JobError::DuplicateItem(Arc::clone(&item.id)));
            }
            let reward = item.reward.as_ref().map_or("", |reward| &reward.body);
            if decode(&item.body).is_none() || decode(reward).is_none() {
                return Err(JobError::InvalidBody(Arc::clone(&item.id)));
            }
        }
        Ok(())
    }
}

impl Item {
    /// The decoded body; empty if it is not base64, which [`Job::parse`] rules out.
    #[must_use]
    pub fn decoded_body(&self) -> Vec<u8> {
        decode(&self.body).unwrap_or_default()
    }
}

impl RewardRequest {
    /// The decoded body; empty if it is not base64, which [`Job::parse`] rules out.
    #[must_use]
    pub fn decoded_body(&self) -> Vec<u8> {
        decode(&self.body).unwrap_or_default()
    }
}

fn decode(body: &str) -> Option<Vec<u8>> {
    STANDARD.decode(body).ok()
}

/// One generation request of a batch job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Identity of the item, unique in its batch job.
    pub id: ItemId,
    /// The path that the request is sent to.
    #[serde(rename = "lane")]
    pub path: String,
    /// Headers of the request.
    #[serde(rename = "envelope", default)]
    pub headers: BTreeMap<String, String>,
    /// The body of the request, in base64.
    #[serde(rename = "payload", default)]
    pub body: String,
    /// Tokens of the prompt plus the maximum of generated tokens.
    #[serde(default)]
    pub tokens: u64,
    /// Name of the group. Items of a group share their prompt, and the trainer uses complete groups only.
    #[serde(rename = "bundle", default)]
    pub group: Option<Arc<str>>,
    /// The request that grades the text, if the text is graded.
    #[serde(rename = "scorer", default)]
    pub reward: Option<RewardRequest>,
}

/// The request that grades a text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RewardRequest {
    /// Identity of the request, sent as `Attempt-Id`.
    pub id: String,
    /// The `Host` header, which selects the route.
    #[serde(rename = "depot")]
    pub host: String,
    /// The path that the request is sent to.
    #[serde(rename = "lane")]
    pub path: String,
    /// The body of the request, in base64.
    #[serde(rename = "payload", default)]
    pub body: String,
}

/// How an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ItemCondition {
    /// Its text is complete.
    Delivered,
    /// All attempts failed, or none may be made any more.
    Undeliverable,
}

/// The result of an item, as trainers read it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// The item.
    pub id: ItemId,
    /// How it ended.
    pub condition: ItemCondition,
    /// The data of all events of the generated text in order, separated by line feeds.
    pub text: String,
    /// All versions of the weights that generated some event of the text, ascending.
    #[serde(rename = "editions")]
    pub versions: Vec<u64>,
    /// The value of the `Postmark` header of the reply to the reward request.
    pub grade: Option<String>,
}

/// Why a submitted batch job is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobError {
    /// The body is not the JSON of a batch job.
    Malformed(String),
    /// It has no items.
    NoItems,
    /// Two items have this id.
    DuplicateItem(ItemId),
    /// The body of this item, or of its reward request, is not base64.
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
