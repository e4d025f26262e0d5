//! JSON bodies of calls to a server, and the outcomes that its response statuses mean.

use std::collections::BTreeMap;
use std::sync::Arc;

use rollout::{OrderReply, ServerReport, UpdateMethod, VersionOrder};
use yare::parameterized;

#[test]
fn given_an_order_when_serialized_then_it_has_the_field_names_that_servers_read() {
    let order = VersionOrder {
        server: "i-1".into(),
        address: ([10, 0, 0, 1], 80).into(),
        model: "daka510000".into(),
        version: 2,
        method: UpdateMethod::Drain,
        expected_order_count: Some(5),
    };
    let body = serde_json::to_string(&order.body("node-7", 41)).expect("an order can be serialized");
    let expected = r#"{"order":"edition","model":"daka510000","edition":2,"method":"hold","holder":"node-7","fence":41,"ifRevision":5}"#;
    assert_eq!(body, expected);
}

#[test]
fn given_a_report_of_a_server_when_deserialized_then_its_values_are_read() {
    let text = r#"{"leg":"both","models":[{"name":"daka510000","edition":1,"adapters":[]}],"occupied":true,"callCount":2,"queuedCount":1,"inTransit":12,"cacheUsed":41000,"cacheTotal":90000,"handles":0}"#;
    let report: ServerReport = serde_json::from_str(text).expect("a report can be deserialized");
    assert_eq!(report.versions(), BTreeMap::from([(Arc::from("daka510000"), 1)]));
    assert!(report.occupied);
    assert_eq!((report.orders_accepted, report.queued, report.running), (2, 1, 12));
}

#[parameterized(
    accepted = { 202, OrderReply::Accepted }, already_loaded = { 200, OrderReply::AlreadyLoaded }, busy = { 409, OrderReply::Busy },
    fenced = { 412, OrderReply::Fenced }, invalid = { 400, OrderReply::Invalid }, wrong_server = { 421, OrderReply::WrongServer },
    failure = { 500, OrderReply::Indeterminate },
)]
fn given_a_status_when_converted_then_it_yields_the_outcome(status: u16, expected: OrderReply) {
    assert_eq!(OrderReply::from_status(status), expected);
}
