//! Tests of [`replace`] and [`patch`].

mod common;

use common::DOCUMENT;
use configuration::{patch, replace, Configuration, ConfigurationError};
use yare::parameterized;

fn names(document: &str) -> Vec<String> {
    let configuration = Configuration::parse(document.as_bytes()).expect("what was taken is valid");
    configuration.routes().iter().map(|route| route.name.to_string()).collect()
}

#[test]
fn given_a_complete_document_when_put_then_its_text_is_kept() {
    assert_eq!(replace(6, DOCUMENT.as_bytes()).as_deref(), Ok(DOCUMENT));
    assert_eq!(replace(0, DOCUMENT.as_bytes()).as_deref(), Ok(DOCUMENT));
}

#[parameterized(same = { 7 }, newer = { 8 })]
fn given_a_version_not_above_the_current_when_put_then_it_is_refused(current: u64) {
    let error = replace(current, DOCUMENT.as_bytes()).expect_err("old");
    assert_eq!(error, ConfigurationError::StaleVersion { version: 7, current });
    assert_eq!(error.field(), "edition");
}

#[test]
fn given_a_patch_when_applied_then_named_items_change_and_all_else_keeps_its_text() {
    let body = r#"{"edition":9,"loadIn":{"routes":[
        {"name":"r-new","depot":"ficu95.example","lanePrefix":"/new/","kind":"unsafe","expiryMs":5,"postalLine":"fresh"},
        {"name":"r-first","depot":"ficu95.example","lanePrefix":"/lohu930/","kind":"safe","expiryMs":77,"postalLine":"fresh","odd":1e2}],
        "postalLines":[{"name":"fresh"}]},
        "strike":{"routes":["r-none"]}}"#;
    let document = patch(DOCUMENT, body.as_bytes()).expect("valid");
    assert_eq!(names(&document), ["r-first", "r-second", "r-new"]);
    let configuration = Configuration::parse(document.as_bytes()).expect("valid");
    assert_eq!(configuration.version(), 9);
    assert_eq!(configuration.routes()[0].timeout.as_millis(), 77);
    assert!(configuration.service("fresh").is_some());
    assert!(document.contains(r#""later":{"odd":[1,2]}"#), "unknown fields of other items stay");
    assert!(document.contains(r#""odd":1e2"#), "unknown fields of new items stay");
    assert!(document.contains(r#""other":1.50"#), "unknown fields of the document stay");
    assert!(document.contains(r#""linkMbps":1400000.0"#), "figures keep their text");
}

#[test]
fn given_a_patch_with_removals_when_applied_then_the_items_are_removed() {
    let document = patch(DOCUMENT, br#"{"edition":8,"strike":{"routes":["r-second"]}}"#).expect("valid");
    assert_eq!(names(&document), ["r-first"]);
}

#[test]
fn given_patches_one_after_the_other_when_applied_then_the_last_holds() {
    let first = patch(DOCUMENT, br#"{"edition":8,"strike":{"routes":["r-second"]}}"#).expect("valid");
    let second = patch(&first, br#"{"edition":20,"strike":{"routes":["r-first"]}}"#).expect("valid");
    assert!(names(&second).is_empty());
    assert!(patch(&second, br#"{"edition":20}"#).is_err());
}

#[test]
fn given_limits_in_a_patch_when_applied_then_they_replace_the_old_ones() {
    let document = patch(DOCUMENT, br#"{"edition":8,"loadIn":{"limits":{"labelBytes":5}}}"#).expect("valid");
    let configuration = Configuration::parse(document.as_bytes()).expect("valid");
    assert_eq!(configuration.limits().head_bytes, 5);
}

#[parameterized(
    cut_short = { r#"{"edition":9,"strike":{"routes":["r-sec"# },
    no_edition = { r#"{"strike":{"routes":["r-second"]}}"# },
    same_edition = { r#"{"edition":7,"strike":{"routes":["r-second"]}}"# },
    strike_of_a_used_service = { r#"{"edition":9,"strike":{"postalLines":["wuno96b"]}}"# },
    unknown_service = { r#"{"edition":9,"loadIn":{"routes":[{"name":"n","depot":"h","lanePrefix":"/x/","kind":"safe","expiryMs":5,"postalLine":"gone"}]}}"# },
    same_prefix = { r#"{"edition":9,"loadIn":{"routes":[{"name":"n","depot":"FICU95.example","lanePrefix":"/lohu930/","kind":"safe","expiryMs":5,"postalLine":"wuno96b"}]}}"# },
    no_weight = { r#"{"edition":9,"loadIn":{"routes":[{"name":"n","depot":"h","lanePrefix":"/x/","kind":"safe","expiryMs":5,"split":[{"postalLine":"wuno96b","share":0}]}]}}"# },
    no_timeout = { r#"{"edition":9,"loadIn":{"routes":[{"name":"n","depot":"h","lanePrefix":"/x/","kind":"safe","expiryMs":0,"postalLine":"wuno96b"}]}}"# },
    unnamed_item = { r#"{"edition":9,"loadIn":{"routes":[{"depot":"h","lanePrefix":"/x/","kind":"safe","expiryMs":5,"postalLine":"wuno96b"}]}}"# },
    text_for_list = { r#"{"edition":9,"loadIn":{"routes":"r"}}"# },
    no_list_of_names = { r#"{"edition":9,"strike":{"routes":"r-second"}}"# },
)]
fn given_a_faulty_patch_when_applied_then_it_is_refused(body: &str) {
    let error = patch(DOCUMENT, body.as_bytes()).expect_err("invalid");
    assert_eq!(error.status(), 400);
    assert!(!error.to_string().is_empty());
}

#[test]
fn given_no_document_yet_when_patched_then_it_is_refused() {
    assert!(patch("", br#"{"edition":1,"loadIn":{}}"#).is_err());
}

#[test]
fn given_a_route_and_its_service_struck_together_when_patched_then_it_is_valid() {
    let body = br#"{"edition":8,"strike":{"postalLines":["huvo11a"],"routes":["r-first"]}}"#;
    assert_eq!(names(&patch(DOCUMENT, body).expect("valid")), ["r-second"]);
}
