//! Tests of [`replace`] and [`patch`].

mod common;

use common::DOCUMENT;
use configuration::{patch, replace, Configuration, ConfigurationError};
use yare::parameterized;

fn route_names(document: &str) -> Vec<String> {
    let configuration = Configuration::parse(document.as_bytes()).expect("the document is valid");
    configuration.routes().iter().map(|route| route.name.to_string()).collect()
}

#[test]
fn given_a_complete_document_when_it_replaces_the_current_one_then_its_text_is_unchanged() {
    assert_eq!(replace(6, DOCUMENT.as_bytes()).as_deref(), Ok(DOCUMENT));
    assert_eq!(replace(0, DOCUMENT.as_bytes()).as_deref(), Ok(DOCUMENT));
}

#[parameterized(same = { 7 }, newer = { 8 })]
fn given_a_document_whose_version_is_not_above_the_current_when_replaced_then_it_is_rejected(current: u64) {
    let error = replace(current, DOCUMENT.as_bytes()).expect_err("the version is stale");
    assert_eq!(error, ConfigurationError::StaleVersion { version: 7, current });
    assert_eq!(error.field(), "edition");
}

#[test]
fn given_a_patch_when_applied_then_only_the_text_of_named_items_changes() {
    let body = r#"{"edition":9,"loadIn":{"routes":[
        {"name":"r-new","depot":"ficu95.example","lanePrefix":"/new/","kind":"unsafe","expiryMs":5,"postalLine":"fresh"},
        {"name":"r-first","depot":"ficu95.example","lanePrefix":"/lohu930/","kind":"safe","expiryMs":77,"postalLine":"fresh","odd":1e2}],
        "postalLines":[{"name":"fresh"}]},
        "strike":{"routes":["r-none"]}}"#;
    let document = patch(DOCUMENT, body.as_bytes()).expect("the document is valid");
    assert_eq!(route_names(&document), ["r-first", "r-second", "r-new"]);
    let configuration = Configuration::parse(document.as_bytes()).expect("the document is valid");
    assert_eq!(configuration.version(), 9);
    assert_eq!(configuration.routes()[0].timeout.as_millis(), 77);
    assert!(configuration.service("fresh").is_some());
    assert!(document.contains(r#""later":{"odd":[1,2]}"#), "unknown fields of unnamed items are kept");
    assert!(document.contains(r#""odd":1e2"#), "unknown fields of new items are kept");
    assert!(document.contains(r#""other":1.50"#), "unknown fields of the document are kept");
    assert!(document.contains(r#""linkMbps":1400000.0"#), "numbers keep their text");
}

#[test]
fn given_a_patch_with_removals_when_applied_then_the_items_are_removed() {
    let document =
        patch(DOCUMENT, br#"{"edition":8,"strike":{"routes":["r-second"]}}"#).expect("the document is valid");
    assert_eq!(route_names(&document), ["r-first"]);
}

#[test]
fn given_several_patches_when_applied_in_sequence_then_each_changes_the_result_of_the_one_before() {
    let first =
        patch(DOCUMENT, br#"{"edition":8,"strike":{"routes":["r-second"]}}"#).expect("the document is valid");
    let second =
        patch(&first, br#"{"edition":20,"strike":{"routes":["r-first"]}}"#).expect("the document is valid");
    assert!(route_names(&second).is_empty());
    assert!(patch(&second, br#"{"edition":20}"#).is_err());
}

#[test]
fn given_a_patch_with_limits_when_applied_then_they_replace_the_current_limits() {
    let document = patch(DOCUMENT, br#"{"edition":8,"loadIn":{"limits":{"labelBytes":5}}}"#)
        .expect("the document is valid");
    let configuration = Configuration::parse(document.as_bytes()).expect("the document is valid");
    assert_eq!(configuration.limits().head_bytes, 5);
}

#[parameterized(
    truncated = { r#"{"edition":9,"strike":{"routes":["r-sec"# },
    no_edition = { r#"{"strike":{"routes":["r-second"]}}"# },
    same_edition = { r#"{"edition":7,"strike":{"routes":["r-second"]}}"# },
    removal_of_a_used_service = { r#"{"edition":9,"strike":{"postalLines":["wuno96b"]}}"# },
    unknown_service = { r#"{"edition":9,"loadIn":{"routes":[{"name":"n","depot":"h","lanePrefix":"/x/","kind":"safe","expiryMs":5,"postalLine":"gone"}]}}"# },
    same_host_and_prefix = { r#"{"edition":9,"loadIn":{"routes":[{"name":"n","depot":"FICU95.example","lanePrefix":"/lohu930/","kind":"safe","expiryMs":5,"postalLine":"wuno96b"}]}}"# },
    zero_weights = { r#"{"edition":9,"loadIn":{"routes":[{"name":"n","depot":"h","lanePrefix":"/x/","kind":"safe","expiryMs":5,"split":[{"postalLine":"wuno96b","share":0}]}]}}"# },
    zero_timeout = { r#"{"edition":9,"loadIn":{"routes":[{"name":"n","depot":"h","lanePrefix":"/x/","kind":"safe","expiryMs":0,"postalLine":"wuno96b"}]}}"# },
    unnamed_item = { r#"{"edition":9,"loadIn":{"routes":[{"depot":"h","lanePrefix":"/x/","kind":"safe","expiryMs":5,"postalLine":"wuno96b"}]}}"# },
    string_for_list = { r#"{"edition":9,"loadIn":{"routes":"r"}}"# },
    string_for_list_of_names = { r#"{"edition":9,"strike":{"routes":"r-second"}}"# },
)]
fn given_an_invalid_patch_when_applied_then_it_is_rejected_with_a_cause(body: &str) {
    let error = patch(DOCUMENT, body.as_bytes()).expect_err("the patch is invalid");
    assert_eq!(error.status(), 400);
    assert!(!error.to_string().is_empty());
}

#[test]
fn given_no_current_document_when_patched_then_the_patch_is_rejected() {
    assert!(patch("", br#"{"edition":1,"loadIn":{}}"#).is_err());
}

#[test]
fn given_a_patch_that_removes_a_route_and_its_service_when_applied_then_it_is_valid() {
    let body = br#"{"edition":8,"strike":{"postalLines":["huvo11a"],"routes":["r-first"]}}"#;
    assert_eq!(route_names(&patch(DOCUMENT, body).expect("the document is valid")), ["r-second"]);
}
