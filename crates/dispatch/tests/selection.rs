//! Tests of the selection of a server by [`Dispatcher`].

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use configuration::Target;
use dispatch::{Dispatcher, RequestOutcome, SelectionCriteria, VersionRequirement};
use state::{ServerCondition, ServerEntry, ServerId, ServerList, ServerListVersion};
use yare::parameterized;

const NOW: Duration = Duration::from_secs(100);

/// Returns an open server with four slots in the zone of the dispatcher, which lists no models.
fn entry(id: &str, service: &str) -> ServerEntry {
    ServerEntry {
        id: id.into(),
        service: service.into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "near".into(),
        slots: 4,
        condition: ServerCondition::Open,
        warm_up_ms: 0,
        models: BTreeMap::new(),
    }
}

/// Returns a server of the service "s" that lists this version of the model "m".
fn with_version(id: &str, version: u64) -> ServerEntry {
    ServerEntry { models: BTreeMap::from([(Arc::from("m"), version)]), ..entry(id, "s") }
}

fn list(servers: Vec<ServerEntry>) -> ServerList {
    ServerList::new(ServerListVersion::default(), servers)
}

fn dispatcher(servers: Vec<ServerEntry>) -> Dispatcher {
    let mut dispatcher = Dispatcher::new("near".into());
    dispatcher.update(&list(servers));
    dispatcher
}

fn targets(weights: &[(&str, u32)]) -> Vec<Target> {
    weights.iter().map(|(service, weight)| Target { service: (*service).into(), weight: *weight }).collect()
}

fn criteria<'a>(targets: &'a [Target], attempted: &'a [ServerId]) -> SelectionCriteria<'a> {
    SelectionCriteria {
        targets,
        model: None,
        version: VersionRequirement::Any,
        attempted,
        prefix_cache_server: None,
        requires_free_capacity: false,
        max_idle_connection_age: None,
    }
}

/// Returns the ids of the servers selected for `times` consecutive requests, each cancelled immediately.
fn selected(dispatcher: &mut Dispatcher, criteria: &SelectionCriteria<'_>, times: usize) -> BTreeSet<String> {
    let mut selected = BTreeSet::new();
    for _ in 0..times {
        if let Some(server) = dispatcher.select(NOW, criteria) {
            dispatcher.request_finished(NOW, &server.id, RequestOutcome::Cancelled);
            selected.insert(server.id.to_string());
        }
    }
    selected
}

fn ids(ids: &[&str]) -> BTreeSet<String> {
    ids.iter().map(ToString::to_string).collect()
}

#[test]
fn given_closing_servers_when_selecting_then_only_open_ones_of_the_service_are_selected() {
    let closing = ServerEntry { condition: ServerCondition::Closing, ..entry("b", "s") };
    let mut dispatcher = dispatcher(vec![entry("a", "s"), closing, entry("c", "other"), entry("d", "s")]);
    let targets = targets(&[("s", 1)]);
    assert_eq!(selected(&mut dispatcher, &criteria(&targets, &[]), 100), ids(&["a", "d"]));
}

#[test]
fn given_a_server_that_left_the_list_when_selecting_then_it_is_not_selected() {
    let mut dispatcher = dispatcher(vec![entry("a", "s"), entry("b", "s")]);
    dispatcher.update(&list(vec![entry("b", "s")]));
    let targets = targets(&[("s", 1)]);
    assert_eq!(selected(&mut dispatcher, &criteria(&targets, &[]), 50), ids(&["b"]));
    assert!(!dispatcher.is_listed("a"));
}

#[test]
fn given_load_reports_when_selecting_then_the_shortest_queue_is_selected_and_grows() {
    let mut dispatcher = dispatcher(vec![entry("a", "s"), entry("b", "s")]);
    dispatcher.record_load(NOW, "a", 1, 0, 4);
    dispatcher.record_load(NOW, "b", 3, 0, 4);
    let targets = targets(&[("s", 1)]);
    let selected: Vec<_> = (0..2).filter_map(|_| dispatcher.select(NOW, &criteria(&targets, &[]))).collect();
    assert!(selected.iter().all(|server| &*server.id == "a"));
}

#[test]
fn given_a_newer_list_when_a_server_stays_listed_then_its_queue_length_is_kept() {
    let mut dispatcher = dispatcher(vec![entry("a", "s"), entry("b", "s")]);
    dispatcher.record_load(NOW, "a", 4, 0, 4);
    dispatcher.record_load(NOW, "b", 0, 0, 4);
    dispatcher.update(&list(vec![entry("a", "s"), entry("b", "s"), entry("c", "other")]));
    let targets = targets(&[("s", 1)]);
    let server = dispatcher.select(NOW, &criteria(&targets, &[])).expect("an eligible server");
    assert_eq!(&*server.id, "b");
}

