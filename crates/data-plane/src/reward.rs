//! Reward calls, which grade the text of an item.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{HeaderMap, HeaderValue, HOST};
use http::Method;
use tokio::time::Instant;

use crate::attempt::POSTMARK;
use crate::call::{Call, ATTEMPT_ID};
use crate::sender::Sender;

/// How a reward call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RewardOutcome {
    /// The stamp of the 2xx.
    Graded(String),
    /// Servers answered 500 and none answered otherwise.
    Failed {
        /// How many answers of 500 there were.
        answers: u32,
    },
    /// It did not run, or its answer was lost: it may be repeated.
    Again,
    /// No route is there for it.
    NoRoute,
}

impl Sender {
    /// Makes a reward call at up to as many servers as its route allows.
    pub async fn reward(
        &self,
        host: &str,
        path: &str,
        id: &str,
        body: Bytes,
        deadline: Duration,
    ) -> RewardOutcome {
        let plain_path = path.split('?').next().unwrap_or(path);
        let configuration = self.configuration();
        let Some(route) = configuration.as_ref().and_then(|c| c.route(host, plain_path)) else {
            return RewardOutcome::NoRoute;
        };
        let Some(headers) = headers(host, id) else {
            return RewardOutcome::NoRoute;
        };
        let call = Arc::new(Call { method: Method::POST, target: path.to_owned(), headers, body });
        let end = self.plain(route, call, true, Instant::now() + deadline).await;
        let status = end.answer.status;
        let stamp = end.answer.headers.get(POSTMARK).and_then(|stamp| stamp.to_str().ok());
        match stamp {
            Some(stamp) if end.is_servers && status.is_success() => RewardOutcome::Graded(stamp.to_owned()),
            _ if end.errors > 0 => RewardOutcome::Failed { answers: end.errors },
            _ => RewardOutcome::Again,
        }
    }
}

fn headers(host: &str, id: &str) -> Option<HeaderMap> {
    let mut headers = HeaderMap::new();
    headers.insert(HOST, HeaderValue::from_str(host).ok()?);
    headers.insert(ATTEMPT_ID, HeaderValue::from_str(id).ok()?);
    Some(headers)
}
