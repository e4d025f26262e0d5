//! Calls to servers by the holder of the leader lease.

use std::time::Duration;

use futures_util::future::BoxFuture;
use rollout::{OrderReply, ReportRequest, ServerReport, VersionOrder};

/// The paths of a server.
const ORDER_PATH: &str = "/api/order";
const REPORT_PATH: &str = "/api/report";
/// The header that names the server meant.
const EXPECTED_SERVER: &str = "Expected-Carrier";
/// How long a server may take to answer.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(1000);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Carries orders and questions to servers. Nothing is sent twice by one call.
pub trait ServerCalls: Send + Sync {
    /// Sends an order with this body.
    fn order<'a>(&'a self, order: &'a VersionOrder, body: String) -> BoxFuture<'a, OrderReply>;
    /// Asks for a report; `None` where none came.
    fn report<'a>(&'a self, ask: &'a ReportRequest) -> BoxFuture<'a, Option<ServerReport>>;
}

/// Carries calls to servers over HTTP.
pub struct HttpServerCalls {
    http: reqwest::Client,
}

impl Default for HttpServerCalls {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpServerCalls {
    /// With no connection yet.
    ///
    /// # Panics
    ///
    /// When the HTTP client cannot be set up, which takes no I/O.
    #[must_use]
    pub fn new() -> Self {
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .no_proxy()
            .retry(reqwest::retry::never())
            .redirect(reqwest::redirect::Policy::none())
            .build()
            .expect("the HTTP client is set up without I/O");
        Self { http }
    }
}

impl ServerCalls for HttpServerCalls {
    fn order<'a>(&'a self, order: &'a VersionOrder, body: String) -> BoxFuture<'a, OrderReply> {
        Box::pin(async move {
            let call = self
                .http
                .post(format!("http://{}{ORDER_PATH}", order.address))
                .header("Content-Type", "application/json")
                .header(EXPECTED_SERVER, &*order.server)
                .timeout(CALL_TIMEOUT)
                .body(body);
            match call.send().await {
                Ok(answer) => OrderReply::from_status(answer.status().as_u16()),
                Err(error) if error.is_connect() => OrderReply::NotAccepted,
                Err(_) => OrderReply::Indeterminate,
            }
        })
    }

    fn report<'a>(&'a self, ask: &'a ReportRequest) -> BoxFuture<'a, Option<ServerReport>> {
        Box::pin(async move {
            let call = self
                .http
                .get(format!("http://{}{REPORT_PATH}", ask.address))
                .header(EXPECTED_SERVER, &*ask.server)
                .timeout(CALL_TIMEOUT);
            let answer = call.send().await.ok().filter(|answer| answer.status().as_u16() == 200)?;
            serde_json::from_slice(&answer.bytes().await.ok()?).ok()
        })
    }
}
