//! The load report that servers send along with their answers.

use crate::LoadReport;

/// Reads a load report such as `active=7,waiting=2`; `None` for one that is malformed or has no known field.
///
/// Servers use the names of the settings, but others are in use, too: counts that never get a report would only rise.
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
