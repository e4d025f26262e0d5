//! Reading of the platform's list of servers over HTTP.

use control_plane::{ListSource, Platform, PlatformError};
use poem::http::StatusCode;
use poem::{handler, Endpoint, Request, Response, Route};
use state::{ServerCondition, ServerListVersion};
use tokio::net::TcpListener;
use yare::parameterized;

async fn platform_replying_with(endpoint: impl Endpoint + 'static) -> Platform {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address").to_string();
    tokio::spawn(rpc::serve(listener, Route::new().at("/carriers", endpoint)));
    Platform::new(address)
}

fn entry(id: &str, condition: &str) -> String {
    format!(
        r#"{{"postalLine":"s","address":"10.0.0.9:80","zone":"z","edition":"v1","berths":8,"condition":"{condition}",
        "coldMs":0,"leg":"both","models":[{{"name":"m","edition":3,"adapters":[]}}],"id":"{id}"}}"#
    )
}

#[handler]
fn list_of_two_pages(request: &Request) -> String {
    match request.uri().query() {
        None => format!(r#"{{"carriers":[{},{}],"next":"p-2"}}"#, entry("c", "open"), entry("b", "closing")),
        Some("leaf=p-2") => {
            format!(r#"{{"carriers":[{},{}],"next":null}}"#, entry("a", "open"), entry("c", "open"))
        }
        Some(other) => panic!("unexpected query {other}"),
    }
}

#[tokio::test]
async fn given_several_pages_when_read_then_all_servers_are_listed_once_by_id() {
    let list = platform_replying_with(list_of_two_pages)
        .await
        .read(ServerListVersion::default())
        .await
        .expect("the list is valid");
    let listed: Vec<_> = list.servers.iter().map(|server| (&*server.id, server.condition)).collect();
    assert_eq!(
        listed,
        [("a", ServerCondition::Open), ("b", ServerCondition::Closing), ("c", ServerCondition::Open)]
    );
    assert_eq!((list.servers[0].slots, list.servers[0].models["m"]), (8, 3));
}

#[parameterized(
    rate_limited = { 429, "" },
    server_error = { 500, "" },
    not_json = { 200, "hello" },
    truncated = { 200, "{\"carriers\":[{\"id\":\"a\"" },
    endless_pages = { 200, "{\"carriers\":[],\"next\":\"again\"}" },
)]
#[test_macro(tokio::test)]
async fn given_an_invalid_reply_when_read_then_the_error_distinguishes_the_rate_limit(
    status: u16,
    body: &str,
) {
    let body = body.to_owned();
    let endpoint = poem::endpoint::make_sync(move |_| {
        Response::builder()
            .status(StatusCode::from_u16(status).expect("the status code is valid"))
            .body(body.clone())
    });
    let error = platform_replying_with(endpoint)
        .await
        .read(ServerListVersion::default())
        .await
        .expect_err("the reply is not a valid list");
    assert_eq!(error == PlatformError::TooManyCalls, status == 429, "{error}");
}
