//! Calls to model servers by the leader: orders and requests for reports.

use std::time::Duration;

use futures_util::future::BoxFuture;
use rollout::{OrderReply, ReportRequest, ServerReport, VersionOrder};

use crate::election::ORDER_DELIVERY_TIMEOUT;

/// HTTP path of the server to which orders are posted.
const ORDER_PATH: &str = "/api/order";
/// HTTP path of the server from which reports are read.
const REPORT_PATH: &str = "/api/report";
/// HTTP header with the id of the addressed server, so that another server at the same address rejects the
/// call.
const EXPECTED_SERVER_HEADER: &str = "Expected-Carrier";
/// Maximum time from the request for a report to its last byte.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Maximum time to establish a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum time without an acknowledgement of sent data by the server's TCP before the connection fails. It
/// begins once a connection is established, so it is the rest of the time in which an order must arrive.
const USER_TIMEOUT: Duration = ORDER_DELIVERY_TIMEOUT.saturating_sub(CONNECT_TIMEOUT);

/// Sender of orders and requests for reports to servers. No call is ever retried.
pub trait ServerCalls: Send + Sync {
    /// Sends an order to its server; `body` is the JSON encoding of the order. Returns once the outcome of the
    /// order is known or its connection has failed; the caller bounds the wait for a server that does neither.
    fn send_order<'a>(&'a self, order: &'a VersionOrder, body: String) -> BoxFuture<'a, OrderReply>;
    /// Requests a report. Returns `None` if no valid report arrives in time.
    fn request_report<'a>(&'a self, request: &'a ReportRequest) -> BoxFuture<'a, Option<ServerReport>>;
}

/// Sender of calls to servers over HTTP.
pub struct HttpServerCalls {
    http: reqwest::Client,
}

impl Default for HttpServerCalls {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpServerCalls {
    /// Creates a client without any connections. They are opened when they are needed.
    ///
    /// # Panics
    ///
    /// Panics if the HTTP client cannot be created. Creating it involves no I/O.
    #[must_use]
    pub fn new() -> Self {
        Self { http: rpc::http_client(CONNECT_TIMEOUT, USER_TIMEOUT) }
    }
}

impl ServerCalls for HttpServerCalls {
    fn send_order<'a>(&'a self, order: &'a VersionOrder, body: String) -> BoxFuture<'a, OrderReply> {
        Box::pin(async move {
            let request = self
                .http
                .post(format!("http://{}{ORDER_PATH}", order.address))
                .header("Content-Type", "application/json")
                .header(EXPECTED_SERVER_HEADER, &*order.server)
                .body(body);
            match request.send().await {
                Ok(response) => OrderReply::from_status(response.status().as_u16()),
                Err(error) if error.is_connect() => OrderReply::NotAccepted,
                Err(_) => OrderReply::Indeterminate,
            }
        })
    }

    fn request_report<'a>(&'a self, request: &'a ReportRequest) -> BoxFuture<'a, Option<ServerReport>> {
        Box::pin(async move {
            let call = self
                .http
                .get(format!("http://{}{REPORT_PATH}", request.address))
                .header(EXPECTED_SERVER_HEADER, &*request.server)
                .timeout(REPORT_TIMEOUT);
            let response = call.send().await.ok().filter(|response| response.status().as_u16() == 200)?;
            serde_json::from_slice(&response.bytes().await.ok()?).ok()
        })
    }
}
