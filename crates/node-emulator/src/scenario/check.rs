//! Checks the values of a scenario file, and reports an invalid one with its key and position.

use std::ops::Range;

use toml::Spanned;

use super::event::check_event;
use super::file::{RawLoad, RawScenario, RawSize};
use super::{Load, Scenario};
use crate::catalogue::Size;

/// Default of [`Scenario::max_catch_up_s`], in seconds.
pub(super) const DEFAULT_MAX_CATCH_UP_S: f64 = 30.0;

/// Maximum number of regions. Each region has a separate loopback address.
pub(super) const MAX_REGIONS: usize = 250;

/// Maximum duration of a scenario: a day, in seconds.
pub(super) const MAX_DURATION_S: f64 = 86_400.0;

/// Maximum of each count that has no smaller maximum of its own.
pub(super) const MAX_SIZE: usize = 1_000_000;

/// A key that is missing, unknown or has an invalid value, and its position in the text.
pub(super) struct InvalidKey {
    pub(super) span: Range<usize>,
    pub(super) key: String,
    pub(super) reason: String,
}

/// Returns the error for an invalid key.
pub(super) fn invalid<T>(span: Range<usize>, key: &str, reason: impl Into<String>) -> Result<T, InvalidKey> {
    Err(InvalidKey { span, key: key.into(), reason: reason.into() })
}

/// Returns the number of the line, counted from 1, that contains the byte at `offset`.
pub(super) fn line_number(text: &str, offset: usize) -> usize {
    1 + text.bytes().take(offset).filter(|byte| *byte == b'\n').count()
}

/// Converts an error of the TOML parser. The parser names a key only if it is missing, unknown or duplicate;
/// for other errors the key is taken from the line.
pub(super) fn from_toml_error(text: &str, error: &toml::de::Error) -> InvalidKey {
    let span = error.span().unwrap_or(0..0);
    let reason = error.message().to_owned();
    let prefixes = ["missing field `", "unknown field `", "duplicate key `"].iter();
    let mut named =
        prefixes.filter_map(|prefix| reason.split_once(prefix)?.1.split_once('`')).map(|(key, _)| key);
    let line = text.lines().nth(line_number(text, span.start) - 1).unwrap_or_default();
    let key_of_line = line.split_once('=').map_or(line, |(key, _)| key).trim();
    let key = named.next_back().unwrap_or(key_of_line).to_owned();
    InvalidKey { span, key, reason }
}

/// Checks a scenario and fills in the defaults.
pub(super) fn check_scenario(raw: RawScenario) -> Result<Scenario, InvalidKey> {
    let name = raw.name.get_ref();
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if name.is_empty() || name.len() > 64 || !name.chars().all(is_allowed) {
        return invalid(raw.name.span(), "name", "must be 1 to 64 letters, digits, `-` or `_`");
    }
    let duration_s = check_range(&raw.duration_s, "duration_s", 0.1, MAX_DURATION_S)?;
    let max_catch_up_s = raw.max_catch_up_s.as_ref();
    let max_catch_up_s = max_catch_up_s
        .map_or(Ok(DEFAULT_MAX_CATCH_UP_S), |value| check_range(value, "settle_s", 0.0, MAX_DURATION_S))?;
    let size = check_size(&raw.size)?;
    let load = check_load(&raw.load)?;
    let events = raw.event.into_iter().map(|event| check_event(event, size, duration_s));
    Ok(Scenario {
        name: raw.name.into_inner(),
        seed: raw.seed,
        duration_s,
        max_catch_up_s,
        size,
        load,
        events: events.collect::<Result<_, _>>()?,
    })
}

/// Checks the sizes. They must allow at least one zone per region, one rack per zone, and one server per rack
/// and per service.
pub(super) fn check_size(raw: &RawSize) -> Result<Size, InvalidKey> {
    let count = |value: &Spanned<usize>, key, min: usize, min_text: &str, max: usize| match *value.get_ref() {
        n if n < min || n == 0 => invalid(value.span(), key, format!("must be at least {min_text}")),
        n if n > max => invalid(value.span(), key, format!("must be at most {max}")),
        n => Ok(n),
    };
    let regions = count(&raw.regions, "size.regions", 1, "1", MAX_REGIONS)?;
    let zones = count(&raw.zones, "size.zones", regions, "the number of regions", MAX_SIZE)?;
    let racks = count(&raw.racks, "size.racks", zones, "the number of zones", 1 << 16)?;
    let services = count(&raw.services, "size.services", 1, "1", MAX_SIZE)?;
    let min = racks.max(services);
    let servers = count(&raw.servers, "size.servers", min, "the number of racks and of services", MAX_SIZE)?;
    let nodes = count(&raw.nodes, "size.nodes", 1, "1", MAX_SIZE)?;
    Ok(Size { regions, zones, racks, services, servers, nodes })
}

/// Checks the load and fills in the defaults.
pub(super) fn check_load(raw: &RawLoad) -> Result<Load, InvalidKey> {
    let number = |value: &Option<Spanned<f64>>, key, default: f64, min, max| {
        value.as_ref().map_or(Ok(default), |value| check_range(value, key, min, max))
    };
    let integer = |value: &Option<Spanned<usize>>, key, default: usize| match value {
        Some(value) if *value.get_ref() == 0 || *value.get_ref() > MAX_SIZE => {
            invalid(value.span(), key, format!("must be 1 to {MAX_SIZE}"))
        }
        value => Ok(value.as_ref().map_or(default, |value| *value.get_ref())),
    };
    Ok(Load {
        requests_per_s: number(&raw.requests_per_s, "load.requests_per_s", 0.0, 0.0, 1e6)?,
        service_ms: number(&raw.service_ms, "load.service_ms", 5.0, 0.0, 60_000.0)?,
        latency_target_ms: number(&raw.latency_target_ms, "load.aim_ms", 80.0, 1.0, 60_000.0)?,
        deadline_ms: number(&raw.deadline_ms, "load.deadline_ms", 400.0, 1.0, 60_000.0)?,
        drain_grace_ms: number(&raw.drain_grace_ms, "load.drain_grace_ms", 2_000.0, 0.0, 60_000.0)?,
        max_attempts: integer(&raw.max_attempts, "load.max_attempts", 3)?,
        log_entries: integer(&raw.log_entries, "load.log_entries", 65_536)?,
    })
}

/// Checks that a number is finite and from `min` to `max`.
pub(super) fn check_range(value: &Spanned<f64>, key: &str, min: f64, max: f64) -> Result<f64, InvalidKey> {
    let number = *value.get_ref();
    if number.is_finite() && (min..=max).contains(&number) {
        return Ok(number);
    }
    invalid(value.span(), key, format!("must be {min} to {max}"))
}
