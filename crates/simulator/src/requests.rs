//! What the operator and the trainers ask of a node, over the shipped interfaces.

use batch::ItemResult;
use bytes::Bytes;
use data_plane::JobEndpoint;
use poem::endpoint::BoxEndpoint;
use poem::http::Method;
use poem::{Body, Endpoint, Response};
use rushrudder::job_api::JobApi;
use serde::Deserialize;

/// An order of the operator or of a trainer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorOrder {
    /// A whole configuration on top of a version.
    Put {
        /// The version it builds on.
        expected: u64,
        /// The document.
        body: String,
    },
    /// Some items of the configuration on top of a version.
    Patch {
        /// The version it builds on.
        expected: u64,
        /// The changes.
        body: String,
    },
    /// Read the configuration back.
    Read,
    /// Name a version of a model.
    Name {
        /// The model.
        model: String,
        /// The version.
        version: u64,
    },
    /// Have a store machine emptied.
    Retire(String),
    /// Tell how far the emptying is.
    ReadRetire(String),
}

/// A call of a trainer about a batch job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobCall {
    /// Hand it in.
    Submit(String),
    /// Read the results from this position on.
    Read(usize),
    /// End it.
    End,
}

/// A request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// By the operator, or a trainer that names a version.
    Operator(OperatorOrder),
    /// By a trainer, about the batch job with this id.
    Job(String, JobCall),
}

/// A reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Status of an order or call.
    Status(u16),
    /// The configuration: its version and text.
    Configuration(u64, String),
    /// Results of a batch job.
    Results(Vec<ItemResult>),
    /// 200 for a machine that is still being emptied.
    Rolling,
}

#[derive(Deserialize)]
struct Edition {
    edition: u64,
}

#[derive(Deserialize)]
struct Condition {
    condition: String,
}

#[derive(Deserialize)]
struct Results {
    deliveries: Vec<ItemResult>,
}

/// Carries a request out at the interfaces of a node.
pub(crate) async fn carry_out(
    operator: &BoxEndpoint<'static, Response>,
    jobs: &JobApi,
    request: Request,
) -> Reply {
    match request {
        Request::Operator(order) => {
            let response = operator.get_response(order_request(&order)).await;
            let (status, body) = read(response).await;
            order_reply(&order, status, &body)
        }
        Request::Job(job, asked) => {
            let response = jobs.handle(job_request(&job, &asked)).await;
            let (status, body) = read(response).await;
            job_reply(&asked, status, &body)
        }
    }
}

async fn read(response: Response) -> (u16, Bytes) {
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
        OperatorOrder::Name { model, version } => {
            let body = serde_json::json!({ "model": model, "edition": version });
            request(Method::POST, "/api/version-put").body(body.to_string())
        }
        OperatorOrder::Retire(station) => {
            request(Method::POST, &format!("/api/retire/{station}")).body(r#"{"overS":10}"#)
        }
        OperatorOrder::ReadRetire(station) => {
            request(Method::GET, &format!("/api/retire/{station}")).body(Body::empty())
        }
    }
}

fn order_reply(order: &OperatorOrder, status: u16, body: &[u8]) -> Reply {
    match order {
        OperatorOrder::Read if status == 200 => {
            let text = String::from_utf8_lossy(body).into_owned();
            let edition: Edition = serde_json::from_str(&text).expect("a configuration has a version");
            Reply::Configuration(edition.edition, text)
        }
        OperatorOrder::ReadRetire(_) if status == 200 => {
            let told: Condition = serde_json::from_slice(body).expect("a condition is told");
            if told.condition == "delivered" {
                Reply::Status(200)
            } else {
                Reply::Rolling
            }
        }
        _ => Reply::Status(status),
    }
}

fn job_request(job: &str, asked: &JobCall) -> poem::Request {
    match asked {
        JobCall::Submit(body) => {
            request(Method::POST, "/r/jobs").header("Host", "h").header("Attempt-Id", job).body(body.clone())
        }
        JobCall::Read(after) => {
            request(Method::GET, &format!("/api/lots/{job}?after={after}")).body(Body::empty())
        }
        JobCall::End => request(Method::DELETE, &format!("/api/lots/{job}")).body(Body::empty()),
    }
}

fn job_reply(asked: &JobCall, status: u16, body: &[u8]) -> Reply {
    match asked {
        JobCall::Read(_) if status == 200 => {
            let results: Results = serde_json::from_slice(body).expect("results can be read");
            Reply::Results(results.deliveries)
        }
        _ => Reply::Status(status),
    }
}
