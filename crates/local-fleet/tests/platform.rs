//! The stand-in of the platform.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use local_fleet::platform::{LaggingList, Platform, PlatformCalls, PlatformOptions, RateLimit};
use local_fleet::protocol::{ListedServer, ServerCondition};
use serde_json::Value;
use yare::parameterized;

fn server(number: usize, zone: &str) -> ListedServer {
    ListedServer {
        service: "tally".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 8080)),
        zone: zone.into(),
        software: "v1".into(),
        slots: 6,
        condition: ServerCondition::Open,
        warm_up_ms: 0,
        phase: None,
        models: Vec::new(),
        id: format!("i-{number}").into(),
    }
}

fn servers(count: usize) -> Vec<ListedServer> {
    (0..count).map(|number| server(number, if number % 2 == 0 { "even" } else { "odd" })).collect()
}

async fn platform(calls_per_second: f64) -> Platform {
    let options = PlatformOptions { lag: Duration::ZERO, calls_per_second, page_entries: 2 };
    Platform::start(SocketAddr::from(([127, 0, 0, 1], 0)), options).await.expect("a free port")
}

async fn get(platform: &Platform, query: &str) -> (u16, Value) {
    let url = format!("http://{}/carriers{query}", platform.address());
    let answer = reqwest::get(url).await.expect("an answer");
    let status = answer.status().as_u16();
    (status, serde_json::from_slice(&answer.bytes().await.expect("a body")).unwrap_or_default())
}

fn ids(page: &Value) -> Vec<&str> {
    page["carriers"].as_array().into_iter().flatten().filter_map(|server| server["id"].as_str()).collect()
}

#[tokio::test]
async fn given_five_servers_when_pages_are_followed_then_each_server_occurs_once() {
    let platform = platform(100.0).await;
    platform.set_servers(servers(5));
    let (_, first) = get(&platform, "").await;
    let (_, second) =
        get(&platform, &format!("?leaf={}", first["next"].as_str().expect("a page follows"))).await;
    let (_, third) =
        get(&platform, &format!("?leaf={}", second["next"].as_str().expect("a page follows"))).await;
    assert_eq!(ids(&first), ["i-0", "i-1"]);
    assert_eq!(ids(&second), ["i-2", "i-3"]);
    assert_eq!(ids(&third), ["i-4"]);
    assert!(third["next"].is_null());
}

#[tokio::test]
async fn given_two_zones_when_one_is_requested_then_only_its_servers_are_returned() {
    let platform = platform(100.0).await;
    platform.set_servers(servers(3));
    let (_, page) = get(&platform, "?zone=odd").await;
    assert_eq!(ids(&page), ["i-1"]);
}

#[tokio::test]
async fn given_a_server_when_listed_then_its_fields_have_the_names_of_the_protocol() {
    let platform = platform(100.0).await;
    platform.set_servers(servers(1));
    let (_, page) = get(&platform, "").await;
    let entry = &page["carriers"][0];
    assert_eq!(entry["postalLine"], "tally");
    assert_eq!(entry["berths"], 6);
    assert_eq!(entry["condition"], "open");
    assert_eq!(entry["coldMs"], 0);
    assert_eq!(entry["edition"], "v1");
}

#[tokio::test]
async fn given_two_calls_a_second_when_three_come_at_once_then_the_third_is_rejected() {
    let platform = platform(2.0).await;
    let mut statuses = Vec::new();
    for _ in 0..3 {
        statuses.push(get(&platform, "").await.0);
    }
    assert_eq!(statuses, [200, 200, 429]);
    assert_eq!(platform.calls(), PlatformCalls { total: 3, rejected: 1 });
}

#[tokio::test]
async fn given_a_page_that_does_not_exist_when_requested_then_it_is_rejected() {
    assert_eq!(get(&platform(100.0).await, "?leaf=nonsense").await.0, 400);
}

#[parameterized(
    at_once = { 0, 1 },
    before_the_lag = { 799, 1 },
    after_the_lag = { 800, 3 },
)]
fn given_a_change_when_read_later_then_it_is_visible_after_the_lag(milliseconds: u64, expected: usize) {
    let start = Instant::now();
    let mut list = LaggingList::new(Duration::from_millis(800));
    list.replace(start, servers(1));
    list.replace(start, servers(3));
    assert_eq!(list.visible(start + Duration::from_millis(milliseconds)).len(), expected);
}

#[test]
fn given_a_used_up_rate_when_time_passes_then_calls_are_allowed_again() {
    let start = Instant::now();
    let mut limit = RateLimit::new(2.0);
    assert!(limit.try_acquire(start) && limit.try_acquire(start));
    assert!(!limit.try_acquire(start + Duration::from_millis(400)));
    assert!(limit.try_acquire(start + Duration::from_millis(600)));
}
