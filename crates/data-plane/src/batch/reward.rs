//! Reward calls, which grade the text of an item.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{HeaderMap, HeaderValue, HOST};
use http::Method;
use tokio::time::Instant;

use crate::forwarding::Forwarder;
use crate::headers::{header_text, ATTEMPT_ID, STAMP};
use crate::request::UpstreamRequest;

/// How a reward call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RewardOutcome {
    /// A server graded the text. The grade is the value of the `Postmark` header of its successful response.
    Graded(String),
    /// At least one server responded with status 500, and none with a grade.
    Failed {
        /// The number of responses with status 500.
        internal_errors: u32,
    },
    /// No server responded with a grade or with status 500. The call may be retried.
    Retryable,
    /// The call cannot be sent: no route is configured for its host and path, or the host or the id is not a
    /// valid header value.
    NoRoute,
}

impl Forwarder {
    /// Makes a reward call, which is treated as idempotent: retries and hedged requests may execute it as
    /// often as its route allows. `timeout` limits the time of all attempts together.
    pub async fn call_reward(
        &self,
        host: &str,
        path: &str,
        id: &str,
        body: Bytes,
        timeout: Duration,
    ) -> RewardOutcome {
        let path_without_query = path.split('?').next().unwrap_or(path);
        let configuration = self.configuration();
        let Some(route) =
            configuration.as_ref().and_then(|configuration| configuration.route(host, path_without_query))
        else {
            return RewardOutcome::NoRoute;
        };
        let Some(headers) = reward_headers(host, id) else {
            return RewardOutcome::NoRoute;
        };
        let request =
            Arc::new(UpstreamRequest { method: Method::POST, target: path.to_owned(), headers, body });
        let forwarded = self.forward_buffered(route, request, true, Instant::now() + timeout).await;
        let grade = header_text(&forwarded.response.headers, &STAMP);
        match grade {
            Some(grade) if forwarded.is_from_server && forwarded.response.status.is_success() => {
                RewardOutcome::Graded(grade.to_owned())
            }
            _ if forwarded.internal_errors > 0 => {
                RewardOutcome::Failed { internal_errors: forwarded.internal_errors }
            }
            _ => RewardOutcome::Retryable,
        }
    }
}

/// Builds the headers of a reward call; `None` if its host or id is not a valid header value.
fn reward_headers(host: &str, id: &str) -> Option<HeaderMap> {
    let mut headers = HeaderMap::new();
    headers.insert(HOST, HeaderValue::from_str(host).ok()?);
    headers.insert(ATTEMPT_ID, HeaderValue::from_str(id).ok()?);
    Some(headers)
}
