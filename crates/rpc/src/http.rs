//! Setup of HTTP clients that send each call at most once.

use std::time::Duration;

use reqwest::{redirect, retry, Client, ClientBuilder};

/// Creates an HTTP client that never retries a call, follows no redirects and ignores the proxy settings of
/// the environment. With a hidden retry, redirect or proxy, the caller could not determine whether a failed
/// call may have been executed.
///
/// `user_timeout` is the maximum time for which sent data may be unacknowledged by the peer's TCP
/// (`TCP_USER_TIMEOUT`). After it the connection fails, and the data is not retransmitted any more. The kernel
/// observes it even after the process has closed the connection or has ended. Without it, a request that is sent
/// during a partition can arrive long after the caller has abandoned it.
///
/// # Panics
///
/// Panics if the HTTP client cannot be set up. The setup needs no I/O.
#[must_use]
pub fn http_client(connect_timeout: Duration, user_timeout: Duration) -> Client {
    build(http_client_builder(connect_timeout, user_timeout))
}

/// Returns a builder with the settings of [`http_client`], to which others can be added.
pub(crate) fn http_client_builder(connect_timeout: Duration, user_timeout: Duration) -> ClientBuilder {
    Client::builder()
        .connect_timeout(connect_timeout)
        .tcp_user_timeout(user_timeout)
        .tcp_nodelay(true)
        .no_proxy()
        .retry(retry::never())
        .redirect(redirect::Policy::none())
}

pub(crate) fn build(builder: ClientBuilder) -> Client {
    builder.build().expect("the HTTP client is set up without I/O")
}
