//! Choice of a server.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use configuration::Target;
use dispatch::{Dispatcher, Need, Outcome, VersionNeed};
use state::{ServerCondition, ServerEntry, ServerId, ServerList};
use yare::parameterized;

const NOW: Duration = Duration::from_secs(100);

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

fn with_version(id: &str, version: u64) -> ServerEntry {
    ServerEntry { models: BTreeMap::from([(Arc::from("m"), version)]), ..entry(id, "s") }
}

fn list(servers: Vec<ServerEntry>) -> ServerList {
    ServerList { servers, ..ServerList::default() }
}

fn dispatcher(servers: Vec<ServerEntry>) -> Dispatcher {
    let mut dispatcher = Dispatcher::new("near".into());
    dispatcher.update(&list(servers));
    dispatcher
}

fn targets(shares: &[(&str, u32)]) -> Vec<Target> {
    shares.iter().map(|(service, share)| Target { service: (*service).into(), weight: *share }).collect()
}

fn need<'a>(targets: &'a [Target], tried: &'a [ServerId]) -> Need<'a> {
    Need {
        targets,
        model: None,
        version: VersionNeed::Any,
        tried,
        favourite: None,
        with_room: false,
        idle_usable: None,
    }
}

/// The servers that are chosen in so many sends, each of which is over at once.
fn chosen(dispatcher: &mut Dispatcher, need: &Need<'_>, times: usize) -> BTreeSet<String> {
    let mut chosen = BTreeSet::new();
    for _ in 0..times {
        if let Some(choice) = dispatcher.choose(NOW, need) {
            dispatcher.finished(NOW, &choice.id, Outcome::Withdrawn);
            chosen.insert(choice.id.to_string());
        }
    }
    chosen
}

fn set(ids: &[&str]) -> BTreeSet<String> {
    ids.iter().map(ToString::to_string).collect()
}

#[test]
fn given_closing_servers_when_choosing_then_only_open_ones_of_the_service_are_chosen() {
    let closing = ServerEntry { condition: ServerCondition::Closing, ..entry("b", "s") };
    let mut dispatcher = dispatcher(vec![entry("a", "s"), closing, entry("c", "other"), entry("d", "s")]);
    let targets = targets(&[("s", 1)]);
    assert_eq!(chosen(&mut dispatcher, &need(&targets, &[]), 100), set(&["a", "d"]));
}

#[test]
fn given_a_server_that_left_the_list_when_choosing_then_it_is_not_chosen() {
    let mut dispatcher = dispatcher(vec![entry("a", "s"), entry("b", "s")]);
    dispatcher.update(&list(vec![entry("b", "s")]));
    let targets = targets(&[("s", 1)]);
    assert_eq!(chosen(&mut dispatcher, &need(&targets, &[]), 50), set(&["b"]));
    assert!(!dispatcher.is_listed("a"));
}

#[test]
fn given_reports_when_choosing_then_the_lowest_count_is_chosen_and_rises() {
    let mut dispatcher = dispatcher(vec![entry("a", "s"), entry("b", "s")]);
    dispatcher.reported(NOW, "a", 1, 0, 4);
    dispatcher.reported(NOW, "b", 3, 0, 4);
    let targets = targets(&[("s", 1)]);
    let sends: Vec<_> = (0..2).filter_map(|_| dispatcher.choose(NOW, &need(&targets, &[]))).collect();
    assert!(sends.iter().all(|choice| &*choice.id == "a"));
}

#[test]
fn given_a_newer_list_when_a_server_stays_then_its_count_is_kept() {
    let mut dispatcher = dispatcher(vec![entry("a", "s"), entry("b", "s")]);
    dispatcher.reported(NOW, "a", 4, 0, 4);
    dispatcher.reported(NOW, "b", 0, 0, 4);
    dispatcher.update(&list(vec![entry("a", "s"), entry("b", "s"), entry("c", "other")]));
    let targets = targets(&[("s", 1)]);
    let choice = dispatcher.choose(NOW, &need(&targets, &[])).expect("a server");
    assert_eq!(&*choice.id, "b");
}

#[test]
fn given_open_requests_and_no_report_when_choosing_then_they_are_the_count() {
    let mut dispatcher = dispatcher(vec![entry("a", "s"), entry("b", "s")]);
    let targets = targets(&[("s", 1)]);
    let first = dispatcher.choose(NOW, &need(&targets, &[])).expect("a server");
    let second = dispatcher.choose(NOW, &need(&targets, &[])).expect("a server");
    assert_ne!(first.id, second.id);
    dispatcher.finished(NOW, &first.id, Outcome::Served);
    let third = dispatcher.choose(NOW, &need(&targets, &[])).expect("a server");
    assert_eq!(third.id, first.id);
}

