//! Reads the settings of an instance from the JSON of the message `BOOT`.

use serde_json::Value;

use super::WireError;
use crate::interface::*;

/// Fields of a load report that the decision logic uses.
const USED_REPORT_FIELDS: [&str; 2] = ["active", "waiting"];

/// Reads settings from JSON; a missing key keeps its default.
///
/// # Errors
///
/// Fails if a key has the wrong type, or a class has no deadline.
pub fn read_settings(facts: &Value) -> Result<DecisionSettings, WireError> {
    let classes = list(facts, "classes").iter().map(read_class).collect::<Result<Vec<_>, _>>()?;
    let mut settings = DecisionSettings::new(classes);
    read_tenants(facts, &mut settings)?;
    read_fleet(facts, &mut settings)?;
    read_rules(&facts["rules"], &mut settings)?;
    read_permissions(&facts["allowed"], &mut settings)?;
    read_load_reports(&facts["stats"], &mut settings);
    let prices = &facts["prices"];
    read_number(prices, "probe", &mut settings.probe_price)?;
    read_number(prices, "waste", &mut settings.waste_price)?;
    read_number(prices, "cross_zone", &mut settings.cross_zone_price)?;
    Ok(settings)
}

fn read_tenants(facts: &Value, settings: &mut DecisionSettings) -> Result<(), WireError> {
    for tenant in list(facts, "parties") {
        let mut quota = f64::MAX;
        read_number(tenant, "quota_per_s", &mut quota)?;
        settings.quotas_per_s.push(quota);
    }
    read_number(facts, "over_share_worth", &mut settings.over_quota_value)
}

/// Reads the node's position among the other nodes, and how it receives the server list.
fn read_fleet(facts: &Value, settings: &mut DecisionSettings) -> Result<(), WireError> {
    read_index(facts, "n_instances", &mut settings.nodes)?;
    settings.nodes = settings.nodes.max(1);
    read_index(facts, "me", &mut settings.node_index)?;
    read_index(facts, "az", &mut settings.zone)?;
    settings.kinds = facts["kinds"].as_array().map_or(1, |kinds| kinds.len().max(1));
    if facts["discovery"] == "subscribe" {
        settings.discovery = DiscoveryMode::Subscribe;
    }
    settings.weights = match facts["weights"].as_str() {
        Some("nominal" | "rough") => WeightMeaning::Size,
        Some("live") => WeightMeaning::Live,
        _ => WeightMeaning::None,
    };
    Ok(())
}

fn read_rules(rules: &Value, settings: &mut DecisionSettings) -> Result<(), WireError> {
    read_number(rules, "ask_within_ms", &mut settings.max_poll_interval_ms)?;
    read_number(rules, "drain_grace_ms", &mut settings.drain_grace_ms)?;
    read_number(rules, "cold_from", &mut settings.warmup_initial_fraction)?;
    read_number(rules, "cold_ms", &mut settings.warmup_ms)?;
    read_number(rules, "tip_multiple", &mut settings.warmup_overload_factor)?;
    read_number(rules, "tip_after_ms", &mut settings.warmup_overload_ms)
}

fn read_permissions(allowed: &Value, settings: &mut DecisionSettings) -> Result<(), WireError> {
    read_index(allowed, "max_attempts", &mut settings.max_attempts)?;
    read_flag(allowed, "second_copies", &mut settings.hedging)?;
    read_flag(allowed, "cancel", &mut settings.cancel)?;
    let (mut allowed_hint, mut max_hint_ms) = (false, f64::MAX);
    read_flag(allowed, "retry_after", &mut allowed_hint)?;
    read_number(allowed, "max_retry_after_ms", &mut max_hint_ms)?;
    settings.max_retry_after_ms = allowed_hint.then_some(max_hint_ms);
    read_flag(allowed, "probes", &mut settings.probes)?;
    read_flag(allowed, "peers", &mut settings.peers)
}

/// Reads the source of the load reports. Reports without a used field count as absent.
fn read_load_reports(stats: &Value, settings: &mut DecisionSettings) {
    let is_used = |field: &Value| field.as_str().is_some_and(|name| USED_REPORT_FIELDS.contains(&name));
    let useful = list(stats, "fields").iter().any(is_used);
    settings.responses_carry_load = useful && stats["source"] == "inline";
    settings.probes_carry_load = settings.responses_carry_load || useful && stats["source"] == "on_probe";
}

fn read_class(class: &Value) -> Result<RequestClass, WireError> {
    // The time that clients wait has no sensible default.
    let (mut latency_target_ms, mut deadline_ms) = (f64::NAN, f64::NAN);
    read_number(class, "deadline_ms", &mut deadline_ms)?;
    if deadline_ms.is_nan() {
        return Err(WireError::MissingDeadline);
    }
    read_number(class, "promise_ms", &mut latency_target_ms)?;
    let idempotency = read_idempotency(class)?;
    // A missing target, or one that is not positive and cannot be met, is replaced by the deadline.
    let latency_target_ms = if latency_target_ms > 0.0 { latency_target_ms } else { deadline_ms };
    let mut read = RequestClass::new(latency_target_ms, deadline_ms, idempotency);
    read_number(class, "worth", &mut read.value)?;
    read_number(class, "late_worth", &mut read.late_value)?;
    Ok(read)
}

fn read_idempotency(class: &Value) -> Result<Idempotency, WireError> {
    let mut window_ms = 0.0;
    read_number(class, "dedup_window_ms", &mut window_ms)?;
    Ok(match class["effect"].as_str() {
        Some("retryable") => Idempotency::Safe,
        Some("dedup") => {
            let group = match class["group"].as_str() {
                Some("all") => DeduplicationScope::All,
                Some("zone") => DeduplicationScope::Zone,
                _ => DeduplicationScope::Cell,
            };
            Idempotency::Keyed { group, window_ms }
        }
        // An unknown effect is treated as the most restrictive one.
        _ => Idempotency::Unsafe,
    })
}

fn list<'a>(from: &'a Value, key: &str) -> &'a [Value] {
    from[key].as_array().map_or(&[], Vec::as_slice)
}

fn read_number(from: &Value, key: &str, to: &mut f64) -> Result<(), WireError> {
    read(from, key, "a number", Value::as_f64, to)
}

fn read_index(from: &Value, key: &str, to: &mut usize) -> Result<(), WireError> {
    read(from, key, "a whole number", |value| value.as_u64().map(|index| index as usize), to)
}

fn read_flag(from: &Value, key: &str, to: &mut bool) -> Result<(), WireError> {
    read(from, key, "a boolean", Value::as_bool, to)
}

/// Reads a key into `to`, which keeps its value if the key is missing or null.
fn read<T>(
    from: &Value,
    key: &str,
    expected: &'static str,
    convert: impl Fn(&Value) -> Option<T>,
    to: &mut T,
) -> Result<(), WireError> {
    if from[key].is_null() {
        return Ok(());
    }
    match convert(&from[key]) {
        Some(value) => *to = value,
        None => return Err(WireError::Mistyped { key: key.to_owned(), expected }),
    }
    Ok(())
}
