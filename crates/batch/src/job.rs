//! A batch job as trainers hand it in, and its results as they read them.

use std::collections::{BTreeMap, HashSet};
use std::fmt;
use std::sync::Arc;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::{Deserialize, Serialize};

/// Identity of a batch job: the `Attempt-Id` that it was handed in with.
pub type JobId = Arc<str>;
/// Identity of an item, also the `Attempt-Id` under which it runs.
pub type ItemId = Arc<str>;

/// A batch job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// The trainer's step.
    pub step: Option<u64>,
    /// The model that makes the texts.
    pub model: Option<Arc<str>>,
    /// The oldest version of the weights that may make an event.
    #[serde(rename = "oldestEdition")]
    pub oldest_version: Option<u64>,
    /// How many whole groups the trainer waits for.
    pub wanted: Option<u32>,
    /// The items, carried groups first.
    #[serde(rename = "parcels")]
    pub items: Vec<Item>,
}

impl Job {
    /// Reads a batch job as it was handed in.
    ///
    /// # Errors
    ///
    /// When it cannot be taken.
    pub fn parse(body: &[u8]) -> Result<Self, JobError> {
        let job: Self = serde_json::from_slice(body).map_err(|e| JobError::Unreadable(e.to_string()))?;
        job.check()?;
        Ok(job)
    }

    fn check(&self) -> Result<(), JobError> {
        if self.items.is_empty() {
            return Err(JobError::Empty);
        }
        let mut seen = HashSet::with_capacity(self.items.len());
        for item in &self.items {
            if !seen.insert(&item.id) {
                return Err(JobError::Repeated(Arc::clone(&item.id)));
            }
            let reward = item.reward.as_ref().map_or("", |reward| &reward.body);
            if decode(&item.body).is_none() || decode(reward).is_none() {
                return Err(JobError::BadBody(Arc::clone(&item.id)));
            }
        }
        Ok(())
    }
}

impl Item {
    /// The decoded body.
    #[must_use]
    pub fn decoded_body(&self) -> Vec<u8> {
        decode(&self.body).unwrap_or_default()
    }
}

impl RewardRequest {
    /// The decoded body.
    #[must_use]
    pub fn decoded_body(&self) -> Vec<u8> {
        decode(&self.body).unwrap_or_default()
    }
}

fn decode(body: &str) -> Option<Vec<u8>> {
    STANDARD.decode(body).ok()
}

/// One request for tokens of a batch job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Its identity.
    pub id: ItemId,
    /// The path it is sent to.
    #[serde(rename = "lane")]
    pub path: String,
    /// Headers that go along.
    #[serde(rename = "envelope", default)]
    pub headers: BTreeMap<String, String>,
    /// The body, in base64.
    #[serde(rename = "payload", default)]
    pub body: String,
    /// Tokens of the prompt and most tokens out, summed.
    #[serde(default)]
    pub tokens: u64,
    /// The group, whose items share their prompt.
    #[serde(rename = "bundle", default)]
    pub group: Option<Arc<str>>,
    /// The call that grades the text.
    #[serde(rename = "scorer", default)]
    pub reward: Option<RewardRequest>,
}

/// The call that grades a text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RewardRequest {
    /// Its identity, sent as `Attempt-Id`.
    pub id: String,
    /// The host whose route it takes.
    #[serde(rename = "depot")]
    pub host: String,
    /// Its path.
    #[serde(rename = "lane")]
    pub path: String,
    /// The body, in base64.
    #[serde(rename = "payload", default)]
    pub body: String,
}

/// How an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ItemCondition {
    /// Its text is whole.
    Delivered,
    /// It was given up for good.
    Undeliverable,
}

/// A listed result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// The item.
    pub id: ItemId,
    /// How it ended.
    pub condition: ItemCondition,
    /// The data of all events in order, parted by line feeds.
    pub text: String,
    /// All versions that made an event of the text, ascending.
    #[serde(rename = "editions")]
    pub versions: Vec<u64>,
    /// The stamp of the reward call.
    pub grade: Option<String>,
}

/// A batch job that cannot be taken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobError {
    /// The body is no batch job.
    Unreadable(String),
    /// It has no items.
    Empty,
    /// Two items share an id.
    Repeated(ItemId),
    /// The body of an item is not base64.
    BadBody(ItemId),
}

impl fmt::Display for JobError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(why) => write!(f, "the batch job cannot be read: {why}"),
            Self::Empty => f.write_str("the batch job has no items"),
            Self::Repeated(id) => write!(f, "item {id} stands twice in the batch job"),
            Self::BadBody(id) => write!(f, "the payload of item {id} is not base64"),
        }
    }
}

impl std::error::Error for JobError {}