#[test]
fn given_a_split_when_choosing_then_shares_are_kept_and_zero_is_never_chosen() {
    let mut dispatcher = dispatcher(vec![entry("a", "s"), entry("b", "t"), entry("c", "u")]);
    let targets = targets(&[("s", 90), ("t", 10), ("u", 0)]);
    let mut sends = BTreeMap::new();
    for _ in 0..2000 {
        let choice = dispatcher.choose(NOW, &need(&targets, &[])).expect("a server");
        dispatcher.finished(NOW, &choice.id, Outcome::Served);
        *sends.entry(choice.id.to_string()).or_insert(0) += 1;
    }
    assert!((1650..1950).contains(&sends["a"]), "{sends:?}");
    assert!(!sends.contains_key("c"));
}

#[test]
fn given_a_split_when_one_service_has_no_server_then_the_other_gets_all() {
    let mut dispatcher = dispatcher(vec![entry("b", "t")]);
    let targets = targets(&[("s", 90), ("t", 10)]);
    assert_eq!(chosen(&mut dispatcher, &need(&targets, &[]), 20), set(&["b"]));
}

#[parameterized(
    at_least = {VersionNeed::AtLeast(3), &["b", "c"]},
    exactly = {VersionNeed::Exactly(3), &["b"]},
    any = {VersionNeed::Any, &["a", "b", "c"]},
    first = {VersionNeed::AtLeast(1), &["a", "b", "c"]},
    too_new = {VersionNeed::AtLeast(5), &[]},
)]
fn given_versions_when_choosing_then_only_fitting_servers_are_chosen(version: VersionNeed, fitting: &[&str]) {
    let servers = vec![with_version("a", 2), with_version("b", 3), with_version("c", 4), entry("d", "t")];
    let mut dispatcher = dispatcher(servers);
    let targets = targets(&[("s", 1)]);
    let need = Need { model: Some("m"), version, ..need(&targets, &[]) };
    assert_eq!(chosen(&mut dispatcher, &need, 100), set(fitting));
}

#[test]
fn given_newer_evidence_when_an_older_list_comes_then_the_version_stays() {
    let mut dispatcher = dispatcher(vec![with_version("a", 2)]);
    dispatcher.version_seen("a", "m", 3);
    dispatcher.update(&list(vec![with_version("a", 2)]));
    let targets = targets(&[("s", 1)]);
    let need = Need { model: Some("m"), version: VersionNeed::AtLeast(3), ..need(&targets, &[]) };
    assert_eq!(dispatcher.choose(NOW, &need).and_then(|choice| choice.version), Some(3));
}

#[test]
fn given_a_refused_version_when_choosing_then_the_server_is_left_out_for_a_moment() {
    let mut dispatcher = dispatcher(vec![with_version("a", 2)]);
    dispatcher.version_refused(NOW, "a", "m", 2);
    let targets = targets(&[("s", 1)]);
    let need = Need { model: Some("m"), version: VersionNeed::Exactly(2), ..need(&targets, &[]) };
    assert!(dispatcher.choose(NOW, &need).is_none());
    assert!(dispatcher.choose(NOW + Duration::from_secs(1), &need).is_some());
}

#[test]
fn given_tried_servers_when_choosing_then_they_come_last() {
    let mut dispatcher = dispatcher(vec![entry("a", "s"), entry("b", "s")]);
    let targets = targets(&[("s", 1)]);
    let tried = [ServerId::from("a")];
    assert_eq!(chosen(&mut dispatcher, &need(&targets, &tried), 50), set(&["b"]));
    dispatcher.update(&list(vec![entry("a", "s")]));
    assert_eq!(chosen(&mut dispatcher, &need(&targets, &tried), 50), set(&["a"]));
}

#[test]
fn given_a_failed_server_when_choosing_then_it_is_avoided_for_a_time_that_grows() {
    let mut dispatcher = dispatcher(vec![entry("a", "s"), entry("b", "s")]);
    let targets = targets(&[("s", 1)]);
    let mut avoided = Vec::new();
    let mut now = NOW;
    for _ in 0..3 {
        dispatcher.finished(now, "a", Outcome::Failed);
        let failed_at = now;
        while (0..20).all(|_| {
            let choice = dispatcher.choose(now, &need(&targets, &[])).expect("a server");
            dispatcher.finished(now, &choice.id, Outcome::Withdrawn);
            &*choice.id == "b"
        }) {
            now += Duration::from_millis(10);
        }
        avoided.push(now - failed_at);
    }
    assert!(avoided.windows(2).all(|pair| pair[0] < pair[1]), "{avoided:?}");
}

