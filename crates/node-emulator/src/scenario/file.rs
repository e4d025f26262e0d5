//! The structure of a scenario file, before its values are checked. Positions in the text are kept for
//! errors.

use serde::Deserialize;
use toml::Spanned;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawScenario {
    pub(super) name: Spanned<String>,
    pub(super) seed: u64,
    pub(super) duration_s: Spanned<f64>,
    #[serde(rename = "settle_s")]
    pub(super) max_catch_up_s: Option<Spanned<f64>>,
    pub(super) size: RawSize,
    #[serde(default)]
    pub(super) load: RawLoad,
    #[serde(default)]
    pub(super) event: Vec<Spanned<RawEvent>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawSize {
    pub(super) regions: Spanned<usize>,
    pub(super) zones: Spanned<usize>,
    pub(super) racks: Spanned<usize>,
    pub(super) services: Spanned<usize>,
    pub(super) servers: Spanned<usize>,
    pub(super) nodes: Spanned<usize>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawLoad {
    pub(super) requests_per_s: Option<Spanned<f64>>,
    pub(super) service_ms: Option<Spanned<f64>>,
    #[serde(rename = "aim_ms")]
    pub(super) latency_target_ms: Option<Spanned<f64>>,
    pub(super) deadline_ms: Option<Spanned<f64>>,
    pub(super) drain_grace_ms: Option<Spanned<f64>>,
    pub(super) max_attempts: Option<Spanned<usize>>,
    pub(super) log_entries: Option<Spanned<usize>>,
}

/// An event with the keys of all kinds of events. `event.rs` checks that only keys of its kind are present.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawEvent {
    pub(super) kind: Option<Spanned<String>>,
    pub(super) at_s: Option<Spanned<f64>>,
    pub(super) for_s: Option<Spanned<f64>>,
    pub(super) over_s: Option<Spanned<f64>>,
    pub(super) noticed_s: Option<Spanned<f64>>,
    pub(super) drain_s: Option<Spanned<f64>>,
    pub(super) speed: Option<Spanned<f64>>,
    pub(super) part: Option<Spanned<f64>>,
    pub(super) batches: Option<Spanned<usize>>,
    pub(super) changes: Option<Spanned<usize>>,
    pub(super) rack: Option<Spanned<usize>>,
    pub(super) zone: Option<Spanned<usize>>,
    pub(super) region: Option<Spanned<usize>>,
}
