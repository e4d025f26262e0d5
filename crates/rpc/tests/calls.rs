//! Typed calls between a client and a server over the loopback address.

use std::time::Duration;

use poem::Route;
use rpc::{decode, encode, CallError, Client, DecodeError};
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Starts a peer that doubles numbers at `/double` and returns its address.
async fn start_peer() -> String {
    let double = |number: u64| async move { number.checked_mul(2) };
    let routes = Route::new().at("/double", poem::post(rpc::handler(double)));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address").to_string();
    tokio::spawn(rpc::serve(listener, routes));
    address
}

#[tokio::test]
async fn given_a_peer_when_called_then_its_reply_is_returned() {
    let address = start_peer().await;
    assert_eq!(Client::new().call(&address, "/double", &21_u64, TIMEOUT).await, Ok(42_u64));
}

#[tokio::test]
async fn given_a_call_that_the_peer_rejects_when_called_then_the_error_says_that_it_was_not_executed() {
    let address = start_peer().await;
    let client = Client::new();
    let declined: Result<u64, _> = client.call(&address, "/double", &u64::MAX, TIMEOUT).await;
    let malformed: Result<u64, _> = client.call(&address, "/double", &"no number", TIMEOUT).await;
    let unknown_path: Result<u64, _> = client.call(&address, "/none", &1_u64, TIMEOUT).await;
    let errors = [declined, malformed, unknown_path].map(|result| result.expect_err("the call is rejected"));
    assert_eq!(errors, [503, 400, 404].map(CallError::Rejected));
    assert!(errors.iter().all(|error| !error.may_have_run()));
}

#[tokio::test]
async fn given_a_port_without_a_listener_when_called_then_the_call_was_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address").to_string();
    drop(listener);
    let result: Result<u64, _> = Client::new().call(&address, "/double", &1_u64, TIMEOUT).await;
    assert!(matches!(result, Err(CallError::NotSent(_))), "{result:?}");
}

#[tokio::test]
async fn given_a_reply_of_another_type_when_called_then_the_call_may_have_been_executed() {
    let address = start_peer().await;
    let result: Result<(), _> = Client::new().call(&address, "/double", &1_u64, TIMEOUT).await;
    assert!(result.expect_err("the reply cannot be decoded").may_have_run());
}

#[test]
fn given_a_message_when_bytes_are_missing_or_left_over_then_it_is_not_decoded() {
    let bytes = encode(&("text".to_owned(), 7_u64));
    assert_eq!(decode(&bytes), Ok(("text".to_owned(), 7_u64)));
    assert_eq!(decode::<(String, u64)>(&bytes[..bytes.len() - 1]), Err(DecodeError));
    assert_eq!(decode::<(String, u64)>(&[&bytes[..], &[0]].concat()), Err(DecodeError));
}
