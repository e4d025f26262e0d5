//! Golden files of the JSON bodies of calls to a server: orders and reports.

use golden_files::GoldenFiles;
use rollout::{ModelReport, ServerReport, UpdateMethod, VersionOrder};
use yare::parameterized;

#[parameterized(
    drain = { "order_hold.json", UpdateMethod::Drain, None },
    in_place = { "order_keep.json", UpdateMethod::InPlace, None },
    conditional = { "order_conditional.json", UpdateMethod::InPlace, Some(6) },
)]
fn given_an_order_when_serialized_then_it_matches_the_golden_file(
    name: &str,
    method: UpdateMethod,
    expected_order_count: Option<u64>,
) {
    let order = VersionOrder {
        server: "i-1".into(),
        address: ([10, 0, 0, 1], 80).into(),
        model: "daka510000".into(),
        version: 3,
        method,
        expected_order_count,
    };
    let body = serde_json::to_string(&order.body("machine-7/17a2", 41)).expect("an order can be serialized");
    assert_eq!(body, golden(name, &body));
}

/// Reports are only deserialized by this crate, so the golden files of reports contain what a server writes.
#[test]
fn given_the_golden_report_when_deserialized_then_all_values_are_read() {
    let report = ServerReport {
        models: vec![
            ModelReport { name: "daka510000".into(), version: 3 },
            ModelReport { name: "daka510001".into(), version: 1 },
        ],
        occupied: true,
        orders_accepted: 2,
        queued: 5,
        running: 12,
    };
    let written = r#"{"leg":"both","models":[{"name":"daka510000","edition":3,"adapters":[]},{"name":"daka510001","edition":1,"adapters":["a"]}],"occupied":true,"callCount":2,"queuedCount":5,"inTransit":12,"cacheUsed":41000,"cacheTotal":90000,"handles":0}"#;
    let read: ServerReport =
        serde_json::from_str(&golden("report.json", written)).expect("a report can be deserialized");
    assert_eq!(read, report);
}

#[test]
fn given_the_golden_empty_report_when_deserialized_then_all_values_are_defaults() {
    let read: ServerReport = serde_json::from_str(&golden("report_empty.json", "{}"))
        .expect("an empty report can be deserialized");
    assert_eq!(read, ServerReport::default());
}

/// Returns the content of a golden file, which must be `written`.
fn golden(name: &str, written: &str) -> String {
    GoldenFiles::of_crate(env!("CARGO_MANIFEST_DIR")).check(name, written)
}
