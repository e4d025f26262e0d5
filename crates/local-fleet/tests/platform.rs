//! Tests of the emulated platform: the pages, zones, lag and rate limit of its server list.

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

async fn start_platform(calls_per_second: f64) -> Platform {
    let options = PlatformOptions { lag: Duration::ZERO, calls_per_second, page_entries: 2 };
    Platform::start(SocketAddr::from(([127, 0, 0, 1], 0)), options).await.expect("a free port")
}

async fn get_page(platform: &Platform, query: &str) -> (u16, Value) {
    let url = format!("http://{}/carriers{query}", platform.address());
    let response = reqwest::get(url).await.expect("a response");
    let status = response.status().as_u16();
    (status, serde_json::from_slice(&response.bytes().await.expect("a body")).unwrap_or_default())
}

fn ids(page: &Value) -> Vec<&str> {
    page["carriers"].as_array().into_iter().flatten().filter_map(|server| server["id"].as_str()).collect()
}

#[tokio::test]
async fn given_five_servers_when_pages_are_followed_then_each_server_occurs_once() {
    let platform = start_platform(100.0).await;
    platform.set_servers(servers(5));
    let (_, first) = get_page(&platform, "").await;
    let (_, second) = get_page(
        &platform,
        &format!("?leaf={}", first["next"].as_str().expect("the token of the next page")),
    )
    .await;
    let (_, third) = get_page(
        &platform,
        &format!("?leaf={}", second["next"].as_str().expect("the token of the next page")),
    )
    .await;
    assert_eq!(ids(&first), ["i-0", "i-1"]);
    assert_eq!(ids(&second), ["i-2", "i-3"]);
    assert_eq!(ids(&third), ["i-4"]);
    assert!(third["next"].is_null());
}

#[tokio::test]
async fn given_servers_in_two_zones_when_one_zone_is_requested_then_only_its_servers_are_returned() {
    let platform = start_platform(100.0).await;
    platform.set_servers(servers(3));
    let (_, page) = get_page(&platform, "?zone=odd").await;
    assert_eq!(ids(&page), ["i-1"]);
}

#[tokio::test]
async fn given_a_server_when_listed_then_its_fields_have_the_names_of_the_protocol() {
    let platform = start_platform(100.0).await;
    platform.set_servers(servers(1));
    let (_, page) = get_page(&platform, "").await;
    let entry = &page["carriers"][0];
    assert_eq!(entry["postalLine"], "tally");
    assert_eq!(entry["berths"], 6);
    assert_eq!(entry["condition"], "open");
    assert_eq!(entry["coldMs"], 0);
    assert_eq!(entry["edition"], "v1");
}

#[tokio::test]
async fn given_a_limit_of_two_calls_a_second_when_three_calls_arrive_then_the_third_is_rejected() {
    let platform = start_platform(2.0).await;
    let mut statuses = Vec::new();
    for _ in 0..3 {
        statuses.push(get_page(&platform, "").await.0);
    }
    assert_eq!(statuses, [200, 200, 429]);
    assert_eq!(platform.calls(), PlatformCalls { total: 3, rejected: 1 });
}

#[tokio::test]
async fn given_an_invalid_page_token_when_sent_then_the_call_is_rejected() {
    assert_eq!(get_page(&start_platform(100.0).await, "?leaf=nonsense").await.0, 400);
}

#[parameterized(
    immediately = { 0, 1 },
    just_before_the_end_of_the_lag = { 799, 1 },
    at_the_end_of_the_lag = { 800, 3 },
)]
fn given_a_changed_list_when_read_then_the_change_is_visible_after_the_lag(
    milliseconds: u64,
    expected_count: usize,
) {
    let start = Instant::now();
    let mut list = LaggingList::new(Duration::from_millis(800));
    list.replace(start, servers(1));
    list.replace(start, servers(3));
    assert_eq!(list.visible(start + Duration::from_millis(milliseconds)).len(), expected_count);
}

#[test]
fn given_an_exhausted_rate_limit_when_time_passes_then_calls_are_allowed_again() {
    let start = Instant::now();
    let mut limit = RateLimit::new(2.0);
    assert!(limit.try_acquire(start) && limit.try_acquire(start));
    assert!(!limit.try_acquire(start + Duration::from_millis(400)));
    assert!(limit.try_acquire(start + Duration::from_millis(600)));
}
