//! Requests of operators and trainers, which a traffic node handles with the HTTP routes that the program
//! serves.

use batch::ItemResult;
use bytes::Bytes;
use data_plane::JobEndpoint;
use poem::endpoint::BoxEndpoint;
use poem::http::Method;
use poem::{Body, Endpoint, Response};
use rushrudder::job_api::JobApi;
use serde::Deserialize;

/// A request to the operator API: from an operator, or from a trainer that sets the target version of a
/// model. It is unrelated to the orders that the leader sends to model servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorOrder {
    /// Replaces the configuration.
    Put {
        /// The version that the configuration must have before the change; otherwise the change is rejected.
        expected: u64,
        /// The new configuration document, as JSON text.
        body: String,
    },
    /// Adds, changes or removes entries of the configuration.
    Patch {
        /// The version that the configuration must have before the change; otherwise the change is rejected.
        expected: u64,
        /// The patch document, as JSON text.
        body: String,
    },
    /// Reads the configuration.
    Read,
    /// Sets the target version of a model, which is then rolled out.
    SetTargetVersion {
        /// The name of the model.
        model: String,
        /// The target version.
        version: u64,
    },
    /// Starts draining the store with this machine name.
    Drain(String),
    /// Reads whether the store with this machine name is drained.
    ReadDrain(String),
}

/// A call of a trainer about a batch job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobCall {
    /// Submits the batch job with this body, as JSON text.
    Submit(String),
    /// Reads the results of the batch job, starting at this position.
    Read(usize),
    /// Ends the batch job.
    End,
}

/// A request of an operator or trainer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExternalRequest {
    /// A request to the operator API.
    Operator(OperatorOrder),
    /// A call about the batch job with this id.
    Job(String, JobCall),
}

/// The reply of a node to an operator or trainer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExternalReply {
    /// The HTTP status of a reply whose body is ignored.
    Status(u16),
    /// The version and the text of the configuration.
    Configuration(u64, String),
    /// Results of a batch job, by position.
    Results(Vec<ItemResult>),
    /// The store is still being drained. A drained store is reported as `Status(200)`.
    Draining,
}

impl ExternalReply {
    /// Whether the reply shows if the request was carried out. Statuses 503 and 504 leave that open, so that
    /// the request is sent again.
    #[must_use]
    pub fn is_conclusive(&self) -> bool {
        !matches!(self, Self::Status(503 | 504))
    }
}

/// The part of a configuration document that the simulator decodes.
#[derive(Deserialize)]
struct ConfigurationBody {
    #[serde(rename = "edition")]
    version: u64,
}

/// The reply about the drain of a store.
#[derive(Deserialize)]
struct DrainBody {
    condition: String,
}

/// The reply to a read of results.
#[derive(Deserialize)]
struct ResultsBody {
    #[serde(rename = "deliveries")]
    results: Vec<ItemResult>,
}

/// Sends a request to the operator API or the job API of a node and waits for the reply.
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
    poem::Request::builder().method(method).uri(path.parse().expect("the path is a valid URI"))
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
                serde_json::from_str(&text).expect("the reply is a configuration document with a version");
            ExternalReply::Configuration(configuration.version, text)
        }
        OperatorOrder::ReadDrain(_) if status == 200 => {
            let drain: DrainBody =
                serde_json::from_slice(body).expect("the reply reports the condition of the store");
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
            let body: ResultsBody = serde_json::from_slice(body).expect("the reply is a list of results");
            ExternalReply::Results(body.results)
        }
        _ => ExternalReply::Status(status),
    }
}