#[test]
fn given_requests_in_flight_and_no_report_when_selecting_then_they_count_as_the_queue_length() {
    let mut dispatcher = dispatcher(vec![entry("a", "s"), entry("b", "s")]);
    let targets = targets(&[("s", 1)]);
    let first = dispatcher.select(NOW, &criteria(&targets, &[])).expect("an eligible server");
    let second = dispatcher.select(NOW, &criteria(&targets, &[])).expect("an eligible server");
    assert_ne!(first.id, second.id);
    dispatcher.request_finished(NOW, &first.id, RequestOutcome::Success);
    let third = dispatcher.select(NOW, &criteria(&targets, &[])).expect("an eligible server");
    assert_eq!(third.id, first.id);
}

#[test]
fn given_weighted_targets_when_selecting_then_shares_follow_the_weights_and_weight_zero_gets_none() {
    let mut dispatcher = dispatcher(vec![entry("a", "s"), entry("b", "t"), entry("c", "u")]);
    let targets = targets(&[("s", 90), ("t", 10), ("u", 0)]);
    let mut sends = BTreeMap::new();
    for _ in 0..2000 {
        let server = dispatcher.select(NOW, &criteria(&targets, &[])).expect("an eligible server");
        dispatcher.request_finished(NOW, &server.id, RequestOutcome::Success);
        *sends.entry(server.id.to_string()).or_insert(0) += 1;
    }
    assert!((1650..1950).contains(&sends["a"]), "{sends:?}");
    assert!(!sends.contains_key("c"));
}

#[test]
fn given_weighted_targets_when_one_service_has_no_server_then_the_other_gets_all_requests() {
    let mut dispatcher = dispatcher(vec![entry("b", "t")]);
    let targets = targets(&[("s", 90), ("t", 10)]);
    assert_eq!(selected(&mut dispatcher, &criteria(&targets, &[]), 20), ids(&["b"]));
}

#[parameterized(
    at_least = {VersionRequirement::AtLeast(3), &["b", "c"]},
    exactly = {VersionRequirement::Exactly(3), &["b"]},
    any = {VersionRequirement::Any, &["a", "b", "c"]},
    initial = {VersionRequirement::AtLeast(1), &["a", "b", "c"]},
    too_new = {VersionRequirement::AtLeast(5), &[]},
)]
fn given_a_version_requirement_when_selecting_then_only_servers_that_satisfy_it_are_selected(
    version: VersionRequirement,
    expected: &[&str],
) {
    let servers = vec![with_version("a", 2), with_version("b", 3), with_version("c", 4), entry("d", "t")];
    let mut dispatcher = dispatcher(servers);
    let targets = targets(&[("s", 1)]);
    let criteria = SelectionCriteria { model: Some("m"), version, ..criteria(&targets, &[]) };
    assert_eq!(selected(&mut dispatcher, &criteria, 100), ids(expected));
}

#[test]
fn given_a_newer_version_in_a_response_when_an_older_list_is_applied_then_the_newer_version_is_kept() {
    let mut dispatcher = dispatcher(vec![with_version("a", 2)]);
    dispatcher.record_version("a", "m", 3);
    dispatcher.update(&list(vec![with_version("a", 2)]));
    let targets = targets(&[("s", 1)]);
    let criteria = SelectionCriteria {
        model: Some("m"),
        version: VersionRequirement::AtLeast(3),
        ..criteria(&targets, &[])
    };
    assert_eq!(dispatcher.select(NOW, &criteria).and_then(|server| server.version), Some(3));
}

#[test]
fn given_a_rejected_version_when_selecting_then_the_server_is_excluded_for_a_limited_time() {
    let mut dispatcher = dispatcher(vec![with_version("a", 2)]);
    dispatcher.record_version_rejected(NOW, "a", "m", 2);
    let targets = targets(&[("s", 1)]);
    let criteria = SelectionCriteria {
        model: Some("m"),
        version: VersionRequirement::Exactly(2),
        ..criteria(&targets, &[])
    };
    assert!(dispatcher.select(NOW, &criteria).is_none());
    assert!(dispatcher.select(NOW + Duration::from_secs(1), &criteria).is_some());
}