#[test]
fn given_that_all_servers_failed_when_choosing_then_one_is_chosen_all_the_same() {
    let mut dispatcher = dispatcher(vec![entry("a", "s"), entry("b", "s")]);
    dispatcher.finished(NOW, "a", Outcome::Failed);
    dispatcher.finished(NOW, "b", Outcome::Failed);
    let targets = targets(&[("s", 1)]);
    assert!(dispatcher.choose(NOW, &need(&targets, &[])).is_some());
}

#[test]
fn given_a_server_that_fails_every_other_request_when_choosing_then_it_stays_suspect() {
    let mut dispatcher = dispatcher(vec![entry("a", "s"), entry("b", "s")]);
    for _ in 0..6 {
        dispatcher.finished(NOW, "a", Outcome::Served);
        dispatcher.finished(NOW, "a", Outcome::Failed);
    }
    let targets = targets(&[("s", 1)]);
    let later = NOW + Duration::from_millis(120);
    let choices = (0..50).map(|_| {
        let choice = dispatcher.choose(later, &need(&targets, &[])).expect("a server");
        dispatcher.finished(later, &choice.id, Outcome::Withdrawn);
        choice.id
    });
    assert_eq!(choices.filter(|id| &**id == "a").count(), 0);
}

#[test]
fn given_a_tie_when_choosing_then_the_own_zone_is_preferred() {
    let far = ServerEntry { zone: "far".into(), ..entry("b", "s") };
    let mut dispatcher = dispatcher(vec![entry("a", "s"), far]);
    let targets = targets(&[("s", 1)]);
    assert_eq!(chosen(&mut dispatcher, &need(&targets, &[]), 50), set(&["a"]));
}

#[test]
fn given_full_servers_when_room_is_needed_then_none_is_chosen_until_one_ends() {
    let mut dispatcher = dispatcher(vec![entry("a", "s")]);
    let targets = targets(&[("s", 1)]);
    let need = Need { with_room: true, ..need(&targets, &[]) };
    let room = dispatcher.room(NOW, &need);
    let sends = (0..100).filter_map(|_| dispatcher.choose(NOW, &need)).count();
    assert_eq!(sends, room);
    assert!(!dispatcher.has_room(NOW, "a"));
    dispatcher.finished(NOW, "a", Outcome::Served);
    assert!(dispatcher.choose(NOW, &need).is_some());
}

#[test]
fn given_the_load_of_others_when_room_is_asked_then_it_counts_for_as_long_as_it_is_fresh() {
    let mut dispatcher = dispatcher(vec![entry("a", "s")]);
    let targets = targets(&[("s", 1)]);
    let need = need(&targets, &[]);
    let empty = dispatcher.room(NOW, &need);
    dispatcher.reported(NOW, "a", 2, 1, 4);
    assert_eq!(dispatcher.room(NOW, &need), empty - 3);
    assert_eq!(dispatcher.room(NOW + Duration::from_secs(5), &need), empty);
}

#[test]
fn given_a_favourite_when_choosing_then_it_wins_ties_alone() {
    let mut dispatcher = dispatcher(vec![entry("a", "s"), entry("b", "s"), entry("c", "s")]);
    let targets = targets(&[("s", 1)]);
    let favourite = ServerId::from("b");
    let need = Need { favourite: Some(&favourite), ..need(&targets, &[]) };
    assert_eq!(chosen(&mut dispatcher, &need, 50), set(&["b"]));
    for id in ["a", "b", "c"] {
        dispatcher.reported(NOW, id, u32::from(id == "b"), 0, 4);
    }
    assert_ne!(&*dispatcher.choose(NOW, &need).expect("a server").id, "b");
}

#[test]
fn given_a_model_when_choosing_then_servers_that_hold_it_come_first() {
    let other = ServerEntry { models: BTreeMap::from([(Arc::from("other"), 1)]), ..entry("a", "s") };
    let mut dispatcher = dispatcher(vec![other.clone(), with_version("b", 1)]);
    let targets = targets(&[("s", 1)]);
    let need = Need { model: Some("m"), ..need(&targets, &[]) };
    assert_eq!(chosen(&mut dispatcher, &need, 50), set(&["b"]));
    dispatcher.update(&list(vec![other]));
    assert_eq!(chosen(&mut dispatcher, &need, 50), set(&["a"]));
}

