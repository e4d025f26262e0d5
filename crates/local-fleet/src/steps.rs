//! The batch jobs of a trainer.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use batch::{Item, Job, RewardRequest};
use bytes::Bytes;

use crate::ledger::{Expected, Ledger};
use crate::verify::{ItemTerms, JobTerms};
use crate::wire::header;

/// Bytes of the body of an item and of a reward call.
const BODY_BYTES: usize = 200;

/// What the batch jobs of a trainer have in common.
#[derive(Clone, Debug)]
pub struct StepTerms {
    /// The host of its routes.
    pub host: String,
    /// The path prefix of the rollout route.
    pub rollout_prefix: String,
    /// The path prefix of the reward route.
    pub reward_prefix: String,
    /// The service that runs items.
    pub engine_service: String,
    /// The service that grades them.
    pub reward_service: String,
    /// The model.
    pub model: String,
    /// Groups of a batch job.
    pub groups: usize,
    /// Items of a group.
    pub items_per_group: usize,
    /// Whole groups that the trainer waits for.
    pub wanted: usize,
    /// Tokens of a prompt that its group shares.
    pub shared_tokens: u64,
    /// Tokens of a prompt that are the item's own.
    pub own_tokens: u64,
    /// Events of a text.
    pub events: u64,
    /// One version must make a whole text.
    pub single_version: bool,
}

/// The items of a group, which share their prompt.
pub type Group = Vec<Item>;

/// The batch job of one step.
#[derive(Clone, Debug)]
pub struct StepPlan {
    /// Its identity.
    pub id: String,
    /// The batch job as it is handed in.
    pub job: Job,
    /// Its groups.
    pub groups: Vec<Group>,
    /// How many of the first groups were in an earlier batch job.
    pub carried: usize,
    /// What its results must satisfy.
    pub terms: JobTerms,
}

/// Draws an identity of a request.
#[must_use]
pub fn draw_id() -> String {
    format!("{:016x}", fastrand::u64(..))
}

/// The identity of a group, which all of its items carry.
fn group_of(items: &Group) -> Option<&str> {
    items.first()?.group.as_deref()
}

impl StepPlan {
    /// The batch job of `step`, whose texts are made by `oldest_version` or newer ones. Groups that an earlier one
    /// left stand first.
    #[must_use]
    pub fn draw(terms: &StepTerms, step: u64, oldest_version: u64, carried: Vec<Group>) -> Self {
        let carried_groups = carried.len().min(terms.wanted / 2);
        let mut groups: Vec<Group> = carried.into_iter().take(carried_groups).collect();
        for number in groups.len()..terms.groups {
            groups.push(draw_group(terms, step, number));
        }
        let items: Vec<Item> = groups.iter().flatten().cloned().collect();
        let job_terms = JobTerms {
            items: items.iter().map(|item| (item.id.to_string(), item_terms(terms, item))).collect(),
            oldest_version,
            single_version: terms.single_version,
            may_give_up: false,
        };
        let job = Job {
            step: Some(step),
            model: Some(terms.model.as_str().into()),
            oldest_version: Some(oldest_version),
            wanted: u32::try_from(terms.wanted).ok(),
            items,
        };
        Self { id: draw_id(), job, groups, carried: carried_groups, terms: job_terms }
    }

    /// Tells the ledger of all requests that may come to servers for this batch job.
    pub fn expect(&self, terms: &StepTerms, ledger: &Ledger) {
        for item in &self.job.items {
            let services = vec![terms.engine_service.clone()];
            ledger
                .expect(&item.id, Expected { path: item.path.clone(), body: decoded(&item.body), services });
            if let Some(reward) = &item.reward {
                let services = vec![terms.reward_service.clone()];
                let expected = Expected { path: reward.path.clone(), body: decoded(&reward.body), services };
                ledger.expect(&reward.id, expected);
            }
        }
    }

    /// The identities of all requests of this batch job.
    pub fn requests(&self) -> impl Iterator<Item = &str> {
        let rewards =
            self.job.items.iter().filter_map(|item| item.reward.as_ref()).map(|reward| reward.id.as_str());
        self.job.items.iter().map(|item| &*item.id).chain(rewards)
    }

    /// Which groups are whole, given the items that are listed.
    pub fn whole_groups<'a>(&self, listed: impl Iterator<Item = &'a str>) -> Vec<bool> {
        let group_by_item: HashMap<&str, &str> =
            self.job.items.iter().filter_map(|item| Some((&*item.id, item.group.as_deref()?))).collect();
        let mut listed_by_group: BTreeMap<&str, usize> = BTreeMap::new();
        for group in listed.filter_map(|id| group_by_item.get(id)) {
            *listed_by_group.entry(group).or_default() += 1;
        }
        let listed_of =
            |group: &Group| group_of(group).and_then(|id| listed_by_group.get(id)).copied().unwrap_or(0);
        self.groups.iter().map(|group| listed_of(group) == group.len()).collect()
    }
}

/// The bytes of a body that this crate encoded.
#[must_use]
pub fn decoded(body: &str) -> Bytes {
    STANDARD.decode(body).map(Bytes::from).unwrap_or_default()
}

fn draw_body() -> String {
    let bytes: Vec<u8> = (0..BODY_BYTES).map(|_| fastrand::u8(..)).collect();
    STANDARD.encode(bytes)
}

fn draw_group(terms: &StepTerms, step: u64, number: usize) -> Group {
    let group: Arc<str> = format!("g{step}-{number}-{:04x}", fastrand::u16(..)).into();
    let shared_part = fastrand::u32(..);
    (0..terms.items_per_group).map(|_| draw_item(terms, &group, shared_part)).collect()
}

fn draw_item(terms: &StepTerms, group: &Arc<str>, shared_part: u32) -> Item {
    let prompt = terms.shared_tokens + terms.own_tokens;
    let parts =
        format!("{shared_part:06x}:{},{:06x}:{}", terms.shared_tokens, fastrand::u32(..), terms.own_tokens);
    let headers = BTreeMap::from([
        (header::MODEL.to_owned(), terms.model.clone()),
        (header::TOKENS.to_owned(), format!("{prompt},{}", terms.events)),
        (header::PROMPT_PREFIX.to_owned(), parts),
    ]);
    let reward = RewardRequest {
        id: draw_id(),
        host: terms.host.clone(),
        path: format!("{}{:04x}", terms.reward_prefix, fastrand::u16(..)),
        body: draw_body(),
    };
    Item {
        id: draw_id().into(),
        path: format!("{}{:04x}", terms.rollout_prefix, fastrand::u16(..)),
        headers,
        body: draw_body(),
        tokens: prompt + terms.events,
        group: Some(Arc::clone(group)),
        reward: Some(reward),
    }
}

fn item_terms(terms: &StepTerms, item: &Item) -> ItemTerms {
    let reward = item.reward.as_ref().map(|reward| reward.id.clone()).unwrap_or_default();
    ItemTerms { events: terms.events, reward }
}