#[test]
fn given_an_attempted_server_when_selecting_then_it_is_selected_only_without_an_alternative() {
    let mut dispatcher = dispatcher(vec![entry("a", "s"), entry("b", "s")]);
    let targets = targets(&[("s", 1)]);
    let attempted = [ServerId::from("a")];
    assert_eq!(selected(&mut dispatcher, &criteria(&targets, &attempted), 50), ids(&["b"]));
    dispatcher.update(&list(vec![entry("a", "s")]));
    assert_eq!(selected(&mut dispatcher, &criteria(&targets, &attempted), 50), ids(&["a"]));
}

#[test]
fn given_repeated_failures_of_a_server_when_selecting_then_each_ejection_lasts_longer() {
    let mut dispatcher = dispatcher(vec![entry("a", "s"), entry("b", "s")]);
    let targets = targets(&[("s", 1)]);
    let mut ejections = Vec::new();
    let mut now = NOW;
    for _ in 0..3 {
        dispatcher.request_finished(now, "a", RequestOutcome::Failure);
        let failed_at = now;
        while (0..20).all(|_| {
            let server = dispatcher.select(now, &criteria(&targets, &[])).expect("an eligible server");
            dispatcher.request_finished(now, &server.id, RequestOutcome::Cancelled);
            &*server.id == "b"
        }) {
            now += Duration::from_millis(10);
        }
        ejections.push(now - failed_at);
    }
    assert!(ejections.windows(2).all(|pair| pair[0] < pair[1]), "{ejections:?}");
}

#[test]
fn given_all_servers_ejected_when_selecting_then_one_is_still_selected() {
    let mut dispatcher = dispatcher(vec![entry("a", "s"), entry("b", "s")]);
    dispatcher.request_finished(NOW, "a", RequestOutcome::Failure);
    dispatcher.request_finished(NOW, "b", RequestOutcome::Failure);
    let targets = targets(&[("s", 1)]);
    assert!(dispatcher.select(NOW, &criteria(&targets, &[])).is_some());
}

#[test]
fn given_a_server_that_fails_every_second_request_when_selecting_then_it_stays_ejected() {
    let mut dispatcher = dispatcher(vec![entry("a", "s"), entry("b", "s")]);
    for _ in 0..6 {
        dispatcher.request_finished(NOW, "a", RequestOutcome::Success);
        dispatcher.request_finished(NOW, "a", RequestOutcome::Failure);
    }
    let targets = targets(&[("s", 1)]);
    let later = NOW + Duration::from_millis(120);
    let selected = (0..50).map(|_| {
        let server = dispatcher.select(later, &criteria(&targets, &[])).expect("an eligible server");
        dispatcher.request_finished(later, &server.id, RequestOutcome::Cancelled);
        server.id
    });
    assert_eq!(selected.filter(|id| &**id == "a").count(), 0);
}

#[test]
fn given_a_tie_when_selecting_then_the_local_zone_is_preferred() {
    let far = ServerEntry { zone: "far".into(), ..entry("b", "s") };
    let mut dispatcher = dispatcher(vec![entry("a", "s"), far]);
    let targets = targets(&[("s", 1)]);
    assert_eq!(selected(&mut dispatcher, &criteria(&targets, &[]), 50), ids(&["a"]));
}

#[test]
fn given_a_full_server_when_free_capacity_is_required_then_it_is_not_selected_until_a_request_ends() {
    let mut dispatcher = dispatcher(vec![entry("a", "s")]);
    let targets = targets(&[("s", 1)]);
    let criteria = SelectionCriteria { requires_free_capacity: true, ..criteria(&targets, &[]) };
    let capacity = dispatcher.free_capacity(NOW, &criteria);
    let sends = (0..100).filter_map(|_| dispatcher.select(NOW, &criteria)).count();
    assert_eq!(sends, capacity);
    assert_eq!(dispatcher.free_capacity(NOW, &criteria), 0);
    dispatcher.request_finished(NOW, "a", RequestOutcome::Success);
    assert!(dispatcher.select(NOW, &criteria).is_some());
}

#[test]
fn given_reported_load_of_other_senders_when_computing_free_capacity_then_it_counts_while_the_report_is_valid(
) {
    let mut dispatcher = dispatcher(vec![entry("a", "s")]);
    let targets = targets(&[("s", 1)]);
    let criteria = criteria(&targets, &[]);
    let empty = dispatcher.free_capacity(NOW, &criteria);
    dispatcher.record_load(NOW, "a", 2, 1, 4);
    assert_eq!(dispatcher.free_capacity(NOW, &criteria), empty - 3);
    assert_eq!(dispatcher.free_capacity(NOW + Duration::from_secs(5), &criteria), empty);
}