#[test]
fn given_a_server_with_an_idle_connection_when_counts_are_near_then_it_is_taken() {
    let mut dispatcher = dispatcher(vec![entry("a", "s"), entry("b", "s"), entry("c", "s")]);
    let targets = targets(&[("s", 1)]);
    let need = Need { idle_usable: Some(Duration::from_secs(3)), ..need(&targets, &[]) };
    let first = dispatcher.choose(NOW, &need).expect("a server");
    dispatcher.finished(NOW, &first.id, Outcome::Served);
    for _ in 0..20 {
        let choice = dispatcher.choose(NOW, &need).expect("a server");
        assert_eq!(choice.id, first.id);
        dispatcher.finished(NOW, &choice.id, Outcome::Served);
    }
}

#[test]
fn given_an_idle_connection_that_is_too_old_when_a_request_comes_then_all_servers_are_chosen_from() {
    let mut dispatcher = dispatcher(vec![entry("a", "s"), entry("b", "s"), entry("c", "s")]);
    let targets = targets(&[("s", 1)]);
    let need = Need { idle_usable: Some(Duration::from_secs(3)), ..need(&targets, &[]) };
    let first = dispatcher.choose(NOW, &need).expect("a server");
    dispatcher.finished(NOW, &first.id, Outcome::Served);
    let later = NOW + Duration::from_secs(4);
    let mut seen = BTreeSet::new();
    for _ in 0..100 {
        let choice = dispatcher.choose(later, &need).expect("a server");
        seen.insert(choice.id.to_string());
        dispatcher.finished(later, &choice.id, Outcome::Withdrawn);
    }
    assert_eq!(seen.len(), 3);
}

#[test]
fn given_an_idle_connection_when_its_server_has_two_requests_more_then_another_one_is_taken() {
    let mut dispatcher = dispatcher(vec![entry("a", "s"), entry("b", "s")]);
    let targets = targets(&[("s", 1)]);
    let need = Need { idle_usable: Some(Duration::from_secs(3)), ..need(&targets, &[]) };
    let first = dispatcher.choose(NOW, &need).expect("a server");
    dispatcher.finished(NOW, &first.id, Outcome::Served);
    dispatcher.reported(NOW, &first.id, 2, 0, 8);
    let choice = dispatcher.choose(NOW, &need).expect("a server");
    assert_ne!(choice.id, first.id);
}

#[test]
fn given_a_server_that_loads_a_model_when_another_model_is_wanted_then_it_is_chosen() {
    let entry = ServerEntry { models: [("m".into(), 1), ("n".into(), 1)].into(), ..entry("a", "s") };
    let mut dispatcher = dispatcher(vec![entry]);
    let targets = targets(&[("s", 1)]);
    dispatcher.model_loading(NOW, "a", "m");
    let for_model =
        |model| Need { model: Some(model), version: VersionNeed::AtLeast(1), ..need(&targets, &[]) };
    assert!(dispatcher.choose(NOW, &for_model("m")).is_none());
    assert!(dispatcher.choose(NOW, &for_model("n")).is_some());
    assert!(dispatcher.choose(NOW + Duration::from_millis(150), &for_model("m")).is_some());
}

#[parameterized(
    that_waits_for_room = { true, 5 },
    that_cannot_wait = { false, 10 },
)]
fn given_servers_of_other_models_when_a_request_with_a_model_comes_then_they_are_its_last_resort(
    with_room: bool,
    places: usize,
) {
    let other = ServerEntry { models: BTreeMap::from([(Arc::from("other"), 1)]), ..entry("b", "s") };
    let mut dispatcher = dispatcher(vec![with_version("a", 1), other]);
    let targets = targets(&[("s", 1)]);
    let version = VersionNeed::AtLeast(1);
    let need = Need { model: Some("m"), version, with_room, ..need(&targets, &[]) };
    assert_eq!(dispatcher.room(NOW, &need), places);
    assert_eq!(dispatcher.places(NOW, &need), 5);
    let sends: Vec<_> = (0..6).filter_map(|_| dispatcher.choose(NOW, &need)).collect();
    assert!(sends.iter().all(|choice| &*choice.id == "a"));
    assert_eq!(sends.len(), if with_room { 5 } else { 6 });
}
