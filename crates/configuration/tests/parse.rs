//! Tests of parsing a configuration and of matching requests to its routes.

mod common;

use std::time::Duration;

use common::DOCUMENT;
use configuration::{Configuration, ConfigurationError, RouteKind};
use yare::parameterized;

fn parsed_example() -> Configuration {
    Configuration::parse(DOCUMENT.as_bytes()).expect("the example is valid")
}

fn matching_route_name(host: &str, path: &str) -> Option<String> {
    parsed_example().route(host, path).map(|route| route.name.to_string())
}

#[test]
fn given_a_complete_document_when_parsed_then_all_values_are_read() {
    let configuration = parsed_example();
    assert_eq!(configuration.version(), 7);
    let first = &configuration.routes()[0];
    assert_eq!(first.kind, RouteKind::Safe);
    assert_eq!(first.timeout, Duration::from_millis(1500));
    assert_eq!(first.latency_target, Duration::from_millis(150));
    assert_eq!((first.urgency, first.max_attempts), (2, 2));
    let weights: Vec<u32> = first.targets.iter().map(|target| target.weight).collect();
    assert_eq!(weights, [90, 10]);
    assert_eq!(configuration.routes()[1].latency_target, Duration::from_micros(150_500));
    let service = configuration.service("huvo11a").expect("the service is in the document");
    assert_eq!(service.max_connections, Some(150));
    let engine = service.engine.as_ref().expect("the service has an engine");
    assert_eq!((engine.slots, engine.cache_tokens, engine.progress_interval_tokens), (8, 73_133, 42));
    assert_eq!(&*engine.models[0], "daka510000");
    assert_eq!(configuration.service("wuno96b").and_then(|service| service.engine.as_ref()), None);
    assert_eq!(configuration.limits().body_bytes, 33_554_432);
    assert_eq!(configuration.limits().idle_timeout, Duration::from_secs(15));
}

#[parameterized(
    plain = { "ficu95.example", "/lohu930/2f", Some("r-first") },
    upper_case = { "FICU95.Example", "/lohu930/2f", Some("r-first") },
    port = { "ficu95.example:8144", "/pufi791/", Some("r-second") },
    query = { "ficu95.example", "/pufi791/?a=/lohu930/", Some("r-second") },
    bare_prefix = { "ficu95.example", "/lohu930", None },
    other_path = { "ficu95.example", "/none/", None },
    path_in_query = { "ficu95.example", "/?/lohu930/", None },
    other_host = { "other.example", "/lohu930/2f", None },
)]
fn given_a_request_when_matched_then_host_and_path_prefix_select_the_route(
    host: &str,
    path: &str,
    expected: Option<&str>,
) {
    assert_eq!(matching_route_name(host, path).as_deref(), expected);
}

#[test]
fn given_nested_prefixes_when_matched_then_the_longest_prefix_is_selected() {
    let nested = DOCUMENT.replace("/pufi791/", "/lohu930/inner/");
    let configuration = Configuration::parse(nested.as_bytes()).expect("the document is valid");
    let name = |path| configuration.route("ficu95.example", path).map(|route| route.name.to_string());
    assert_eq!(name("/lohu930/inner/x").as_deref(), Some("r-second"));
    assert_eq!(name("/lohu930/inne").as_deref(), Some("r-first"));
}

#[test]
fn given_a_document_truncated_at_any_byte_when_parsed_then_it_is_malformed() {
    for length in 0..DOCUMENT.len() {
        let error =
            Configuration::parse(&DOCUMENT.as_bytes()[..length]).expect_err("the document is truncated");
        assert!(
            matches!(error, ConfigurationError::Malformed { .. }),
            "truncated to {length} bytes: {error}"
        );
    }
}

#[test]
fn given_bytes_after_the_document_when_parsed_then_it_is_rejected() {
    let doubled = format!("{DOCUMENT}{DOCUMENT}");
    assert!(Configuration::parse(doubled.as_bytes()).is_err());
}

