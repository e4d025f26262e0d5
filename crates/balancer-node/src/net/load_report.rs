//! Parses the load reports that servers send with their responses.

use crate::LoadReport;

/// Parses a load report such as `active=7,waiting=2`. Returns `None` if it is malformed or has no known
/// field.
///
/// The settings name the fields `active` and `waiting`, but some servers call them `inflight` and `queue`.
/// Both are accepted: without reports, the node's own count of requests at a server would only rise.
pub fn parse_load_report(text: &str) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for pair in text.trim().split(',') {
        let (name, value) = pair.split_once('=')?;
        let value = value.trim().parse::<f64>().ok().filter(|x| x.is_finite() && *x >= 0.0)?;
        match name.trim() {
            "active" | "inflight" => report.in_flight = Some(value),
            "waiting" | "queue" => report.queued = Some(value),
            _ => {}
        }
    }
    (report != LoadReport::default()).then_some(report)
}