#[test]
fn given_a_server_with_the_prefix_cached_when_selecting_then_it_wins_ties_only() {
    let mut dispatcher = dispatcher(vec![entry("a", "s"), entry("b", "s"), entry("c", "s")]);
    let targets = targets(&[("s", 1)]);
    let cached = ServerId::from("b");
    let criteria = SelectionCriteria { prefix_cache_server: Some(&cached), ..criteria(&targets, &[]) };
    assert_eq!(selected(&mut dispatcher, &criteria, 50), ids(&["b"]));
    for id in ["a", "b", "c"] {
        dispatcher.record_load(NOW, id, u32::from(id == "b"), 0, 4);
    }
    assert_ne!(&*dispatcher.select(NOW, &criteria).expect("an eligible server").id, "b");
}

#[test]
fn given_a_model_when_selecting_then_servers_that_list_it_are_preferred() {
    let other = ServerEntry { models: BTreeMap::from([(Arc::from("other"), 1)]), ..entry("a", "s") };
    let mut dispatcher = dispatcher(vec![other.clone(), with_version("b", 1)]);
    let targets = targets(&[("s", 1)]);
    let criteria = SelectionCriteria { model: Some("m"), ..criteria(&targets, &[]) };
    assert_eq!(selected(&mut dispatcher, &criteria, 50), ids(&["b"]));
    dispatcher.update(&list(vec![other]));
    assert_eq!(selected(&mut dispatcher, &criteria, 50), ids(&["a"]));
}

#[test]
fn given_a_server_with_an_idle_connection_when_queue_lengths_are_equal_then_it_is_selected() {
    let mut dispatcher = dispatcher(vec![entry("a", "s"), entry("b", "s"), entry("c", "s")]);
    let targets = targets(&[("s", 1)]);
    let criteria = SelectionCriteria {
        max_idle_connection_age: Some(Duration::from_secs(3)),
        ..criteria(&targets, &[])
    };
    let first = dispatcher.select(NOW, &criteria).expect("an eligible server");
    dispatcher.request_finished(NOW, &first.id, RequestOutcome::Success);
    for _ in 0..20 {
        let server = dispatcher.select(NOW, &criteria).expect("an eligible server");
        assert_eq!(server.id, first.id);
        dispatcher.request_finished(NOW, &server.id, RequestOutcome::Success);
    }
}

#[test]
fn given_an_idle_connection_beyond_the_maximum_age_when_selecting_then_its_server_is_not_preferred() {
    let mut dispatcher = dispatcher(vec![entry("a", "s"), entry("b", "s"), entry("c", "s")]);
    let targets = targets(&[("s", 1)]);
    let criteria = SelectionCriteria {
        max_idle_connection_age: Some(Duration::from_secs(3)),
        ..criteria(&targets, &[])
    };
    let first = dispatcher.select(NOW, &criteria).expect("an eligible server");
    dispatcher.request_finished(NOW, &first.id, RequestOutcome::Success);
    let later = NOW + Duration::from_secs(4);
    let mut seen = BTreeSet::new();
    for _ in 0..100 {
        let server = dispatcher.select(later, &criteria).expect("an eligible server");
        seen.insert(server.id.to_string());
        dispatcher.request_finished(later, &server.id, RequestOutcome::Cancelled);
    }
    assert_eq!(seen.len(), 3);
}

#[test]
fn given_an_idle_connection_when_its_server_has_two_more_requests_then_another_server_is_selected() {
    let mut dispatcher = dispatcher(vec![entry("a", "s"), entry("b", "s")]);
    let targets = targets(&[("s", 1)]);
    let criteria = SelectionCriteria {
        max_idle_connection_age: Some(Duration::from_secs(3)),
        ..criteria(&targets, &[])
    };
    let first = dispatcher.select(NOW, &criteria).expect("an eligible server");
    dispatcher.request_finished(NOW, &first.id, RequestOutcome::Success);
    dispatcher.record_load(NOW, &first.id, 2, 0, 8);
    let server = dispatcher.select(NOW, &criteria).expect("an eligible server");
    assert_ne!(server.id, first.id);
}

#[test]
fn given_a_server_that_is_loading_a_model_when_another_model_is_requested_then_it_is_selected() {
    let entry = ServerEntry { models: [("m".into(), 1), ("n".into(), 1)].into(), ..entry("a", "s") };
    let mut dispatcher = dispatcher(vec![entry]);
    let targets = targets(&[("s", 1)]);
    dispatcher.record_model_loading(NOW, "a", "m");
    let for_model = |model| SelectionCriteria {
        model: Some(model),
        version: VersionRequirement::AtLeast(1),
        ..criteria(&targets, &[])
    };
    assert!(dispatcher.select(NOW, &for_model("m")).is_none());
    assert!(dispatcher.select(NOW, &for_model("n")).is_some());
    assert!(dispatcher.select(NOW + Duration::from_millis(150), &for_model("m")).is_some());
}