#[parameterized(
    unknown_service = { r#""postalLine":"wuno96b","tries""#, r#""postalLine":"gone","tries""#, "routes[r-second].postalLine" },
    unknown_service_in_split = { r#""postalLine":"wuno96b","share""#, r#""postalLine":"gone","share""#, "routes[r-first].postalLine" },
    no_service = { r#""postalLine":"wuno96b","tries""#, r#""tries""#, "routes[r-second].postalLine" },
    same_host_and_prefix = { "/pufi791/", "/lohu930/", "routes[r-second].lanePrefix" },
    zero_timeout = { r#""expiryMs":1500"#, r#""expiryMs":0"#, "routes[r-first].expiryMs" },
    zero_timeout_as_fraction = { r#""expiryMs":1500"#, r#""expiryMs":0.0"#, "routes[r-first].expiryMs" },
    negative_timeout = { r#""expiryMs":1500"#, r#""expiryMs":-1"#, "routes[0].expiryMs" },
    string_for_timeout = { r#""expiryMs":1500"#, r#""expiryMs":"1500""#, "routes[0].expiryMs" },
    string_for_edition = { r#""edition":7"#, r#""edition":"7""#, "edition" },
    fraction_for_tries = { r#""tries":2"#, r#""tries":2.5"#, "routes[0].tries" },
    number_for_host = { r#""Ficu95.example""#, "5", "routes[0].depot" },
    same_route_name = { "r-second", "r-first", "routes[].name" },
    same_service_name = { r#""name":"wuno96b""#, r#""name":"huvo11a""#, "postalLines[].name" },
    object_for_routes = { r#""routes":["#, r#""routes":{},"more":["#, "routes" },
)]
fn given_an_invalid_field_when_parsed_then_the_error_names_the_field(good: &str, bad: &str, field: &str) {
    assert!(DOCUMENT.contains(good));
    let error =
        Configuration::parse(DOCUMENT.replace(good, bad).as_bytes()).expect_err("the document is invalid");
    assert_eq!(error.field(), field, "{error}");
    assert_eq!(error.status(), 400);
}

#[parameterized(
    edition = { r#""edition":7,"#, "edition" },
    name = { r#""name":"r-first","#, "name" },
    prefix = { r#""lanePrefix":"/lohu930/","#, "lanePrefix" },
)]
fn given_a_missing_field_when_parsed_then_the_error_names_the_field(text: &str, field: &str) {
    assert!(DOCUMENT.contains(text));
    let error =
        Configuration::parse(DOCUMENT.replace(text, "").as_bytes()).expect_err("the document is invalid");
    assert!(error.to_string().contains(field), "{error}");
}

#[test]
fn given_an_empty_name_when_parsed_then_the_error_names_the_field() {
    let error = Configuration::parse(DOCUMENT.replace("r-first", "").as_bytes())
        .expect_err("the document is invalid");
    assert!(matches!(error, ConfigurationError::Invalid { .. }), "{error}");
    assert!(error.to_string().contains("routes[0].name"), "{error}");
}

#[test]
fn given_a_route_whose_weights_are_all_0_when_parsed_then_it_is_rejected() {
    let text = DOCUMENT.replace(r#""share":90"#, r#""share":0"#);
    assert!(Configuration::parse(text.as_bytes()).is_ok(), "one weight above 0 is enough");
    let text = text.replace(r#""share":10"#, r#""share":0"#);
    let error = Configuration::parse(text.as_bytes()).expect_err("the document is invalid");
    assert_eq!(error, ConfigurationError::ZeroWeights { route: "r-first".to_owned() });
}

#[test]
fn given_the_same_prefix_on_two_hosts_when_parsed_then_the_document_is_valid() {
    let text = DOCUMENT.replace("/pufi791/", "/lohu930/").replace("Ficu95.example", "other.example");
    assert!(Configuration::parse(text.as_bytes()).is_ok());
}

#[parameterized(
    rollout = { "rollout", RouteKind::Rollout, false, true },
    batch = { "batch", RouteKind::Batch, false, true },
    plain_stream = { "stream", RouteKind::Stream, false, false },
    unsafe_kind = { "unsafe", RouteKind::Unsafe, false, false },
    unknown_keyword = { "novel", RouteKind::Other("novel".into()), false, false },
)]
fn given_a_kind_when_parsed_then_its_keyword_decides_its_properties(
    keyword: &str,
    kind: RouteKind,
    idempotent: bool,
    takes_batch_jobs: bool,
) {
    let text = DOCUMENT.replacen(r#""kind":"safe""#, &format!(r#""kind":"{keyword}""#), 1);
    let configuration = Configuration::parse(text.as_bytes()).expect("the document is valid");
    let route = &configuration.routes()[0];
    assert_eq!(route.kind, kind);
    assert_eq!(route.is_idempotent(), idempotent);
    assert_eq!(route.kind.takes_batch_jobs(), takes_batch_jobs);
}

#[test]
fn given_a_route_with_flags_and_batch_durations_when_parsed_then_they_are_read() {
    let fields = r#""resume":true,"singleEdition":true,"sameCarrier":"prefix","deliveryDueMs":9600.0,"shelfLifeS":40,"tries":2"#;
    let text = DOCUMENT.replacen(r#""tries":2"#, fields, 1);
    let configuration = Configuration::parse(text.as_bytes()).expect("the document is valid");
    let route = &configuration.routes()[0];
    assert!(route.resume && route.single_version && route.prefix_affinity);
    assert_eq!(route.delivery_due, Some(Duration::from_millis(9600)));
    assert_eq!(route.shelf_life, Some(Duration::from_secs(40)));
    let other = &configuration.routes()[1];
    assert!(!other.resume && !other.single_version && !other.prefix_affinity);
}

#[test]
fn given_a_document_without_optional_fields_when_parsed_then_they_have_their_defaults() {
    let text = r#"{"edition":1,"routes":[{"name":"r","depot":"h","lanePrefix":"/p/","kind":"safe","postalLine":"s"}],"postalLines":[{"name":"s","engine":null}]}"#;
    let configuration = Configuration::parse(text.as_bytes()).expect("the document is valid");
    let route = configuration.route("h", "/p/x").expect("the request matches the route");
    assert!(route.timeout > Duration::ZERO);
    assert_eq!(route.latency_target, route.timeout);
    assert_eq!(route.max_attempts, 1);
    assert!(route.allows("s"));
    assert!(configuration.limits().head_bytes > 0);
}

#[test]
fn given_a_route_that_requires_a_single_version_when_queried_then_its_models_are_not_of_mixed_versions() {
    assert_eq!(parsed_example().models_of_mixed_versions().len(), 1);
    let route_without_models = DOCUMENT.replacen(r#""tries":4"#, r#""tries":4,"singleEdition":true"#, 1);
    let configuration = Configuration::parse(route_without_models.as_bytes()).expect("the document is valid");
    assert_eq!(configuration.models_of_mixed_versions().len(), 1);
    let route_with_model = DOCUMENT.replacen(r#""tries":2"#, r#""tries":2,"singleEdition":true"#, 1);
    let configuration = Configuration::parse(route_with_model.as_bytes()).expect("the document is valid");
    assert!(configuration.models_of_mixed_versions().is_empty());
}
