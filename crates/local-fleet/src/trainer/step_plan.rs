//! The batch job of one training step: groups of items that share a prompt, each item with its reward call.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use batch::{Item, Job, RewardRequest};
use bytes::Bytes;

use crate::protocol::{header, random_request_id};
use crate::verification::{ExpectedItem, ExpectedRequest, JobExpectations, RequestLog};

/// Bytes of the body of an item and of a reward call.
const BODY_BYTES: usize = 200;

/// Where the requests of batch jobs go.
#[derive(Clone, Debug)]
pub struct JobRouting {
    /// The host of all routes.
    pub host: String,
    /// The path prefix of the rollout route.
    pub rollout_prefix: String,
    /// The path prefix of the reward route.
    pub reward_prefix: String,
    /// The service that runs items.
    pub engine_service: String,
    /// The service that responds to their reward calls.
    pub reward_service: String,
}

/// What the batch jobs of a trainer have in common.
#[derive(Clone, Debug)]
pub struct JobTemplate {
    /// Where their requests go.
    pub routing: JobRouting,
    /// The model.
    pub model: String,
    /// Groups of a batch job.
    pub groups: usize,
    /// Items of a group.
    pub items_per_group: usize,
    /// Complete groups that a step needs.
    pub required_groups: usize,
    /// Tokens of a prompt that its group shares.
    pub shared_tokens: u64,
    /// Tokens of a prompt that belong to one item.
    pub unique_tokens: u64,
    /// Events of a complete text.
    pub events: u64,
    /// One version must generate a complete text.
    pub single_version: bool,
}

/// The items of a group, which share a prompt.
pub type ItemGroup = Vec<Item>;

/// The batch job of one step.
#[derive(Clone, Debug)]
pub struct StepPlan {
    /// Its id.
    pub id: String,
    /// The batch job as it is submitted.
    pub job: Job,
    /// Its groups.
    pub groups: Vec<ItemGroup>,
    /// How many of the first groups are carried over from an earlier batch job.
    pub carried_groups: usize,
    /// What its results must satisfy.
    pub expectations: JobExpectations,
}

impl StepPlan {
    /// A random batch job of `step`, whose items require `oldest_version` or a newer one. Groups that an earlier
    /// batch job left incomplete come first; they are at most half of the required groups.
    #[must_use]
    pub fn random(
        template: &JobTemplate,
        step: u64,
        oldest_version: u64,
        incomplete_groups: Vec<ItemGroup>,
    ) -> Self {
        let carried_groups = incomplete_groups.len().min(template.required_groups / 2);
        let mut groups: Vec<ItemGroup> = incomplete_groups.into_iter().take(carried_groups).collect();
        for number in groups.len()..template.groups {
            groups.push(random_group(template, step, number));
        }
        let items: Vec<Item> = groups.iter().flatten().cloned().collect();
        let expectations = JobExpectations {
            items: items.iter().map(|item| (item.id.to_string(), expected_item(template, item))).collect(),
            oldest_version,
            single_version: template.single_version,
            may_be_undeliverable: false,
        };
        let job = Job {
            step: Some(step),
            model: Some(template.model.as_str().into()),
            oldest_version: Some(oldest_version),
            required_groups: u32::try_from(template.required_groups).ok(),
            items,
        };
        Self { id: random_request_id(), job, groups, carried_groups, expectations }
    }

    /// Records all requests of this batch job that may arrive at servers.
    pub fn expect_requests(&self, routing: &JobRouting, request_log: &RequestLog) {
        for item in &self.job.items {
            let services = vec![routing.engine_service.clone()];
            let body = decode_body(&item.body);
            request_log.expect_request(&item.id, ExpectedRequest { path: item.path.clone(), body, services });
            if let Some(reward) = &item.reward {
                let services = vec![routing.reward_service.clone()];
                let body = decode_body(&reward.body);
                request_log.expect_request(
                    &reward.id,
                    ExpectedRequest { path: reward.path.clone(), body, services },
                );
            }
        }
    }

    /// The ids of all requests of this batch job.
    pub fn request_ids(&self) -> impl Iterator<Item = &str> {
        let rewards =
            self.job.items.iter().filter_map(|item| item.reward.as_ref()).map(|reward| reward.id.as_str());
        self.job.items.iter().map(|item| &*item.id).chain(rewards)
    }

    /// Which groups are complete, given the items whose results are there.
    pub fn complete_groups<'a>(&self, finished: impl Iterator<Item = &'a str>) -> Vec<bool> {
        let group_by_item: HashMap<&str, &str> =
            self.job.items.iter().filter_map(|item| Some((&*item.id, item.group.as_deref()?))).collect();
        let mut finished_by_group: BTreeMap<&str, usize> = BTreeMap::new();
        for group in finished.filter_map(|id| group_by_item.get(id)) {
            *finished_by_group.entry(group).or_default() += 1;
        }
        let finished_of = |group: &ItemGroup| {
            group_id(group).and_then(|id| finished_by_group.get(id)).copied().unwrap_or(0)
        };
        self.groups.iter().map(|group| finished_of(group) == group.len()).collect()
    }
}

/// The id of a group, which all its items carry.
fn group_id(items: &ItemGroup) -> Option<&str> {
    items.first()?.group.as_deref()
}

/// The bytes of a base64 body that this crate encoded.
#[must_use]
pub fn decode_body(body: &str) -> Bytes {
    STANDARD.decode(body).map(Bytes::from).unwrap_or_default()
}

fn random_body() -> String {
    let bytes: Vec<u8> = (0..BODY_BYTES).map(|_| fastrand::u8(..)).collect();
    STANDARD.encode(bytes)
}

fn random_group(template: &JobTemplate, step: u64, number: usize) -> ItemGroup {
    let group: Arc<str> = format!("g{step}-{number}-{:04x}", fastrand::u16(..)).into();
    let shared_prefix = fastrand::u32(..);
    (0..template.items_per_group).map(|_| random_item(template, &group, shared_prefix)).collect()
}

fn random_item(template: &JobTemplate, group: &Arc<str>, shared_prefix: u32) -> Item {
    let JobTemplate { routing, shared_tokens, unique_tokens, .. } = template;
    let prompt_tokens = shared_tokens + unique_tokens;
    let prefixes = format!("{shared_prefix:06x}:{shared_tokens},{:06x}:{unique_tokens}", fastrand::u32(..));
    let headers = BTreeMap::from([
        (header::MODEL.to_owned(), template.model.clone()),
        (header::TOKENS.to_owned(), format!("{prompt_tokens},{}", template.events)),
        (header::PROMPT_PREFIX.to_owned(), prefixes),
    ]);
    let reward = RewardRequest {
        id: random_request_id(),
        host: routing.host.clone(),
        path: format!("{}{:04x}", routing.reward_prefix, fastrand::u16(..)),
        body: random_body(),
    };
    Item {
        id: random_request_id().into(),
        path: format!("{}{:04x}", routing.rollout_prefix, fastrand::u16(..)),
        headers,
        body: random_body(),
        tokens: prompt_tokens + template.events,
        group: Some(Arc::clone(group)),
        reward: Some(reward),
    }
}

fn expected_item(template: &JobTemplate, item: &Item) -> ExpectedItem {
    let reward = item.reward.as_ref().map(|reward| reward.id.clone()).unwrap_or_default();
    ExpectedItem { events: template.events, reward }
}
