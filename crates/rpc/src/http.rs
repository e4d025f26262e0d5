//! Setup of the HTTP clients of the system, which make each call at most once.

use std::time::Duration;

use reqwest::{redirect, retry, Client, ClientBuilder};

/// An HTTP client that never retries a call, follows no redirects and ignores proxies of the environment: whether a
/// failed call may have run must stay known to its caller.
///
/// # Panics
///
/// When the HTTP client cannot be set up, which takes no I/O.
#[must_use]
pub fn http_client(connect_timeout: Duration) -> Client {
    build(http_client_builder(connect_timeout))
}

/// The setup of [`http_client`], for further settings.
pub(crate) fn http_client_builder(connect_timeout: Duration) -> ClientBuilder {
    Client::builder()
        .connect_timeout(connect_timeout)
        .tcp_nodelay(true)
        .no_proxy()
        .retry(retry::never())
        .redirect(redirect::Policy::none())
}

pub(crate) fn build(builder: ClientBuilder) -> Client {
    builder.build().expect("the HTTP client is set up without I/O")
}
