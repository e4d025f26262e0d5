//! Reading of the platform's list of servers over HTTP.

use control_plane::{ListSource, Platform, PlatformError};
use poem::http::StatusCode;
use poem::{handler, Endpoint, Request, Response, Route};
use state::{ServerCondition, ServerListVersion};
use tokio::net::TcpListener;
use yare::parameterized;

async fn platform(answer: impl Endpoint + 'static) -> Platform {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    tokio::spawn(rpc::serve(listener, Route::new().at("/carriers", answer)));
    Platform::new(address)
}

fn entry(id: &str, condition: &str) -> String {
    format!(
        r#"{{"postalLine":"s","address":"10.0.0.9:80","zone":"z","edition":"v1","berths":8,"condition":"{condition}",
        "coldMs":0,"leg":"both","models":[{{"name":"m","edition":3,"adapters":[]}}],"id":"{id}"}}"#
    )
}

#[handler]
fn two_pages(request: &Request) -> String {
    match request.uri().query() {
        None => format!(r#"{{"carriers":[{},{}],"next":"p-2"}}"#, entry("c", "open"), entry("b", "closing")),
        Some("leaf=p-2") => {
            format!(r#"{{"carriers":[{},{}],"next":null}}"#, entry("a", "open"), entry("c", "open"))
        }
        Some(other) => panic!("nobody asks for {other}"),
    }
}

#[tokio::test]
async fn given_several_pages_when_read_then_all_servers_are_listed_once_by_id() {
    let list = platform(two_pages).await.read(ServerListVersion::default()).await.expect("a list");
    let shown: Vec<_> = list.servers.iter().map(|server| (&*server.id, server.condition)).collect();
    assert_eq!(
        shown,
        [("a", ServerCondition::Open), ("b", ServerCondition::Closing), ("c", ServerCondition::Open)]
    );
    assert_eq!((list.servers[0].slots, list.servers[0].models["m"]), (8, 3));
}

#[parameterized(
    refused = { 429, "" },
    failed = { 500, "" },
    no_list = { 200, "hello" },
    cut_short = { 200, "{\"carriers\":[{\"id\":\"a\"" },
    never_ends = { 200, "{\"carriers\":[],\"next\":\"again\"}" },
)]
#[test_macro(tokio::test)]
async fn given_an_answer_that_is_no_list_when_read_then_the_error_distinguishes_the_rate_limit(
    status: u16,
    body: &str,
) {
    let body = body.to_owned();
    let answer = poem::endpoint::make_sync(move |_| {
        Response::builder().status(StatusCode::from_u16(status).expect("a status")).body(body.clone())
    });
    let error = platform(answer).await.read(ServerListVersion::default()).await.expect_err("it is no list");
    assert_eq!(error == PlatformError::TooManyCalls, status == 429, "{error}");
}
