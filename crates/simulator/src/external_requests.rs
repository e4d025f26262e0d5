//! Requests of operators and trainers, which reach a node by the interfaces that the program serves.

use batch::ItemResult;
use bytes::Bytes;
use data_plane::JobEndpoint;
use poem::endpoint::BoxEndpoint;
use poem::http::Method;
use poem::{Body, Endpoint, Response};
use rushrudder::job_api::JobApi;
use serde::Deserialize;

/// An order of an operator, or of a trainer that names a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorOrder {
    /// Replace the configuration.
    Put {
        /// The version that the configuration must have before.
        expected: u64,
        /// The document.
        body: String,
    },
    /// Change entries of the configuration.
    Patch {
        /// The version that the configuration must have before.
        expected: u64,
        /// The changes.
        body: String,
    },
    /// Read the configuration back.
    Read,
    /// Name a version of a model, which is then rolled out.
    SetTargetVersion {
        /// The model.
        model: String,
        /// The version.
        version: u64,
    },
    /// Drain a store.
    Drain(String),
    /// Read whether a store is drained.
    ReadDrain(String),
}

/// A call of a trainer about a batch job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobCall {
    /// Submit it.
    Submit(String),
    /// Read its results from this position on.
    Read(usize),
    /// End it.
    End,
}

/// A request of an operator or trainer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExternalRequest {
    /// An order.
    Operator(OperatorOrder),
    /// A call about the batch job with this id.
    Job(String, JobCall),
}

/// The reply of a node to an operator or trainer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExternalReply {
    /// The status, where nothing else is of interest.
    Status(u16),
    /// The configuration: its version and text.
    Configuration(u64, String),
    /// Results of a batch job.
    Results(Vec<ItemResult>),
    /// The store is not drained yet.
    Draining,
}

impl ExternalReply {
    /// Whether the reply says what became of the request.
    #[must_use]
    pub fn is_conclusive(&self) -> bool {
        !matches!(self, Self::Status(503 | 504))
    }
}

#[derive(Deserialize)]
struct ConfigurationBody {
    #[serde(rename = "edition")]
    version: u64,
}

#[derive(Deserialize)]
struct DrainBody {
    condition: String,
}

#[derive(Deserialize)]
struct ResultsBody {
    #[serde(rename = "deliveries")]
    results: Vec<ItemResult>,
}

/// Sends a request to the interfaces of a node and waits for the reply.
pub(crate) async fn execute(
    operator: &BoxEndpoint<'static, Response>,
    jobs: &JobApi,
    request: ExternalRequest,
) -> ExternalReply {
    match request {
        ExternalRequest::Operator(order) => {
            let response = operator.get_response(order_request(&order)).await;
            let (status, body) = read_response(response).await;
            order_reply(&order, status, &body)
        }
        ExternalRequest::Job(job, call) => {
            let response = jobs.handle(job_request(&job, &call)).await;
            let (status, body) = read_response(response).await;
            job_reply(&call, status, &body)
        }
    }
}

async fn read_response(response: Response) -> (u16, Bytes) {
    let status = response.status().as_u16();
    (status, response.into_body().into_bytes().await.unwrap_or_default())
}

fn request(method: Method, path: &str) -> poem::RequestBuilder {
    poem::Request::builder().method(method).uri(path.parse().expect("a path"))
}

fn order_request(order: &OperatorOrder) -> poem::Request {
    match order {
        OperatorOrder::Put { expected, body } => {
            request(Method::PUT, "/api/timetable").header("If-Match", expected.to_string()).body(body.clone())
        }
        OperatorOrder::Patch { expected, body } => request(Method::PATCH, "/api/timetable")
            .header("If-Match", expected.to_string())
            .body(body.clone()),
        OperatorOrder::Read => request(Method::GET, "/api/timetable").body(Body::empty()),
        OperatorOrder::SetTargetVersion { model, version } => {
            let body = serde_json::json!({ "model": model, "edition": version });
            request(Method::POST, "/api/version-put").body(body.to_string())
        }
        OperatorOrder::Drain(store) => {
            request(Method::POST, &format!("/api/retire/{store}")).body(r#"{"overS":10}"#)
        }
        OperatorOrder::ReadDrain(store) => {
            request(Method::GET, &format!("/api/retire/{store}")).body(Body::empty())
        }
    }
}

fn order_reply(order: &OperatorOrder, status: u16, body: &[u8]) -> ExternalReply {
    match order {
        OperatorOrder::Read if status == 200 => {
            let text = String::from_utf8_lossy(body).into_owned();
            let configuration: ConfigurationBody =
                serde_json::from_str(&text).expect("a configuration has a version");
            ExternalReply::Configuration(configuration.version, text)
        }
        OperatorOrder::ReadDrain(_) if status == 200 => {
            let drain: DrainBody = serde_json::from_slice(body).expect("a condition is reported");
            if drain.condition == "delivered" {
                ExternalReply::Status(200)
            } else {
                ExternalReply::Draining
            }
        }
        _ => ExternalReply::Status(status),
    }
}

fn job_request(job: &str, call: &JobCall) -> poem::Request {
    match call {
        JobCall::Submit(body) => {
            request(Method::POST, "/r/jobs").header("Host", "h").header("Attempt-Id", job).body(body.clone())
        }
        JobCall::Read(after) => {
            request(Method::GET, &format!("/api/lots/{job}?after={after}")).body(Body::empty())
        }
        JobCall::End => request(Method::DELETE, &format!("/api/lots/{job}")).body(Body::empty()),
    }
}

fn job_reply(call: &JobCall, status: u16, body: &[u8]) -> ExternalReply {
    match call {
        JobCall::Read(_) if status == 200 => {
            let body: ResultsBody = serde_json::from_slice(body).expect("results can be read");
            ExternalReply::Results(body.results)
        }
        _ => ExternalReply::Status(status),
    }
}