#[parameterized(
    that_can_wait_for_capacity = { true, 5 },
    that_cannot_wait_for_capacity = { false, 10 },
)]
fn given_a_server_that_lists_only_other_models_when_another_lists_the_model_then_only_that_one_is_selected(
    requires_free_capacity: bool,
    free_capacity: usize,
) {
    let other = ServerEntry { models: BTreeMap::from([(Arc::from("other"), 1)]), ..entry("b", "s") };
    let mut dispatcher = dispatcher(vec![with_version("a", 1), other]);
    let targets = targets(&[("s", 1)]);
    let version = VersionRequirement::AtLeast(1);
    let criteria =
        SelectionCriteria { model: Some("m"), version, requires_free_capacity, ..criteria(&targets, &[]) };
    assert_eq!(dispatcher.free_capacity(NOW, &criteria), free_capacity);
    assert_eq!(dispatcher.total_capacity(NOW, &criteria), 5);
    let selected: Vec<_> = (0..6).filter_map(|_| dispatcher.select(NOW, &criteria)).collect();
    assert!(selected.iter().all(|server| &*server.id == "a"));
    assert_eq!(selected.len(), if requires_free_capacity { 5 } else { 6 });
}

#[test]
fn given_a_newer_list_of_the_same_servers_when_applied_then_changes_take_effect_and_versions_are_kept() {
    let first = list(vec![with_version("a", 1), with_version("b", 1)]);
    let mut dispatcher = Dispatcher::new("near".into());
    dispatcher.update(&first);
    dispatcher.record_version("a", "m", 3);
    let closing = ServerEntry { condition: ServerCondition::Closing, ..with_version("b", 2) };
    let mut newer = list(vec![with_version("a", 2), closing]);
    newer.retain_versions(&first);
    dispatcher.update(&newer);
    let targets = targets(&[("s", 1)]);
    let any = SelectionCriteria { model: Some("m"), ..criteria(&targets, &[]) };
    assert_eq!(selected(&mut dispatcher, &any, 50), ids(&["a"]));
    let exact = |version| SelectionCriteria { version: VersionRequirement::Exactly(version), ..any };
    assert_eq!(selected(&mut dispatcher, &exact(2), 50), ids(&[]), "the response showed a newer version");
    assert_eq!(selected(&mut dispatcher, &exact(3), 50), ids(&["a"]));
}

#[test]
fn given_a_server_that_moved_to_another_service_when_selecting_then_only_that_service_selects_it() {
    let mut dispatcher = dispatcher(vec![entry("a", "s"), entry("b", "s")]);
    dispatcher.update(&list(vec![entry("a", "s"), entry("b", "other")]));
    assert_eq!(selected(&mut dispatcher, &criteria(&targets(&[("s", 1)]), &[]), 50), ids(&["a"]));
    assert_eq!(selected(&mut dispatcher, &criteria(&targets(&[("other", 1)]), &[]), 50), ids(&["b"]));
}

#[test]
fn given_a_rejection_long_after_the_last_backoff_when_recorded_then_the_initial_backoff_applies() {
    let entry = ServerEntry { models: [("m".into(), 1)].into(), ..entry("a", "s") };
    let mut dispatcher = dispatcher(vec![entry]);
    let targets = targets(&[("s", 1)]);
    let version = VersionRequirement::AtLeast(1);
    let criteria = SelectionCriteria { model: Some("m"), version, ..criteria(&targets, &[]) };
    for _ in 0..4 {
        dispatcher.record_model_loading(NOW, "a", "m");
    }
    assert!(dispatcher.select(NOW + Duration::from_millis(350), &criteria).is_none(), "backoff has doubled");
    let later = NOW + Duration::from_secs(60);
    dispatcher.record_model_loading(later, "a", "m");
    assert!(dispatcher.select(later + Duration::from_millis(50), &criteria).is_none());
    assert!(dispatcher.select(later + Duration::from_millis(150), &criteria).is_some());
}

#[test]
fn given_a_reported_load_that_overflows_when_selecting_then_the_server_counts_as_full() {
    let mut dispatcher = dispatcher(vec![entry("a", "s")]);
    let targets = targets(&[("s", 1)]);
    let criteria = SelectionCriteria { requires_free_capacity: true, ..criteria(&targets, &[]) };
    dispatcher.record_load(NOW, "a", u32::MAX, u32::MAX, u32::MAX);
    assert!(dispatcher.select(NOW, &criteria).is_none());
}
